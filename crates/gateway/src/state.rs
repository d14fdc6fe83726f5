//! The state that all parts of the gateway share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use async_executor::Executor;
use event_listener::Event;
use jd_net::AnswerMemory;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::lock;
use jd_policy::LineLimit;
use jd_policy::MemorySplit;
use jd_policy::Upstream;
use jd_serving::BrokenRun;
use jd_serving::ColdSpec;
use jd_serving::FleetPosition;
use jd_serving::InstanceEntry;
use jd_serving::RecentShards;
use jd_serving::Router;
use jd_serving::ShardMap;
use jd_serving::ShutdownPlan;
use jd_serving::SourceHealth;
use jd_serving::StoreRevision;
use jd_serving::UpdateSource;
use jd_serving::update_source;
use jd_settings::GatewaySettings;
use jd_types::MonoTime;
use jd_types::hash_address;
use jd_types::splitmix64;

use crate::Dialect;
use crate::brittle::Brittle;
use crate::caller_memory::CallerMemory;
use crate::cluster_state::ClusterState;
use crate::forward_client::ForwardClient;
use crate::latch::Latch;
use crate::limiters::Limiters;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::open_requests::OpenRequests;
use crate::paces::Paces;
use crate::path_checker::OwnPath;
use crate::peer_channels::PeerChannels;
use crate::peer_replication::PackedSnapshots;
use crate::permit_retries::PermitRetries;
use crate::quarantine::Quarantine;
use crate::restart_checks::RestartChecks;
use crate::retry_counts::RetryBudgets;
use crate::run_events::EndedRun;
use crate::run_events::RunEnd;
use crate::run_events::RunEvent;
use crate::run_events::UpstreamRef;
use crate::selection_filter::LimitFilter;
use crate::selection_filter::SelectionFilter;
use crate::selection_filter::UnrecordedFilter;
use crate::shutdown::Shutdown;
use crate::signal::Signal;
use crate::stop_checks::RouteRunTimes;
use crate::stream_registry::StreamRegistry;
use crate::trials::Trials;
use crate::upstream_backoffs::UpstreamBackoffs;
use crate::upstream_client::UpstreamClient;
use crate::upstream_table::UpstreamTable;

/// The state that all parts of the gateway share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) upstream_client: UpstreamClient,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) own_entry: InstanceEntry,
    pub(crate) router: ArcSwapOption<Router>,
    pub(crate) upstreams: ArcSwap<UpstreamTable>,
    pub(crate) shards: ArcSwap<ShardMap>,
    pub(crate) used_shards: Mutex<RecentShards>,
    pub(crate) metrics: Metrics,
    /// The suspected and quarantined requests.
    pub(crate) quarantine: Quarantine,
    /// The runs of suspected requests.
    pub(crate) trials: Trials,
    /// The rate limits of upstreams, the permits for rate-limited upstreams, and when to
    /// request denied permits again.
    pub(crate) limits: Limits,
    pub(crate) limiters: Limiters,
    pub(crate) permit_retries: PermitRetries,
    /// The upstreams that asked this instance to back off.
    pub(crate) backoffs: UpstreamBackoffs,
    /// The services whose upstreams are brittle.
    pub(crate) brittle: Brittle,
    /// Which software version began a stream.
    pub(crate) streams: StreamRegistry,
    /// The pace of upstreams that generate.
    pub(crate) paces: Paces,
    /// How long the requests of each route took lately.
    pub(crate) run_times: RouteRunTimes,
    /// Whether this instance has a network path to the upstreams.
    pub(crate) path: OwnPath,
    /// The upstreams that may have restarted.
    pub(crate) restart_checks: RestartChecks,
    /// The requests that are forwarded to other instances, and the number of those that are run
    /// for others.
    pub(crate) forwards: ForwardClient,
    pub(crate) forwards_running: AtomicUsize,
    pub(crate) channels: PeerChannels,
    /// Signals that heartbeats are to be sent to other instances now.
    pub(crate) heartbeat_requested: Arc<Signal>,
    /// Signals that a proof of freshness is to be requested now, and that the store is
    /// available again.
    pub(crate) proof_requested: Signal,
    pub(crate) store_recovered: Signal,
    /// Signals that another instance requests all items while this one has not read the store.
    pub(crate) snapshot_requested: Signal,
    /// Signals that this instance's entry was removed while it is running.
    pub(crate) own_entry_removed: Signal,
    /// Signals that the software versions of upstreams may have changed.
    pub(crate) versions_changed: Signal,
    /// Wakes the tasks that wait for updates, for the instances that follow this one.
    pub(crate) changes: Event,
    /// The packed snapshot for instances that start.
    pub(crate) packed: Mutex<PackedSnapshots>,
    /// Set once the list of instances in the store is known.
    pub(crate) instances_listed: Latch,
    /// Set once a part of the store with the configuration was read.
    pub(crate) part_read: Latch,
    cluster: Mutex<ClusterState>,
    pub(crate) budgets: RetryBudgets,
    /// When this process started.
    pub(crate) started: MonoTime,
    pub(crate) shutdown: Shutdown,
    /// Bounds the log lines about refusals.
    pub(crate) refusal_lines: Mutex<LineLimit>,
    /// Requests of callers that run, also those that other instances forward.
    pub(crate) requests_running: AtomicUsize,
    /// How much memory may be held for callers, and the part of it for bodies of requests.
    pub(crate) memory_split: MemorySplit,
    pub(crate) caller_memory: Arc<CallerMemory>,
    pub(crate) answer_memory: Arc<AnswerMemory>,
    pub(crate) open_requests: OpenRequests,
}

