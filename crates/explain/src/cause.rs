//! Why a request earned nothing, or late.

use crate::LogLine;

/// Why a request earned nothing, or late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Refused at once: its stages would have ended too late.
    WouldMiss,
    /// Its stages waited and did not end in time.
    StagesTimedOut,
    /// A piece of a stage failed too often, or every upstream was full.
    Overloaded,
    /// No upstream was known for it.
    NoUpstream,
    /// What the instance knew was too old, or it knew nothing yet.
    Stale,
    /// Its credential or its address was not in force.
    NotAllowed,
    /// An upstream did not answer in time.
    UpstreamTimedOut,
    /// An upstream failed.
    UpstreamFailed,
    /// Its answer was cut off.
    Truncated,
    /// Answered late, and mostly waiting for its stages.
    LateByStages,
    /// Answered late, and mostly waiting for its upstream.
    LateByUpstream,
    /// Kept from upstreams, since those that ran it ended.
    Quarantined,
    /// The upstreams name a limit and took no more.
    Limited,
    /// Something else.
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

    /// Its name in tables.
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

    /// The cause that a line names by itself; none if it ends no request badly.
    pub fn of(line: &LogLine) -> Option<Cause> {
        match line.text.as_str() {
            "refused" => Some(Cause::of_refusal(line)),
            "stream cut off" => Some(Cause::Truncated),
            _ => None,
        }
    }

    fn of_refusal(line: &LogLine) -> Cause {
        let held = line.input("detail").unwrap_or("").contains("did not end");
        match line.input("outcome").unwrap_or("") {
            "would-miss" if held => Cause::StagesTimedOut,
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
