//! A running entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use jd_backing::InstanceList;
use jd_backing::KeyValue;
use jd_coord::DrainTimes;
use jd_coord::Member;
use jd_coord::Members;
use jd_net::Clock;
use jd_net::Handler;
use jd_net::HttpPool;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::Workers;
use jd_net::lock;
use jd_policy::CostKey;
use jd_policy::CostTotals;
use jd_settings::Settings;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::Revision;

use crate::caller_api::CallerApi;
use crate::operator_api::OperatorApi;
use crate::peer_api::PeerHandler;
use crate::shared::Shared;

/// How often the life cycle is looked at.
const LIFE_STEP: Duration = Duration::from_millis(50);
/// How long connections may take to close once nothing is in flight.
const CLOSE_WITHIN: Duration = Duration::from_secs(2);
/// How long a stop waits for the own part of limits to be given away. If the
/// platform's service is down it stays, frozen, until it is back.
const HAND_OVER_WITHIN: Duration = Duration::from_secs(3);

/// The platform's services, real or not.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The list of instances.
    pub list: Arc<dyn InstanceList>,
}

impl Platform {
    /// The services over HTTP, as the settings name them.
    pub fn over_http(settings: &Settings, workers: &Workers, clock: Clock) -> Platform {
        let pool = HttpPool::new(workers.executor(), clock);
        let at = |address| jd_backing_http::HttpPlatform::new(pool.clone(), address);
        Platform {
            kv: Arc::new(at(settings.platform.key_value)),
            list: Arc::new(at(settings.platform.instances)),
        }
    }
}

/// A running entry instance. Dropping it ends it as abruptly as the end of its
/// process would; [`Entry::stop`] ends it with grace.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    callers: HttpServer,
    peers: HttpServer,
    operators: HttpServer,
    tasks: Mutex<Vec<Task<()>>>,
}

impl Entry {
    /// Starts an instance. Addresses with port 0 get a port of the system's
    /// choice. It serves once it has learned the configuration.
    ///
    /// # Errors
    ///
    /// If one of the three addresses cannot be listened on.
    pub fn start(
        settings: Settings,
        workers: Workers,
        clock: Clock,
        platform: Platform,
    ) -> std::io::Result<Entry> {
        let me = Incarnation::new(fastrand::u64(..));
        // Peers and callers are told real ports, so the listeners come first,
        // with handlers that wait until the rest is there.
        let slot = Arc::new(LateHandlers::default());
        let listen = |address, limits, which| {
            let handler = Arc::new(LateHandler {
                slot: Arc::clone(&slot),
                which,
            });
            HttpServer::start(workers.executor(), address, limits, handler)
        };
        let caller_limits = ServerLimits {
            connections: settings.callers.max_connections,
            ..ServerLimits::default()
        };
        let callers = listen(settings.instance.callers, caller_limits, Which::Callers)?;
        let peers = listen(
            settings.instance.peers,
            ServerLimits::default(),
            Which::Peers,
        )?;
        let operators = listen(
            settings.instance.operators,
            ServerLimits::default(),
            Which::Operators,
        )?;
        let member = Member {
            incarnation: me,
            hall: settings.instance.zone.clone(),
            callers: callers.address(),
            peers: peers.address(),
            state: MemberState::Starting,
            beat: 0,
            revision: Revision::ZERO,
            in_flight: 0,
            epoch: 0,
        };
        let mut settings = settings;
        settings.instance.peers = peers.address();
        let members = Members::new(member);
        let shared = Arc::new(Shared::new(me, settings, clock, workers, platform, members));
        slot.fill(&shared);
        let tasks = Mutex::new(spawn_tasks(&shared));
        Ok(Entry {
            shared,
            callers,
            peers,
            operators,
            tasks,
        })
    }

