//! Starts a gateway instance and shuts it down gracefully.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Timer;
use jd_net::Clock;
use jd_net::Handler;
use jd_net::HttpPool;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_serving::CallerLimits;
use jd_serving::InstanceEntry;
use jd_serving::ShutdownPlan;
use jd_serving::Strength;
use jd_settings::GatewaySettings;
use jd_types::Incarnation;
use jd_types::MonoTime;
use snafu::ResultExt;
use snafu::Snafu;

use crate::Dialect;
use crate::Store;
use crate::batch_dispatcher::BatchDispatcher;
use crate::caller_api::CallerApi;
use crate::crash_reporter::CrashReporter;
use crate::memory_monitor::MemoryMonitor;
use crate::path_checker::OwnPath;
use crate::peer_api::PeerApi;
use crate::peer_api::PeerHandler;
use crate::peer_client::PeerClient;
use crate::quarantine_coordinator::QuarantineCoordinator;
use crate::report_sender::ReportSender;
use crate::restart_checks::RestartChecks;
use crate::result_free_queue::ResultFreeQueue;
use crate::result_release_queue::ResultReleaseQueue;
use crate::result_replication::ResultReplication;
use crate::revision_poller::RevisionPoller;
use crate::service_apis::LocateApi;
use crate::service_apis::MetricsApi;
use crate::service_apis::ReadyApi;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::store_applier::StoreApplier;
use crate::store_call::StoreCallCounts;
use crate::store_follower::StoreFollower;
use crate::store_lease::StoreLease;
use crate::store_link::StoreLink;
use crate::store_reader::StoreReader;
use crate::stream_saver::StreamSaver;
use crate::version_recorder::VersionRecorder;

/// How often the configured limits are applied to the caller endpoint. They affect new
/// connections; a second is far below the time in which a version has to be in force.
const LIMITS_INTERVAL: Duration = Duration::from_millis(500);
/// The limits for other instances. Requests that they forward have the heads of callers and a few
/// headers more.
const PEER_LIMITS: ServerLimits = ServerLimits {
    headers: 96,
    head_bytes: 64 << 10,
    ..ServerLimits::DEFAULT
};
/// Size of the receive buffers of callers' connections, in bytes. Bounds the kernel memory used for a
/// caller whose bytes are not read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The interval at which a shutdown checks whether requests of other instances still run.
const STOP_INTERVAL: Duration = Duration::from_millis(10);
/// How long a shutdown waits for the responses to other instances to be written. Their connections
/// also carry calls that wait for news, and end with the process.
const PEER_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// The error of a gateway that could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{address} cannot be listened on ({source}); free it, or change the settings"))]
pub struct StartError {
    address: SocketAddr,
    source: std::io::Error,
}

/// A running gateway instance. Dropping it aborts all of its tasks at once.
pub struct Gateway {
    state: Arc<State>,
    lease: Arc<StoreLease>,
    callers: Arc<HttpServer>,
    peers: HttpServer,
    _servers: Vec<HttpServer>,
    _tasks: Vec<Task<()>>,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Gateway({})", self.state.own_entry.incarnation)
    }
}

