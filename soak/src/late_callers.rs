//! Callers that send a part of a request around a stop, and the rest of it late.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::SendError;

use crate::Attempt;
use crate::FaultSpan;
use crate::LinkMode;
use crate::Outcome;
use crate::RequestKind;
use crate::UpstreamRequest;
use crate::Violation;
use crate::caller;
use crate::config::KEYS;
use crate::environment::Environment;
use crate::losses;
use crate::losses::PlannedWork;
use crate::relay::Relay;
use crate::run::Runner;
use crate::turns::Load;

/// The time after which the instance of late callers is stopped.
pub(crate) const STOP_AFTER: Duration = Duration::from_millis(1_000);
/// When a part of a request is sent: before the stop, or soon after it.
const PART_MS: std::ops::Range<u64> = 500..2_000;
/// The late callers of a stop.
const COUNT: std::ops::RangeInclusive<usize> = 8..=16;
/// Bytes of a part that ends in the head of its request.
const HEAD_BYTES: std::ops::Range<usize> = 1..200;
/// The kinds of late requests.
const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::ResumableStream,
    RequestKind::Stream,
];

/// A caller with a connection that stays open.
struct LateCaller {
    env: Arc<Environment>,
    pool: HttpPool,
    link: Arc<Relay>,
    /// The instance, and the number of its start.
    instance: (usize, u32),
    began: Duration,
    rng: fastrand::Rng,
}

impl Runner {
    /// Has callers of an instance send late, and returns once they have their answers.
    pub(crate) async fn send_late(&self, n: usize, seed: u64) -> io::Result<()> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut callers = Vec::new();
        for _ in 0..rng.usize(COUNT) {
            let caller = LateCaller {
                env: Arc::clone(&self.env),
                pool: HttpPool::new(Arc::clone(&self.executor), Clock::start()),
                link: self.env.link_to(&self.executor, n)?,
                instance: (n, self.starts[n].load(Ordering::Relaxed)),
                began: self.env.recorder.now(),
                rng: rng.fork(),
            };
            callers.push(spawn(&self.executor, caller));
        }
        for caller in callers {
            caller.await;
        }
        Ok(())
    }
}

fn spawn(executor: &Executor<'static>, caller: LateCaller) -> async_executor::Task<()> {
    executor.spawn(caller.run())
}

impl LateCaller {
    /// Sends an ordinary request, so that its connection is open, and a late one over it.
    async fn run(mut self) {
        let id = self.id();
        let (sent, kind) = (self.env.recorder.now(), RequestKind::Idempotent);
        let outcome = self.send(&id, kind).await;
        self.record(id, kind, sent, self.env.recorder.now(), outcome);
        let part = self.rng.u64(PART_MS);
        let last = (STOP_AFTER + self.env.load.grace).as_millis() as u64;
        let rest = Duration::from_millis(self.rng.u64(part..last));
        self.until(Duration::from_millis(part)).await;
        let held = match self.rng.bool() {
            true => self.rng.usize(HEAD_BYTES),
            false => usize::MAX,
        };
        let (id, kind) = (self.id(), KINDS[self.rng.usize(..KINDS.len())]);
        self.link.set(Some(LinkMode::HoldsAfter(held)));
        let send_rest = async {
            self.until(rest).await;
            self.link.set(None);
            self.env.recorder.now()
        };
        let answer = async {
            let outcome = self.send(&id, kind).await;
            (outcome, self.env.recorder.now())
        };
        let (sent, (outcome, ended)) = future::zip(send_rest, answer).await;
        let outcome = match outcome {
            // The request was never whole.
            Outcome::ConnectionLost if ended < sent => Outcome::NotSent,
            outcome => outcome,
        };
        self.record(id, kind, sent.min(ended), ended, outcome);
    }

    fn id(&mut self) -> String {
        format!("{:016x}", self.rng.u64(..))
    }

    async fn until(&self, after: Duration) {
        let left = (self.began + after).saturating_sub(self.env.recorder.now());
        Timer::after(left).await;
    }

    async fn send(&self, id: &str, kind: RequestKind) -> Outcome {
        let load = self.env.load;
        let req = caller::request(id, kind, KEYS[0], None, load);
        let deadline = load.deadline_of(kind);
        let sending = self.pool.send(self.link.address(), req, deadline, false);
        match sending.await {
            Some(Ok(res)) => caller::read(res, usize::MAX, deadline).await.0,
            Some(Err(SendError::NotSent)) => Outcome::NotSent,
            Some(Err(SendError::Broken | SendError::InvalidStatus { .. })) => {
                Outcome::ConnectionLost
            }
            None => Outcome::TimedOut,
        }
    }

    fn record(
        &self,
        id: String,
        kind: RequestKind,
        sent: Duration,
        ended: Duration,
        outcome: Outcome,
    ) {
        self.env.recorder.attempt(Attempt {
            id,
            kind,
            key: KEYS[0],
            instance: self.instance,
            sent,
            ended,
            outcome,
            takes_up: None,
            abandoned: false,
        });
    }
}

/// Returns a violation for each request that an upstream ran and that an instance answered with a
/// failure of its own, although nothing excuses it.
pub(crate) fn judge(
    attempts: &[Attempt],
    requests: &[UpstreamRequest],
    spans: &[FaultSpan],
    instances: usize,
    load: Load,
) -> Vec<Violation> {
    let planned = PlannedWork {
        spans,
        runs: losses::runs(requests),
        instances,
        load,
    };
    let failed = |a: &Attempt| match &a.outcome {
        Outcome::Response {
            status: 500..,
            signature,
            ..
        } => signature.is_none() && planned.runs.contains_key(a.id.as_str()),
        _ => false,
    };
    let judged = attempts.iter().filter(|a| load.silences && failed(a));
    let violations = judged
        .filter(|a| !planned.is_excused(a))
        .map(|a| Violation {
            guarantee: "requests that are sent into a stop are answered, or refused as not run",
            detail: format!("{} {:?} at {:?}: {:?}", a.id, a.kind, a.sent, a.outcome),
        });
    violations.collect()
}