    /// Its present life.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.me
    }

    /// Where it answers callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where it answers other instances.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Where it answers operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where it is in its life.
    pub fn state(&self) -> MemberState {
        self.shared.state()
    }

    /// The revision of the configuration in force here.
    pub fn revision(&self) -> Revision {
        lock(&self.shared.replica).config().revision
    }

    /// True if it holds any duty now.
    pub fn holds_duty(&self) -> bool {
        let now = self.shared.now();
        lock(&self.shared.duties)
            .iter()
            .any(|d| d.may_act(now).is_some())
    }

    /// Bytes of heartbeats sent and received so far, without framing.
    pub fn peer_bytes(&self) -> u64 {
        self.shared.metrics.peer_bytes()
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Cost so far, by customer, pipeline and stage.
    pub fn costs(&self) -> Vec<(CostKey, CostTotals)> {
        lock(&self.shared.ledger)
            .totals_by_key()
            .map(|(k, c)| (k.clone(), c))
            .collect()
    }

    /// Begins the stop, or hurries one that has begun. Returns at once.
    pub fn begin_stop(&self) {
        let times = DrainTimes {
            lifetime: self.shared.settings.callers.answer_lifetime,
            stale_after: Members::stale_after(),
        };
        let now = self.shared.now();
        self.shared.live(|l| l.stop(now, times));
        crate::duties::leave_all(&self.shared);
        log::info!(state:% = self.shared.state(); "stop begun");
        self.shared.urgent.notify(1);
    }

    /// Closes every connection at once, as the end of the process would. What
    /// runs in the background ends when the entry is dropped.
    pub fn abort(&self) {
        self.callers.abort();
        self.peers.abort();
        self.operators.abort();
    }

    /// Stops with grace: no longer named, then nothing new, then everything in
    /// flight whole, then gone.
    pub async fn stop(&self) {
        if self.state() == MemberState::Serving || self.state() == MemberState::Starting {
            self.begin_stop();
        }
        while self.shared.state() != MemberState::Stopped {
            Timer::after(LIFE_STEP).await;
        }
        self.hand_over().await;
        crate::heartbeat::beat_once(&self.shared);
        self.callers.stop(CLOSE_WITHIN).await;
        self.peers.stop(CLOSE_WITHIN).await;
        self.operators.stop(CLOSE_WITHIN).await;
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        for task in tasks {
            task.cancel().await;
        }
        log::info!(instance:% = self.shared.me; "stopped");
    }

    /// Gives the own part of limits to those who stay.
    async fn hand_over(&self) {
        lock(&self.shared.shares).leave();
        let mut left = HAND_OVER_WITHIN;
        while !lock(&self.shared.shares).has_left() && !left.is_zero() {
            Timer::after(LIFE_STEP).await;
            left = left.saturating_sub(LIFE_STEP);
        }
    }
}

fn spawn_tasks(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let w = &shared.workers;
    let s = || Arc::clone(shared);
    vec![
        w.spawn(crate::config_sync::follow(s())),
        w.spawn(crate::heartbeat::beat(s())),
        w.spawn(crate::list_sync::follow(s())),
        w.spawn(crate::share_sync::keep(s())),
        w.spawn(crate::outbox_sync::write(s())),
        w.spawn(crate::duties::contend(s())),
        w.spawn(crate::duties::order_models(s())),
        w.spawn(crate::duties::write_snapshots(s())),
        w.spawn(crate::queue_worker::work_off(s())),
        w.spawn(live(s())),
    ]
}

/// Moves the life cycle on.
async fn live(shared: Arc<Shared>) {
    loop {
        Timer::after(LIFE_STEP).await;
        let in_flight = shared.in_flight.load(Ordering::SeqCst);
        let now = shared.now();
        let before = shared.state();
        shared.live(|l| l.tick(now, in_flight));
        if shared.state() != before {
            log::info!(state:% = shared.state(); "life cycle");
            shared.urgent.notify(1);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Which {
    Callers,
    Peers,
    Operators,
}

/// Handlers that are put in place after the listeners know their ports.
#[derive(Debug, Default)]
struct LateHandlers {
    callers: std::sync::OnceLock<Arc<CallerApi>>,
    peers: std::sync::OnceLock<Arc<PeerHandler>>,
    operators: std::sync::OnceLock<Arc<OperatorApi>>,
}

impl LateHandlers {
    fn fill(&self, shared: &Arc<Shared>) {
        let s = || Arc::clone(shared);
        // Each is set once, here.
        let _ = self.callers.set(Arc::new(CallerApi { shared: s() }));
        let _ = self.peers.set(Arc::new(PeerHandler::new(s())));
        let _ = self.operators.set(Arc::new(OperatorApi { shared: s() }));
    }

    fn get(&self, which: Which) -> Option<Arc<dyn Handler>> {
        match which {
            Which::Callers => self.callers.get().cloned().map(|h| h as Arc<dyn Handler>),
            Which::Peers => self.peers.get().cloned().map(|h| h as Arc<dyn Handler>),
            Which::Operators => self.operators.get().cloned().map(|h| h as Arc<dyn Handler>),
        }
    }
}

struct LateHandler {
    slot: Arc<LateHandlers>,
    which: Which,
}

impl Handler for LateHandler {
    fn handle(self: Arc<Self>, req: http::Request<hyper::body::Incoming>) -> jd_net::HandlerFuture {
        match self.slot.get(self.which) {
            Some(handler) => handler.handle(req),
            None => Box::pin(async {
                let status = http::StatusCode::SERVICE_UNAVAILABLE;
                crate::caller_response::plain(status, "the instance is starting")
            }),
        }
    }
}
