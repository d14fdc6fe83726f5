//! Refusals of requests: the reason, whether the request may have run, and how to
//! proceed.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::RunState;

/// The reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalKind {
    /// The credential is missing or unknown.
    Unauthenticated,
    /// The request is invalid.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// No pipeline has the requested name.
    UnknownPipeline,
    /// The pipeline requires an idempotency key and the request has none.
    KeyMissing,
    /// The customer has reached its limit on requests in flight.
    CustomerLimit,
    /// The request could not be answered before its deadline.
    WouldMiss,
    /// The queue is full.
    Overloaded,
    /// No upstream can accept the work.
    NoUpstream,
    /// An upstream failed, and a retry was not allowed or not possible.
    UpstreamFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The only instance that may run the idempotency key no longer exists or cannot
    /// be reached, or the key's binding has expired.
    BindingGone,
    /// A request with the same idempotency key is running, or has run and its answer is
    /// not stored.
    Duplicate,
    /// A platform service that the request needs, such as the key-value store, is
    /// unavailable or did not respond in time.
    PlatformDown,
    /// The instance accepts no new requests: it is starting, shutting down, or cut off
    /// from updates.
    NotServing,
    /// The request is quarantined because several upstreams that ran it terminated, one
    /// after the other.
    Quarantined,
    /// The upstreams have announced a rate limit and accept no more requests for now.
    Limited,
}

impl RefusalKind {
    /// All kinds, for reports, metrics and documentation.
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

    /// The HTTP status code of the response.
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

    /// The advice to the caller on how to proceed.
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

/// A refused request: the reason, whether anything may have run, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether anything may have run.
    pub run: RunState,
    /// A human-readable description of the cause.
    pub detail: CompactString,
    /// The delay before a retry is useful; none if the same call will never succeed.
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

    /// The same refusal with the delay before a retry set to `wait`.
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
