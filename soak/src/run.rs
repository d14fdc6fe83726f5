//! Playing the plan of a seed.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Timer;
use http::Request;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::lock;

use crate::Fault;
use crate::Fleet;
use crate::LinkMode;
use crate::Plan;
use crate::ProcessSignal;
use crate::Recorder;
use crate::RequestKind;
use crate::Step;
use crate::Violation;
use crate::caller::Caller;
use crate::environment::Environment;
use crate::judge::judge;
use crate::relay::Relay;

/// Callers for each instance.
const CALLERS_EACH: usize = 4;
/// How long callers go on after the last fault.
const CALM: Duration = Duration::from_millis(4_500);
/// How long an instance may take to be ready, or to stop, before the soak gives
/// up on it.
const PATIENCE: Duration = Duration::from_secs(20);
/// Between two looks at a process.
const LOOK: Duration = Duration::from_millis(20);
/// How long an instance is cut off while a credential is taken away: the users'
/// bound for that, and long enough to see what it does beyond.
const CUT_BEHIND: Duration = Duration::from_millis(7_500);
/// Between two beats that show how late this program itself is.
const BEAT: Duration = Duration::from_millis(50);
/// Between two sendings of a bad request.
const BAD_EVERY: Duration = Duration::from_millis(250);
/// From an upstream's word that it leaves to its end.
const DRAIN_LASTS: Duration = Duration::from_millis(5_000);

/// What came of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// What everybody saw.
    pub recorder: Arc<Recorder>,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
    /// By how much the stand-ins and the callers were late at most, because the
    /// machine was busy.
    pub lag: Duration,
}

/// What steps need.
struct Stage {
    executor: Arc<Executor<'static>>,
    environment: Arc<Environment>,
    fleet: Arc<dyn Fleet>,
    pool: HttpPool,
    starts: Arc<Vec<AtomicU32>>,
    /// Instances and upstreams that a step has in hand; others leave them alone.
    held: Vec<AtomicBool>,
}

/// Plays a plan with `instances` processes of `fleet` on loopback addresses that
/// begin with `network`.
pub async fn soak(
    executor: &Arc<Executor<'static>>,
    plan: &Plan,
    fleet: Arc<dyn Fleet>,
    network: [u8; 3],
    instances: usize,
) -> io::Result<SoakReport> {
    let environment = Arc::new(Environment::start(executor, network, instances)?);
    // The last one is the store.
    let held = instances + environment.places.len() + 1;
    let stage = Arc::new(Stage {
        executor: Arc::clone(executor),
        pool: HttpPool::new(Arc::clone(executor), Clock::start()),
        starts: Arc::new((0..instances).map(|_| AtomicU32::new(0)).collect()),
        held: (0..held).map(|_| AtomicBool::new(false)).collect(),
        environment: Arc::clone(&environment),
        fleet,
    });
    let ending = Arc::clone(&environment).end_by_requests(Arc::clone(executor));
    executor.spawn(ending).detach();
    for n in 0..instances {
        stage.start(n);
    }
    for n in 0..instances {
        stage.until_ready(n).await?;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let lag = executor.spawn(measure_lag(Arc::clone(&environment), Arc::clone(&stopped)));
    let callers = start_callers(executor, &stage, &stopped, plan.seed, plan.has_hot());
    let began = environment.recorder.now();
    let mut steps: Vec<Task<io::Result<()>>> = Vec::new();
    for step in &plan.steps {
        Timer::after((began + step.at).saturating_sub(environment.recorder.now())).await;
        let (stage, step) = (Arc::clone(&stage), *step);
        steps.push(executor.spawn(async move { stage.play(step).await }));
    }
    Timer::after((began + plan.end()).saturating_sub(environment.recorder.now())).await;
    for step in steps {
        step.await?;
    }
    let calm = environment.recorder.now();
    Timer::after(CALM).await;
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    stage.end(instances).await?;
    let violations = judge(&environment.recorder, calm);
    let recorder = Arc::clone(&environment.recorder);
    let lag = lag.await;
    Ok(SoakReport {
        recorder,
        violations,
        lag,
    })
}

/// By how much a timer of this program was late at most.
async fn measure_lag(environment: Arc<Environment>, stopped: Arc<AtomicBool>) -> Duration {
    let mut most = Duration::ZERO;
    while !stopped.load(Ordering::Relaxed) {
        let began = environment.recorder.now();
        Timer::after(BEAT).await;
        let took = environment.recorder.now().saturating_sub(began);
        most = most.max(took.saturating_sub(BEAT));
    }
    most
}

fn start_callers(
    executor: &Arc<Executor<'static>>,
    stage: &Arc<Stage>,
    stopped: &Arc<AtomicBool>,
    seed: u64,
    hot: bool,
) -> Vec<Task<()>> {
    let count = stage.starts.len() * CALLERS_EACH;
    let callers = (0..count as u64).map(|n| {
        let caller = Caller {
            environment: Arc::clone(&stage.environment),
            // Each has connections of its own, as callers elsewhere do.
            pool: HttpPool::new(Arc::clone(executor), Clock::start()),
            starts: Arc::clone(&stage.starts),
            stopped: Arc::clone(stopped),
            rng: fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + n),
            hot,
        };
        executor.spawn(caller.run())
    });
    callers.collect()
}

