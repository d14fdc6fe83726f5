//! Makes things go wrong.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use jd_backing::ListedState;
use jd_net::lock;
use jd_standins::KvFaults;
use jd_standins::UpstreamServer;
use jd_types::MemberState;

use crate::Fault;
use crate::callers::Callers;
use crate::tally::Tally;
use crate::world::ENTRIES;
use crate::world::Node;
use crate::world::World;

/// Pause between repeated small faults.
const AGAIN: Duration = Duration::from_millis(700);
/// How long a dead instance's place stays empty.
const REPLACE_AFTER: Duration = Duration::from_secs(1);
/// How long a paused instance stands still: longer than a lease.
const PAUSE: Duration = Duration::from_secs(7);
/// How much slower a slow upstream is.
const SLOWER: u32 = 9;
/// How old the lagging list is.
const LAG: Duration = Duration::from_secs(5);

/// One fault on its way.
pub(crate) struct Injector {
    pub(crate) world: Arc<World>,
    pub(crate) callers: Arc<Callers>,
    pub(crate) tally: Arc<Tally>,
    /// When it begins, from the start of the calls.
    pub(crate) after: Duration,
    /// How long it lasts.
    pub(crate) lasts: Duration,
}

impl Injector {
    /// Carries out one fault and heals it; returns how often it did bite, for
    /// faults that the injector itself counts.
    pub(crate) async fn carry_out(self, fault: Fault) -> u64 {
        Timer::after(self.after).await;
        match fault {
            Fault::StoreOutage => self.kv_fault(|f| f.down = true, |f| f.down = false).await,
            Fault::StoreSlow => {
                self.kv_fault(|f| f.delay_ms = 300, |f| f.delay_ms = 0)
                    .await
            }
            Fault::LostAnswers => self.again(|f| f.lose_answers += 2).await,
            Fault::LapsedLeases => self.again(|f| f.lapse_leases = true).await,
            Fault::MissedWatches => self.again(|f| f.miss_watches += 2).await,
            Fault::ListLag => self.list_lag().await,
            Fault::ListWrong => self.list_wrong().await,
            Fault::UpstreamSlow => {
                self.upstreams(
                    |u| u.faults().set_slower(SLOWER),
                    |u| u.faults().set_slower(0),
                )
                .await
            }
            Fault::UpstreamFailing => {
                let bad = |u: &UpstreamServer| u.faults().set_fail_percent(50);
                self.upstreams(bad, |u| u.faults().set_fail_percent(0))
                    .await
            }
            Fault::UpstreamLeaving => self.leave_some(),
            Fault::SilentConnections => {
                let silence = |u: &UpstreamServer| u.faults().set_silent_below(u.connections() + 1);
                self.upstreams(silence, |_| {}).await
            }
            Fault::CrossedAnswers => {
                let bad = |u: &UpstreamServer| u.faults().set_cross_percent(20);
                self.upstreams(bad, |u| u.faults().set_cross_percent(0))
                    .await
            }
            Fault::LateAnswers => {
                let bad = |u: &UpstreamServer| u.faults().set_late_percent(20);
                self.upstreams(bad, |u| u.faults().set_late_percent(0))
                    .await
            }
            Fault::TruncatedStreams => {
                self.truncate(20);
                Timer::after(self.lasts).await;
                self.truncate(0);
                0
            }
            Fault::EntryCrash => self.crash(1).await,
            Fault::HallLoss => self.crash(ENTRIES / 3).await,
            Fault::EntryPause => self.pause().await,
            Fault::RollingReplace => self.roll().await,
            Fault::OperatorRace => self.tally.counts().changes_lost,
            Fault::Burst => self.burst().await,
        }
    }

    async fn kv_fault(&self, begin: fn(&mut KvFaults), end: fn(&mut KvFaults)) -> u64 {
        self.set_kv(begin);
        Timer::after(self.lasts).await;
        self.set_kv(end);
        0
    }

    async fn again(&self, fault: fn(&mut KvFaults)) -> u64 {
        let mut left = self.lasts;
        while !left.is_zero() {
            self.set_kv(fault);
            Timer::after(AGAIN).await;
            left = left.saturating_sub(AGAIN);
        }
        self.set_kv(|f| {
            f.lose_answers = 0;
            f.miss_watches = 0;
        });
        0
    }

    fn set_kv(&self, change: fn(&mut KvFaults)) {
        self.world.platform.with_kv(|kv| {
            let mut faults = kv.faults();
            change(&mut faults);
            kv.set_faults(faults);
        });
    }

