//! Connections to upstreams and other servers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Async;
use http::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use jd_policy::ConnectionKey;
use jd_policy::ConnectionMonitor;
use jd_types::MonoTime;
use smol_hyper::rt::FuturesIo;

use crate::Body;
use crate::Clock;
use crate::HttpResponse;
use crate::SendError;
use crate::lock;
use crate::with_timeout;

/// How long a connection may take to open: many round trips within a region. One
/// whose first packet was lost is sooner opened anew, elsewhere, than waited for:
/// systems send that packet again after a second.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
/// Idle connections that are kept for one address.
const MAX_IDLE: usize = 64;
/// How long a connection may lie idle and still be used. Upstreams close idle
/// connections, some without notice; a request that crosses the close is lost,
/// and nobody can tell whether it ran.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// One open connection. Dropping it closes it.
pub(crate) struct Connection {
    address: SocketAddr,
    key: ConnectionKey,
    sender: SendRequest<Body>,
    idle_since: MonoTime,
    _driver: Task<()>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Connection({}, {:?})", self.address, self.key)
    }
}

#[derive(Debug, Default)]
struct PerAddress {
    watch: ConnectionMonitor,
    idle: Vec<Connection>,
}

/// What the pool and the answers in progress share.
#[derive(Debug)]
pub(crate) struct Shared {
    clock: Clock,
    addresses: Mutex<HashMap<SocketAddr, PerAddress>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PerAddress>> {
        lock(&self.addresses)
    }

    pub(crate) fn heard(&self, c: &Connection) {
        let now = self.clock.now();
        if let Some(per) = self.lock().get_mut(&c.address) {
            per.watch.received(now, c.key, false);
        }
    }

    pub(crate) fn put_back(&self, mut c: Connection) {
        let now = self.clock.now();
        c.idle_since = now;
        let mut addresses = self.lock();
        let per = addresses.entry(c.address).or_default();
        per.watch.received(now, c.key, true);
        match per.idle.len() < MAX_IDLE {
            true => per.idle.push(c),
            false => per.watch.closed(c.key),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut addresses = self.lock();
        let per = addresses.get_mut(&address)?;
        // The newest first: what lies longest is likeliest to be forgotten
        // by something in between.
        let now = self.clock.now();
        while let Some(c) = per.idle.pop() {
            if c.sender.is_ready() && now.since(c.idle_since) < MAX_IDLE_TIME {
                return Some(c);
            }
            per.watch.closed(c.key);
        }
        None
    }

    fn sent(&self, c: &Connection) {
        let now = self.clock.now();
        self.lock()
            .entry(c.address)
            .or_default()
            .watch
            .sent(now, c.key);
    }

    fn closed(&self, address: SocketAddr, key: ConnectionKey) {
        if let Some(per) = self.lock().get_mut(&address) {
            per.watch.closed(key);
        }
    }

    fn judge(&self, address: SocketAddr, key: ConnectionKey, patience: Duration) -> usize {
        let now = self.clock.now();
        let mut addresses = self.lock();
        let Some(per) = addresses.get_mut(&address) else {
            return 0;
        };
        let retired = per.watch.retire_silent(now, key, patience);
        per.idle.retain(|c| !retired.contains(&c.key));
        retired.len()
    }
}

/// Connections to many addresses, kept for reuse.
#[derive(Debug, Clone)]
pub struct HttpPool {
    executor: Arc<Executor<'static>>,
    shared: Arc<Shared>,
}

impl HttpPool {
    /// A pool without connections, whose connections run on `executor`.
    pub fn new(executor: Arc<Executor<'static>>, clock: Clock) -> HttpPool {
        let addresses = Mutex::new(HashMap::new());
        HttpPool {
            executor,
            shared: Arc::new(Shared { clock, addresses }),
        }
    }

    /// Sends `req` to `address` and waits for the head of the answer, at most
    /// `patience`. `None` means silence: the connection, and the older ones
    /// that were as silent, are retired. `fresh` asks for a new connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Body>,
        patience: Duration,
        fresh: bool,
    ) -> Option<Result<HttpResponse, SendError>> {
        self.send_if(address, req, patience, fresh, || true).await
    }

