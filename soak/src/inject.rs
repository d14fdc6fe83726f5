//! Injecting the faults of a plan.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use jd_net::lock;

use crate::Crowd;
use crate::Fault;
use crate::LinkMode;
use crate::ProcessSignal;
use crate::RequestKind;
use crate::UpstreamMode;
use crate::Violation;
use crate::caller::Caller;
use crate::caller::LEAVES_ONE_IN;
use crate::run::Runner;
use crate::turns::Load;

/// The time for which an instance is partitioned from the store while a credential is
/// revoked: the users' bound on revocations, and time to observe the instance beyond it.
const PARTITION_DURATION: Duration = Duration::from_millis(7_500);
/// The seed of the first sender of requests with a crashing part. Those of crashing requests are
/// lower; equal ones would send requests of the same identities.
const FIRST_PART_SEED: u64 = 1_000;
/// The interval between two sends of a crashing request.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

impl Runner {
    /// Kills all instances that no other step holds, and restarts them together.
    async fn kill_all(&self, down: Duration) -> io::Result<()> {
        let all = 0..self.starts.len();
        let free = all.filter(|n| !self.held[*n].swap(true, Ordering::Relaxed));
        let free: Vec<usize> = free.collect();
        self.kill(&free).await?;
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

    /// Kills instances, and returns once they have ended.
    pub(crate) async fn kill(&self, instances: &[usize]) -> io::Result<()> {
        for n in instances {
            self.fleet.signal(*n, ProcessSignal::Kill);
        }
        for n in instances {
            self.until_ended(*n).await?;
        }
        Ok(())
    }

    /// Injects a fault, until its effect ends. Returns what it concerned, if that is known only then.
    pub(crate) async fn inject(&self, fault: Fault) -> io::Result<Option<String>> {
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
            Fault::OddEntry(seed) => self.env.leave_odd_entry(seed),
            Fault::Upstream(n, mode, span) => {
                let fake = upstream(n).handler.fake();
                *lock(&fake.mode) = Some(mode);
                Timer::after(span).await;
                *lock(&fake.mode) = None;
                if matches!(mode, UpstreamMode::Endless(_)) {
                    self.check_bounds();
                }
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
                Timer::after(self.env.load.drain).await;
                self.env.replace(upstream(n));
            }
            Fault::DrainByAnswers(n) => {
                let fake = upstream(n).handler.fake();
                fake.announces_leaving.store(true, Ordering::Relaxed);
                Timer::after(self.env.load.drain).await;
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
                self.repeat_crashing(kind, number, span, None).await;
            }
            Fault::CrashingCopies(number, seed, span) => {
                let kind = RequestKind::Crashing(number);
                self.repeat_crashing(kind, seed, span, None).await;
            }
            Fault::CrashDowntime(time) => *lock(&self.env.crash_downtime) = time,
            Fault::LeavingCallers(number, stay, span) => {
                let kind = RequestKind::Crashing(number);
                self.repeat_crashing(kind, number, span, Some(stay)).await;
            }
            Fault::UpstreamEnds(end) => *lock(&self.env.upstream_end) = end,
            Fault::CrashingPart(number, span) => {
                let kind = RequestKind::CrashingPart(number);
                let seed = FIRST_PART_SEED + number;
                self.repeat_crashing(kind, seed, span, None).await;
            }
            Fault::LosePower(n) => self.env.lose_power(n).await,
            Fault::Crowd(n, misbehaviour, count, span) => {
                let n = n % instances;
                let server = self.env.callers_at(n);
                let limit = self.env.load.body_bytes;
                let crowd = Crowd::start(&self.executor, server, misbehaviour, count, limit, true);
                Timer::after(span).await;
                drop(crowd);
                self.check_memory(n)?;
            }
            Fault::LateCallers(n, seed) => self.send_late(n % instances, seed).await?,
            Fault::Alone(n, span) => self.leave_alone(n % instances, span).await,
            Fault::AloneInTurn(count, span) => self.start_in_turn(count, span).await?,
            Fault::OutOfStep(n, upstream, [paused, alone]) => {
                self.put_out_of_step(n % instances, upstream, paused, alone)
                    .await;
            }
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

    /// Records instances that no step holds and that have ended, and those that have had more memory
    /// than they may.
    pub(crate) fn check_bounds(&self) {
        for n in 0..self.starts.len() {
            let is_held = self.held[n].load(Ordering::Relaxed);
            let broken = match self.check_memory(n) {
                Err(e) => e.to_string(),
                Ok(()) if !is_held && !self.fleet.is_running(n) => {
                    format!("instance {n} ended by itself")
                }
                Ok(()) => continue,
            };
            lock(&self.broken_bounds).push(Violation {
                guarantee: "processes live within their memory",
                detail: broken,
            });
        }
    }

    /// Fails if an instance has had more memory than it may.
    fn check_memory(&self, n: usize) -> io::Result<()> {
        let allowed = self.env.load.memory_mb * 1_000_000;
        match self.fleet.peak_bytes(n) {
            Some(peak) if peak > allowed => Err(io::Error::other(format!(
                "instance {n} took {peak} of {allowed} bytes"
            ))),
            _ => Ok(()),
        }
    }

    /// Sends crashing requests of a kind to random instances, without waiting for answers. Their callers
    /// leave after `stay`, if it is given.
    async fn repeat_crashing(
        &self,
        kind: RequestKind,
        seed: u64,
        span: Duration,
        stay: Option<Duration>,
    ) {
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
                leaves_one_in: LEAVES_ONE_IN,
                stay,
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