impl State {
    pub(crate) fn new(
        settings: GatewaySettings,
        clock: Clock,
        executor: Arc<Executor<'static>>,
        pool: HttpPool,
        dialect: Arc<dyn Dialect>,
        own_entry: InstanceEntry,
    ) -> State {
        let heartbeat_requested = Arc::new(Signal::new());
        let channels = PeerChannels::new(Arc::clone(&executor));
        let split = MemorySplit::of(settings.memory_bytes, settings.max_connections);
        let answer_memory = AnswerMemory::new(split.answer_bytes);
        let pool = pool.bounded_by(&answer_memory);
        State {
            settings,
            memory_split: split,
            clock,
            executor,
            upstream_client: UpstreamClient::new(pool.clone()),
            dialect,
            own_entry,
            router: ArcSwapOption::empty(),
            upstreams: ArcSwap::default(),
            shards: ArcSwap::default(),
            used_shards: Mutex::default(),
            metrics: Metrics::new(),
            quarantine: Quarantine::new(Arc::clone(&heartbeat_requested)),
            trials: Trials::default(),
            limits: Limits::new(Arc::clone(&heartbeat_requested)),
            limiters: Limiters::default(),
            permit_retries: PermitRetries::default(),
            backoffs: UpstreamBackoffs::default(),
            brittle: Brittle::new(Arc::clone(&heartbeat_requested)),
            streams: StreamRegistry::default(),
            paces: Paces::default(),
            run_times: RouteRunTimes::default(),
            path: OwnPath::new(),
            restart_checks: RestartChecks::new(),
            forwards: ForwardClient::new(pool),
            forwards_running: AtomicUsize::new(0),
            channels,
            heartbeat_requested,
            proof_requested: Signal::new(),
            store_recovered: Signal::new(),
            snapshot_requested: Signal::new(),
            own_entry_removed: Signal::new(),
            versions_changed: Signal::new(),
            changes: Event::new(),
            packed: Mutex::default(),
            instances_listed: Latch::default(),
            part_read: Latch::default(),
            cluster: Mutex::default(),
            budgets: Mutex::default(),
            started: clock.now(),
            shutdown: Shutdown::default(),
            refusal_lines: Mutex::default(),
            requests_running: AtomicUsize::new(0),
            caller_memory: Arc::new(CallerMemory::new(clock, split.body_bytes)),
            answer_memory,
            open_requests: OpenRequests::default(),
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub(crate) fn cluster(&self) -> MutexGuard<'_, ClusterState> {
        lock(&self.cluster)
    }

    /// The age of the newest proof that this instance has everything that is in force.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.cluster().freshness.age(self.now())
    }

    /// True if a proof was asked for at `due` or later.
    pub(crate) fn is_proven_at(&self, due: MonoTime) -> bool {
        let newest = self.cluster().freshness.proof();
        newest.is_some_and(|proof| proof.asked_at >= due)
    }

    /// Has a proof asked for, unless the answer to a query at `due` or later counts as one once
    /// changes have arrived.
    pub(crate) fn request_proof_of(&self, due: MonoTime) {
        let pending = self.cluster().freshness.pending();
        if pending.is_none_or(|proof| proof.asked_at < due) {
            self.proof_requested.notify();
        }
    }

    /// For how long there has been no proof. Counted at most from the time at which the other
    /// instances became known, which are a possible source of it.
    pub(crate) fn time_without_proof(&self) -> Duration {
        let now = self.now();
        let cluster = self.cluster();
        let since = cluster.instances_listed_at.unwrap_or(now);
        cluster.freshness.age(now).unwrap_or(now.since(since))
    }

    /// True if this instance cannot reach the store, neither directly nor through another
    /// instance.
    pub(crate) fn has_lost_store(&self) -> bool {
        let now = self.now();
        let cluster = self.cluster();
        let own = cluster.source_health(now, self.own_entry.incarnation);
        own == SourceHealth::StoreUnavailable || cluster.upstreams.is_store_unavailable()
    }

    /// True while the proof of the configuration is recent enough to serve requests.
    pub(crate) fn is_fresh(&self) -> bool {
        let age = self.cluster().freshness.deployment_age(self.now());
        age.is_some_and(|age| age < self.settings.max_staleness)
    }

