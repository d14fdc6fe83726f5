//! Everything around the instances of a soak.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
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

use crate::LinkMode;
use crate::Recorder;
use crate::StoreMode;
use crate::config;
use crate::config::KEYS;
use crate::fake_stage_upstream::FakeStageUpstream;
use crate::fake_stage_upstream::Results;
use crate::fake_upstream::FakeUpstream;
use crate::relay::Relay;
use crate::store::Records;
use crate::store_api::StoreApi;

/// Upstreams and their services.
const ENGINES: [&str; 9] = [
    "desk", "desk", "desk", "model", "model", "model", "rank", "rank", "rank",
];
/// Further writes that it loses then, and whose revisions it gives out again.
const LOST: u32 = 30;
/// How long instances have to see these.
const SEEN_WITHIN: Duration = Duration::from_millis(300);
/// How long the store is away until it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);
/// After which time the operator and the upstreams write again what it lost.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(400);
/// Where an instance answers, in the order of its settings.
const PORTS: [u16; 5] = [7_001, 7_002, 7_003, 7_004, 7_005];
/// The port of relays to the store, of upstreams, and of relays to these.
const SERVICE_PORT: u16 = 7_010;
/// How long an upstream that starts again is down.
const DOWN: Duration = Duration::from_millis(150);
/// From the first byte of a request that ends its upstream to that end.
const ENDS_AFTER: Duration = Duration::from_millis(40);
/// How long it is down then. Entries of the users' upstreams stay for that long.
const DOWN_BY_REQUEST: Duration = Duration::from_millis(900);
/// The last number of the first upstream's address; instances come before.
const FIRST_ENGINE: usize = 200;

/// An upstream behind its link.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) service: &'static str,
    pub(crate) handler: Served,
    pub(crate) link: Arc<Relay>,
}

/// What answers at an upstream's address.
#[derive(Debug)]
pub(crate) enum Served {
    Requests(Arc<FakeUpstream>),
    Pieces(Arc<FakeStageUpstream>),
}

impl Served {
    pub(crate) fn engine(&self) -> &FakeUpstream {
        match self {
            Served::Requests(engine) => engine,
            Served::Pieces(stage) => &stage.engine,
        }
    }
}

/// Everything around the instances: the store, upstreams, links, the operator.
#[derive(Debug)]
pub(crate) struct Environment {
    pub(crate) store: Arc<StoreApi>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) places: Vec<Place>,
    pub(crate) store_links: Vec<Arc<Relay>>,
    ended: Receiver<String>,
    network: [u8; 3],
    operator: Mutex<Operator>,
    _servers: Vec<HttpServer>,
}

/// What the operator has put in force.
#[derive(Debug)]
struct Operator {
    version: u64,
    keys: usize,
}