impl Stage {
    fn start(&self, n: usize) {
        self.starts[n].fetch_add(1, Ordering::Relaxed);
        self.fleet.start(n, &self.environment.settings(n));
    }

    async fn until_ready(&self, n: usize) -> io::Result<()> {
        let until = self.environment.recorder.now() + PATIENCE;
        while self.environment.recorder.now() < until {
            let mut req = Request::new(jd_net::empty());
            *req.uri_mut() = http::Uri::from_static("/v1/readyz");
            req.headers_mut()
                .insert("host", http::HeaderValue::from_static("ready"));
            let address = self.environment.ready_at(n);
            let sent = self.pool.send(address, req, Duration::from_secs(1), true);
            if matches!(sent.await, Some(Ok(res)) if res.status.is_success()) {
                return Ok(());
            }
            Timer::after(LOOK).await;
        }
        Err(io::Error::other(format!(
            "instance {n} does not become ready"
        )))
    }

    async fn until_ended(&self, n: usize) -> io::Result<()> {
        let until = self.environment.recorder.now() + PATIENCE;
        while self.fleet.is_running(n) {
            if self.environment.recorder.now() > until {
                return Err(io::Error::other(format!("instance {n} does not end")));
            }
            Timer::after(LOOK).await;
        }
        Ok(())
    }

    /// Stops all instances.
    async fn end(&self, instances: usize) -> io::Result<()> {
        for n in 0..instances {
            self.fleet.signal(n, ProcessSignal::Stop);
        }
        for n in 0..instances {
            self.until_ended(n).await?;
        }
        Ok(())
    }

    /// Plays one step and writes down how long it lasted.
    async fn play(&self, step: Step) -> io::Result<()> {
        let instances = self.starts.len();
        let places = self.environment.places.len();
        let held = match step.fault {
            Fault::Kill(n, _) | Fault::Stop(n) | Fault::Pause(n, _) => Some(n % instances),
            Fault::Drain(n)
            | Fault::DrainByAnswers(n)
            | Fault::ReplaceUpstream(n)
            | Fault::RestartUpstream(n)
            | Fault::Limit(n, _, _) => Some(instances + n % places),
            Fault::Restore(_) => Some(instances + places),
            _ => None,
        };
        if held.is_some_and(|h| self.held[h].swap(true, Ordering::Relaxed)) {
            return Ok(());
        }
        let from = self.environment.recorder.now();
        let what = self.what(step.fault);
        if let Fault::Drain(_) | Fault::Configure = step.fault {
            // Its effect begins now and not when the step has passed.
            self.environment
                .recorder
                .span(step.fault, from, from, &what);
        }
        let what = self.carry_out(step.fault).await?.unwrap_or(what);
        let to = self.environment.recorder.now();
        self.environment.recorder.span(step.fault, from, to, &what);
        if let Some(h) = held {
            self.held[h].store(false, Ordering::Relaxed);
        }
        Ok(())
    }

    /// What a fault concerns.
    fn what(&self, fault: Fault) -> String {
        let places = &self.environment.places;
        match fault {
            Fault::Drain(n)
            | Fault::DrainByAnswers(n)
            | Fault::ReplaceUpstream(n)
            | Fault::RestartUpstream(n)
            | Fault::Upstream(n, _, _)
            | Fault::Limit(n, _, _) => places[n % places.len()].handler.engine().id(),
            _ => String::new(),
        }
    }

    /// Kills all instances that no other fault holds, and starts them together.
    async fn kill_all(&self, down: Duration) -> io::Result<()> {
        let all = 0..self.starts.len();
        let free = all.filter(|n| !self.held[*n].swap(true, Ordering::Relaxed));
        let free: Vec<usize> = free.collect();
        for n in &free {
            self.fleet.signal(*n, ProcessSignal::Kill);
        }
        for n in &free {
            self.until_ended(*n).await?;
        }
        Timer::after(down).await;
        for n in &free {
            self.start(*n);
        }
        for n in &free {
            self.until_ready(*n).await?;
            self.held[*n].store(false, Ordering::Relaxed);
        }
        Ok(())
    }