impl Gateway {
    /// Starts an instance whose tasks run on `executor`.
    pub fn start(
        settings: GatewaySettings,
        clock: Clock,
        executor: &Arc<Executor<'static>>,
        pool: HttpPool,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn Store>,
    ) -> Result<Gateway, StartError> {
        let own_entry = InstanceEntry {
            incarnation: Incarnation::new(fastrand::u64(1..)),
            caller_address: settings.callers,
            peer_address: settings.peers,
            zone: settings.zone.clone(),
            strength: Strength::new(settings.core_percent, settings.link_mbps),
            leaving: false,
        };
        let executor = Arc::clone(executor);
        let state = State::new(
            settings,
            clock,
            Arc::clone(&executor),
            pool,
            dialect,
            own_entry,
        );
        let state = Arc::new(state);
        let free_queue = Arc::new(ResultFreeQueue::new(Arc::clone(&state)));
        let dispatcher = BatchDispatcher::new(Arc::clone(&state), Arc::clone(&free_queue));
        let dispatcher = Arc::new(dispatcher);
        let peers = Arc::new(PeerClient::new(Arc::clone(&state)));
        let release_queue = Arc::new(ResultReleaseQueue {
            state: Arc::clone(&state),
            dispatcher: Arc::clone(&dispatcher),
            peers: Arc::clone(&peers),
            free_queue: Arc::clone(&free_queue),
            pending: Mutex::default(),
        });
        let replication = Arc::new(ResultReplication {
            state: Arc::clone(&state),
            dispatcher: Arc::clone(&dispatcher),
        });
        let stages = Arc::new(StageRunner {
            state: Arc::clone(&state),
            dispatcher: Arc::clone(&dispatcher),
            peers: Arc::clone(&peers),
            release_queue: Arc::clone(&release_queue),
        });
        let link = Arc::new(StoreLink {
            state: Arc::clone(&state),
            store: Arc::clone(&store),
            counts: StoreCallCounts::default(),
        });
        let coordinator = Arc::new(QuarantineCoordinator::new(Arc::clone(&link)));
        let report_sender = Arc::new(ReportSender::new(
            Arc::clone(&state),
            Arc::clone(&peers),
            Arc::clone(&coordinator),
        ));
        let reporter = CrashReporter::new(Arc::clone(&state), Arc::clone(&report_sender));
        let reporter = Arc::new(reporter);
        let stream_saver = Arc::new(StreamSaver::new(Arc::clone(&link)));
        let version_recorder = Arc::new(VersionRecorder {
            link: Arc::clone(&link),
        });
        let lease = Arc::new(StoreLease::new(Arc::clone(&link)));
        let poller = Arc::new(RevisionPoller {
            link: Arc::clone(&link),
        });
        let applier = Arc::new(StoreApplier {
            state: Arc::clone(&state),
            store,
            unreadable: Mutex::default(),
            parts: Mutex::default(),
        });
        let reader = StoreReader {
            link: Arc::clone(&link),
            applier: Arc::clone(&applier),
        };
        let follower = Arc::new(StoreFollower {
            link: Arc::clone(&link),
            applier,
            reader,
            peers: Arc::clone(&peers),
        });
        let caller_api = Arc::new(CallerApi {
            state: Arc::clone(&state),
            stages,
        });
        let peer_api = PeerApi {
            state: Arc::clone(&state),
            dispatcher: Arc::clone(&dispatcher),
            coordinator: Arc::clone(&coordinator),
        };
        let s = &state.settings;
        let limits = caller_limits(&state, &CallerLimits::default());
        let caller_handler = Arc::clone(&caller_api) as Arc<dyn Handler>;
        let callers = Arc::new(listen(&state, s.callers, limits, caller_handler)?);
        let own = ServerLimits {
            connections: state.memory_split.service_connections,
            ..ServerLimits::default()
        };
        let peer_handler = Arc::new(PeerHandler::new(peer_api, caller_api));
        let servers = vec![
            listen(&state, s.ready, own, Arc::new(ReadyApi(Arc::clone(&state))))?,
            listen(
                &state,
                s.locate,
                own,
                Arc::new(LocateApi(Arc::clone(&state))),
            )?,
            listen(
                &state,
                s.metrics,
                own,
                Arc::new(MetricsApi(Arc::clone(&state))),
            )?,
        ];
        let peer_server = listen(&state, s.peers, PEER_LIMITS, peer_handler)?;
        let applying = apply_limits(Arc::clone(&state), Arc::clone(&callers));
        let reporting = Arc::clone(&link).log_call_counts();
        let tasks = vec![
            executor.spawn(applying),
            executor.spawn(Arc::clone(&follower).follow()),
            executor.spawn(Arc::clone(&follower).fetch_newer_deployment()),
            executor.spawn(follower.expire_entries()),
            executor.spawn(poller.run()),
            executor.spawn(OwnPath::check(Arc::clone(&state))),
            executor.spawn(RestartChecks::run(Arc::clone(&state))),
            executor.spawn(Arc::clone(&lease).keep_registered()),
            executor.spawn(Arc::clone(&lease).remove_silent()),
            executor.spawn(reporting),
            executor.spawn(peers.send_heartbeats()),
            executor.spawn(dispatcher.run_ticks()),
            executor.spawn(release_queue.run()),
            executor.spawn(replication.run()),
            executor.spawn(free_queue.run()),
            executor.spawn(Arc::clone(&coordinator).evaluate_evidence()),
            executor.spawn(coordinator.write_quarantines()),
            executor.spawn(Arc::clone(&stream_saver).save()),
            executor.spawn(stream_saver.read()),
            executor.spawn(version_recorder.run()),
            executor.spawn(Arc::clone(&reporter).run()),
            executor.spawn(Arc::clone(&reporter).settle_runs()),
            executor.spawn(reporter.report_recent_runs()),
            executor.spawn(report_sender.ask_earlier_coordinators()),
        ];
        log::info!(
            instance = state.settings.name.as_str(),
            incarnation:% = state.own_entry.incarnation,
            callers:% = state.settings.callers;
            "started"
        );
        Ok(Gateway {
            state,
            lease,
            callers,
            peers: peer_server,
            _servers: servers,
            _tasks: tasks,
        })
    }

