//! Running the plan of a seed.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::Losses;
use crate::Plan;
use crate::ProcessSignal;
use crate::Recorder;
use crate::Shares;
use crate::Step;
use crate::Violation;
use crate::caller::Caller;
use crate::caller::LEAVES_ONE_IN;
use crate::environment::Environment;
use crate::judge::judge;
use crate::matters;

/// The time for which callers go on after the last fault.
const CALM_PERIOD: Duration = Duration::from_millis(4_500);
/// The time for an instance to become ready, or to stop, after which the soak fails.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval of the timer that measures the scheduling lag of this program.
const LAG_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The recorded attempts, requests and faults.
    pub recorder: Arc<Recorder>,
    /// The violated guarantees.
    pub violations: Vec<Violation>,
    /// How requests were served during cuts, and streams that callers took up.
    pub shares: Shares,
    /// Answers that were lost.
    pub losses: Losses,
    /// The largest scheduling lag of the callers and fakes, caused by a busy machine.
    pub lag: Duration,
}

/// Runs the steps of a plan.
pub(crate) struct Runner {
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) env: Arc<Environment>,
    pub(crate) fleet: Arc<dyn Fleet>,
    pub(crate) pool: HttpPool,
    pub(crate) starts: Arc<Vec<AtomicU32>>,
    /// Instances, upstreams and the store, in this order; true while a step holds them. Steps
    /// that need a held target are skipped.
    pub(crate) held: Vec<AtomicBool>,
    /// Instances that ended by themselves, or took more memory than they may.
    pub(crate) broken_bounds: Mutex<Vec<Violation>>,
    /// Callers that steps have started, and that may outlast them.
    pub(crate) callers: Mutex<Vec<Task<()>>>,
}

