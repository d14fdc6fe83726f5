//! Routes: which requests go to which service, and how.

use std::time::Duration;

use compact_str::CompactString;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events that may go on at another upstream after its last
    /// whole event.
    Resumable,
    /// A stream of events that may start at most once.
    StreamOnce,
}

impl RetryMode {
    /// True if the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, RetryMode::Resumable | RetryMode::StreamOnce)
    }

    /// True if a second run does no harm.
    pub const fn may_repeat(self) -> bool {
        matches!(self, RetryMode::Idempotent | RetryMode::Resumable)
    }
}

/// A service that a route leads to, with its part of the requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// The service's name.
    pub service: CompactString,
    /// Its part, relative to the other targets'.
    pub weight: u32,
}

/// Work that has to be done before a request can run.
#[derive(Debug, Clone)]
pub struct StageSpec {
    /// The service that does it.
    pub service: CompactString,
    /// The stages whose results it needs, by number.
    pub after: Vec<usize>,
    /// The approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// A route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The host that it belongs to.
    pub host: CompactString,
    /// The beginning of its paths; begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub retry_mode: RetryMode,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where its requests go; at least one.
    pub targets: Vec<Target>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// What has to be done before.
    pub stages: Vec<StageSpec>,
    /// True if no credential is needed.
    pub public: bool,
    /// True if requests carry prompts whose parts upstreams cache.
    pub prompts: bool,
    /// The longest pause between two events of an answer that is in time.
    pub event_gap: Option<Duration>,
}

impl Route {
    /// The service of a request: by weight, and the same for the same `seed`,
    /// so that requests with a common prompt stay together.
    pub fn target(&self, seed: u64) -> Option<&CompactString> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut at = match total {
            0 => return self.targets.first().map(|t| &t.service),
            _ => seed % total,
        };
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if at < weight {
                return Some(&target.service);
            }
            at -= weight;
        }
        None
    }
}
