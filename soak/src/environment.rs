//! The environment of the instances in a soak: store, upstreams, links and operator.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use jd_net::Handler;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::lock;
use serde_json::json;

use crate::Recorder;
use crate::StoreMode;
use crate::UpstreamEnd;
use crate::config;
use crate::config::KEYS;
use crate::fake_stage_upstream::FakeStageUpstream;
use crate::fake_stage_upstream::Results;
use crate::fake_store::FakeStore;
use crate::fake_upstream::FakeUpstream;
use crate::instance_links::InstanceLinks;
use crate::relay::Relay;
use crate::store::Records;
use crate::turns::Load;
use crate::upstream_changes::CRASH_DOWNTIME;

/// The services of the upstreams, one entry for each upstream.
const SERVICES: [&str; 9] = [
    "desk", "desk", "desk", "model", "model", "model", "rank", "rank", "rank",
];
/// Further upstreams of soaks in which software versions differ, so that two have each version.
const MORE_SERVICES: [&str; 1] = ["model"];
/// The software versions of upstreams.
pub(crate) const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Writes after the copy that a restore loses. The store assigns their revisions again.
const LOST_WRITES: u32 = 30;
/// The time for instances to read these writes before the store fails.
pub(crate) const READ_DELAY: Duration = Duration::from_millis(300);
/// The time for which the store is unavailable before it is restored from a copy.
const OUTAGE: Duration = Duration::from_millis(300);
/// The time after a restore at which the operator and the upstreams repeat the lost
/// writes.
const REWRITE_DELAY: Duration = Duration::from_millis(400);
/// The most items of a page of the store, as the platform's has them.
const PAGE_ITEMS: usize = 500;
/// The ports of an instance, in the order of its settings.
const PORTS: [u16; 5] = [7_001, 7_002, 7_003, PEER_PORT, 7_005];
/// The port at which an instance takes what others forward.
const PEER_PORT: u16 = 7_004;
/// The port of the store, of relays to it, and of upstreams. Relays to upstreams use the
/// next port.
const SERVICE_PORT: u16 = 7_010;
/// The first port of an instance's own links to upstreams.
const FIRST_LINK_PORT: u16 = 7_020;
/// The first port of an instance's own links to other instances.
const FIRST_FORWARD_PORT: u16 = 7_040;
/// The last octet of the first instance's address.
const FIRST_INSTANCE: usize = 2;
/// The last octet of the first upstream's address. Instances use lower numbers.
const FIRST_UPSTREAM: usize = 200;

/// An upstream and the link to it.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) service: &'static str,
    pub(crate) handler: UpstreamHandler,
    pub(crate) link: Arc<Relay>,
}

/// The handler at an upstream's address.
#[derive(Debug)]
pub(crate) enum UpstreamHandler {
    Requests(Arc<FakeUpstream>),
    Pieces(Arc<FakeStageUpstream>),
}

impl UpstreamHandler {
    pub(crate) fn fake(&self) -> &FakeUpstream {
        match self {
            UpstreamHandler::Requests(fake) => fake,
            UpstreamHandler::Pieces(stage) => &stage.fake,
        }
    }
}

/// The store, the upstreams, the links and the operator around the instances.
#[derive(Debug)]
pub(crate) struct Environment {
    pub(crate) store: Arc<FakeStore>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) store_links: Vec<Arc<Relay>>,
    pub(crate) instance_links: Vec<InstanceLinks>,
    pub(crate) ended: Receiver<String>,
    pub(crate) upstream_end: Mutex<UpstreamEnd>,
    /// The time from a crash to the replacement of the upstream.
    pub(crate) crash_downtime: Mutex<Duration>,
    network: [u8; 3],
    operator: Mutex<Operator>,
    pub(crate) load: Load,
    _servers: Vec<HttpServer>,
}

/// The configuration that the operator wrote last.
#[derive(Debug)]
struct Operator {
    version: u64,
    keys: usize,
}