    async fn carry_out(&self, fault: Fault) -> io::Result<Option<String>> {
        let instances = self.starts.len();
        let places = &self.environment.places;
        let place = |n: usize| &places[n % places.len()];
        match fault {
            Fault::Kill(n, down) => {
                let n = n % instances;
                self.fleet.signal(n, ProcessSignal::Kill);
                self.until_ended(n).await?;
                Timer::after(down).await;
                self.start(n);
                self.until_ready(n).await?;
            }
            Fault::KillAll(down) => self.kill_all(down).await?,
            Fault::Stop(n) => {
                let n = n % instances;
                self.fleet.signal(n, ProcessSignal::Stop);
                self.until_ended(n).await?;
                self.start(n);
                self.until_ready(n).await?;
            }
            Fault::Pause(n, span) => {
                let n = n % instances;
                self.fleet.signal(n, ProcessSignal::Pause);
                Timer::after(span).await;
                self.fleet.signal(n, ProcessSignal::Resume);
            }
            Fault::Reload(n) => self.fleet.signal(n % instances, ProcessSignal::Reload),
            Fault::Store(mode, span) => {
                *lock(&self.environment.store.mode) = Some(mode);
                Timer::after(span).await;
                *lock(&self.environment.store.mode) = None;
            }
            Fault::Compact => lock(&self.environment.store.records).forget(),
            Fault::Upstream(n, mode, span) => {
                let engine = place(n).handler.engine();
                *lock(&engine.mode) = Some(mode);
                Timer::after(span).await;
                *lock(&engine.mode) = None;
            }
            Fault::Limit(n, per_s, span) => {
                let engine = place(n).handler.engine();
                *lock(&engine.limit) = Some(per_s);
                Timer::after(span).await;
                *lock(&engine.limit) = None;
            }
            Fault::UpstreamLink(n, mode, span) => misbehave(&place(n).link, mode, span).await,
            Fault::StoreLink(n, mode, span) => {
                misbehave(&self.environment.store_links[n % instances], mode, span).await;
            }
            Fault::Drain(n) => {
                let engine = place(n).handler.engine();
                engine.draining.store(true, Ordering::Relaxed);
                self.environment.register(place(n));
                Timer::after(DRAIN_LASTS).await;
                self.environment.replace(place(n));
            }
            Fault::DrainByAnswers(n) => {
                let engine = place(n).handler.engine();
                engine.says_leaving.store(true, Ordering::Relaxed);
                Timer::after(DRAIN_LASTS).await;
                self.environment.replace(place(n));
            }
            Fault::Restore(age) => {
                let copy = lock(&self.environment.store.records).clone();
                Timer::after(age).await;
                self.environment.restore(copy).await;
            }
            Fault::ReplaceUpstream(n) => self.environment.replace(place(n)),
            Fault::RestartUpstream(n) => self.environment.start_again(place(n)).await,
            Fault::CrashingRequest(number, span) => self.repeat_bad(number, span).await,
            Fault::Configure => return Ok(Some(self.environment.configure().to_string())),
            Fault::Revoke => return Ok(Some(self.environment.revoke().unwrap_or("").into())),
            Fault::RevokeDuringPartition(n) => {
                let link = &self.environment.store_links[n % instances];
                link.set(Some(LinkMode::Blackholes));
                let from = self.environment.recorder.now();
                let key = self.environment.revoke().unwrap_or("");
                self.environment
                    .recorder
                    .span(Fault::Revoke, from, from, key);
                Timer::after(CUT_BEHIND).await;
                link.set(None);
            }
        }
        Ok(None)
    }
}

impl Stage {
    /// Sends a bad request again and again, to any instance, waiting for no answer.
    async fn repeat_bad(&self, number: u64, span: Duration) {
        let until = self.environment.recorder.now() + span;
        let mut rng = fastrand::Rng::with_seed(number);
        let mut asked = Vec::new();
        while self.environment.recorder.now() < until {
            let mut caller = Caller {
                environment: Arc::clone(&self.environment),
                pool: self.pool.clone(),
                starts: Arc::clone(&self.starts),
                stopped: Arc::default(),
                rng: rng.fork(),
                hot: false,
            };
            let instance = rng.usize(..self.starts.len());
            let sending = async move {
                // It is told when to come back, and does not heed it.
                let _ = caller.send(instance, RequestKind::Crashing(number)).await;
            };
            asked.push(self.executor.spawn(sending));
            Timer::after(BAD_EVERY).await;
        }
        for sending in asked {
            sending.await;
        }
    }
}

async fn misbehave(link: &Relay, mode: LinkMode, span: Duration) {
    link.set(Some(mode));
    if mode != LinkMode::BlackholesOpen {
        Timer::after(span).await;
    }
    link.set(None);
}
