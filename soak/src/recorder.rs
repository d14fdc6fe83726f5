//! The record of requests at callers and upstreams, and of injected faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jd_net::lock;

use crate::Fault;

/// The kind of a request, which determines how often it may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// Must be executed at most once.
    NonIdempotent,
    /// Has a stage and answers with a stream that may resume at another upstream.
    ResumableStream,
    /// Answers with a stream that must not resume at another upstream.
    Stream,
    /// Has the same body at each attempt and may be executed more than once.
    Hot,
    /// Has the same body at each attempt and crashes every upstream that executes it. Its
    /// number selects the route.
    Crashing(u64),
    /// Differs at each attempt, and has the part of a prompt with this number, which crashes every
    /// upstream that executes it. The number selects the route.
    CrashingPart(u64),
    /// Uses a route that only this version of the configuration has, to show whether that
    /// version is in force.
    ConfigProbe(u64),
}

impl RequestKind {
    /// True if the request crashes the upstreams that execute it.
    pub(crate) fn crashes(self) -> bool {
        matches!(
            self,
            RequestKind::Crashing(_) | RequestKind::CrashingPart(_)
        )
    }
}

/// What crashes the upstreams that execute it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashCause {
    /// The request with this number.
    Request(u64),
    /// The part of prompts with this number.
    Part(u64),
}

/// The outcome of a caller's attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A response arrived.
    Response {
        /// The HTTP status.
        status: u16,
        /// The upstream's signature, if the response has one.
        signature: Option<String>,
        /// The part of the body that arrived.
        body: String,
        /// False if the body did not arrive to its end.
        complete: bool,
    },
    /// The connection was lost before a response arrived.
    ConnectionLost,
    /// No connection could be opened.
    NotSent,
    /// No response arrived in time.
    TimedOut,
}

/// The stream that an attempt takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenUp {
    /// The identity of the attempt that brought the first event.
    pub origin: String,
    /// The number of the last event that arrived.
    pub after: u64,
    /// The software version of the events so far.
    pub software: String,
    /// Upstreams of this version that served when the attempt was sent.
    pub serving: usize,
}

/// A caller's attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The identity of the attempt.
    pub id: String,
    /// The kind of request.
    pub kind: RequestKind,
    /// The credential that was sent.
    pub key: &'static str,
    /// The instance that the attempt was sent to, and the number of that instance's start.
    pub instance: (usize, u32),
    /// The time of sending.
    pub sent: Duration,
    /// The time at which the attempt ended.
    pub ended: Duration,
    /// The outcome.
    pub outcome: Outcome,
    /// The stream that it takes up, if it does.
    pub takes_up: Option<TakenUp>,
    /// True if the caller closed the connection before the end.
    pub abandoned: bool,
}

impl Attempt {
    /// True if the request may be executed more than once.
    pub(crate) fn may_retry(&self) -> bool {
        matches!(
            self.kind,
            RequestKind::Idempotent
                | RequestKind::ResumableStream
                | RequestKind::ConfigProbe(_)
                | RequestKind::Hot
                | RequestKind::Crashing(_)
                | RequestKind::CrashingPart(_)
        )
    }

    /// True if a complete and successful response arrived.
    pub fn is_served(&self) -> bool {
        matches!(
            &self.outcome,
            Outcome::Response {
                status: 200..300,
                complete: true,
                ..
            }
        )
    }
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// The identity of the attempt.
    pub id: String,
    /// The upstream's identity.
    pub upstream: String,
    /// The instance that sent the request: the one that its caller asked, or another one that the
    /// request was forwarded to. None if unknown.
    pub sender: Option<usize>,
    /// The time of arrival.
    pub at: Duration,
    /// True if the upstream started to execute the request.
    pub executed: bool,
    /// True if the upstream hung.
    pub hung: bool,
    /// The time at which the upstream ended its work, by an answer or because its connection was
    /// closed. None before that.
    pub ended: Option<Duration>,
    /// The time that the request leaves its upstream, if it says so.
    pub deadline: Option<Duration>,
    /// What in the request crashes its upstream, if anything does.
    pub crash_cause: Option<CrashCause>,
    /// The defect of the request as it arrived, if any.
    pub fault: Option<&'static str>,
    /// The notice in the answer.
    pub notice: Notice,
}

/// The work of an upstream on a request.
#[derive(Debug)]
pub(crate) struct Work {
    recorder: Arc<Recorder>,
    index: usize,
}

impl Drop for Work {
    fn drop(&mut self) {
        let now = self.recorder.now();
        if let Some(request) = lock(&self.recorder.upstream_requests).get_mut(self.index) {
            request.ended = Some(now);
        }
    }
}

/// An upstream's notice in an answer on which requests it accepts next.
#[derive(Debug, Clone, Copy, Default)]
pub struct Notice {
    /// True if the upstream is about to stop.
    pub leaving: bool,
    /// The time for which the upstream accepts no requests.
    pub backoff: Option<Duration>,
}

/// A fault and the time that it lasted.
#[derive(Debug, Clone)]
pub struct FaultSpan {
    /// The fault.
    pub fault: Fault,
    /// The start.
    pub from: Duration,
    /// The end.
    pub to: Duration,
    /// The upstream, the credential or the configuration version that the fault concerns.
    pub target: String,
}

/// Records attempts of callers, requests at upstreams, and injected faults.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    /// Attempts of callers in the order in which they ended.
    pub attempts: Mutex<Vec<Attempt>>,
    /// Requests at upstreams in order of arrival.
    pub upstream_requests: Mutex<Vec<UpstreamRequest>>,
    /// Injected faults.
    pub spans: Mutex<Vec<FaultSpan>>,
    /// When this program itself was late, from and to.
    pub late: Mutex<Vec<(Duration, Duration)>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            started: Instant::now(),
            attempts: Mutex::default(),
            upstream_requests: Mutex::default(),
            spans: Mutex::default(),
            late: Mutex::default(),
        }
    }
}

impl Recorder {
    /// The time since the start of the soak.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn attempt(&self, attempt: Attempt) {
        lock(&self.attempts).push(attempt);
    }

    /// Records a request at an upstream, which works on it until the returned value is dropped.
    pub(crate) fn request(self: &Arc<Recorder>, request: UpstreamRequest) -> Work {
        let mut requests = lock(&self.upstream_requests);
        requests.push(request);
        Work {
            recorder: Arc::clone(self),
            index: requests.len() - 1,
        }
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
