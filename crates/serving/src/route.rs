//! Routes: which requests go to which service, and how.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::splitmix64;

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events that may resume at another upstream after its last complete event.
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

/// A service that a route leads to, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: CompactString,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A stage that has to run before a request.
#[derive(Debug, Clone)]
pub struct StageSpec {
    /// The service that runs it.
    pub service: CompactString,
    /// The indices of the stages whose results it needs.
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
    /// The prefix of its paths; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether and how its requests may be retried.
    pub retry_mode: RetryMode,
    /// The longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// The target time for an answer.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The services of its requests; at least one.
    pub targets: Vec<Target>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The stages that run before its requests.
    pub stages: Vec<StageSpec>,
    /// True if no credential is needed.
    pub public: bool,
    /// True if requests carry prompts whose parts upstreams cache.
    pub prompts: bool,
    /// The longest pause between two events of an answer that counts as timely.
    pub event_gap: Option<Duration>,
}

/// Below this pause between events, one long prompt that an upstream reads makes the other streams
/// there late: reading tens of thousands of tokens takes about half a second.
const SHORT_EVENT_GAP: Duration = Duration::from_millis(500);

impl Route {
    /// Runs that one request may have.
    pub fn allowed_runs(&self) -> u32 {
        match self.retry_mode.may_repeat() {
            true => self.max_attempts.max(1),
            false => 1,
        }
    }

    /// The longest pause between two events, if it is so short that streams are late while their
    /// upstream reads a long prompt. The prompts of such routes are placed by the pace of upstreams.
    pub fn short_event_gap(&self) -> Option<Duration> {
        self.event_gap
            .filter(|gap| self.prompts && *gap < SHORT_EVENT_GAP)
    }

    /// The service of a request, chosen by weight; the first one if none has a weight. The same `seed`
    /// gives the same service, so that requests with a common prompt stay together. Other weights or
    /// services move only the seeds by which shares grow or shrink: the upstreams of a service have
    /// to read the prompts of all sessions that move to it.
    pub fn target(&self, seed: u64) -> Option<&CompactString> {
        if let [only] = self.targets.as_slice() {
            return Some(&only.service);
        }
        let weighted = self.targets.iter().filter(|t| t.weight > 0);
        let ranked = weighted.map(|t| (t.rank(seed), t));
        let first = ranked.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let first = first.map(|(_, target)| target);
        first.or(self.targets.first()).map(|t| &t.service)
    }
}

impl Target {
    /// The rank of this service for a seed; the lowest one is chosen. Exponentially distributed with
    /// the weight as its rate, so that each service is the lowest as often as its weight says.
    fn rank(&self, seed: u64) -> f64 {
        let bytes = self.service.bytes();
        let hash = bytes.fold(splitmix64(seed), |h, b| splitmix64(h ^ u64::from(b)));
        let unit = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        -unit.ln() / f64::from(self.weight)
    }
}
