//! What all tasks of an instance share.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use event_listener::Event;
use jd_backing::InstanceList;
use jd_backing::KeyValue;
use jd_backing::KvError;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::ConfigReplica;
use jd_coord::Decision;
use jd_coord::DecisionLog;
use jd_coord::Duty;
use jd_coord::Lifecycle;
use jd_coord::LoanBook;
use jd_coord::Members;
use jd_coord::Outbox;
use jd_coord::Runs;
use jd_coord::ShareKeeper;
use jd_coord::UpstreamList;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::Workers;
use jd_net::lock;
use jd_policy::CostLedger;
use jd_policy::PeerLoads;
use jd_settings::Settings;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::MonoTime;
use jd_types::Ppm;
use jd_types::RequestId;

use crate::key_claims::OutboxWaiters;
use crate::metrics::Metrics;
use crate::peer_links::PeerLinks;
use crate::pool_runtime::PoolRuntime;
use crate::snapshot::Snapshot;
use crate::snapshot::SnapshotMaker;

/// Without the platform's service and without any peer for that long, an
/// instance cannot know the revision in force and takes no new work.
const CUT_OFF_AFTER: Duration = Duration::from_secs(5);
/// How long an own part counts after it was worked out. It is worked out anew
/// every tenth of a second.
const BASE_LIFE: Duration = Duration::from_secs(1);

/// What all tasks of an instance share. Each lock guards one part, is held for
/// a few moves, and never across an await. Where two are held at once the first
/// is `maker` or `members`, and no third is taken: so no two tasks can wait for
/// each other.
pub(crate) struct Shared {
    pub(crate) me: Incarnation,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) workers: Workers,
    pub(crate) http: HttpPool,
    pub(crate) kv: Arc<dyn KeyValue>,
    pub(crate) list: Arc<dyn InstanceList>,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) maker: Mutex<SnapshotMaker>,
    pub(crate) members: Mutex<Members>,
    pub(crate) links: PeerLinks,
    pub(crate) peer_loads: Mutex<PeerLoads>,
    pub(crate) replica: Mutex<ConfigReplica>,
    pub(crate) upstreams: Mutex<UpstreamList>,
    pub(crate) runs: Mutex<Runs>,
    pub(crate) loans: Mutex<LoanBook>,
    pub(crate) shares: Mutex<ShareKeeper>,
    pub(crate) lifecycle: Mutex<Option<Lifecycle>>,
    pub(crate) duties: Mutex<Vec<Duty>>,
    pub(crate) outbox: Mutex<Outbox>,
    pub(crate) outbox_waiters: OutboxWaiters,
    pub(crate) ledger: Mutex<CostLedger>,
    pub(crate) decisions: Mutex<DecisionLog>,
    pub(crate) metrics: Metrics,
    base: AtomicU32,
    base_set: AtomicU64,
    pub(crate) in_flight: AtomicU32,
    pub(crate) kv_heard: AtomicU64,
    /// Told when limits have moved.
    pub(crate) limits_moved: Event,
    /// Told when a heartbeat should not wait for its turn.
    pub(crate) urgent: Event,
    /// Counts heartbeats to all peers together.
    pub(crate) sequence: AtomicU64,
    numbers: AtomicU64,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Shared({})", self.me)
    }
}

impl Shared {
    /// What is shared by an instance that has just started.
    pub(crate) fn new(
        me: Incarnation,
        settings: Settings,
        clock: Clock,
        workers: Workers,
        platform: crate::Platform,
        members: Members,
    ) -> Shared {
        let http = HttpPool::new(workers.executor(), clock);
        let outbox = Outbox::new(me, settings.work.max_deferred);
        Shared {
            me,
            clock,
            http,
            kv: platform.kv,
            list: platform.list,
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            maker: Mutex::default(),
            members: Mutex::new(members),
            links: PeerLinks::new(workers.executor()),
            peer_loads: Mutex::default(),
            replica: Mutex::default(),
            upstreams: Mutex::default(),
            runs: Mutex::new(Runs::new(me)),
            loans: Mutex::default(),
            shares: Mutex::new(ShareKeeper::new(me)),
            lifecycle: Mutex::new(Some(Lifecycle::begin())),
            duties: Mutex::new(crate::duties::all(me)),
            outbox: Mutex::new(outbox),
            outbox_waiters: OutboxWaiters::default(),
            ledger: Mutex::default(),
            decisions: Mutex::new(DecisionLog::new(DECISIONS)),
            metrics: Metrics::new(),
            base: AtomicU32::new(0),
            base_set: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            kv_heard: AtomicU64::new(0),
            limits_moved: Event::new(),
            urgent: Event::new(),
            sequence: AtomicU64::new(0),
            numbers: AtomicU64::new(0),
            settings,
            workers,
        }
    }

