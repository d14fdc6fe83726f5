//! The attempts at one request that run beside each other.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use jd_net::Clock;
use jd_net::lock;
use jd_serving::AttemptDecision;
use jd_serving::AttemptSituation;
use jd_serving::Evidence;
use jd_serving::PATH_CHECK_SILENCE;
use jd_serving::PendingAttempts;
use jd_serving::Refusals;
use jd_types::MonoTime;

use crate::caller_request::CallerRequest;
use crate::retry_state::RetryState;
use crate::state::State;

/// The interval at which the clock of an attempt is looked at that is not sent yet.
const UNSENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request and what all attempts at it share.
#[derive(Debug, Clone)]
pub(crate) struct AttemptContext {
    pub(crate) state: Arc<State>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) retries: Arc<Mutex<RetryState>>,
}

impl AttemptContext {
    pub(crate) fn new(
        state: &Arc<State>,
        request: CallerRequest,
        retries: RetryState,
    ) -> AttemptContext {
        AttemptContext {
            state: Arc::clone(state),
            request: Arc::new(request),
            retries: Arc::new(Mutex::new(retries)),
        }
    }

    /// The time until the deadline of the request.
    pub(crate) fn time_left(&self) -> Duration {
        self.request.time_left(self.state.now())
    }

    /// True if the route allows another run, and the request was sent to fewer than `most` upstreams.
    pub(crate) fn may_run(&self, most: usize) -> bool {
        let mut retries = lock(&self.retries);
        retries.tried.len() < most && retries.runs_left(&self.state, &self.request) > 0
    }
}

/// Since when an attempt has brought nothing. Shared between the attempt and what waits for it.
#[derive(Debug, Default)]
pub(crate) struct AttemptClock {
    /// When it was sent or last brought something, in microseconds; 0 before it is sent.
    active_us: AtomicU64,
    /// How long it may be silent from then on, in microseconds.
    patience_us: AtomicU64,
    /// True if another instance runs the request, for which the own path to upstreams says nothing.
    is_forwarded: AtomicBool,
    /// True unless it is certain that nothing was written to a connection.
    is_written: AtomicBool,
}

impl AttemptClock {
    /// Records that the attempt was sent or that something arrived, and how long it may be silent
    /// from now on.
    pub(crate) fn record(&self, now: MonoTime, patience: Duration) {
        let patience = u64::try_from(patience.as_micros()).unwrap_or(u64::MAX);
        self.patience_us.store(patience, Ordering::Relaxed);
        self.active_us
            .store(now.as_micros().max(1), Ordering::Relaxed);
    }

    /// Records that the request is forwarded.
    pub(crate) fn set_forwarded(&self) {
        self.is_forwarded.store(true, Ordering::Relaxed);
    }

    /// Records that a connection takes the request.
    pub(crate) fn set_written(&self) {
        self.is_written.store(true, Ordering::Relaxed);
    }

    /// Records the proof that the latest send reached no upstream; `before` tells whether an earlier
    /// one was written.
    pub(crate) fn restore_written(&self, before: bool) {
        self.is_written.store(before, Ordering::Relaxed);
    }

    /// True unless it is certain that nothing was written to a connection.
    pub(crate) fn is_written(&self) -> bool {
        self.is_written.load(Ordering::Relaxed)
    }

    /// Ends the patience: what the attempt depends on does not answer.
    pub(crate) fn suspect(&self) {
        self.patience_us.store(0, Ordering::Relaxed);
    }

    /// How long nothing has arrived; none before the attempt is sent.
    pub(crate) fn silent_for(&self, now: MonoTime) -> Option<Duration> {
        match self.active_us.load(Ordering::Relaxed) {
            0 => None,
            at => Some(now.since(MonoTime::from_micros(at))),
        }
    }

    /// Returns how long the attempt has been silent once that is longer than expected.
    pub(crate) async fn until_overdue(&self, clock: &Clock) -> Duration {
        loop {
            match self.until_silent(clock.now()) {
                Some(left) if left.is_zero() => {
                    return self.silent_for(clock.now()).unwrap_or_default();
                }
                Some(left) => Timer::after(left).await,
                None => Timer::after(UNSENT_CHECK_INTERVAL).await,
            };
        }
    }

    /// The time until it has been silent for longer than expected; none before it is sent.
    pub(crate) fn until_silent(&self, now: MonoTime) -> Option<Duration> {
        let patience = Duration::from_micros(self.patience_us.load(Ordering::Relaxed));
        Some(patience.saturating_sub(self.silent_for(now)?))
    }
}

type AttemptFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

struct Pending<T> {
    clock: Arc<AttemptClock>,
    future: AttemptFuture<T>,
}

/// The attempts at one request that are in progress. Dropping one closes its connection.
pub(crate) struct Attempts<T> {
    pending: Vec<Pending<T>>,
    /// Attempts in a row that were refused before they were sent, and when the latest was.
    refused: Option<(u32, MonoTime)>,
}

