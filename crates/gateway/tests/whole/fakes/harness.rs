//! A gateway with fake upstreams and a fake store, and a caller.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use jd_gateway::Change;
use jd_gateway::Gateway;
use jd_gateway::Record;
use jd_net::Clock;
use jd_net::GrpcChannel;
use jd_net::HttpPool;
use jd_net::HttpServer;
use jd_net::Workers;
use jd_serving::Deployment;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::Incarnation;
use jd_types::Name;
use jd_wire::FollowReply;
use jd_wire::FollowRequest;
use jd_wire::GatewayClient;
use jd_wire::ReplicateResultsReply;
use jd_wire::ReplicateResultsRequest;
use tonic::Status;

use crate::fakes::CallerResponse;
use crate::fakes::FakeStore;
use crate::fakes::FakeUpstream;
use crate::fakes::Reply;
use crate::fakes::UpstreamLink;
use crate::fakes::caller::RESPONSE_TIMEOUT;
use crate::fakes::caller::read;
use crate::fakes::caller::request;
use crate::fakes::caller::resuming;
use crate::fakes::deployments::deployment;
use crate::fakes::deployments::entry;
use crate::fakes::deployments::staged_deployment;
use crate::fakes::member::Member;
use crate::fakes::start_gateway::start_gateway;

/// The counter of requests that a gateway forwarded, with its outcomes as labels.
const FORWARDS: &str = "jd_gateway_forwards_total{";

pub(crate) struct Harness {
    // Gateways and servers are dropped before the threads that run their tasks.
    pub(crate) gateway: Arc<Gateway>,
    fleet: Vec<Member>,
    servers: Vec<HttpServer>,
    pub(crate) store: Arc<FakeStore>,
    pub(crate) upstreams: Vec<Arc<FakeUpstream>>,
    callers: SocketAddr,
    peers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    link: Arc<UpstreamLink>,
    cuttable: bool,
    pool: HttpPool,
    workers: Workers,
    _remaining: RemainingTasks,
}