impl Environment {
    /// Starts the environment of `instances` instances on loopback addresses that begin with
    /// `network`. Upstreams of one service have two software versions if `versions` is set.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        network: [u8; 3],
        instances: usize,
        versions: bool,
        load: Load,
    ) -> std::io::Result<Environment> {
        let recorder = Arc::new(Recorder::default());
        let store = Arc::new(FakeStore::new(PAGE_ITEMS));
        let results = Arc::new(Results::default());
        let listen = |address, handler: Arc<dyn Handler>| {
            let limits = ServerLimits::default();
            HttpServer::start(Arc::clone(executor), address, limits, handler)
        };
        let store_address = at(network, 1, SERVICE_PORT);
        let mut servers = vec![listen(
            store_address,
            Arc::clone(&store) as Arc<dyn Handler>,
        )?];
        executor.spawn(Arc::clone(&store).expire()).detach();
        let links = (0..instances).map(|n| {
            let own = at(network, FIRST_INSTANCE + n, SERVICE_PORT);
            Relay::start(executor, own, store_address)
        });
        let store_links = links.collect::<std::io::Result<Vec<Arc<Relay>>>>()?;
        let (tx, ended) = async_channel::unbounded();
        let more = if versions { &MORE_SERVICES[..] } else { &[] };
        let services = SERVICES.iter().chain(more).copied();
        let mut upstreams: Vec<Upstream> = Vec::new();
        for (n, service) in services.enumerate() {
            let address = at(network, FIRST_UPSTREAM + n, SERVICE_PORT);
            let link = Relay::start(
                executor,
                at(network, FIRST_UPSTREAM + n, SERVICE_PORT + 1),
                address,
            )?;
            let fake = FakeUpstream {
                id: Mutex::new(new_id()),
                started_ms: AtomicU64::new(unix_time_ms()),
                software: Mutex::new(match versions && service == "model" {
                    true if load != Load::LIGHT => {
                        let earlier = upstreams.iter().filter(|u| u.service == "model");
                        VERSIONS[earlier.count() % VERSIONS.len()]
                    }
                    true => VERSIONS[n % VERSIONS.len()],
                    false => VERSIONS[0],
                }),
                mode: Mutex::default(),
                limit: Mutex::default(),
                draining: AtomicBool::new(false),
                announces_leaving: AtomicBool::new(false),
                recorder: Arc::clone(&recorder),
                results: Arc::clone(&results),
                event_interval: load.event_interval,
                silences: load.silences,
                ended: tx.clone(),
            };
            let (handler, handler_kind): (Arc<dyn Handler>, UpstreamHandler) = match service {
                "rank" => {
                    let address = link.address();
                    let stage = Arc::new(FakeStageUpstream {
                        fake,
                        address,
                        load,
                        calls: AtomicUsize::new(0),
                    });
                    (
                        Arc::clone(&stage) as Arc<dyn Handler>,
                        UpstreamHandler::Pieces(stage),
                    )
                }
                _ => {
                    let fake = Arc::new(fake);
                    (
                        Arc::clone(&fake) as Arc<dyn Handler>,
                        UpstreamHandler::Requests(fake),
                    )
                }
            };
            servers.push(listen(address, handler)?);
            upstreams.push(Upstream {
                service,
                handler: handler_kind,
                link,
            });
        }
        let instance_links = (0..instances).map(|n| {
            let ports = FIRST_LINK_PORT..;
            let relays = ports.map(|port| at(network, FIRST_INSTANCE + n, port));
            let announced = upstreams.iter().map(|u| Arc::clone(&u.link));
            let others = (0..instances).filter(|other| *other != n);
            let forwards = others.zip(FIRST_FORWARD_PORT..).map(|(other, port)| {
                let relay = at(network, FIRST_INSTANCE + n, port);
                (relay, at(network, FIRST_INSTANCE + other, PEER_PORT))
            });
            InstanceLinks::start(executor, relays, announced, forwards)
        });
        let instance_links = instance_links.collect::<std::io::Result<Vec<InstanceLinks>>>()?;
        let env = Environment {
            instance_links,
            store,
            recorder,
            upstreams,
            store_links,
            ended,
            upstream_end: Mutex::default(),
            crash_downtime: Mutex::new(CRASH_DOWNTIME),
            network,
            operator: Mutex::new(Operator {
                version: 0,
                keys: KEYS.len(),
            }),
            load,
            _servers: servers,
        };
        for upstream in &env.upstreams {
            env.register(upstream);
        }
        env.configure();
        Ok(env)
    }

    /// The settings of an instance.
    pub(crate) fn settings(&self, instance: usize) -> String {
        let [callers, ready, locate, peers, metrics] =
            PORTS.map(|port| at(self.network, FIRST_INSTANCE + instance, port));
        let store = self.store_links[instance].address();
        // Tests with crowds set the memory themselves.
        let memory = match self.load {
            Load::LARGE => String::new(),
            load => format!("memory-mb = {}\n", load.memory_mb),
        };
        format!(
            "[instance]\nname = soak-{instance}\nzone = hall-{}\ncallers = {callers}\n\
             ready = {ready}\nlocate = {locate}\npeers = {peers}\nmetrics = {metrics}\n\
             {memory}first-start = {}\n\
             [store]\naddress = {store}\n[repeats]\nslack = 50\n\
             [stop]\ngrace-s = {}\n[upstreams]\nconnect-to = {}\n",
            ["a", "b", "c"][instance % 3],
            self.load.is_first_start,
            self.load.grace.as_secs(),
            self.instance_links[instance].setting(),
        )
    }

    pub(crate) fn callers_at(&self, instance: usize) -> SocketAddr {
        at(self.network, FIRST_INSTANCE + instance, PORTS[0])
    }

    /// Starts a link of a caller to an instance.
    pub(crate) fn link_to(
        &self,
        executor: &Arc<Executor<'static>>,
        instance: usize,
    ) -> std::io::Result<Arc<Relay>> {
        let any_port = at(self.network, 1, 0);
        Relay::start(executor, any_port, self.callers_at(instance))
    }

    pub(crate) fn ready_at(&self, instance: usize) -> SocketAddr {
        at(self.network, FIRST_INSTANCE + instance, PORTS[1])
    }

    pub(crate) fn locate_at(&self, instance: usize) -> SocketAddr {
        at(self.network, FIRST_INSTANCE + instance, PORTS[2])
    }

    /// Writes the current entry of an upstream to the store.
    pub(crate) fn register(&self, upstream: &Upstream) {
        let fake = upstream.handler.fake();
        let id = fake.id();
        let state = match fake.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let entry = json!({
            "service": upstream.service, "addr": upstream.link.address(), "zone": "hall-a",
            "version": *lock(&fake.software), "slots": 16, "state": state, "cold_left_ms": 0, "seq": 1,
            "born": fake.started_ms.load(Ordering::Relaxed),
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Upstreams of this software version that answer with streams and get new requests.
    pub(crate) fn serving(&self, software: &str) -> usize {
        let models = self.upstreams.iter().filter(|u| u.service == "model");
        let fakes = models.map(|u| u.handler.fake());
        let serve = fakes.filter(|fake| {
            let is_leaving = fake.draining.load(Ordering::Relaxed)
                || fake.announces_leaving.load(Ordering::Relaxed);
            *lock(&fake.software) == software && !is_leaving && lock(&fake.mode).is_none()
        });
        serve.count()
    }

    /// Restores the store from a copy after an outage. Then the operator and the upstreams
    /// repeat their writes, and entries of upstreams that are gone are removed.
    pub(crate) async fn restore(&self, copy: Records) {
        for n in 0..LOST_WRITES {
            self.store.put("op/other", &json!(n));
        }
        Timer::after(READ_DELAY).await;
        *lock(&self.store.mode) = Some(StoreMode::Refuses);
        Timer::after(OUTAGE).await;
        self.store.restore(copy);
        *lock(&self.store.mode) = None;
        Timer::after(REWRITE_DELAY).await;
        // A new configuration version, under a revision that the store already assigned before.
        self.configure();
        for upstream in &self.upstreams {
            self.register(upstream);
        }
        let present: Vec<String> = self
            .upstreams
            .iter()
            .map(|p| p.handler.fake().id())
            .collect();
        let listed = lock(&self.store.records).range("servers/", "");
        let stale = listed.iter().filter(|r| {
            let id = r.key.strip_prefix("servers/").unwrap_or_default();
            !present.iter().any(|t| t == id)
        });
        for record in stale {
            self.store.remove(&record.key);
        }
    }

    /// Writes the next configuration and returns its version.
    pub(crate) fn configure(&self) -> u64 {
        let mut operator = lock(&self.operator);
        operator.version += 1;
        self.write_config(&operator);
        operator.version
    }

    /// Revokes a credential and returns it, or `None` if only the first one is left.
    pub(crate) fn revoke(&self) -> Option<&'static str> {
        let mut operator = lock(&self.operator);
        if operator.keys <= 1 {
            return None;
        }
        operator.keys -= 1;
        operator.version += 1;
        self.write_config(&operator);
        Some(KEYS[operator.keys])
    }

    pub(crate) fn version(&self) -> u64 {
        lock(&self.operator).version
    }

    fn write_config(&self, operator: &Operator) {
        let config = config::config(operator.version, operator.keys, self.load);
        self.store.put("op/config", &config);
    }
}

/// Milliseconds since 1970, in which upstreams state the time of their start.
pub(crate) fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |s| s.as_millis() as u64)
}

/// The instance that connects from an address; none for other addresses.
pub(crate) fn instance_at(client: SocketAddr) -> Option<usize> {
    match client.ip() {
        IpAddr::V4(ip) if ip != Ipv4Addr::LOCALHOST => {
            usize::from(ip.octets()[3]).checked_sub(FIRST_INSTANCE)
        }
        _ => None,
    }
}

pub(crate) fn new_id() -> String {
    format!("i-{:08x}", fastrand::u32(..))
}

fn at(network: [u8; 3], last: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(last).unwrap_or(u8::MAX);
    let [a, b, c] = network;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, last)), port)
}
