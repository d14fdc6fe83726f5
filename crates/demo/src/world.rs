//! Everything that runs in a demo.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_backing::Listed;
use jd_backing::ListedState;
use jd_entry::Entry;
use jd_entry::Platform;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::Workers;
use jd_net::lock;
use jd_settings::RawSettings;
use jd_settings::Settings;
use jd_standins::Deployment;
use jd_standins::FakeList;
use jd_standins::PlatformServer;
use jd_standins::UpstreamServer;
use jd_standins::Witness;
use jd_types::MemberState;
use jd_types::Name;
use snafu::ResultExt;

use crate::DemoError;
use crate::demo_error::StartSnafu;

/// Entry instances.
pub(crate) const ENTRIES: usize = 9;
/// Threads of the stand-ins and callers.
const WORLD_THREADS: usize = 4;
/// How long the system may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// How often readiness is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Credentials of the operators in a demo.
pub(crate) const OPERATORS: [(&str, &str); 2] =
    [("alice", "secret-of-alice"), ("bob", "secret-of-bob")];

/// One entry instance with threads of its own, as a process would have them.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) hall: &'static str,
    pub(crate) workers: Workers,
    pub(crate) entry: Entry,
    /// False while it stands still or after it has died.
    pub(crate) runs: AtomicBool,
}

impl Node {
    /// Ends it as the end of its process would.
    pub(crate) async fn kill(&self) {
        /// How long the closing of connections may take to be carried out.
        const CLOSING: Duration = Duration::from_millis(50);
        self.runs.store(false, Ordering::Relaxed);
        self.entry.abort();
        Timer::after(CLOSING).await;
        self.workers.suspend();
    }

    /// True unless it stands still or has died.
    pub(crate) fn is_running(&self) -> bool {
        self.runs.load(Ordering::Relaxed)
    }
}

/// Everything that runs in a demo.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) clock: Clock,
    pub(crate) workers: Workers,
    pub(crate) http: HttpPool,
    pub(crate) deployment: Deployment,
    pub(crate) platform: PlatformServer,
    pub(crate) upstreams: Vec<UpstreamServer>,
    pub(crate) witness: Arc<Witness>,
    pub(crate) nodes: Mutex<Vec<Arc<Node>>>,
}

impl World {
    /// Starts the stand-ins and the entry instances.
    pub(crate) fn start(deployment: Deployment, entries: usize) -> Result<World, DemoError> {
        let clock = Clock::start();
        let workers = Workers::start(WORLD_THREADS).context(StartSnafu { what: "threads" })?;
        let witness = Arc::new(Witness::default());
        let upstreams = start_upstreams(&workers, clock, &deployment, &witness)?;
        let list = FakeList::new(upstreams.iter().map(UpstreamServer::listed).collect());
        let platform =
            PlatformServer::start(&workers, clock, loopback(), list).context(StartSnafu {
                what: "the platform's stand-in",
            })?;
        let http = HttpPool::new(workers.executor(), clock);
        let nodes = Mutex::new(Vec::new());
        let world = World {
            clock,
            workers,
            http,
            deployment,
            platform,
            upstreams,
            witness,
            nodes,
        };
        for i in 0..entries {
            world.add_node(deployment.halls[i % deployment.halls.len()])?;
        }
        Ok(world)
    }

    /// Starts one more entry instance.
    pub(crate) fn add_node(&self, hall: &'static str) -> Result<Arc<Node>, DemoError> {
        let settings = settings(hall, self.platform.address())?;
        let threads = settings.instance.threads;
        let workers = Workers::start(threads).context(StartSnafu { what: "threads" })?;
        let services = Platform::over_http(&settings, &workers, self.clock);
        let entry =
            Entry::start(settings, workers.clone(), self.clock, services).context(StartSnafu {
                what: "an entry instance",
            })?;
        let now = self.clock.now();
        if let Ok(hall) = Name::try_from(hall) {
            let state = ListedState::Live;
            let listed = Listed {
                address: entry.peers(),
                pool: None,
                hall,
                state,
            };
            self.platform.with_list(|x| x.put(now, listed));
        }
        let runs = AtomicBool::new(true);
        let node = Arc::new(Node {
            hall,
            workers,
            entry,
            runs,
        });
        lock(&self.nodes).push(Arc::clone(&node));
        Ok(node)
    }

    /// Takes an instance out of the world's own table and the platform's list.
    pub(crate) fn remove_node(&self, node: &Arc<Node>) {
        lock(&self.nodes).retain(|n| !Arc::ptr_eq(n, node));
        self.platform
            .with_list(|x| x.remove(self.clock.now(), node.entry.peers()));
    }

    /// The entry instances that should be there.
    pub(crate) fn nodes(&self) -> Vec<Arc<Node>> {
        lock(&self.nodes).clone()
    }

    /// Callers' addresses of the entry instances.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes().iter().map(|n| n.entry.callers()).collect()
    }

    /// Waits until every instance serves and knows every other.
    pub(crate) async fn ready(&self) -> Result<(), DemoError> {
        let until = self.clock.now() + READY_WITHIN;
        while self.clock.now() < until {
            let nodes = self.nodes();
            let serving = |n: &Arc<Node>| n.entry.state() == MemberState::Serving;
            if nodes.iter().all(serving) {
                return Ok(());
            }
            Timer::after(LOOK_EVERY).await;
        }
        Err(DemoError::NotReady)
    }

    /// Upstreams of a pool.
    pub(crate) fn pool(&self, name: &str) -> Vec<&UpstreamServer> {
        self.upstreams
            .iter()
            .filter(|u| u.spec().pool.as_str() == name)
            .collect()
    }

    /// Marks an upstream as leaving, everywhere that it would show.
    pub(crate) fn leave(&self, upstream: &UpstreamServer) {
        let now = self.clock.now();
        upstream.faults().set_leaving(true);
        self.witness.mark_leaving(now, upstream.address());
        self.platform
            .with_list(|x| x.set_state(now, upstream.address(), ListedState::Leaving));
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_upstreams(
    workers: &Workers,
    clock: Clock,
    deployment: &Deployment,
    witness: &Arc<Witness>,
) -> Result<Vec<UpstreamServer>, DemoError> {
    let start = |spec| UpstreamServer::start(workers, clock, loopback(), spec, Arc::clone(witness));
    let started: std::io::Result<Vec<UpstreamServer>> =
        deployment.upstreams().into_iter().map(start).collect();
    started.context(StartSnafu {
        what: "an upstream's stand-in",
    })
}

/// Settings as they would stand in a file, so that the demo runs the same
/// checks as a daemon.
fn settings(hall: &str, platform: SocketAddr) -> Result<Settings, DemoError> {
    let mut text = format!(
        "[instance]\nhall = {hall}\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\nthreads = 2\n\
         [platform]\nkey-value = {platform}\ninstances = {platform}\n\
         [callers]\nanswer-lifetime-ms = 1000\n[operators]\n"
    );
    for (name, credential) in OPERATORS {
        let digest = jd_types::CredentialDigest::of(credential);
        text.push_str(&format!("{name} = {digest}\n"));
    }
    let raw = RawSettings::parse("demo", &text);
    let checked = raw.and_then(|r| Settings::try_from(&r));
    checked.map_err(|e| DemoError::Command {
        line: CompactString::const_new("settings"),
        message: compact_str::format_compact!("{e}"),
    })
}