/// Runs a plan with `instances` processes of `fleet` on loopback addresses that begin
/// with `network`.
pub async fn soak(
    executor: &Arc<Executor<'static>>,
    plan: &Plan,
    fleet: Arc<dyn Fleet>,
    network: [u8; 3],
    instances: usize,
) -> io::Result<SoakReport> {
    let (versions, load) = (plan.has_versions(), plan.load());
    let env = Environment::start(executor, network, instances, versions, load)?;
    if let Some(count) = plan.page_items() {
        env.store.set_page_items(count);
    }
    let env = Arc::new(env);
    // The last entry is for the store.
    let held = instances + env.upstreams.len() + 1;
    let runner = Arc::new(Runner {
        executor: Arc::clone(executor),
        pool: HttpPool::new(Arc::clone(executor), Clock::start()),
        starts: Arc::new((0..instances).map(|_| AtomicU32::new(0)).collect()),
        held: (0..held).map(|_| AtomicBool::new(false)).collect(),
        broken_bounds: Mutex::default(),
        callers: Mutex::default(),
        env: Arc::clone(&env),
        fleet,
    });
    let ending = Arc::clone(&env).handle_crashes(Arc::clone(executor));
    executor.spawn(ending).detach();
    for n in 0..instances {
        runner.start(n);
    }
    for n in 0..instances {
        runner.until_ready(n).await?;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let lag = executor.spawn(measure_lag(Arc::clone(&env), Arc::clone(&stopped)));
    let callers = start_callers(executor, &runner, &stopped, plan);
    let began = env.recorder.now();
    let mut steps: Vec<Task<io::Result<()>>> = Vec::new();
    for step in &plan.steps {
        Timer::after((began + step.at).saturating_sub(env.recorder.now())).await;
        let (runner, step) = (Arc::clone(&runner), *step);
        steps.push(executor.spawn(async move { runner.run(step).await }));
    }
    Timer::after((began + plan.end()).saturating_sub(env.recorder.now())).await;
    for step in steps {
        step.await?;
    }
    let calm = env.recorder.now();
    Timer::after(CALM_PERIOD).await;
    stopped.store(true, Ordering::Relaxed);
    let started = std::mem::take(&mut *lock(&runner.callers));
    for caller in callers.into_iter().chain(started) {
        caller.await;
    }
    if plan.has_matters() {
        runner.check_bounds();
    }
    runner.end(instances).await?;
    let mut violations = judge(&env.recorder, calm, instances, load);
    violations.append(&mut lock(&runner.broken_bounds));
    if plan.has_matters() {
        violations.extend(matters::judge(&env.recorder, instances, load));
    }
    let shares = Shares::of(&env.recorder, instances);
    let losses = Losses::of(&env.recorder, load);
    let recorder = Arc::clone(&env.recorder);
    let lag = lag.await;
    Ok(SoakReport {
        recorder,
        violations,
        shares,
        losses,
        lag,
    })
}

/// Returns the largest delay of a timer of this program until `stopped` is set.
async fn measure_lag(env: Arc<Environment>, stopped: Arc<AtomicBool>) -> Duration {
    let mut most = Duration::ZERO;
    while !stopped.load(Ordering::Relaxed) {
        let began = env.recorder.now();
        Timer::after(LAG_INTERVAL).await;
        let took = env.recorder.now().saturating_sub(began);
        let lag = took.saturating_sub(LAG_INTERVAL);
        if lag >= LAG_INTERVAL {
            lock(&env.recorder.late).push((began, began + took));
        }
        most = most.max(lag);
    }
    most
}

fn start_callers(
    executor: &Arc<Executor<'static>>,
    runner: &Arc<Runner>,
    stopped: &Arc<AtomicBool>,
    plan: &Plan,
) -> Vec<Task<()>> {
    let load = plan.load();
    let count = runner.starts.len() * load.callers;
    let callers = (0..count as u64).map(|n| {
        let caller = Caller {
            env: Arc::clone(&runner.env),
            // Each caller has its own connections, as real callers do.
            pool: HttpPool::new(Arc::clone(executor), Clock::start()),
            starts: Arc::clone(&runner.starts),
            stopped: Arc::clone(stopped),
            rng: fastrand::Rng::with_seed(plan.seed.wrapping_mul(1_000) + n),
            hot: plan.has_hot(),
            takes_up: plan.takes_up(),
            prompts: plan.has_prompts(),
            leaves_one_in: LEAVES_ONE_IN,
            stay: None,
            load,
        };
        executor.spawn(caller.run())
    });
    callers.collect()
}

impl Runner {
    pub(crate) fn start(&self, n: usize) {
        self.starts[n].fetch_add(1, Ordering::Relaxed);
        self.fleet.start(n, &self.env.settings(n));
    }

    pub(crate) async fn until_ready(&self, n: usize) -> io::Result<()> {
        let until = self.env.recorder.now() + STATE_TIMEOUT;
        while self.env.recorder.now() < until {
            let mut req = Request::new(jd_net::empty());
            *req.uri_mut() = http::Uri::from_static("/v1/readyz");
            req.headers_mut()
                .insert("host", http::HeaderValue::from_static("ready"));
            let address = self.env.ready_at(n);
            let sent = self.pool.send(address, req, Duration::from_secs(1), true);
            if matches!(sent.await, Some(Ok(res)) if res.status.is_success()) {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!("instance {n} is not ready")))
    }

    pub(crate) async fn until_ended(&self, n: usize) -> io::Result<()> {
        let until = self.env.recorder.now() + STATE_TIMEOUT;
        while self.fleet.is_running(n) {
            if self.env.recorder.now() > until {
                return Err(io::Error::other(format!("instance {n} did not stop")));
            }
            Timer::after(POLL_INTERVAL).await;
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

    /// Runs a step and records the time that it lasted.
    async fn run(&self, step: Step) -> io::Result<()> {
        let instances = self.starts.len();
        let upstreams = self.env.upstreams.len();
        let held = match step.fault {
            Fault::Kill(n, _)
            | Fault::Stop(n)
            | Fault::Pause(n, _)
            | Fault::Alone(n, _)
            | Fault::OutOfStep(n, ..) => Some(n % instances),
            Fault::Drain(n)
            | Fault::DrainByAnswers(n)
            | Fault::ReplaceUpstream(n)
            | Fault::RestartUpstream(n)
            | Fault::Upgrade(n, _)
            | Fault::Limit(n, _, _) => Some(instances + n % upstreams),
            Fault::Restore(_) => Some(instances + upstreams),
            _ => None,
        };
        if held.is_some_and(|h| self.held[h].swap(true, Ordering::Relaxed)) {
            return Ok(());
        }
        let from = self.env.recorder.now();
        let target = self.target(step.fault);
        if let Fault::Drain(_) | Fault::Configure = step.fault {
            // The effect of these faults begins now and not at the end of the step.
            self.env.recorder.span(step.fault, from, from, &target);
        }
        let target = self.inject(step.fault).await?.unwrap_or(target);
        let to = self.env.recorder.now();
        self.env.recorder.span(step.fault, from, to, &target);
        if let Some(h) = held {
            self.held[h].store(false, Ordering::Relaxed);
        }
        Ok(())
    }

    /// The identity of the upstream that a fault concerns, or an empty string.
    fn target(&self, fault: Fault) -> String {
        let upstreams = &self.env.upstreams;
        match fault {
            Fault::Drain(n)
            | Fault::DrainByAnswers(n)
            | Fault::ReplaceUpstream(n)
            | Fault::RestartUpstream(n)
            | Fault::Upgrade(n, _)
            | Fault::Upstream(n, _, _)
            | Fault::UpstreamLink(n, _, _)
            | Fault::Limit(n, _, _) => upstreams[n % upstreams.len()].handler.fake().id(),
            _ => String::new(),
        }
    }
}
