//! HTTP/1.1 connection pool for upstreams and other servers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use futures_lite::AsyncReadExt;
use http::Request;
use http::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use jd_policy::ConnectionKey;
use jd_policy::ConnectionMonitor;
use jd_types::MonoTime;
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;

use crate::AnswerMemory;
use crate::Body;
use crate::Clock;
use crate::Connector;
use crate::HttpResponse;
use crate::SendError;
use crate::TcpConnector;
use crate::connection_progress::ConnectionProgress;
use crate::limited_read::LimitedRead;
use crate::limited_read::MAX_BUFFER_BYTES;
use crate::lock;
use crate::tracked_body::TrackedBody;
use crate::with_timeout;

/// Timeout for opening a connection: many round trips within a region. If the first packet
/// is lost, the operating system sends it again only after one second, so that connecting
/// again, to another address, is faster than waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 64;
/// Maximum idle time after which a connection is still reused. Upstreams close idle
/// connections, some without notice. A request that is sent while its connection is being
/// closed is lost, and whether it ran is unknown.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Size of the socket send buffer, in bytes. A request counts as written once it is in that buffer, so that
/// a large one could never be found unread.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// An open connection, which is closed when dropped.
pub(crate) struct Connection {
    address: SocketAddr,
    key: ConnectionKey,
    sender: SendRequest<TrackedBody>,
    idle_since: MonoTime,
    reused: bool,
    progress: Arc<ConnectionProgress>,
    _driver: Task<()>,
}

impl Connection {
    /// True once the whole request was passed on to the operating system.
    pub(crate) fn is_request_written(&self) -> bool {
        self.progress.is_request_written()
    }

    /// True if an earlier request was sent on the connection.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Connection({}, {:?})", self.address, self.key)
    }
}

#[derive(Debug, Default)]
struct AddressPool {
    monitor: ConnectionMonitor,
    idle: Vec<Connection>,
}

/// State shared by the pool and the responses in progress.
#[derive(Debug)]
pub(crate) struct PoolState {
    clock: Clock,
    addresses: Mutex<HashMap<SocketAddr, AddressPool>>,
}

impl PoolState {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressPool>> {
        lock(&self.addresses)
    }

    pub(crate) fn record_received(&self, c: &Connection) {
        c.progress.record();
        let now = self.clock.now();
        if let Some(pool) = self.lock().get_mut(&c.address) {
            pool.monitor.received(now, c.key, false);
        }
    }

    pub(crate) fn put_back(&self, mut c: Connection) {
        let now = self.clock.now();
        c.idle_since = now;
        c.reused = true;
        let mut addresses = self.lock();
        let pool = addresses.entry(c.address).or_default();
        pool.monitor.received(now, c.key, true);
        match pool.idle.len() < MAX_IDLE {
            true => pool.idle.push(c),
            false => pool.monitor.closed(c.key),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut addresses = self.lock();
        let pool = addresses.get_mut(&address)?;
        // The most recently used connection first: a middlebox is most likely to have
        // dropped its state for connections that have been idle for long.
        let now = self.clock.now();
        while let Some(c) = pool.idle.pop() {
            if c.sender.is_ready() && now.since(c.idle_since) < MAX_IDLE_TIME {
                return Some(c);
            }
            pool.monitor.closed(c.key);
        }
        None
    }

    fn record_sent(&self, c: &Connection) {
        let now = self.clock.now();
        self.lock()
            .entry(c.address)
            .or_default()
            .monitor
            .sent(now, c.key);
    }

    /// Records that a connection is closed whose response is not read to its end.
    pub(crate) fn record_dropped(&self, c: &Connection) {
        self.record_closed(c.address, c.key);
    }

    fn record_closed(&self, address: SocketAddr, key: ConnectionKey) {
        if let Some(pool) = self.lock().get_mut(&address) {
            pool.monitor.closed(key);
        }
    }

    fn retire_silent(&self, address: SocketAddr, key: ConnectionKey, timeout: Duration) -> usize {
        let now = self.clock.now();
        let mut addresses = self.lock();
        let Some(pool) = addresses.get_mut(&address) else {
            return 0;
        };
        let retired = pool.monitor.retire_silent(now, key, timeout);
        pool.idle.retain(|c| !retired.contains(&c.key));
        retired.len()
    }
}

/// A pool of connections to many addresses.
#[derive(Debug, Clone)]
pub struct HttpPool {
    executor: Arc<Executor<'static>>,
    connector: Arc<dyn Connector>,
    shared: Arc<PoolState>,
    memory: Arc<AnswerMemory>,
}

impl HttpPool {
    /// Creates an empty pool, whose connections run on `executor`.
    pub fn new(executor: Arc<Executor<'static>>, clock: Clock) -> HttpPool {
        HttpPool::with_connector(executor, clock, Arc::new(TcpConnector))
    }