    async fn list_lag(&self) -> u64 {
        self.world.platform.with_list(|x| x.set_lag(LAG));
        self.leave_some();
        Timer::after(self.lasts).await;
        self.world.platform.with_list(|x| x.set_lag(Duration::ZERO));
        0
    }

    async fn list_wrong(&self) -> u64 {
        let half = self
            .world
            .upstreams
            .iter()
            .step_by(2)
            .map(UpstreamServer::address)
            .collect();
        self.world.platform.with_list(|x| x.set_hidden(half));
        Timer::after(self.lasts).await;
        self.world.platform.with_list(|x| x.set_hidden(Vec::new()));
        0
    }

    /// Does something to the first upstream of each pool, and undoes it.
    async fn upstreams(&self, begin: fn(&UpstreamServer), end: fn(&UpstreamServer)) -> u64 {
        let firsts: Vec<&UpstreamServer> = self.firsts().collect();
        firsts.iter().for_each(|u| begin(u));
        Timer::after(self.lasts).await;
        firsts.iter().for_each(|u| end(u));
        0
    }

    /// Every second engine, since prefixes may keep all work from a single one.
    fn truncate(&self, percent: u32) {
        let engines = self
            .world
            .upstreams
            .iter()
            .filter(|u| u.spec().model.is_some());
        engines
            .step_by(2)
            .for_each(|u| u.faults().set_truncate_percent(percent));
    }

    fn firsts(&self) -> impl Iterator<Item = &UpstreamServer> {
        let pools = self.world.deployment.pools;
        pools
            .iter()
            .filter_map(|p| self.world.pool(p.name).first().copied())
    }

    fn leave_some(&self) -> u64 {
        /// Smaller pools keep all their upstreams.
        const LARGER: usize = 4;
        let mut left = 0;
        for pool in self
            .world
            .deployment
            .pools
            .iter()
            .filter(|p| p.count >= LARGER)
        {
            if let Some(upstream) = self.world.pool(pool.name).last() {
                self.world.leave(upstream);
                left += 1;
            }
        }
        left
    }

    /// Kills instances of the first hall, one after another without a pause.
    async fn crash(&self, count: usize) -> u64 {
        let hall = self.world.deployment.halls[0];
        let nodes = self.world.nodes();
        let victims: Vec<Arc<Node>> = nodes
            .into_iter()
            .filter(|n| n.hall == hall)
            .take(count)
            .collect();
        for victim in &victims {
            victim.kill().await;
        }
        Timer::after(REPLACE_AFTER).await;
        for victim in &victims {
            self.world.remove_node(victim);
            self.add(victim.hall);
        }
        victims.len() as u64
    }

    async fn pause(&self) -> u64 {
        // The one that holds a duty, if any does, has most to get wrong.
        let nodes = self.world.nodes();
        let Some(node) = nodes
            .iter()
            .find(|n| n.entry.holds_duty())
            .or(nodes.first())
        else {
            return 0;
        };
        node.runs.store(false, Ordering::Relaxed);
        node.workers.suspend();
        Timer::after(PAUSE).await;
        if let Err(e) = node.workers.resume() {
            log::error!(error:% = e; "could not go on");
        }
        node.runs.store(true, Ordering::Relaxed);
        1
    }

    async fn roll(&self) -> u64 {
        let mut count = 0;
        for node in self.world.nodes() {
            self.replace(&node).await;
            count += 1;
        }
        count
    }

    /// Replaces one instance: first the new one serves, then the old one stops.
    async fn replace(&self, node: &Arc<Node>) {
        const LOOK_EVERY: Duration = Duration::from_millis(20);
        if let Some(fresh) = self.add(node.hall) {
            while fresh.entry.state() == MemberState::Starting {
                Timer::after(LOOK_EVERY).await;
            }
        }
        let now = self.world.clock.now();
        let (peers, leaving) = (node.entry.peers(), ListedState::Leaving);
        self.world
            .platform
            .with_list(|x| x.set_state(now, peers, leaving));
        lock(&self.world.nodes).retain(|n| !Arc::ptr_eq(n, node));
        node.entry.stop().await;
        self.world.remove_node(node);
        node.workers.suspend();
    }

    fn add(&self, hall: &'static str) -> Option<Arc<Node>> {
        match self.world.add_node(hall) {
            Ok(node) => Some(node),
            Err(e) => {
                log::error!(error:% = e; "no replacement");
                None
            }
        }
    }

    async fn burst(&self) -> u64 {
        const TIMES: u32 = 5;
        let before = self.tally.counts().issued;
        self.callers.burst.store(TIMES, Ordering::Relaxed);
        Timer::after(self.lasts).await;
        self.callers.burst.store(1, Ordering::Relaxed);
        self.tally.counts().issued - before
    }
}
