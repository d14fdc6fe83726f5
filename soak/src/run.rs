//! Running the plan of a seed.

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
use crate::Shares;
use crate::Step;
use crate::Violation;
use crate::caller::Caller;
use crate::environment::Environment;
use crate::judge::judge;
use crate::turns::Load;

/// The time for which callers go on after the last fault.
const CALM_PERIOD: Duration = Duration::from_millis(4_500);
/// The time for an instance to become ready, or to stop, after which the soak fails.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time for which an instance is partitioned from the store while a credential is
/// revoked: the users' bound on revocations, and time to observe the instance beyond it.
const PARTITION_DURATION: Duration = Duration::from_millis(7_500);
/// The interval of the timer that measures the scheduling lag of this program.
const LAG_INTERVAL: Duration = Duration::from_millis(50);
/// The seed of the first sender of requests with a crashing part. Those of crashing requests are
/// lower; equal ones would send requests of the same identities.
const FIRST_PART_SEED: u64 = 1_000;
/// The interval between two sends of a crashing request.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// The time from an upstream's leaving notice to its replacement.
const DRAIN_DURATION: Duration = Duration::from_millis(5_000);

/// The result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// The recorded attempts, requests and faults.
    pub recorder: Arc<Recorder>,
    /// The violated guarantees.
    pub violations: Vec<Violation>,
    /// How requests were served during cuts, and streams that callers took up.
    pub shares: Shares,
    /// The largest scheduling lag of the callers and fakes, caused by a busy machine.
    pub lag: Duration,
}

/// Runs the steps of a plan.
struct Runner {
    executor: Arc<Executor<'static>>,
    env: Arc<Environment>,
    fleet: Arc<dyn Fleet>,
    pool: HttpPool,
    starts: Arc<Vec<AtomicU32>>,
    /// Instances, upstreams and the store, in this order; true while a step holds them. Steps
    /// that need a held target are skipped.
    held: Vec<AtomicBool>,
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
    let env = Arc::new(env);
    // The last entry is for the store.
    let held = instances + env.upstreams.len() + 1;
    let runner = Arc::new(Runner {
        executor: Arc::clone(executor),
        pool: HttpPool::new(Arc::clone(executor), Clock::start()),
        starts: Arc::new((0..instances).map(|_| AtomicU32::new(0)).collect()),
        held: (0..held).map(|_| AtomicBool::new(false)).collect(),
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
    for caller in callers {
        caller.await;
    }
    runner.end(instances).await?;
    let violations = judge(&env.recorder, calm, instances, load);
    let shares = Shares::of(&env.recorder, instances);
    let recorder = Arc::clone(&env.recorder);
    let lag = lag.await;
    Ok(SoakReport {
        recorder,
        violations,
        shares,
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
        most = most.max(took.saturating_sub(LAG_INTERVAL));
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
            takes_up: plan.has_versions(),
            prompts: plan.has_prompts(),
            load,
        };
        executor.spawn(caller.run())
    });
    callers.collect()
}

impl Runner {
    fn start(&self, n: usize) {
        self.starts[n].fetch_add(1, Ordering::Relaxed);
        self.fleet.start(n, &self.env.settings(n));
    }

    async fn until_ready(&self, n: usize) -> io::Result<()> {
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

    async fn until_ended(&self, n: usize) -> io::Result<()> {
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
            Fault::Kill(n, _) | Fault::Stop(n) | Fault::Pause(n, _) => Some(n % instances),
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
            | Fault::Limit(n, _, _) => upstreams[n % upstreams.len()].handler.fake().id(),
            _ => String::new(),
        }
    }

    /// Kills all instances that no other step holds, and restarts them together.
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