/// Runs the tasks that are ready when it is dropped, so that those of dropped servers end and
/// close their sockets.
struct RemainingTasks(Arc<Executor<'static>>);

impl Drop for RemainingTasks {
    fn drop(&mut self) {
        while self.0.try_tick() {}
    }
}

impl Harness {
    /// A gateway with one upstream for each list of replies.
    pub(crate) fn start(replies: Vec<Vec<Reply>>) -> Harness {
        Harness::start_with(replies, vec![Record::Deployment(Box::new(deployment()))])
    }

    /// The same with an upstream for the stage of `/staged/`.
    pub(crate) fn start_with_stage(replies: Vec<Vec<Reply>>, stage: Vec<Reply>) -> Harness {
        let records = vec![Record::Deployment(Box::new(staged_deployment()))];
        Harness::start_services(replies, vec![stage], records, false)
    }

    /// The same with another deployment.
    pub(crate) fn start_staged(
        deployment: Deployment,
        replies: Vec<Vec<Reply>>,
        stage: Vec<Reply>,
    ) -> Harness {
        let records = vec![Record::Deployment(Box::new(deployment))];
        Harness::start_services(replies, vec![stage], records, false)
    }

    /// The same with two upstreams for the stage, which are the last ones.
    pub(crate) fn start_with_two_stage_upstreams(
        replies: Vec<Vec<Reply>>,
        stage: Vec<Reply>,
    ) -> Harness {
        let records = vec![Record::Deployment(Box::new(staged_deployment()))];
        Harness::start_services(replies, vec![stage.clone(), stage], records, false)
    }

    /// The same, with gateways whose open connections to upstreams can be cut.
    pub(crate) fn start_cuttable(replies: Vec<Vec<Reply>>, stage: Vec<Reply>) -> Harness {
        let records = vec![Record::Deployment(Box::new(staged_deployment()))];
        Harness::start_services(replies, vec![stage.clone(), stage], records, true)
    }

    pub(crate) fn start_with(replies: Vec<Vec<Reply>>, records: Vec<Record>) -> Harness {
        Harness::start_services(replies, Vec::new(), records, false)
    }

    fn start_services(
        replies: Vec<Vec<Reply>>,
        stages: Vec<Vec<Reply>>,
        mut records: Vec<Record>,
        cuttable: bool,
    ) -> Harness {
        let workers = Workers::start(2).expect("threads");
        let executor: Arc<Executor<'static>> = workers.executor();
        let mut upstreams = Vec::new();
        let mut servers = Vec::new();
        let pool = replies.into_iter().map(|replies| ("pool", replies));
        let stages = stages.into_iter().map(|replies| ("stages", replies));
        for (n, (service, replies)) in pool.chain(stages).enumerate() {
            let (upstream, server) = FakeUpstream::start(&executor, replies);
            let id = format!("i-{n}");
            records.push(entry(
                &id,
                service,
                server.address(),
                UpstreamStart::UNKNOWN,
            ));
            upstreams.push(upstream);
            servers.push(server);
        }
        let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
        let store = Arc::new(FakeStore::new(records));
        let own = start_gateway(&executor, &store, cuttable);
        Harness {
            gateway: own.gateway,
            link: own.link,
            cuttable,
            store,
            upstreams,
            callers: own.callers,
            peers: own.peers,
            ready: own.ready,
            metrics: own.metrics,
            pool,
            _remaining: RemainingTasks(executor),
            workers,
            fleet: Vec::new(),
            servers,
        }
    }

    /// Writes an entry with this ID and start, at the address of one of the upstreams.
    pub(crate) fn announce(&self, id: &str, upstream: usize, start: UpstreamStart) {
        let address = self.servers[upstream].address();
        let record = entry(id, "pool", address, start);
        self.store.change(Change::Put(record));
    }

    /// Writes the entry of an upstream with a start and a software version.
    pub(crate) fn announce_version(&self, upstream: usize, start_ms: u64, version: &str) {
        let start = UpstreamStart::at_millis(start_ms);
        let software = SoftwareVersion::try_from(version).expect("a version");
        self.rewrite_entry(upstream, |entry| {
            entry.start = start;
            entry.software = software;
        });
    }

    /// Changes the zone in an upstream's entry.
    pub(crate) fn set_zone(&self, upstream: usize, zone: &str) {
        let zone = Name::try_from(zone).expect("a name");
        self.rewrite_entry(upstream, |entry| entry.zone = zone);
    }

    /// Changes the cold time left in an upstream's entry.
    pub(crate) fn set_cold(&self, upstream: usize, left: Duration) {
        self.rewrite_entry(upstream, |entry| entry.cold_left = left);
    }

    /// Changes the software version in an upstream's entry.
    pub(crate) fn set_software(&self, upstream: usize, version: &str) {
        let software = SoftwareVersion::try_from(version).expect("a version");
        self.rewrite_entry(upstream, |entry| entry.software = software);
    }

    /// Marks an upstream as leaving in its entry.
    #[allow(dead_code, reason = "used by the tests of restores")]
    pub(crate) fn leave(&self, upstream: usize) {
        self.rewrite_entry(upstream, |entry| entry.leaving = true);
    }

    fn rewrite_entry(&self, upstream: usize, change: impl FnOnce(&mut UpstreamEntry)) {
        let address = self.servers[upstream].address();
        let mut record = entry(
            &format!("i-{upstream}"),
            "pool",
            address,
            UpstreamStart::UNKNOWN,
        );
        if let Record::Upstream(entry) = &mut record {
            change(entry);
        }
        self.store.change(Change::Put(record));
    }

    /// The address of an upstream.
    pub(crate) fn address(&self, upstream: usize) -> SocketAddr {
        self.servers[upstream].address()
    }

    pub(crate) fn executor(&self) -> Arc<Executor<'static>> {
        self.workers.executor()
    }

    /// Starts further gateways that use the same store.
    pub(crate) fn add_gateways(&mut self, count: usize) {
        for _ in 0..count {
            self.add_gateway(0, false);
        }
    }

    /// Kills all gateways at once and starts as many again with the same store.
    pub(crate) fn restart_gateways(&mut self) {
        let count = self.fleet.len();
        self.fleet.clear();
        let executor = self.workers.executor();
        let own = start_gateway(&executor, &self.store, self.cuttable);
        self.gateway = own.gateway;
        self.callers = own.callers;
        self.peers = own.peers;
        self.ready = own.ready;
        self.metrics = own.metrics;
        self.link = own.link;
        self.add_gateways(count);
    }

    /// Kills `count` of the added gateways without a shutdown, as a power failure would.
    pub(crate) fn kill_gateways(&mut self, count: usize) {
        let kept = self.fleet.len().saturating_sub(count);
        self.fleet.truncate(kept);
    }

    /// The addresses at which the gateways reach each other, those of the added ones first.
    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let added = self.fleet.iter().map(|m| m.peers);
        added.chain([self.peers]).collect()
    }

    /// Kills one gateway without a shutdown. If it is the first one, an added one takes its place.
    pub(crate) fn kill_gateway(&mut self, peers: SocketAddr) {
        if peers == self.peers {
            let first = self.fleet.remove(0);
            self.gateway = first.gateway;
            self.store = first.store;
            self.callers = first.callers;
            self.peers = first.peers;
            self.ready = first.ready;
            self.metrics = first.metrics;
            self.link = first.link;
        }
        self.fleet.retain(|m| m.peers != peers);
    }

    /// The address for callers of the first gateway.
    #[allow(dead_code, reason = "used by the tests of stops")]
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// The gateway at a peer address.
    pub(crate) fn gateway_at(&self, peers: SocketAddr) -> Arc<Gateway> {
        let member = self.fleet.iter().find(|m| m.peers == peers);
        Arc::clone(member.map_or(&self.gateway, |m| &m.gateway))
    }

    /// The path of the gateway at a peer address to the upstreams.
    pub(crate) fn link(&self, peers: SocketAddr) -> &Arc<UpstreamLink> {
        let member = self.fleet.iter().find(|m| m.peers == peers);
        member.map_or(&self.link, |m| &m.link)
    }

    /// Waits until all gateways have announced themselves, and have seen all of the store's
    /// changes.
    pub(crate) async fn until_all_listed(&self) {
        self.until_announced(self.fleet.len() + 1).await;
        while !self.stores().all(|s| s.is_caught_up()) {
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Starts another gateway and returns its view of the store. The store refuses this gateway
    /// `refused_pages` pages other than first pages, and every call if `unavailable`.
    pub(crate) fn add_gateway(
        &mut self,
        refused_pages: usize,
        unavailable: bool,
    ) -> Arc<FakeStore> {
        let executor = self.workers.executor();
        let store = Arc::new(self.store.for_another_instance());
        store.refuse_next_pages(refused_pages);
        store.set_unavailable(unavailable);
        let started = start_gateway(&executor, &store, self.cuttable);
        self.fleet.push(Member {
            store: Arc::clone(&store),
            callers: started.callers,
            ready: started.ready,
            peers: started.peers,
            metrics: started.metrics,
            gateway: started.gateway,
            link: started.link,
        });
        store
    }

    /// Sends a follow request to the gateway that was added last, and waits for its updates.
    pub(crate) async fn follow(&self, asked: FollowRequest) -> FollowReply {
        let last = self.fleet.last().expect("a gateway");
        let channel = GrpcChannel::new(self.workers.executor(), last.peers);
        let reply = GatewayClient::new(channel).follow(asked).await;
        reply.expect("an answer").into_inner()
    }

    /// Sends an update of stored results to the gateway that was added last.
    pub(crate) async fn replicate(
        &self,
        update: ReplicateResultsRequest,
    ) -> Result<ReplicateResultsReply, Status> {
        let last = self.fleet.last().expect("a gateway");
        let channel = GrpcChannel::new(self.workers.executor(), last.peers);
        let reply = GatewayClient::new(channel).replicate_results(update).await;
        reply.map(tonic::Response::into_inner)
    }

    /// The view of the store of each gateway, those of the added gateways first.
    fn stores(&self) -> impl Iterator<Item = &Arc<FakeStore>> {
        let added = self.fleet.iter().map(|m| &m.store);
        added.chain([&self.store])
    }

    /// Waits until exactly two gateways watch the store and have seen all of its changes.
    pub(crate) async fn until_two_watch(&self) {
        let watch = |s: &&Arc<FakeStore>| s.watches() > 0 && s.is_caught_up();
        let all = || self.stores().map(|s| s.watches()).sum::<usize>();
        while self.stores().filter(watch).count() != 2 || all() != 2 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Makes the store refuse the gateways that watch it. Returns how many of the added
    /// gateways it still serves.
    pub(crate) fn turn_away_watching(&self) -> usize {
        let watch = |s: &&Arc<FakeStore>| s.watches() > 0;
        let watching: Vec<&Arc<FakeStore>> = self.stores().filter(watch).collect();
        for store in &watching {
            store.set_unavailable(true);
        }
        let added = self.fleet.iter().map(|m| &m.store);
        added
            .filter(|s| !watching.iter().any(|w| Arc::ptr_eq(w, s)))
            .count()
    }

    /// Makes the store refuse the gateway with this peer address, or serve it again.
    pub(crate) fn turn_away(&self, peers: SocketAddr, refuses: bool) {
        self.store_of(peers).set_unavailable(refuses);
    }

    /// The store as the gateway with this peer address sees it.
    pub(crate) fn store_of(&self, peers: SocketAddr) -> &Arc<FakeStore> {
        let member = self.fleet.iter().find(|m| m.peers == peers);
        member.map_or(&self.store, |m| &m.store)
    }

    /// Makes the store refuse all gateways that run now.
    pub(crate) fn turn_away_all(&self) {
        for store in self.stores() {
            store.set_unavailable(true);
        }
    }

    /// Makes the store stop answering the gateways that watch it.
    pub(crate) fn silence_watching(&self) {
        for store in self.stores().filter(|s| s.watches() > 0) {
            store.stop_answering();
        }
    }

    /// Sends requests to the added gateways until `count` of them serve a path.
    pub(crate) async fn until_served_by(&self, path: &str, count: usize) {
        let mut serve = 0;
        while serve < count {
            serve = 0;
            for member in &self.fleet {
                let received = self.get(member.callers, path, "x", "key-1").await;
                serve += usize::from(received.status == 200);
            }
        }
    }

    /// Sends requests to each added gateway until it answers with `status`.
    pub(crate) async fn until_all_answer(&self, path: &str, status: u16) {
        for member in &self.fleet {
            while self.get(member.callers, path, "x", "key-1").await.status != status {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    }

    /// Waits until instances have written `count` entries. Returns the writer of the last one.
    pub(crate) async fn until_announced(&self, count: usize) -> Incarnation {
        loop {
            let written = self.store.announced_instances();
            match written.last() {
                Some(last) if written.len() >= count => return *last,
                _ => Timer::after(Duration::from_millis(5)).await,
            };
        }
    }

    /// Waits until the readiness probe of the gateway returns `expected`.
    pub(crate) async fn until_ready(&self, expected: bool) {
        loop {
            let status = self.get(self.ready, "/", "probe", "").await.status;
            if (status == StatusCode::OK.as_u16()) == expected {
                return;
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Sends a request with a valid credential.
    pub(crate) async fn ask(&self, path: &str, id: &str) -> CallerResponse {
        self.get(self.callers, path, id, "key-1").await
    }

    /// Sends a request with a body of so many bytes to the gateway with this peer address.
    pub(crate) async fn upload(
        &self,
        peers: SocketAddr,
        path: &str,
        id: &str,
        bytes: usize,
    ) -> CallerResponse {
        let member = self.fleet.iter().find(|m| m.peers == peers);
        let address = member.map_or(self.callers, |m| m.callers);
        let mut req = request(path, id, "key-1");
        *req.method_mut() = Method::POST;
        *req.body_mut() = jd_net::full(vec![b'x'; bytes]);
        match self.pool.send(address, req, RESPONSE_TIMEOUT, true).await {
            Some(Ok(response)) => read(response).await,
            other => panic!("no answer from {address}: {other:?}"),
        }
    }

    /// Sends a request to instance `n` of the fleet, modulo its size.
    pub(crate) async fn ask_instance(&self, n: usize, path: &str, id: &str) -> CallerResponse {
        let members = self.fleet.iter().map(|m| m.callers);
        let all: Vec<SocketAddr> = members.chain([self.callers]).collect();
        self.get(all[n % all.len()], path, id, "key-1").await
    }

    /// The sum of a counter over all gateways.
    pub(crate) async fn counter_total(&self, counter: &str) -> u64 {
        let mut sum = 0;
        for n in 0..=self.fleet.len() {
            let text = self.metrics_of(n).await;
            let lines = text.lines().filter_map(|l| l.strip_prefix(counter));
            sum += lines
                .filter_map(|l| l.trim().parse::<u64>().ok())
                .sum::<u64>();
        }
        sum
    }

    /// How often the gateway that [`ask_instance`](Self::ask_instance) asks forwarded a request.
    pub(crate) async fn forwards_of(&self, n: usize) -> u64 {
        let text = self.metrics_of(n).await;
        let lines = text.lines().filter(|l| l.starts_with(FORWARDS));
        let counts = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok());
        counts.sum()
    }

    async fn metrics_of(&self, n: usize) -> String {
        let members = self.fleet.iter().map(|m| m.metrics);
        let all: Vec<SocketAddr> = members.chain([self.metrics]).collect();
        self.get(all[n % all.len()], "/", "metrics", "").await.body
    }

    /// Sends a request whose head is at least `bytes` large.
    pub(crate) async fn ask_with_head(&self, path: &str, bytes: usize) -> CallerResponse {
        self.get(self.callers, path, &"x".repeat(bytes), "key-1")
            .await
    }

    pub(crate) async fn ask_with_key(&self, path: &str, key: &str) -> CallerResponse {
        self.get(self.callers, path, "x", key).await
    }

    /// Sends a request in HTTP/1.0 and returns all bytes of the response.
    pub(crate) async fn ask_in_http_1_0(&self, path: &str) -> String {
        let connecting = Async::<TcpStream>::connect(self.callers);
        let mut connection = connecting.await.expect("a connection");
        let head =
            format!("GET {path} HTTP/1.0\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n\r\n");
        let sent = connection.write_all(head.as_bytes()).await;
        sent.expect("a connection that takes a request");
        let mut response = String::new();
        // A reset ends a response as well.
        let _ = connection.read_to_string(&mut response).await;
        response
    }

    /// Runs `f` concurrently with the test.
    pub(crate) fn spawn<T: Send + 'static>(
        &self,
        f: impl Future<Output = T> + Send + 'static,
    ) -> async_executor::Task<T> {
        self.workers.spawn(f)
    }

    /// Forwards a request to the gateway with this peer address, as instances of earlier versions do
    /// that count no runs of other instances.
    pub(crate) async fn forward_uncounted(&self, peers: SocketAddr, path: &str, id: &str) {
        let mut req = request(path, id, "key-1");
        for name in ["age-ms", "runs", "excused-runs", "counted", "version"] {
            let name = format!("jd-forward-{name}").parse::<HeaderName>();
            let value = HeaderValue::from_static("0");
            req.headers_mut().insert(name.expect("a name"), value);
        }
        let sent = self.pool.send(peers, req, RESPONSE_TIMEOUT, true).await;
        if let Some(Ok(response)) = sent {
            read(response).await;
        }
    }

    /// Sends a request to the gateway with this peer address. A broken connection gives status 0.
    pub(crate) fn spawn_ask(
        &self,
        peers: SocketAddr,
        path: &'static str,
        id: &str,
    ) -> async_executor::Task<CallerResponse> {
        let member = self.fleet.iter().find(|m| m.peers == peers);
        let address = member.map_or(self.callers, |m| m.callers);
        let pool = self.pool.clone();
        let req = request(path, id, "key-1");
        self.workers.spawn(async move {
            let sent = pool.send(address, req, RESPONSE_TIMEOUT, true);
            match sent.await {
                Some(Ok(response)) => read(response).await,
                _ => CallerResponse::default(),
            }
        })
    }

    /// Has the gateway with this peer address resume a stream after its first event.
    pub(crate) async fn resume(
        &self,
        peers: SocketAddr,
        (path, key): (&str, &str),
        id: &str,
        resumes: &str,
    ) -> CallerResponse {
        let member = self.fleet.iter().find(|m| m.peers == peers);
        let address = member.map_or(self.callers, |m| m.callers);
        let req = resuming(path, id, key, resumes);
        match self.pool.send(address, req, RESPONSE_TIMEOUT, true).await {
            Some(Ok(response)) => read(response).await,
            other => panic!("no answer from {address}: {other:?}"),
        }
    }

    async fn get(&self, address: SocketAddr, path: &str, id: &str, key: &str) -> CallerResponse {
        let sent = self
            .pool
            .send(address, request(path, id, key), RESPONSE_TIMEOUT, true);
        match sent.await {
            Some(Ok(response)) => read(response).await,
            other => panic!("no answer from {address}: {other:?}"),
        }
    }
}
