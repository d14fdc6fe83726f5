//! A truthful "no", with what to do about it.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::RunState;

/// Why a request gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalKind {
    /// The credential is missing or unknown.
    Unauthenticated,
    /// The request itself is wrong.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// No pipeline has that name.
    UnknownPipeline,
    /// The pipeline needs an idempotency key and none came.
    KeyMissing,
    /// The customer has reached its limit.
    CustomerLimit,
    /// The pipeline could not answer in time any more.
    WouldMiss,
    /// The queue is full.
    Overloaded,
    /// No upstream can take the work.
    NoUpstream,
    /// An upstream failed and another try was not allowed or not possible.
    UpstreamFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The instance that alone may run the key is gone.
    BindingGone,
    /// The key is already being run, or was run and its answer is not kept.
    Duplicate,
    /// The platform's service is needed for this and cannot be reached.
    PlatformDown,
    /// The instance takes no new work: it is starting, leaving or cut off.
    NotServing,
    /// Upstreams that ran the request ended, one after the other.
    Quarantined,
    /// The upstreams name a limit and take no more for now.
    Limited,
}

impl RefusalKind {
    /// Every kind, for reports, metrics and documentation.
    pub const ALL: [RefusalKind; 17] = [
        RefusalKind::Unauthenticated,
        RefusalKind::Malformed,
        RefusalKind::TooLarge,
        RefusalKind::UnknownPipeline,
        RefusalKind::KeyMissing,
        RefusalKind::CustomerLimit,
        RefusalKind::WouldMiss,
        RefusalKind::Overloaded,
        RefusalKind::NoUpstream,
        RefusalKind::UpstreamFailed,
        RefusalKind::DeadlinePassed,
        RefusalKind::BindingGone,
        RefusalKind::Duplicate,
        RefusalKind::PlatformDown,
        RefusalKind::NotServing,
        RefusalKind::Quarantined,
        RefusalKind::Limited,
    ];

    /// The name in problem details, reports and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalKind::Unauthenticated => "unauthenticated",
            RefusalKind::Malformed => "malformed",
            RefusalKind::TooLarge => "too-large",
            RefusalKind::UnknownPipeline => "unknown-pipeline",
            RefusalKind::KeyMissing => "key-missing",
            RefusalKind::CustomerLimit => "customer-limit",
            RefusalKind::WouldMiss => "would-miss",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::NoUpstream => "no-upstream",
            RefusalKind::UpstreamFailed => "upstream-failed",
            RefusalKind::DeadlinePassed => "deadline-passed",
            RefusalKind::BindingGone => "binding-gone",
            RefusalKind::Duplicate => "duplicate",
            RefusalKind::PlatformDown => "platform-down",
            RefusalKind::NotServing => "not-serving",
            RefusalKind::Quarantined => "quarantined",
            RefusalKind::Limited => "limited",
        }
    }

    /// The HTTP status that fits.
    pub const fn status(self) -> u16 {
        match self {
            RefusalKind::Unauthenticated => 401,
            RefusalKind::Malformed | RefusalKind::KeyMissing => 400,
            RefusalKind::TooLarge => 413,
            RefusalKind::UnknownPipeline => 404,
            RefusalKind::CustomerLimit => 429,
            RefusalKind::Duplicate | RefusalKind::BindingGone => 409,
            RefusalKind::UpstreamFailed => 502,
            RefusalKind::DeadlinePassed => 504,
            RefusalKind::WouldMiss
            | RefusalKind::Overloaded
            | RefusalKind::NoUpstream
            | RefusalKind::PlatformDown
            | RefusalKind::NotServing
            | RefusalKind::Quarantined
            | RefusalKind::Limited => 503,
        }
    }

    /// What the caller should do.
    pub const fn remedy(self) -> &'static str {
        match self {
            RefusalKind::Unauthenticated => "send the customer's credential as a bearer token",
            RefusalKind::Malformed => "correct the request as the detail says",
            RefusalKind::TooLarge => "send a smaller body",
            RefusalKind::UnknownPipeline => "ask an operator for the pipelines in force",
            RefusalKind::KeyMissing => {
                "send an idempotency-key made from the binding in the locate answer"
            }
            RefusalKind::CustomerLimit => {
                "come back after the given time, or ask for a higher limit"
            }
            RefusalKind::WouldMiss => "come back after the given time, or allow a longer deadline",
            RefusalKind::Overloaded => "come back after the given time",
            RefusalKind::NoUpstream => {
                "come back after the given time; operators see the pool's state"
            }
            RefusalKind::UpstreamFailed => {
                "if it may have run, look the key up before you try again"
            }
            RefusalKind::DeadlinePassed => {
                "if it may have run, look the key up before you try again"
            }
            RefusalKind::BindingGone => {
                "look up whether it ran where it was to take effect; this key will never run"
            }
            RefusalKind::Duplicate => {
                "wait for the first call's answer; this key will not run again"
            }
            RefusalKind::PlatformDown => {
                "use a key made from the binding in the locate answer, or come back"
            }
            RefusalKind::NotServing => "ask for addresses again and use another",
            RefusalKind::Quarantined => {
                "do not send this request again before the given time; operators see its content in the logs"
            }
            RefusalKind::Limited => {
                "come back after the given time; operators see in the logs which upstreams name a limit"
            }
        }
    }
}

/// A truthful "no": why, whether anything can have run, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether anything can have run.
    pub run: RunState,
    /// What exactly, for a person.
    pub detail: CompactString,
    /// When coming back makes sense; none if the same call will never succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal before anything was dispatched.
    pub fn not_run(kind: RefusalKind, detail: impl Into<CompactString>) -> Refusal {
        Refusal {
            kind,
            run: RunState::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same refusal with the time after which to come back.
    pub fn with_retry_after(self, wait: Duration) -> Refusal {
        Refusal {
            retry_after: Some(wait),
            ..self
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, {}: {}", self.kind.as_str(), self.run, self.detail)
    }
}
