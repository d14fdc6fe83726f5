//! Upstreams that restart, crash, or are replaced.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use jd_net::lock;

use crate::LinkMode;
use crate::UpstreamEnd;
use crate::environment::Environment;
use crate::environment::READ_DELAY;
use crate::environment::Upstream;
use crate::environment::VERSIONS;
use crate::environment::new_id;
use crate::environment::unix_time_ms;

/// The time for which a restarting upstream is down.
const RESTART_DOWNTIME: Duration = Duration::from_millis(150);
/// The time from the start of a crashing request to the crash of its upstream.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// The time in which the connections of a crashed upstream are reset.
const RESET_TIME: Duration = Duration::from_millis(25);
/// The time from a crash to the replacement of the upstream. The entries of the users'
/// upstreams remain for that long.
pub(crate) const CRASH_DOWNTIME: Duration = Duration::from_millis(900);

impl Environment {
    /// Replaces an upstream by one with a new identity at the same address.
    pub(crate) fn replace(&self, upstream: &Upstream) {
        let fake = upstream.handler.fake();
        let old = std::mem::replace(&mut *lock(&fake.id), new_id());
        fake.draining.store(false, Ordering::Relaxed);
        fake.announces_leaving.store(false, Ordering::Relaxed);
        self.store.remove(&format!("servers/{old}"));
        self.register(upstream);
    }

    /// Replaces an upstream by one of the other software version, under its identity or another
    /// one. Its connections are lost.
    pub(crate) async fn upgrade(&self, upstream: &Upstream, keeps_identity: bool) {
        upstream.link.set(Some(LinkMode::Resets));
        Timer::after(RESTART_DOWNTIME).await;
        let fake = upstream.handler.fake();
        {
            let mut software = lock(&fake.software);
            let other = VERSIONS.into_iter().find(|v| *v != *software);
            *software = other.unwrap_or(VERSIONS[0]);
        }
        fake.started_ms.store(unix_time_ms(), Ordering::Relaxed);
        match keeps_identity {
            true => self.register(upstream),
            false => self.replace(upstream),
        }
        // Until the new entry has been read, requests are taken for those of the earlier version.
        Timer::after(READ_DELAY).await;
        upstream.link.set(None);
    }

    /// Restarts an upstream under its identity. Its connections and held results are lost.
    pub(crate) async fn restart(&self, upstream: &Upstream) {
        upstream.link.set(Some(LinkMode::Resets));
        upstream
            .handler
            .fake()
            .results
            .drop_all(upstream.link.address());
        Timer::after(RESTART_DOWNTIME).await;
        upstream
            .handler
            .fake()
            .started_ms
            .store(unix_time_ms(), Ordering::Relaxed);
        self.register(upstream);
        upstream.link.set(None);
    }

    /// Crashes the upstreams that executed a crashing request. Each is later replaced by an
    /// upstream with another identity.
    pub(crate) async fn handle_crashes(self: Arc<Self>, executor: Arc<Executor<'static>>) {
        let mut ended = HashSet::new();
        while let Ok(id) = self.ended.recv().await {
            // Several requests may crash the same upstream.
            if !ended.insert(id.clone()) {
                continue;
            }
            let env = Arc::clone(&self);
            let ending = async move {
                let mut upstreams = env.upstreams.iter();
                if let Some(upstream) = upstreams.find(|p| p.handler.fake().id() == id) {
                    env.end(upstream).await;
                }
            };
            executor.spawn(ending).detach();
        }
    }

    /// Crashes every other upstream at the same moment.
    pub(crate) async fn lose_power(&self, first: usize) {
        let lost = || self.upstreams.iter().skip(first % 2).step_by(2);
        for upstream in lost() {
            upstream.link.set(Some(LinkMode::Refuses));
        }
        Timer::after(CRASH_DOWNTIME).await;
        for upstream in lost() {
            self.replace(upstream);
            upstream.link.set(None);
        }
    }

    async fn end(&self, upstream: &Upstream) {
        Timer::after(CRASH_DELAY).await;
        let downtime = *lock(&self.crash_downtime);
        let accepts = match *lock(&self.upstream_end) {
            UpstreamEnd::Refuses => None,
            UpstreamEnd::Closes => Some((LinkMode::Resets, downtime)),
            UpstreamEnd::ClosesFor(time) => Some((LinkMode::Resets, time)),
            UpstreamEnd::HoldsFor(time) => Some((LinkMode::Blackholes, time)),
        };
        if let Some((mode, time)) = accepts {
            upstream.link.set(Some(LinkMode::Resets));
            Timer::after(RESET_TIME).await;
            upstream.link.set(Some(mode));
            Timer::after(time).await;
        }
        upstream.link.set(Some(LinkMode::Refuses));
        Timer::after(downtime).await;
        self.replace(upstream);
        upstream.link.set(None);
    }
}
