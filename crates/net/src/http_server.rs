//! HTTP/1.1 and HTTP/2 server.

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
use crate::limited_read::LimitedRead;
use crate::lingering_close;
use crate::lock;
use crate::shared_socket::SharedSocket;
use crate::with_timeout;
use crate::write_stall_timeout::WriteStallTimeout;

/// The future returned by a [`Handler`].
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// The number of the connection on which a request was received, counted from 1 per server.
/// Stored in the extensions of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u32);

/// The address of the client that sent a request. Stored in the extensions of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientAddress(pub SocketAddr);

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture;
}

/// Limits on the resources that a client can use before it is authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of headers of one request.
    pub headers: usize,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Time within which a client has to send the head of a request.
    pub head_timeout: Duration,
    /// Time for which a client may read almost nothing of the pending response data.
    pub write_stall_timeout: Duration,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub streams: u32,
    /// True if only HTTP/1.1 is served.
    pub http1_only: bool,
}

impl ServerLimits {
    /// The limits that hold if none are set.
    pub const DEFAULT: ServerLimits = ServerLimits {
        connections: 4_096,
        headers: 64,
        head_bytes: 16 << 10,
        head_timeout: Duration::from_secs(5),
        write_stall_timeout: Duration::from_secs(15),
        streams: 256,
        http1_only: false,
    };
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits::DEFAULT
    }
}

/// Minimum head size that hyper can be configured with, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;
/// Size of the socket send buffer, in bytes. Bounds the kernel memory used for a client that
/// does not read.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening server. Dropping it closes all connections at once, like the end of the
/// process.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    alive: Sender<()>,
    stopping: Sender<()>,
    open: Arc<AtomicUsize>,
    /// Closed by the last connection, or by the acceptor if that ends later.
    ended: Receiver<()>,
    limits: Arc<Mutex<ServerLimits>>,
}

impl HttpServer {
    /// Listens on `address`. With port 0, the operating system chooses the port.
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
        let (serving, ended) = async_channel::bounded(1);
        let limits = Arc::new(Mutex::new(limits));
        let acceptor = Acceptor {
            executor: Arc::clone(&executor),
            limits: Arc::clone(&limits),
            handler,
            open: Arc::clone(&open),
            stopped,
            dropped,
            serving,
        };
        executor
            .spawn(acceptor.run_until_shutdown(listener))
            .detach();
        Ok(HttpServer {
            address,
            alive,
            stopping,
            open,
            ended,
            limits,
        })
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limits for connections that are opened from now on.
    pub fn set_limits(&self, limits: ServerLimits) {
        *lock(&self.limits) = limits;
    }

    /// Closes all connections at once, like the end of the process.
    pub fn abort(&self) {
        self.alive.close();
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Shuts down gracefully: stops accepting connections and waits at most `timeout` for
    /// the open ones to finish their requests.
    pub async fn stop(&self, timeout: Duration) {
        self.stopping.close();
        let ended = async {
            // Returns an error once the acceptor and all connections have ended.
            let _ = self.ended.recv().await;
        };
        with_timeout(timeout, ended).await;
    }
}

struct Acceptor {
    executor: Arc<Executor<'static>>,
    limits: Arc<Mutex<ServerLimits>>,
    handler: Arc<dyn Handler>,
    open: Arc<AtomicUsize>,
    stopped: Receiver<()>,
    dropped: Receiver<()>,
    serving: Sender<()>,
}

impl Acceptor {
    async fn run_until_shutdown(self, listener: Async<TcpListener>) {
        let (stopped, dropped) = (self.stopped.clone(), self.dropped.clone());
        let shutdown = async move {
            // Both return an error once their channel is closed, which is the signal.
            let _ = stopped.recv().or(dropped.recv()).await;
        };
        self.run(listener).or(shutdown).await;
    }

    async fn run(self, listener: Async<TcpListener>) {
        let mut accepted = 0;
        loop {
            match listener.accept().await {
                Ok((io, client))
                    if self.open.load(Ordering::Relaxed) < lock(&self.limits).connections =>
                {
                    accepted += 1;
                    self.serve(io, ConnectionNumber(accepted), ClientAddress(client));
                }
                // Connections above the limit are closed at once.
                Ok(_) => {}
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, io: Async<TcpStream>, number: ConnectionNumber, client: ClientAddress) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenGuard {
            open: Arc::clone(&self.open),
            _serving: self.serving.clone(),
        };
        let builder = self.builder();
        let write_stall_timeout = lock(&self.limits).write_stall_timeout;
        let handler = Arc::clone(&self.handler);
        let stopped = self.stopped.clone();
        let dropped = self.dropped.clone();
        let serving = async move {
            let _guard = guard;
            // Both fail only if the connection is already closed.
            let _ = io.get_ref().set_nodelay(true);
            let _ = sockopt::set_socket_send_buffer_size(io.get_ref(), SEND_BUFFER_BYTES);
            let service = service_fn(move |mut req: Request<Incoming>| {
                req.extensions_mut().insert(number);
                req.extensions_mut().insert(client);
                let response = Arc::clone(&handler).handle(req);
                async move { Ok::<Response<Body>, Infallible>(response.await) }
            });
            let socket = Arc::new(io);
            let io = SharedSocket(Arc::clone(&socket));
            let io = LimitedRead::new(WriteStallTimeout::new(io, write_stall_timeout), None);
            let io = FuturesIo::new(io);
            let connection = builder.serve_connection(io, service);
            let served = async {
                run_until_stopped(connection.into_owned(), stopped).await;
                lingering_close::close(&socket).await;
            };
            let server_dropped = async {
                // Returns an error once the server is dropped, which is the signal.
                let _ = dropped.recv().await;
            };
            served.or(server_dropped).await;
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
            .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
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
    auto::Connection<'static, ClientIo, S, SmolExecutor<Arc<Executor<'static>>>>;
type ClientIo = FuturesIo<LimitedRead<WriteStallTimeout<SharedSocket>>>;

/// Serves a connection. After the server is stopped, serves it only until its current
/// requests are finished.
async fn run_until_stopped<S>(connection: ServedConnection<S>, stopped: Receiver<()>)
where
    S: hyper::service::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + 'static,
    S::Future: Send + 'static,
{
    let mut connection = Box::pin(connection);
    let served = async {
        // An error of the connection concerns only its client.
        let _ = connection.as_mut().await;
        true
    };
    let stopping = async {
        // Returns an error once the channel is closed, which is the signal.
        let _ = stopped.recv().await;
        false
    };
    if !served.or(stopping).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.as_mut().await;
    }
}

/// Decrements the number of open connections when dropped.
struct OpenGuard {
    open: Arc<AtomicUsize>,
    _serving: Sender<()>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