    /// Creates an empty pool, whose connections are opened by `connector`.
    pub fn with_connector(
        executor: Arc<Executor<'static>>,
        clock: Clock,
        connector: Arc<dyn Connector>,
    ) -> HttpPool {
        let addresses = Mutex::new(HashMap::new());
        HttpPool {
            executor,
            connector,
            shared: Arc::new(PoolState { clock, addresses }),
            memory: AnswerMemory::unbounded(),
        }
    }

    /// The same pool of connections, whose responses take their memory from `memory`. Without it, the
    /// sum of what is read has no bound.
    pub fn bounded_by(mut self, memory: &Arc<AnswerMemory>) -> HttpPool {
        self.memory = Arc::clone(memory);
        self
    }

    /// Sends `req` to `address` and waits at most `timeout` for the head of the response.
    ///
    /// Returns none on a timeout. The connection is then retired, together with older
    /// connections to the address that have been silent as long. `new_connection` is true
    /// if idle connections must not be used.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Body>,
        timeout: Duration,
        new_connection: bool,
    ) -> Option<Result<HttpResponse, SendError>> {
        self.send_if(address, req, timeout, new_connection, |_| true)
            .await
    }

    /// Closes the idle connections to an address whose server has ended.
    ///
    /// A request on one of them might wait for a response that cannot arrive.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(pool) = self.shared.lock().get_mut(&address) {
            for c in pool.idle.drain(..) {
                pool.monitor.closed(c.key);
            }
        }
    }

    /// Closes the connections to an address that have been idle for as long as a response on another
    /// one is awaited. What lost the state of that one has most likely lost theirs.
    pub fn close_idle_for(&self, address: SocketAddr, silent_for: Duration) {
        let now = self.shared.clock.now();
        if let Some(AddressPool { monitor, idle }) = self.shared.lock().get_mut(&address) {
            idle.retain(|c| {
                let is_kept = now.since(c.idle_since) < silent_for;
                if !is_kept {
                    monitor.closed(c.key);
                }
                is_kept
            });
        }
    }

    /// The number of open connections to an address, idle or in use.
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        let addresses = self.shared.lock();
        addresses.get(&address).map_or(0, |p| p.monitor.len())
    }

    /// True if a connection to an address is open that the server has not closed: an idle one, or one
    /// that was opened before `time` and waits for a response. A later one may have been accepted
    /// for a server that has ended.
    pub fn is_connected(&self, address: SocketAddr, time: MonoTime) -> bool {
        let addresses = self.shared.lock();
        addresses.get(&address).is_some_and(|pool| {
            let is_open = |c: &Connection| c.sender.is_ready();
            pool.monitor.is_awaited_on_earlier(time) || pool.idle.iter().any(is_open)
        })
    }

    /// Checks whether a server accepts connections at an address, by opening a new one.
    pub async fn probe(&self, address: SocketAddr) -> ProbeResult {
        let opening = self.connector.connect(address);
        match with_timeout(CONNECT_TIMEOUT, opening).await {
            Some(Ok(_)) => ProbeResult::Open,
            Some(Err(_)) => ProbeResult::Refused,
            None => ProbeResult::TimedOut,
        }
    }

    /// The same, and whether the connection stays open for this long.
    pub async fn probe_for(&self, address: SocketAddr, time: Duration) -> ProbeResult {
        let opening = self.connector.connect(address);
        let mut connection = match with_timeout(CONNECT_TIMEOUT, opening).await {
            Some(Ok(connection)) => connection,
            Some(Err(_)) => return ProbeResult::Refused,
            None => return ProbeResult::TimedOut,
        };
        match with_timeout(time, connection.read(&mut [0])).await {
            Some(Ok(0) | Err(_)) => ProbeResult::Closed,
            Some(Ok(_)) | None => ProbeResult::Open,
        }
    }

    /// Sends a request like [`HttpPool::send`], but only while `may_send` returns true.
    ///
    /// `may_send` is called each time the request is about to be written to an open
    /// connection, because conditions can change while a connection is opened: for an
    /// upstream that is gone, this can take long. It may change headers that tell a time.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        req: Request<Body>,
        timeout: Duration,
        new_connection: bool,
        may_send: impl Fn(&mut Request<Body>) -> bool,
    ) -> Option<Result<HttpResponse, SendError>> {
        let mut req = req;
        if !new_connection && let Some(c) = self.shared.take_idle(address) {
            if !may_send(&mut req) {
                self.shared.put_back(c);
                return Some(Err(SendError::NotSent));
            }
            match self.send_on(c, req, timeout).await {
                Sent::Returned(r) => req = *r,
                Sent::Done(result) => return *result,
            }
        }
        let c = match self.connect(address).await {
            Some(c) => c,
            None => return Some(Err(SendError::NotSent)),
        };
        if !may_send(&mut req) {
            self.shared.put_back(c);
            return Some(Err(SendError::NotSent));
        }
        match self.send_on(c, req, timeout).await {
            Sent::Returned(_) => Some(Err(SendError::NotSent)),
            Sent::Done(result) => *result,
        }
    }

    async fn send_on(&self, mut c: Connection, req: Request<Body>, timeout: Duration) -> Sent {
        let (address, key) = (c.address, c.key);
        self.shared.record_sent(&c);
        let mut cancelled = CancelGuard {
            shared: &self.shared,
            address,
            key,
            is_armed: true,
        };
        let req = req.map(|body| TrackedBody::begin(body, &c.progress));
        let result = with_timeout(timeout, c.sender.try_send_request(req)).await;
        cancelled.is_armed = false;
        match result {
            Some(Ok(res)) if !is_final(res.status()) => {
                self.shared.record_closed(address, key);
                let status = res.status().as_u16();
                Sent::Done(Box::new(Some(Err(SendError::InvalidStatus { status }))))
            }
            Some(Ok(res)) => {
                self.shared.record_received(&c);
                let res =
                    HttpResponse::new(res, c, Arc::clone(&self.shared), Arc::clone(&self.memory));
                Sent::Done(Box::new(Some(Ok(res))))
            }
            Some(Err(mut e)) => {
                self.shared.record_closed(address, key);
                match e.take_message() {
                    // hyper returns the request only if no byte of it was written, so that
                    // sending it again cannot run it twice.
                    Some(req) => Sent::Returned(Box::new(req.map(TrackedBody::into_body))),
                    None => Sent::Done(Box::new(Some(Err(SendError::Broken)))),
                }
            }
            None => {
                let retired = self.shared.retire_silent(address, key, timeout);
                log::info!(
                    address:% = address, retired;
                    "no response on a connection; retired it and older silent ones"
                );
                Sent::Done(Box::new(None))
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let progress = ConnectionProgress::new(address);
        let opening = async {
            let io = self.connector.connect(address).await.ok()?;
            // Messages are small in both directions, so that Nagle's algorithm would only
            // delay them.
            io.get_ref().set_nodelay(true).ok()?;
            sockopt::set_socket_send_buffer_size(io.get_ref(), SEND_BUFFER_BYTES).ok()?;
            let io = LimitedRead::new(io, Some(Arc::clone(&progress)));
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_BUFFER_BYTES);
            builder.handshake(FuturesIo::new(io)).await.ok()
        };
        let (sender, driver) = with_timeout(CONNECT_TIMEOUT, opening).await??;
        let now = self.shared.clock.now();
        let key = self
            .shared
            .lock()
            .entry(address)
            .or_default()
            .monitor
            .opened(now);
        let driver = self.executor.spawn(async move {
            // Errors are reported by the result of the request.
            let _ = driver.await;
        });
        Some(Connection {
            address,
            key,
            sender,
            idle_since: now,
            reused: false,
            progress,
            _driver: driver,
        })
    }
}

/// True for the status of a response that ends an exchange (RFC 9110, section 15). 101 answers a wish for
/// another protocol, which no request of a pool has.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The result of opening a connection to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was opened.
    Open,
    /// The connection was opened and closed at once.
    Closed,
    /// The connection was refused, so no process listens at the address.
    Refused,
    /// There was no reply within the timeout.
    TimedOut,
}

/// Records that a connection is closed if the request on it is dropped before its response.
struct CancelGuard<'a> {
    shared: &'a PoolState,
    address: SocketAddr,
    key: ConnectionKey,
    is_armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.shared.record_closed(self.address, self.key);
        }
    }
}

enum Sent {
    /// Nothing was written, and the request is returned.
    Returned(Box<Request<Body>>),
    /// The request was sent. Contains its result, or none after a timeout.
    Done(Box<Option<Result<HttpResponse, SendError>>>),
}