impl<T> fmt::Debug for Attempts<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Attempts({})", self.pending.len())
    }
}

impl<T> Attempts<T> {
    pub(crate) fn new() -> Attempts<T> {
        Attempts {
            pending: Vec::new(),
            refused: None,
        }
    }

    /// Begins an attempt, which is polled by [`Attempts::next_ended`].
    pub(crate) fn begin(
        &mut self,
        clock: Arc<AttemptClock>,
        future: impl Future<Output = T> + Send + 'static,
    ) {
        let future = Box::pin(future);
        self.pending.push(Pending { clock, future });
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Ends all attempts, because another one has begun to answer.
    pub(crate) fn cancel_all(&mut self) {
        self.pending.clear();
        self.refused = None;
    }

    /// Records that an attempt was refused before it was sent.
    pub(crate) fn record_refusal(&mut self, now: MonoTime) {
        let before = self.refused.map_or(0, |(count, _)| count);
        self.refused = Some((before.saturating_add(1), now));
    }

    /// Records that an attempt that was sent has ended, so that another one need not wait.
    pub(crate) fn clear_refusals(&mut self) {
        self.refused = None;
    }

    /// Waits until one of the attempts ends; forever if there is none.
    pub(crate) async fn next_ended(&mut self) -> T {
        future::poll_fn(|cx| {
            for n in 0..self.pending.len() {
                if let Poll::Ready(ended) = self.pending[n].future.as_mut().poll(cx) {
                    drop(self.pending.swap_remove(n));
                    return Poll::Ready(ended);
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Decides what follows. `answering` is the clock of an attempt that is answering, if there is
    /// one besides those that are in progress here, and `may_run` tells whether another run is
    /// allowed.
    pub(crate) fn decide(
        &self,
        state: &State,
        answering: Option<&AttemptClock>,
        may_run: impl FnOnce() -> bool,
        left: Duration,
    ) -> AttemptDecision {
        let now = state.now();
        let clocks = self.pending.iter().map(|p| &*p.clock).chain(answering);
        let is_forwarded = clocks
            .clone()
            .any(|c| c.is_forwarded.load(Ordering::Relaxed));
        let until_silent = clocks.map(|c| c.until_silent(now).unwrap_or(Duration::MAX));
        let pending = PendingAttempts {
            count: self.pending.len() + usize::from(answering.is_some()),
            silent_for: self.silent_for(now, answering),
            until_silent: until_silent.max().unwrap_or_default(),
        };
        let refusals = self.refused.map(|(count, at)| Refusals {
            count,
            latest: now.since(at),
        });
        // Looked up only where it can matter, which for most events of a stream it does not.
        let is_waiting = pending.count > 0
            && !pending.until_silent.is_zero()
            && pending.silent_for < PATH_CHECK_SILENCE;
        let situation = AttemptSituation {
            pending,
            may_run: is_waiting || may_run(),
            is_path_lost: state.path.is_lost() && !is_forwarded,
            refusals,
            left,
        };
        situation.decide()
    }

    /// How long none of the attempts has brought anything; zero if one is not sent yet.
    fn silent_for(&self, now: MonoTime, answering: Option<&AttemptClock>) -> Duration {
        let clocks = self.pending.iter().map(|p| &*p.clock).chain(answering);
        let silent = clocks.map(|c| c.silent_for(now).unwrap_or_default());
        silent.min().unwrap_or_default()
    }

    /// Has the path to the upstreams checked if the attempts at a request that may be repeated have
    /// been silent for long enough. The check runs on its own, since they may go on meanwhile.
    pub(crate) fn check_path_in_silence(
        &self,
        cx: &AttemptContext,
        answering: Option<&AttemptClock>,
    ) {
        let silent_for = self.silent_for(cx.state.now(), answering);
        if silent_for >= PATH_CHECK_SILENCE && !cx.state.path.is_lost() {
            let state = Arc::clone(&cx.state);
            let check = async move { state.path.check_in_silence(&state).await };
            cx.state.executor.spawn(check).detach();
        }
    }
}

/// Logs that a request is sent to another upstream beside its pending attempts.
pub(crate) fn log_beside(cx: &AttemptContext, evidence: Evidence, pending: usize) {
    let AttemptContext {
        state,
        request,
        retries,
    } = cx;
    let mut retries = lock(retries);
    let runs_left = retries.runs_left(state, request);
    state.metrics.parallel_attempt(evidence.as_str());
    log::info!(
        request = request.id(),
        content:% = request.contents.request,
        evidence = evidence.as_str(),
        pending,
        tried:? = retries.tried,
        runs_left,
        left_ms = request.time_left(state.now()).as_millis() as u64;
        "another upstream is tried beside a pending one"
    );
}