    /// Closes the idle connections to an address. Who answered there has ended, and
    /// a request on one of them might wait for an answer that cannot come.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(per) = self.shared.lock().get_mut(&address) {
            for c in per.idle.drain(..) {
                per.watch.closed(c.key);
            }
        }
    }

    /// Whether anybody answers at an address, on a connection of its own.
    pub async fn probe(&self, address: SocketAddr) -> ProbeResult {
        let opening = Async::<TcpStream>::connect(address);
        match with_timeout(CONNECT_WITHIN, opening).await {
            Some(Ok(_)) => ProbeResult::Open,
            Some(Err(_)) => ProbeResult::Refused,
            None => ProbeResult::TimedOut,
        }
    }

    /// The same as [`HttpPool::send`]; `may_send` is asked each time that the request is about
    /// to be handed to an open connection, and nothing is sent if it says no. Opening a
    /// connection to an upstream that is gone can take long.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        req: Request<Body>,
        patience: Duration,
        fresh: bool,
        may_send: impl Fn() -> bool,
    ) -> Option<Result<HttpResponse, SendError>> {
        let mut req = req;
        if !fresh && let Some(c) = self.shared.take_idle(address) {
            if !may_send() {
                self.shared.put_back(c);
                return Some(Err(SendError::NotSent));
            }
            match self.send_on(c, req, patience).await {
                Sent::Returned(r) => req = *r,
                Sent::Done(result) => return *result,
            }
        }
        let c = match self.connect(address).await {
            Some(c) => c,
            None => return Some(Err(SendError::NotSent)),
        };
        if !may_send() {
            self.shared.put_back(c);
            return Some(Err(SendError::NotSent));
        }
        match self.send_on(c, req, patience).await {
            Sent::Returned(_) => Some(Err(SendError::NotSent)),
            Sent::Done(result) => *result,
        }
    }

    async fn send_on(&self, mut c: Connection, req: Request<Body>, patience: Duration) -> Sent {
        let (address, key) = (c.address, c.key);
        self.shared.sent(&c);
        let answer = with_timeout(patience, c.sender.try_send_request(req)).await;
        match answer {
            Some(Ok(res)) => {
                self.shared.heard(&c);
                let res = HttpResponse::new(res, c, Arc::clone(&self.shared));
                Sent::Done(Box::new(Some(Ok(res))))
            }
            Some(Err(mut e)) => {
                self.shared.closed(address, key);
                match e.take_message() {
                    // The library hands the request back only if no byte of it
                    // was written, so sending it again cannot run it twice.
                    Some(req) => Sent::Returned(Box::new(req)),
                    None => Sent::Done(Box::new(Some(Err(SendError::Broken)))),
                }
            }
            None => {
                let retired = self.shared.judge(address, key, patience);
                log::info!(address:% = address, retired; "silent connection");
                Sent::Done(Box::new(None))
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let opening = async {
            let io = Async::<TcpStream>::connect(address).await.ok()?;
            // Small messages in both directions: waiting for more only delays.
            io.get_ref().set_nodelay(true).ok()?;
            http1::handshake(FuturesIo::new(io)).await.ok()
        };
        let (sender, driver) = with_timeout(CONNECT_WITHIN, opening).await??;
        let now = self.shared.clock.now();
        let key = self
            .shared
            .lock()
            .entry(address)
            .or_default()
            .watch
            .opened(now);
        let driver = self.executor.spawn(async move {
            // An error here shows in the request's own result.
            let _ = driver.await;
        });
        Some(Connection {
            address,
            key,
            sender,
            idle_since: now,
            _driver: driver,
        })
    }
}

/// What a connection to an address came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It was opened.
    Open,
    /// It was refused: nobody listens there.
    Refused,
    /// Nothing came back.
    TimedOut,
}

enum Sent {
    /// Nothing was written; here is the request again.
    Returned(Box<Request<Body>>),
    /// Sent; what came of it, or none for silence.
    Done(Box<Option<Result<HttpResponse, SendError>>>),
}
