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
    /// The state of the instance was too stale, or not loaded yet.
    Stale,
    /// The credential or the address of the request was not in force.
    NotAllowed,
    /// An upstream did not answer in time.
    UpstreamTimedOut,
    /// An upstream failed.
    UpstreamFailed,
    /// The answer was cut off.
    Truncated,
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
    pub const ALL: [Cause; 14] = [
        Cause::WouldMiss,
        Cause::StagesTimedOut,
        Cause::Overloaded,
        Cause::NoUpstream,
        Cause::Stale,
        Cause::NotAllowed,
        Cause::UpstreamTimedOut,
        Cause::UpstreamFailed,
        Cause::Truncated,
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
            Cause::Stale => "unproven",
            Cause::NotAllowed => "not-allowed",
            Cause::UpstreamTimedOut => "silent",
            Cause::UpstreamFailed => "failed",
            Cause::Truncated => "cut",
            Cause::LateByStages => "late-stages",
            Cause::LateByUpstream => "late-upstream",
            Cause::Quarantined => "quarantined",
            Cause::Limited => "limited",
            Cause::Other => "other",
        }
    }

    /// The cause that a single line states; none if the line reports neither a refusal nor a
    /// truncated answer.
    pub fn of(line: &LogLine) -> Option<Cause> {
        match line.message.as_str() {
            "refused" => Some(Cause::of_refusal(line)),
            "stream cut off" => Some(Cause::Truncated),
            _ => None,
        }
    }

    fn of_refusal(line: &LogLine) -> Cause {
        let timed_out = line
            .text_value("detail")
            .unwrap_or("")
            .contains("did not end");
        match line.text_value("outcome").unwrap_or("") {
            "would-miss" if timed_out => Cause::StagesTimedOut,
            "would-miss" => Cause::WouldMiss,
            "overloaded" => Cause::Overloaded,
            "no-upstream" => Cause::NoUpstream,
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