impl Environment {
    /// Everything for `instances` instances, on loopback addresses that begin
    /// with `network`.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        network: [u8; 3],
        instances: usize,
    ) -> std::io::Result<Environment> {
        let recorder = Arc::new(Recorder::default());
        let store = Arc::new(StoreApi::default());
        let results = Arc::new(Results::default());
        let listen = |address, handler: Arc<dyn Handler>| {
            let limits = ServerLimits::default();
            HttpServer::start(Arc::clone(executor), address, limits, handler)
        };
        let store_at = at(network, 1, SERVICE_PORT);
        let mut servers = vec![listen(store_at, Arc::clone(&store) as Arc<dyn Handler>)?];
        executor.spawn(Arc::clone(&store).expire()).detach();
        let links = (0..instances).map(|n| {
            let own = at(network, 2 + n, SERVICE_PORT);
            Relay::start(executor, own, store_at)
        });
        let store_links = links.collect::<std::io::Result<Vec<Arc<Relay>>>>()?;
        let (tx, ended) = async_channel::unbounded();
        let mut places = Vec::with_capacity(ENGINES.len());
        for (n, service) in ENGINES.into_iter().enumerate() {
            let address = at(network, FIRST_ENGINE + n, SERVICE_PORT);
            let link = Relay::start(
                executor,
                at(network, FIRST_ENGINE + n, SERVICE_PORT + 1),
                address,
            )?;
            let engine = FakeUpstream {
                id: Mutex::new(new_id()),
                born: AtomicU64::new(now_ms()),
                mode: Mutex::default(),
                limit: Mutex::default(),
                draining: AtomicBool::new(false),
                says_leaving: AtomicBool::new(false),
                recorder: Arc::clone(&recorder),
                results: Arc::clone(&results),
                ended: tx.clone(),
            };
            let (handler, served): (Arc<dyn Handler>, Served) = match service {
                "rank" => {
                    let address = link.address();
                    let stage = Arc::new(FakeStageUpstream { engine, address });
                    (
                        Arc::clone(&stage) as Arc<dyn Handler>,
                        Served::Pieces(stage),
                    )
                }
                _ => {
                    let engine = Arc::new(engine);
                    (
                        Arc::clone(&engine) as Arc<dyn Handler>,
                        Served::Requests(engine),
                    )
                }
            };
            servers.push(listen(address, handler)?);
            places.push(Place {
                service,
                handler: served,
                link,
            });
        }
        let environment = Environment {
            store,
            recorder,
            places,
            store_links,
            ended,
            network,
            operator: Mutex::new(Operator {
                version: 0,
                keys: KEYS.len(),
            }),
            _servers: servers,
        };
        for place in &environment.places {
            environment.register(place);
        }
        environment.configure();
        Ok(environment)
    }

    /// The settings of an instance.
    pub(crate) fn settings(&self, instance: usize) -> String {
        let [callers, ready, locate, peers, metrics] =
            PORTS.map(|port| at(self.network, 2 + instance, port));
        let store = self.store_links[instance].address();
        format!(
            "[instance]\nname = soak-{instance}\nzone = hall-{}\ncallers = {callers}\n\
             ready = {ready}\nlocate = {locate}\npeers = {peers}\nmetrics = {metrics}\n\
             [store]\naddress = {store}\n[repeats]\nslack = 50\n",
            ["a", "b", "c"][instance % 3]
        )
    }

    pub(crate) fn callers_at(&self, instance: usize) -> SocketAddr {
        at(self.network, 2 + instance, PORTS[0])
    }

    pub(crate) fn ready_at(&self, instance: usize) -> SocketAddr {
        at(self.network, 2 + instance, PORTS[1])
    }

    /// Writes an upstream's entry as it is now.
    pub(crate) fn register(&self, place: &Place) {
        let engine = place.handler.engine();
        let id = engine.id();
        let state = match engine.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let entry = json!({
            "service": place.service, "addr": place.link.address(), "zone": "hall-a",
            "version": "v1", "slots": 16, "state": state, "cold_left_ms": 0, "seq": 1,
            "born": engine.born.load(Ordering::Relaxed),
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Another upstream has the address from now on.
    pub(crate) fn replace(&self, place: &Place) {
        let engine = place.handler.engine();
        let gone = std::mem::replace(&mut *lock(&engine.id), new_id());
        engine.draining.store(false, Ordering::Relaxed);
        engine.says_leaving.store(false, Ordering::Relaxed);
        self.store.remove(&format!("servers/{gone}"));
        self.register(place);
    }

    /// The store comes back from a copy. The operator and the upstreams write again what
    /// they wrote, and entries of upstreams that are gone end.
    pub(crate) async fn restore(&self, copy: Records) {
        for n in 0..LOST {
            self.store.put("op/other", &json!(n));
        }
        Timer::after(SEEN_WITHIN).await;
        *lock(&self.store.mode) = Some(StoreMode::Refuses);
        Timer::after(AWAY).await;
        self.store.restore(copy);
        *lock(&self.store.mode) = None;
        Timer::after(WRITTEN_AGAIN_AFTER).await;
        // A new version, under a revision that was given out before.
        self.configure();
        for place in &self.places {
            self.register(place);
        }
        let there: Vec<String> = self
            .places
            .iter()
            .map(|p| p.handler.engine().id())
            .collect();
        let listed = lock(&self.store.records).range("servers/", "");
        let gone = listed.iter().filter(|r| {
            let id = r.key.strip_prefix("servers/").unwrap_or_default();
            !there.iter().any(|t| t == id)
        });
        for record in gone {
            self.store.remove(&record.key);
        }
    }

    /// An upstream ends, with all that it holds and its connections, and starts again
    /// under its identity.
    pub(crate) async fn start_again(&self, place: &Place) {
        place.link.set(Some(LinkMode::Resets));
        place.handler.engine().results.lose(place.link.address());
        Timer::after(DOWN).await;
        place
            .handler
            .engine()
            .born
            .store(now_ms(), Ordering::Relaxed);
        self.register(place);
        place.link.set(None);
    }

    /// Ends for good the upstreams whose requests end them; each is back after a while
    /// under another identity.
    pub(crate) async fn end_by_requests(self: Arc<Self>, executor: Arc<Executor<'static>>) {
        while let Ok(id) = self.ended.recv().await {
            let environment = Arc::clone(&self);
            let ending = async move {
                let mut places = environment.places.iter();
                if let Some(place) = places.find(|p| p.handler.engine().id() == id) {
                    environment.end(place).await;
                }
            };
            executor.spawn(ending).detach();
        }
    }

    async fn end(&self, place: &Place) {
        Timer::after(ENDS_AFTER).await;
        place.link.set(Some(LinkMode::Refuses));
        Timer::after(DOWN_BY_REQUEST).await;
        self.replace(place);
        place.link.set(None);
    }

    /// Puts the next configuration in force; its version.
    pub(crate) fn configure(&self) -> u64 {
        let mut operator = lock(&self.operator);
        operator.version += 1;
        self.write_config(&operator);
        operator.version
    }

    /// Takes a credential away; which one, if there was one left to take.
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
        let config = config::config(operator.version, operator.keys);
        self.store.put("op/config", &config);
    }
}

/// The time of day in milliseconds since 1970, by which upstreams tell their starts.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |s| s.as_millis() as u64)
}

fn new_id() -> String {
    format!("i-{:08x}", fastrand::u32(..))
}

fn at(network: [u8; 3], last: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(last).unwrap_or(u8::MAX);
    let [a, b, c] = network;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, last)), port)
}
