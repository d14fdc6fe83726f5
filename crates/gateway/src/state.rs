//! What all parts of the gateway share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use async_executor::Executor;
use compact_str::CompactString;
use event_listener::Event;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::lock;
use jd_serving::ColdSpec;
use jd_serving::Content;
use jd_serving::FleetPosition;
use jd_serving::InstanceEntry;
use jd_serving::RecentShards;
use jd_serving::RetryBudget;
use jd_serving::RetryLimit;
use jd_serving::Router;
use jd_serving::Shard;
use jd_serving::ShardMap;
use jd_serving::SourceHealth;
use jd_serving::StoreRevision;
use jd_serving::UpdateSource;
use jd_serving::rank_owners;
use jd_serving::update_source;
use jd_settings::GatewaySettings;
use jd_types::MonoTime;
use jd_types::spread;
use jd_types::spread_address;

use crate::Dialect;
use crate::knowledge::Knowledge;
use crate::latch::Latch;
use crate::limiters::Limiters;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::notices::Notices;
use crate::peer_channels::PeerChannels;
use crate::peer_replication::PackedSnapshots;
use crate::quarantine::Quarantine;
use crate::run_events::RunEvent;
use crate::run_events::UpstreamRef;
use crate::send_gate::SendGate;
use crate::signal::Signal;
use crate::turns::Turns;
use crate::upstream_table::Limited;
use crate::upstream_table::SendCheck;
use crate::upstream_table::UpstreamTable;

/// How long an owner's word on its backlog counts: three heartbeats.
const BACKLOG_LASTS: Duration = Duration::from_millis(1_200);
/// Owners of a shard, limiters of an upstream or coordinators of the quarantine that are
/// asked one after the other.
const MAX_OWNERS: usize = 3;

/// What all parts of the gateway share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) gate: SendGate,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) me: InstanceEntry,
    pub(crate) router: ArcSwapOption<Router>,
    pub(crate) upstreams: ArcSwap<UpstreamTable>,
    pub(crate) shards: ArcSwap<ShardMap>,
    used_shards: Mutex<RecentShards>,
    pub(crate) metrics: Metrics,
    /// What is held against requests.
    pub(crate) quarantine: Quarantine,
    /// What upstreams say of how much they take, permits for those that name a limit, and
    /// when to ask for these again.
    pub(crate) limits: Limits,
    pub(crate) limiters: Limiters,
    pub(crate) turns: Turns,
    /// Which upstreams want nothing from this instance for a while.
    pub(crate) notices: Notices,
    pub(crate) channels: PeerChannels,
    /// Signals that other instances are to be told something at once.
    pub(crate) beat_soon: Arc<Signal>,
    /// Signals that proof is to be asked for at once, and that the store is back.
    pub(crate) proof_wanted: Signal,
    pub(crate) store_back: Signal,
    /// Signals that another instance wants to hear everything while this one has read
    /// nothing.
    pub(crate) all_wanted: Signal,
    /// Signals that this instance's entry was removed although it is there.
    pub(crate) entry_gone: Signal,
    /// Tells those that follow this instance that there is news.
    pub(crate) news: Event,
    /// What is told to instances that start.
    pub(crate) packed: Mutex<PackedSnapshots>,
    /// Set once it is known which instances the store lists.
    pub(crate) listed: Latch,
    knowledge: Mutex<Knowledge>,
    budgets: Mutex<HashMap<CompactString, RetryBudget>>,
    leaving: AtomicBool,
    in_flight: AtomicUsize,
}

impl State {
    pub(crate) fn new(
        settings: GatewaySettings,
        clock: Clock,
        executor: Arc<Executor<'static>>,
        pool: HttpPool,
        dialect: Arc<dyn Dialect>,
        me: InstanceEntry,
    ) -> State {
        let beat_soon = Arc::new(Signal::new());
        let channels = PeerChannels::new(Arc::clone(&executor));
        State {
            settings,
            clock,
            executor,
            gate: SendGate::new(pool),
            dialect,
            me,
            router: ArcSwapOption::empty(),
            upstreams: ArcSwap::default(),
            shards: ArcSwap::default(),
            used_shards: Mutex::default(),
            metrics: Metrics::new(),
            quarantine: Quarantine::new(Arc::clone(&beat_soon)),
            limits: Limits::new(Arc::clone(&beat_soon)),
            limiters: Limiters::default(),
            turns: Turns::default(),
            notices: Notices::default(),
            channels,
            beat_soon,
            proof_wanted: Signal::new(),
            store_back: Signal::new(),
            all_wanted: Signal::new(),
            entry_gone: Signal::new(),
            news: Event::new(),
            packed: Mutex::default(),
            listed: Latch::default(),
            knowledge: Mutex::default(),
            budgets: Mutex::default(),
            leaving: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub(crate) fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        lock(&self.knowledge)
    }

    /// How old the newest proof is that nothing in force is missing here.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.knowledge().freshness.age(self.now())
    }

