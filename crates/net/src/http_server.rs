//! Serving HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::conn::auto;
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use smol_hyper::rt::SmolTimer;

use crate::Body;
use crate::lock;
use crate::write_stall_timeout::WriteStallTimeout;

/// What a handler returns.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// The number of the connection that a request came on, from 1, among those of
/// its server. In the request's extensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u32);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture;
}

/// Bounds on what a client may cost before it has shown who it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Open connections.
    pub connections: usize,
    /// Headers of one request.
    pub headers: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// How long a client may take to send a request's head.
    pub head_timeout: Duration,
    /// How long a client may take next to nothing of what waits for it.
    pub write_stall_timeout: Duration,
    /// Requests at a time on one HTTP/2 connection.
    pub streams: u32,
    /// True where callers speak HTTP/1.1 only.
    pub http1_only: bool,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            connections: 4_096,
            headers: 64,
            head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(5),
            write_stall_timeout: Duration::from_secs(15),
            streams: 256,
            http1_only: false,
        }
    }
}

/// The least bytes of a head that the library can be told to allow.
const LEAST_HEAD_BYTES: usize = 8_192;
/// What the system holds for a client that does not read, in bytes.
const SEND_BUFFER: usize = 64 << 10;
/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening server. Dropping it closes every connection at once, as the end
/// of its process would.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    alive: Sender<()>,
    stopping: Sender<()>,
    open: Arc<AtomicUsize>,
    limits: Arc<Mutex<ServerLimits>>,
}

impl HttpServer {
    /// Listens on `address`; port 0 lets the system choose.
    pub fn start(
        executor: Arc<Executor<'static>>,
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn Handler>,
    ) -> std::io::Result<HttpServer> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let open = Arc::new(AtomicUsize::new(0));
        let (stopping, stopped) = async_channel::bounded(1);
        let (alive, dropped) = async_channel::bounded(1);
        let limits = Arc::new(Mutex::new(limits));
        let acceptor = Acceptor {
            executor: Arc::clone(&executor),
            limits: Arc::clone(&limits),
            handler,
            open: Arc::clone(&open),
            stopped,
            dropped,
        };
        executor.spawn(acceptor.run_until_ended(listener)).detach();
        Ok(HttpServer {
            address,
            alive,
            stopping,
            open,
            limits,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the bounds for connections that are opened from now on.
    pub fn set_limits(&self, limits: ServerLimits) {
        *lock(&self.limits) = limits;
    }

    /// Closes every connection at once, as the end of the process would.
    pub fn abort(&self) {
        self.alive.close();
    }

    /// Accepts no more connections, lets each open one finish the requests that
    /// it has, and waits for that at most `patience`.
    pub async fn stop(&self, patience: Duration) {
        self.stopping.close();
        const STEP: Duration = Duration::from_millis(10);
        let mut left = patience;
        while self.open.load(Ordering::Relaxed) > 0 && !left.is_zero() {
            Timer::after(STEP).await;
            left = left.saturating_sub(STEP);
        }
    }
}

struct Acceptor {
    executor: Arc<Executor<'static>>,
    limits: Arc<Mutex<ServerLimits>>,
    handler: Arc<dyn Handler>,
    open: Arc<AtomicUsize>,
    stopped: Receiver<()>,
    dropped: Receiver<()>,
}

impl Acceptor {
    async fn run_until_ended(self, listener: Async<TcpListener>) {
        let (stopped, dropped) = (self.stopped.clone(), self.dropped.clone());
        let ended = async move {
            // Both err once their channel is closed, which is the signal.
            let _ = stopped.recv().or(dropped.recv()).await;
        };
        self.run(listener).or(ended).await;
    }

    async fn run(self, listener: Async<TcpListener>) {
        let mut accepted = 0;
        loop {
            match listener.accept().await {
                Ok((io, _))
                    if self.open.load(Ordering::Relaxed) < lock(&self.limits).connections =>
                {
                    accepted += 1;
                    self.serve(io, ConnectionNumber(accepted));
                }
                // Above the bound the connection is closed at once.
                Ok(_) => {}
                Err(_) => {
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve(&self, io: Async<TcpStream>, number: ConnectionNumber) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenGuard(Arc::clone(&self.open));
        let builder = self.builder();
        let write_stall_timeout = lock(&self.limits).write_stall_timeout;
        let handler = Arc::clone(&self.handler);
        let stopped = self.stopped.clone();
        let dropped = self.dropped.clone();
        let serving = async move {
            let _guard = guard;
            // Both fail only if the connection is gone already.
            let _ = io.get_ref().set_nodelay(true);
            let _ = sockopt::set_socket_send_buffer_size(io.get_ref(), SEND_BUFFER);
            let service = service_fn(move |mut req: Request<Incoming>| {
                req.extensions_mut().insert(number);
                let answer = Arc::clone(&handler).handle(req);
                async move { Ok::<Response<Body>, Infallible>(answer.await) }
            });
            let io = FuturesIo::new(WriteStallTimeout::new(io, write_stall_timeout));
            let connection = builder.serve_connection(io, service);
            let served = run_until_stopped(connection.into_owned(), stopped);
            let ended = async {
                // Errs once the server is dropped, which is the signal.
                let _ = dropped.recv().await;
            };
            served.or(ended).await;
        };
        self.executor.spawn(serving).detach();
    }

    fn builder(&self) -> auto::Builder<SmolExecutor<Arc<Executor<'static>>>> {
        let limits = *lock(&self.limits);
        let mut builder = auto::Builder::new(SmolExecutor::new(Arc::clone(&self.executor)));
        builder
            .http1()
            .timer(SmolTimer::new())
            .max_headers(limits.headers)
            .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
            .header_read_timeout(limits.head_timeout);
        builder
            .http2()
            .timer(SmolTimer::new())
            .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX))
            .max_concurrent_streams(limits.streams);
        match limits.http1_only {
            true => builder.http1_only(),
            false => builder,
        }
    }
}

type ServedConnection<S> =
    auto::Connection<'static, CallerIo, S, SmolExecutor<Arc<Executor<'static>>>>;
type CallerIo = FuturesIo<WriteStallTimeout<Async<TcpStream>>>;

/// Drives a connection; once the server stops, only until its requests are done.
async fn run_until_stopped<S>(connection: ServedConnection<S>, stopped: Receiver<()>)
where
    S: hyper::service::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + 'static,
    S::Future: Send + 'static,
{
    let mut connection = Box::pin(connection);
    let served = async {
        // How a connection ends is the client's affair.
        let _ = connection.as_mut().await;
        true
    };
    let stopping = async {
        // Errs once the channel is closed, which is the signal.
        let _ = stopped.recv().await;
        false
    };
    if !served.or(stopping).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.as_mut().await;
    }
}

struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