    /// Now, on the monotonic clock.
    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The next request's identity.
    pub(crate) fn next_request(&self) -> RequestId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId {
            entry: self.me,
            number,
        }
    }

    /// This instance's own part of every limit.
    ///
    /// Guards against an instance that was paused: it wakes, and a request
    /// arrives before the part has been worked out anew, while others may have
    /// taken it back. A part that was worked out a while ago counts as none.
    pub(crate) fn base(&self) -> Ppm {
        let set = MonoTime::from_micros(self.base_set.load(Ordering::Acquire));
        match self.now().since(set) <= BASE_LIFE {
            true => Ppm::new(self.base.load(Ordering::Relaxed)),
            false => Ppm::ZERO,
        }
    }

    /// Sets it, as worked out at `now`.
    pub(crate) fn set_base(&self, now: MonoTime, base: Ppm) {
        self.base.store(base.get(), Ordering::Relaxed);
        self.base_set.store(now.as_micros(), Ordering::Release);
    }

    /// Where this instance is in its life.
    pub(crate) fn state(&self) -> MemberState {
        lock(&self.lifecycle)
            .as_ref()
            .map_or(MemberState::Stopped, Lifecycle::state)
    }

    /// Moves the life cycle on.
    pub(crate) fn live(&self, step: impl FnOnce(Lifecycle) -> Lifecycle) {
        let mut lifecycle = lock(&self.lifecycle);
        *lifecycle = lifecycle.take().map(step);
    }

    /// Why new work is not taken now; none if it is.
    pub(crate) fn unfit(&self) -> Option<&'static str> {
        match self.state() {
            MemberState::Starting => Some("the instance is starting"),
            MemberState::Draining | MemberState::Stopped => Some("the instance is stopping"),
            _ if self.is_cut_off() => {
                Some("the instance can reach neither the platform's service nor any peer")
            }
            MemberState::Serving | MemberState::Withdrawn => None,
        }
    }

    fn is_cut_off(&self) -> bool {
        let now = self.now();
        let heard = MonoTime::from_micros(self.kv_heard.load(Ordering::Relaxed));
        let kv = now.since(heard) <= CUT_OFF_AFTER;
        !kv && !lock(&self.members).any_in_touch(now, CUT_OFF_AFTER)
    }

    /// Calls the platform's key-value service.
    pub(crate) async fn call(&self, req: KvRequest) -> Result<KvReply, KvError> {
        let result = self.kv.call(req).await;
        self.metrics.kv_call(result.is_ok());
        if result.is_ok() {
            self.kv_heard
                .store(self.now().as_micros(), Ordering::Relaxed);
        }
        result
    }

    /// Notes a decision on a request.
    pub(crate) fn decided(&self, request: RequestId, what: &'static str, why: CompactString) {
        log::debug!(request:% = request, what, why:% = why; "decision");
        let decision = Decision {
            at: self.clock.wall(),
            request,
            what,
            why,
        };
        lock(&self.decisions).note(decision);
    }

    /// Makes the snapshot anew after configuration or upstreams changed.
    pub(crate) fn rebuild(&self) {
        let mut maker = lock(&self.maker);
        let config = lock(&self.replica).config().clone();
        let list = lock(&self.upstreams).entries();
        let work = &self.settings.work;
        let snapshot = maker.make(&config, &list, &self.settings.instance.zone, |name| {
            PoolRuntime::new(name, work.max_queue, work.retry_percent)
        });
        self.metrics.set_revision(config.revision);
        self.snapshot.store(Arc::new(snapshot));
        self.set_limits();
    }

    /// Tells the loan book the limits in force.
    fn set_limits(&self) {
        let snapshot = self.snapshot.load();
        let mut loans = lock(&self.loans);
        let mut names = Vec::new();
        for customer in &snapshot.compiled.customers {
            let name = customer_limit(customer.name.as_str());
            loans.set_limit(&name, customer.limit);
            names.push(name);
        }
        for (pool, table) in snapshot.pools.iter().zip(&snapshot.tables) {
            loans.set_limit(&pool.limit, table.max_in_flight());
            names.push(pool.limit.clone());
        }
        loans.retain(|name| names.iter().any(|n| n == name));
    }
}

/// Decisions that are kept for `explain`.
const DECISIONS: usize = 4_096;

/// A customer's name among the shared limits.
pub(crate) fn customer_limit(customer: &str) -> CompactString {
    compact_str::format_compact!("customer/{customer}")
}