    /// For how long there has been no proof, at most since others were known from whom
    /// it might have come.
    pub(crate) fn without_proof(&self) -> Duration {
        let now = self.now();
        let knowledge = self.knowledge();
        let since = knowledge.listed_at.unwrap_or(now);
        knowledge.freshness.age(now).unwrap_or(now.since(since))
    }

    /// True if this instance has no way to the store, neither its own nor another's.
    pub(crate) fn has_lost_store(&self) -> bool {
        let now = self.now();
        let knowledge = self.knowledge();
        let own = knowledge.source_state(now, self.me.incarnation);
        own == SourceHealth::StoreUnavailable || knowledge.upstreams.is_store_unavailable()
    }

    /// True while requests may be sent on the strength of what is known here.
    pub(crate) fn is_fresh(&self) -> bool {
        self.proof_age()
            .is_some_and(|age| age < self.settings.proof_lifetime)
    }

    /// True if callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.router.load().is_some() && self.is_fresh()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// How long pieces wait at the owner of a shard, as it last said. Old news is
    /// none: an owner that is silent is not avoided for what it said before.
    pub(crate) fn backlog(&self, shard: &Shard) -> Option<Duration> {
        let now = self.now();
        let knowledge = self.knowledge();
        match knowledge.backlogs.get(shard) {
            Some((heard, wait)) if now.since(*heard) < BACKLOG_LASTS => Some(*wait),
            _ => None,
        }
    }

    /// The addresses of the first few instances in the order in which they are asked to
    /// run stages. One that has just started anew goes on where its earlier start was.
    pub(crate) fn owner_order(&self, shard: &Shard) -> Vec<SocketAddr> {
        let now = self.now();
        let knowledge = self.knowledge();
        let others = knowledge.instances.live_loaded(now);
        let own = (!self.is_leaving()).then_some(&self.me);
        let order = rank_owners(shard, others.chain(own), MAX_OWNERS);
        order.into_iter().map(|e| e.peer_address).collect()
    }

    /// Stages of a shard are asked for or done here, so that its owners are watched from
    /// now on.
    pub(crate) fn use_shard(&self, shard: &Shard) {
        if lock(&self.used_shards).record_use(self.now(), shard) {
            self.beat_soon.give();
        }
    }

    /// The shards whose owners are watched.
    pub(crate) fn watched_shards(&self) -> Vec<Shard> {
        lock(&self.used_shards).monitored(self.now(), &self.shards.load())
    }

    /// The instances that coordinate the quarantine, the one that decides
    /// first. They are the ones that read the store for the others.
    pub(crate) fn coordinators(&self) -> Vec<SocketAddr> {
        self.owner_order(&Shard {
            zone: None,
            part: 0,
            parts: 1,
        })
    }

    /// True if this instance is the one that is asked first.
    pub(crate) fn owns(&self, shard: &Shard) -> bool {
        let known = self.shards.load().contains(shard);
        known && self.owner_order(shard).first() == Some(&self.me.peer_address)
    }

    /// From whom this instance hears what the store holds.
    pub(crate) fn news_source(&self) -> UpdateSource {
        let now = self.now();
        let knowledge = self.knowledge();
        let state = |id| knowledge.source_state(now, id);
        update_source(&self.me, knowledge.instances.live(now), state)
    }