    async fn inject(&self, fault: Fault) -> io::Result<Option<String>> {
        let instances = self.starts.len();
        let upstreams = &self.env.upstreams;
        let upstream = |n: usize| &upstreams[n % upstreams.len()];
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
                *lock(&self.env.store.mode) = Some(mode);
                Timer::after(span).await;
                *lock(&self.env.store.mode) = None;
            }
            Fault::Compact => lock(&self.env.store.records).compact(),
            Fault::Upstream(n, mode, span) => {
                let fake = upstream(n).handler.fake();
                *lock(&fake.mode) = Some(mode);
                Timer::after(span).await;
                *lock(&fake.mode) = None;
            }
            Fault::Limit(n, per_s, span) => {
                let fake = upstream(n).handler.fake();
                *lock(&fake.limit) = Some(per_s);
                Timer::after(span).await;
                *lock(&fake.limit) = None;
            }
            Fault::UpstreamLink(n, mode, span) => upstream(n).link.fail(mode, span).await,
            Fault::StoreLink(n, mode, span) => {
                self.env.store_links[n % instances].fail(mode, span).await;
            }
            Fault::UpstreamsCut(n, mode, span) => {
                let links = &self.env.instance_links[n % instances];
                links.set(Some(mode));
                Timer::after(span).await;
                links.set(None);
            }
            Fault::ForwardsCut(n, mode, span) => {
                let links = &self.env.instance_links[n % instances];
                links.set_forwards(Some(mode));
                Timer::after(span).await;
                links.set_forwards(None);
            }
            Fault::Drain(n) => {
                let fake = upstream(n).handler.fake();
                fake.draining.store(true, Ordering::Relaxed);
                self.env.register(upstream(n));
                Timer::after(DRAIN_DURATION).await;
                self.env.replace(upstream(n));
            }
            Fault::DrainByAnswers(n) => {
                let fake = upstream(n).handler.fake();
                fake.announces_leaving.store(true, Ordering::Relaxed);
                Timer::after(DRAIN_DURATION).await;
                self.env.replace(upstream(n));
            }
            Fault::Restore(age) => {
                let copy = lock(&self.env.store.records).clone();
                Timer::after(age).await;
                self.env.restore(copy).await;
            }
            Fault::ReplaceUpstream(n) => self.env.replace(upstream(n)),
            Fault::RestartUpstream(n) => self.env.restart(upstream(n)).await,
            Fault::Upgrade(n, keeps_identity) => {
                self.env.upgrade(upstream(n), keeps_identity).await;
            }
            Fault::CrashingRequest(number, span) => {
                let kind = RequestKind::Crashing(number);
                self.repeat_crashing(kind, number, span).await;
            }
            Fault::CrashingPart(number, span) => {
                let kind = RequestKind::CrashingPart(number);
                let seed = FIRST_PART_SEED + number;
                self.repeat_crashing(kind, seed, span).await;
            }
            Fault::LosePower(n) => self.env.lose_power(n).await,
            Fault::Configure => return Ok(Some(self.env.configure().to_string())),
            Fault::Revoke => return Ok(Some(self.env.revoke().unwrap_or("").into())),
            Fault::RevokeDuringPartition(n) => {
                let link = &self.env.store_links[n % instances];
                link.set(Some(LinkMode::Blackholes));
                let from = self.env.recorder.now();
                let key = self.env.revoke().unwrap_or("");
                self.env.recorder.span(Fault::Revoke, from, from, key);
                Timer::after(PARTITION_DURATION).await;
                link.set(None);
            }
        }
        Ok(None)
    }

    /// Sends crashing requests of a kind to random instances, without waiting for answers.
    async fn repeat_crashing(&self, kind: RequestKind, seed: u64, span: Duration) {
        let until = self.env.recorder.now() + span;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sends = Vec::new();
        while self.env.recorder.now() < until {
            let mut caller = Caller {
                env: Arc::clone(&self.env),
                pool: self.pool.clone(),
                starts: Arc::clone(&self.starts),
                stopped: Arc::default(),
                rng: rng.fork(),
                hot: false,
                takes_up: false,
                prompts: matches!(kind, RequestKind::CrashingPart(_)),
                load: Load::LIGHT,
            };
            let instance = rng.usize(..self.starts.len());
            let sending = async move {
                // This caller deliberately ignores `Retry-After`.
                let _ = caller.send(instance, kind).await;
            };
            sends.push(self.executor.spawn(sending));
            Timer::after(CRASHING_REQUEST_INTERVAL).await;
        }
        for sending in sends {
            sending.await;
        }
    }
}
