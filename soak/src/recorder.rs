//! What callers and upstreams saw.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jd_net::lock;

use crate::Fault;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
    /// Its answer is a stream that may go on elsewhere, after a stage.
    ResumableStream,
    /// Its answer is a stream that may not.
    Stream,
    /// The same at each attempt, and it may run more than once.
    Hot,
    /// The same at each attempt, and it ends each upstream that runs it. In which way it
    /// is sent goes by its number.
    Crashing(u64),
    /// It only shows which configuration is in force.
    ConfigProbe(u64),
}

/// How a caller's attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer.
    Response {
        /// Its status.
        status: u16,
        /// What the upstream vouches with, if it does.
        signature: Option<String>,
        /// As far as it came.
        body: String,
        /// False if the connection broke before the end.
        complete: bool,
    },
    /// The connection broke without an answer.
    ConnectionLost,
    /// No connection could be had.
    NotSent,
    /// Nothing came in time.
    TimedOut,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its identity.
    pub id: String,
    /// What may be done with it.
    pub kind: RequestKind,
    /// The credential that it showed.
    pub key: &'static str,
    /// The instance that took it, and which start of it.
    pub instance: (usize, u32),
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub outcome: Outcome,
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// The identity of the attempt.
    pub id: String,
    /// The upstream's identity.
    pub upstream: String,
    /// When.
    pub at: Duration,
    /// True if the upstream began to work on it.
    pub executed: bool,
    /// The number of the bad request that it is, if it is one.
    pub crash_number: Option<u64>,
    /// What was wrong with it as it came, if anything.
    pub fault: Option<&'static str>,
    /// What the answer said of what may be sent next.
    pub notice: Notice,
}

/// What an upstream says in an answer of what may be sent to it next.
#[derive(Debug, Clone, Copy, Default)]
pub struct Notice {
    /// It is about to stop.
    pub leaving: bool,
    /// It wants nothing for so long.
    pub backoff: Option<Duration>,
}

/// A fault and how long it lasted.
#[derive(Debug, Clone)]
pub struct FaultSpan {
    /// What was done.
    pub fault: Fault,
    /// Since when.
    pub from: Duration,
    /// Until when.
    pub to: Duration,
    /// What it concerns: the upstream, the credential, or the version.
    pub target: String,
}

/// What callers and upstreams saw, and what was done to the system.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    /// Attempts of callers, in the order in which they ended.
    pub attempts: Mutex<Vec<Attempt>>,
    /// What reached upstreams, in order.
    pub upstream_requests: Mutex<Vec<UpstreamRequest>>,
    /// What was done.
    pub spans: Mutex<Vec<FaultSpan>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            started: Instant::now(),
            attempts: Mutex::default(),
            upstream_requests: Mutex::default(),
            spans: Mutex::default(),
        }
    }
}

impl Recorder {
    /// The time since the soak began.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn attempt(&self, attempt: Attempt) {
        lock(&self.attempts).push(attempt);
    }

    pub(crate) fn run(&self, run: UpstreamRequest) {
        lock(&self.upstream_requests).push(run);
    }

    pub(crate) fn span(&self, fault: Fault, from: Duration, to: Duration, target: &str) {
        let target = target.into();
        lock(&self.spans).push(FaultSpan {
            fault,
            from,
            to,
            target,
        });
    }
}