    /// True once everything that the store holds has been read.
    pub(crate) fn has_read(&self) -> bool {
        self.knowledge().mirror.revision() > StoreRevision::ZERO
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// Instances that take callers, this one included.
    pub(crate) fn instance_count(&self) -> u32 {
        let now = self.now();
        let live = self.knowledge().instances.live(now).count();
        u32::try_from(live + 1).unwrap_or(u32::MAX)
    }

    /// This instance's place among all that are listed, for the upstream at an
    /// address. By addresses, which outlive a start, and by all that are listed, so
    /// that an instance that has just heard of the others does not take itself for
    /// alone.
    pub(crate) fn fleet_place(&self, upstream: SocketAddr) -> FleetPosition {
        let turn = |peers: SocketAddr| spread(spread_address(peers) ^ spread_address(upstream));
        let own = turn(self.me.peer_address);
        let knowledge = self.knowledge();
        let mut place = FleetPosition {
            rank: 0,
            fleet_size: 1,
        };
        for other in knowledge.instances.entries() {
            place.fleet_size += 1;
            place.rank += u32::from(turn(other.peer_address) < own);
        }
        place
    }

    /// What the upstreams of a service bear while they are cold; none where that is
    /// not bounded.
    pub(crate) fn cold_spec(&self, service: &str) -> Option<ColdSpec> {
        let router = self.router.load();
        router.as_ref()?.service(service)?.cold
    }

    /// What a choice for a service asks of upstreams.
    pub(crate) fn send_check(&self, service: &str) -> SendCheck<'_> {
        SendCheck {
            cold: self.cold_spec(service),
            limited: Limited::Asked,
            state: self,
        }
    }

    /// A choice that asks nothing of them: nothing is sent on the strength of it.
    pub(crate) fn no_check(&self) -> SendCheck<'_> {
        SendCheck {
            cold: None,
            limited: Limited::Any,
            state: self,
        }
    }

    /// A request goes to a service for the first time.
    pub(crate) fn first_send(&self, service: &str) {
        let bound = self.repeat_bound();
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        budgets
            .entry(service.into())
            .or_default()
            .record_first_attempt(now, &bound);
    }

    /// True if a request may go to a service once more.
    pub(crate) fn may_repeat(&self, service: &str) -> bool {
        let bound = self.repeat_bound();
        let instances = self.instance_count() as usize;
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.into()).or_default();
        let allowed = budget.try_retry(now, &bound, instances);
        self.metrics.repeat(allowed);
        allowed
    }

    /// True if the upstreams of a service work on pieces of stages.
    pub(crate) fn does_stages(&self, service: &str) -> bool {
        let router = self.router.load();
        let mut services = router.iter().flat_map(|r| r.services());
        services.any(|s| s.name == service && s.batch.is_some())
    }

    /// The connection of a run broke before its end. Nothing is held against its request
    /// where its upstream was to leave: that was to come.
    pub(crate) fn run_broke(&self, upstream: UpstreamRef, content: Content, began: MonoTime) {
        if self.upstreams.load().start_of(&upstream.upstream).is_none() {
            return;
        }
        self.quarantine.run_events.add(RunEvent::Broke {
            at: self.now(),
            upstream,
            content,
            began,
        });
    }

    /// Lays the upstreams out anew after their entries changed.
    pub(crate) fn rebuild_upstreams(&self) {
        let now = self.now();
        let zone = &self.settings.zone;
        let knowledge = self.knowledge();
        let entries = knowledge.upstreams.entries();
        let before = self.upstreams.load_full();
        let next = before.next(now, entries, &knowledge.evacuated, zone);
        let started_again = next.note_restarts(&before);
        let start_of = |id: &str| next.start_of(id);
        self.limits.forget_gone(now, start_of, &self.metrics);
        self.upstreams.store(Arc::new(next));
        drop(knowledge);
        for address in started_again {
            self.gate.forget(address);
        }
        self.divide_upstreams();
    }

    /// Divides the upstreams of stages among owners anew, after they or the
    /// services that do stages changed.
    pub(crate) fn divide_upstreams(&self) {
        let router = self.router.load();
        let Some(router) = router.as_ref() else {
            return;
        };
        let table = self.upstreams.load();
        let batched = router.services().filter(|s| s.batch.is_some());
        let upstreams = batched.flat_map(|s| {
            let upstreams = table.zones(&s.name);
            upstreams.map(|zone| (s.name.as_str(), zone))
        });
        self.shards.store(Arc::new(ShardMap::new(upstreams)));
    }

    fn repeat_bound(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.settings.repeat_ratio,
            slack: self.settings.repeat_slack,
            window: self.settings.repeat_window,
        }
    }
}

/// A request in flight.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<State>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
