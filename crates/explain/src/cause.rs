//! Causes of refused, truncated and late requests.

use crate::LogLine;

/// Why a request was refused, truncated or answered late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Refused without waiting: its stages were expected to end after the deadline.
    WouldMiss,
    /// Its stages did not end before the deadline.
    StagesTimedOut,
    /// A piece of a stage failed too often, or every upstream was at capacity.
    Overloaded,
    /// The instance knew no upstream for the request.
    NoUpstream,
    /// It was not known which software version began the stream that it resumes, or none was left.
    UnknownStream,
    /// The state of the instance was too stale, or not loaded yet.
    Stale,
    /// The instance was stopping, and would have ended first.
    Stopping,
    /// The credential or the address of the request was not in force.
    NotAllowed,
    /// An upstream did not answer in time.
    UpstreamTimedOut,
    /// An upstream failed.
    UpstreamFailed,
    /// The answer was cut off, because its upstream broke off and no other one went on.
    Truncated,
    /// The answer was cut off at its deadline.
    TruncatedAtDeadline,
    /// Unanswered, or its answer unfinished, when its instance ended.
    OpenAtEnd,
    /// Answered late; the stages took more than half of the time.
    LateByStages,
    /// Answered late; the stages took half of the time or less.
    LateByUpstream,
    /// Quarantined, since upstreams that ran the request ended.
    Quarantined,
    /// The upstreams announced a limit and accepted no further requests.
    Limited,
    /// Any other cause.
    Other,
}

impl Cause {
    /// Every cause, in the order of the table.
    pub const ALL: [Cause; 18] = [
        Cause::WouldMiss,
        Cause::StagesTimedOut,
        Cause::Overloaded,
        Cause::NoUpstream,
        Cause::UnknownStream,
        Cause::Stale,
        Cause::Stopping,
        Cause::NotAllowed,
        Cause::UpstreamTimedOut,
        Cause::UpstreamFailed,
        Cause::Truncated,
        Cause::TruncatedAtDeadline,
        Cause::OpenAtEnd,
        Cause::LateByStages,
        Cause::LateByUpstream,
        Cause::Quarantined,
        Cause::Limited,
        Cause::Other,
    ];

    /// The name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::WouldMiss => "would-miss",
            Cause::StagesTimedOut => "stages-held",
            Cause::Overloaded => "overloaded",
            Cause::NoUpstream => "no-upstream",
            Cause::UnknownStream => "unknown-stream",
            Cause::Stale => "unproven",
            Cause::Stopping => "stopping",
            Cause::NotAllowed => "not-allowed",
            Cause::UpstreamTimedOut => "silent",
            Cause::UpstreamFailed => "failed",
            Cause::Truncated => "cut",
            Cause::TruncatedAtDeadline => "cut-at-deadline",
            Cause::OpenAtEnd => "open-at-end",
            Cause::LateByStages => "late-stages",
            Cause::LateByUpstream => "late-upstream",
            Cause::Quarantined => "quarantined",
            Cause::Limited => "limited",
            Cause::Other => "other",
        }
    }

    /// The cause that a single line states; none if the line reports neither a refusal nor an
    /// answer that is missing or truncated.
    pub fn of(line: &LogLine) -> Option<Cause> {
        match line.message.as_str() {
            "refused" => Some(Cause::of_refusal(line)),
            "stream cut off" if line.text_value("reason") == Some("deadline") => {
                Some(Cause::TruncatedAtDeadline)
            }
            "stream cut off" => Some(Cause::Truncated),
            "request open at the end" => Some(Cause::OpenAtEnd),
            _ => None,
        }
    }

    fn of_refusal(line: &LogLine) -> Cause {
        let detail = line.text_value("detail").unwrap_or("");
        let timed_out = detail.contains("did not end");
        match line.text_value("outcome").unwrap_or("") {
            "would-miss" if timed_out => Cause::StagesTimedOut,
            "would-miss" => Cause::WouldMiss,
            "overloaded" => Cause::Overloaded,
            "no-upstream" if detail.contains("the stream") => Cause::UnknownStream,
            "no-upstream" => Cause::NoUpstream,
            "not-serving" | "upstream-failed" if detail.contains("the instance stops") => {
                Cause::Stopping
            }
            "not-serving" => Cause::Stale,
            "unauthenticated" | "unknown-pipeline" => Cause::NotAllowed,
            "quarantined" => Cause::Quarantined,
            "limited" => Cause::Limited,
            "deadline-passed" => Cause::UpstreamTimedOut,
            "upstream-failed" => Cause::UpstreamFailed,
            _ => Cause::Other,
        }
    }
}