    /// True if callers may be directed to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.router.load().is_some() && self.is_fresh()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Stops this instance by a plan, and tells the others at once.
    pub(crate) fn start_leaving(&self, plan: ShutdownPlan) {
        self.shutdown.begin(plan);
        self.heartbeat_requested.notify();
    }

    /// The source from which this instance receives store updates.
    pub(crate) fn update_source(&self) -> UpdateSource {
        let now = self.now();
        let cluster = self.cluster();
        let health = |id| cluster.source_health(now, id);
        update_source(&self.own_entry, cluster.instances.live(now), health)
    }

    /// The version of the configuration in force; 0 if there is none.
    pub(crate) fn deployment_version(&self) -> u64 {
        self.router.load().as_ref().map_or(0, |r| r.version)
    }

    /// True while requests run that other instances have forwarded.
    pub(crate) fn is_running_forwards(&self) -> bool {
        self.forwards_running.load(Ordering::Relaxed) > 0
    }

    /// True once this instance can run requests by what it has read, which may be a part of the store.
    pub(crate) fn has_read(&self) -> bool {
        self.part_read.is_set() || self.store_loaded()
    }

    /// True once the whole store has been read.
    pub(crate) fn store_loaded(&self) -> bool {
        self.cluster().mirror.revision() > StoreRevision::ZERO
    }

    /// The number of instances that accept callers, including this one.
    pub(crate) fn instance_count(&self) -> u32 {
        let now = self.now();
        let live = self.cluster().instances.live(now).count();
        u32::try_from(live + 1).unwrap_or(u32::MAX)
    }

    /// The rank of this instance among all listed instances, for the upstream at an address.
    /// Computed from the addresses, which survive restarts, and over all listed instances, so
    /// that an instance which has just learned of the others does not count itself as the only
    /// one.
    pub(crate) fn fleet_position(&self, upstream: SocketAddr) -> FleetPosition {
        let hash = |peers: SocketAddr| splitmix64(hash_address(peers) ^ hash_address(upstream));
        let own = hash(self.own_entry.peer_address);
        let cluster = self.cluster();
        let mut position = FleetPosition {
            rank: 0,
            fleet_size: 1,
        };
        for other in cluster.instances.entries() {
            position.fleet_size += 1;
            position.rank += u32::from(hash(other.peer_address) < own);
        }
        position
    }

    /// The cold-start limit of the upstreams of a service; none if they have no limit.
    pub(crate) fn cold_spec(&self, service: &str) -> Option<ColdSpec> {
        let router = self.router.load();
        router.as_ref()?.service(service)?.cold
    }

    /// The filter for selecting an upstream of a service to send to.
    pub(crate) fn selection_filter(&self, service: &str) -> SelectionFilter<'_> {
        SelectionFilter {
            cold: self.cold_spec(service),
            brittle: self.brittle_share(service),
            software: None,
            unrecorded: UnrecordedFilter::Any,
            limit_filter: LimitFilter::PermitDue,
            state: self,
        }
    }

    /// A filter that excludes only upstreams in backoff, for a selection after which nothing
    /// is sent.
    pub(crate) fn unfiltered(&self) -> SelectionFilter<'_> {
        SelectionFilter {
            cold: None,
            brittle: None,
            software: None,
            unrecorded: UnrecordedFilter::Any,
            limit_filter: LimitFilter::Any,
            state: self,
        }
    }

    /// Records that an upstream has been silent on a request, which may still be answered. New
    /// requests prefer others and do not use connections that may have died with that one.
    pub(crate) fn record_silence(&self, upstream: &Upstream, silent_for: Duration) {
        upstream.record_silence(self.now(), silent_for);
        self.upstream_client
            .close_idle_for(upstream.address, silent_for);
    }

    /// True if the upstreams of a service run stage pieces.
    pub(crate) fn serves_stages(&self, service: &str) -> bool {
        let router = self.router.load();
        let mut services = router.iter().flat_map(|r| r.services());
        services.any(|s| s.name == service && s.batch.is_some())
    }

    /// Reports the end of a run that is not known to be sound. The request is not suspected
    /// if its upstream was shutting down, since the upstream then ended as planned.
    pub(crate) fn report_run(&self, upstream: UpstreamRef, run: BrokenRun, end: RunEnd) {
        if self.upstreams.load().start_of(&upstream.id).is_none() {
            return;
        }
        let ended = EndedRun {
            at: self.now(),
            upstream,
            run,
            end,
        };
        match end {
            RunEnd::Broken | RunEnd::Unmarked => {
                self.quarantine.run_events.add(RunEvent::Ended(ended));
            }
            RunEnd::Whole | RunEnd::Failed | RunEnd::Left => self.quarantine.settling.add(ended),
        }
    }
}