    /// Shuts down gracefully. The instance is removed from address responses at once, whether or
    /// not the store answers, goes on accepting callers that cached its address for a while, and then only finishes requests
    /// in flight. Requests that cannot be finished are answered before the end. Returns when the
    /// last request is finished, or just before the grace period ends.
    pub async fn stop(&self) {
        let state = &self.state;
        let began = state.now();
        let plan = ShutdownPlan::new(began, state.settings.grace_period);
        log::info!(in_flight = state.open_requests.len(); "stopping");
        state.start_leaving(plan);
        let until_accepted = state.shutdown.until(state.clock, |plan| plan.accept_until);
        until_accepted.await;
        let accepted = state.now();
        self.callers.stop(plan.exit_at.since(accepted)).await;
        let answered = state.now();
        while state.is_running_forwards() && state.now() < plan.exit_at {
            Timer::after(STOP_INTERVAL).await;
        }
        let left = plan.exit_at.since(state.now());
        self.peers.stop(left.min(PEER_WRITE_TIMEOUT)).await;
        self.log_stopped([began, accepted, answered, state.now()]);
    }

    /// Logs what the process leaves unfinished, and how long each step of the shutdown took, by the
    /// times between them.
    fn log_stopped(&self, [began, accepted, answered, ended]: [MonoTime; 4]) {
        self.state.open_requests.log_left(ended);
        let millis = |from: MonoTime, to: MonoTime| to.since(from).as_millis() as u64;
        let withdrawn = self.lease.withdrawn_at();
        log::info!(
            in_flight = self.state.open_requests.len(),
            connections = self.callers.open_connections(),
            withdrawn_ms:? = withdrawn.map(|at| millis(began, at)),
            accepting_ms = millis(began, accepted),
            requests_ms = millis(accepted, answered),
            forwards_ms = millis(answered, ended),
            ms = millis(began, ended);
            "stopped"
        );
    }
}

fn listen(
    state: &Arc<State>,
    address: SocketAddr,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
) -> Result<HttpServer, StartError> {
    let executor = Arc::clone(&state.executor);
    HttpServer::start(executor, address, limits, handler).context(StartSnafu { address })
}

/// Applies the configured limits to the caller endpoint, and reports what they were met by. Never
/// returns.
async fn apply_limits(state: Arc<State>, callers: Arc<HttpServer>) {
    let mut monitor = MemoryMonitor::new(Arc::clone(&state), Arc::clone(&callers));
    loop {
        Timer::after(LIMITS_INTERVAL).await;
        monitor.report();
        if let Some(router) = state.router.load().as_ref() {
            callers.set_limits(caller_limits(&state, &router.limits));
        }
    }
}

/// The limits of the caller endpoint. The timeout for a head also covers the idle time between
/// two requests on a connection, so that the longer of both limits applies.
fn caller_limits(state: &State, limits: &CallerLimits) -> ServerLimits {
    ServerLimits {
        connections: state.memory_split.connections,
        head_bytes: limits.head_bytes,
        head_timeout: limits.idle_timeout.max(limits.head_timeout),
        http1_only: true,
        receive_buffer: Some(RECEIVE_BUFFER_BYTES),
        ..ServerLimits::default()
    }
}
