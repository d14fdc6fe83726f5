//! Instances that are alone, or out of step with the others.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::lock;

use crate::LinkMode;
use crate::ProcessSignal;
use crate::RequestKind;
use crate::TakenUp;
use crate::caller::Caller;
use crate::run::Runner;

/// Callers of an instance that is alone, of which it may get no more.
const ASKING: usize = 16;
/// Callers whose streams break before their instance is alone.
const CALLERS: usize = 12;
/// What they send, and the pause between two requests of one of them. More requests would allow more
/// retries.
const KINDS: [RequestKind; 2] = [RequestKind::Idempotent, RequestKind::ResumableStream];
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// How often each of them asks the instance that is alone.
const TRIES: usize = 4;
/// The pause between two of these tries.
const TRY_INTERVAL: Duration = Duration::from_millis(250);

impl Runner {
    /// Suspends all instances but one, but for those that a step holds, and has callers use that one.
    pub(crate) async fn leave_alone(&self, n: usize, span: Duration) {
        let others = self.suspend_others(n);
        self.ask(n, span);
        Timer::after(span).await;
        self.resume(&others);
    }

    /// Kills all instances that no step holds, runs `count` of them one at a time, each for this time
    /// under requests, and starts all.
    pub(crate) async fn start_in_turn(&self, count: usize, span: Duration) -> io::Result<()> {
        let all = 0..self.starts.len();
        let free = all.filter(|n| !self.held[*n].swap(true, Ordering::Relaxed));
        let free: Vec<usize> = free.collect();
        self.kill(&free).await?;
        for n in free.iter().cycle().take(count) {
            self.start(*n);
            self.until_ready(*n).await?;
            self.ask(*n, span);
            Timer::after(span).await;
            self.kill(&[*n]).await?;
        }
        for n in &free {
            self.start(*n);
        }
        for n in &free {
            self.until_ready(*n).await?;
            self.held[*n].store(false, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Starts callers that use an instance for this time.
    fn ask(&self, n: usize, span: Duration) {
        let until = self.env.recorder.now() + span;
        let callers = (0..ASKING).map(|_| {
            let caller = self.caller(false);
            self.executor.spawn(ask(caller, n, until))
        });
        lock(&self.callers).extend(callers);
    }

    /// Suspends an instance while an upstream gets the other software version and streams begin
    /// there, and has callers take these up once the instance is alone.
    pub(crate) async fn put_out_of_step(
        &self,
        n: usize,
        upstream: usize,
        suspended: Duration,
        alone: Duration,
    ) {
        let from = self.env.recorder.now();
        self.env.store_links[n].set(Some(LinkMode::Blackholes));
        self.fleet.signal(n, ProcessSignal::Pause);
        let upstreams = &self.env.upstreams;
        let replaced = &upstreams[upstream % upstreams.len()];
        self.env.upgrade(replaced, false).await;
        let instances = self.starts.len();
        let begin = |c: usize| {
            let other = (n + 1 + c % (instances - 1).max(1)) % instances;
            self.executor.spawn(begin(self.caller(true), other))
        };
        let streams: Vec<Task<Option<Broken>>> = (0..CALLERS).map(begin).collect();
        Timer::after((from + suspended).saturating_sub(self.env.recorder.now())).await;
        let others = self.suspend_others(n);
        self.fleet.signal(n, ProcessSignal::Resume);
        let taken_up = streams
            .into_iter()
            .map(|s| self.executor.spawn(take_up(s, n)));
        lock(&self.callers).extend(taken_up);
        Timer::after(alone).await;
        self.resume(&others);
        self.env.store_links[n].set(None);
    }

    fn suspend_others(&self, n: usize) -> Vec<usize> {
        let others = (0..self.starts.len()).filter(|other| *other != n);
        let free = others.filter(|other| !self.held[*other].swap(true, Ordering::Relaxed));
        let free: Vec<usize> = free.collect();
        for other in &free {
            self.fleet.signal(*other, ProcessSignal::Pause);
        }
        free
    }

    fn resume(&self, others: &[usize]) {
        for other in others {
            self.fleet.signal(*other, ProcessSignal::Resume);
            self.held[*other].store(false, Ordering::Relaxed);
        }
    }

    /// A caller, which leaves each stream after its first event if it `leaves`.
    fn caller(&self, leaves: bool) -> Caller {
        Caller {
            env: Arc::clone(&self.env),
            pool: HttpPool::new(Arc::clone(&self.executor), Clock::start()),
            starts: Arc::clone(&self.starts),
            stopped: Arc::default(),
            rng: fastrand::Rng::new(),
            hot: false,
            takes_up: leaves,
            prompts: false,
            leaves_one_in: 1,
            stay: None,
            load: self.env.load,
        }
    }
}

/// Sends requests that may be repeated to an instance.
async fn ask(mut caller: Caller, instance: usize, until: Duration) {
    while caller.env.recorder.now() < until {
        let kind = KINDS[caller.rng.usize(..KINDS.len())];
        // Refusals are no reason to wait, since there is no other instance.
        let _ = caller.send(instance, kind).await;
        Timer::after(ASK_INTERVAL).await;
    }
}

/// A caller whose stream broke, and what it takes up.
struct Broken {
    caller: Caller,
    stream: TakenUp,
}

/// Begins a stream, and breaks it off.
async fn begin(mut caller: Caller, instance: usize) -> Option<Broken> {
    let kind = RequestKind::ResumableStream;
    let (_, attempt) = caller.attempt(instance, kind, None).await;
    let stream = caller.taken_up(&attempt);
    caller.env.recorder.attempt(attempt);
    let mut stream = stream?;
    // An instance that is alone may refuse, so these streams say nothing about those that go on.
    stream.serving = 0;
    Some(Broken { caller, stream })
}

/// Takes a stream up at an instance, which may refuse it a few times.
async fn take_up(stream: Task<Option<Broken>>, instance: usize) {
    let Some(Broken { mut caller, stream }) = stream.await else {
        return;
    };
    for _ in 0..TRIES {
        let kind = RequestKind::ResumableStream;
        let (_, attempt) = caller.attempt(instance, kind, Some(stream.clone())).await;
        let goes_on = caller
            .taken_up(&attempt)
            .is_some_and(|t| t.after > stream.after);
        caller.env.recorder.attempt(attempt);
        if goes_on {
            return;
        }
        Timer::after(TRY_INTERVAL).await;
    }
}
