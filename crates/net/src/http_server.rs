//! HTTP/1.1 and HTTP/2 server.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::ops::ControlFlow;
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
use futures_lite::future;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::conn::auto;
use jd_policy::ClientPhase;
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use smol_hyper::rt::SmolTimer;

use crate::Body;
use crate::ServerLimits;
use crate::client_table::ClientConnection;
use crate::client_table::ClientTable;
use crate::client_table::ClosedConnections;
use crate::client_table::OpenConnection;
use crate::client_table::ResponseBody;
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
    clients: Arc<ClientTable>,
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
        if let Some(bytes) = limits.receive_buffer {
            // Accepted connections inherit the size.
            sockopt::set_socket_recv_buffer_size(listener.get_ref(), bytes)?;
        }
        let address = listener.get_ref().local_addr()?;
        let clients = Arc::new(ClientTable::new(limits.connections));
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
            clients: Arc::clone(&clients),
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
            clients,
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
        self.clients.set_limit(limits.connections);
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

    /// The connections that were closed because there was room for no more.
    pub fn closed_connections(&self) -> ClosedConnections {
        self.clients.closed()
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
    clients: Arc<ClientTable>,
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
                Ok((io, client)) => {
                    // Without room for it, the connection is closed at once.
                    if let Some(connection) = self.clients.open() {
                        accepted += 1;
                        let number = ConnectionNumber(accepted);
                        self.serve(io, connection, number, ClientAddress(client));
                    }
                }
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(
        &self,
        io: Async<TcpStream>,
        connection: OpenConnection,
        number: ConnectionNumber,
        address: ClientAddress,
    ) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenGuard {
            open: Arc::clone(&self.open),
            _serving: self.serving.clone(),
        };
        let OpenConnection { client, replaced } = connection;
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
            let requests = client.clone();
            let service = service_fn(move |mut req: Request<Incoming>| {
                let open = requests.begin_request();
                req.extensions_mut().insert(number);
                req.extensions_mut().insert(address);
                req.extensions_mut().insert(requests.clone());
                let response = Arc::clone(&handler).handle(req);
                async move {
                    let body = |body| ResponseBody {
                        body,
                        _request: open,
                    };
                    Ok::<Response<ResponseBody>, Infallible>(response.await.map(body))
                }
            });
            let socket = Arc::new(io);
            let io = SharedSocket(Arc::clone(&socket));
            let io = LimitedRead::new(WriteStallTimeout::new(io, write_stall_timeout), None);
            let io = FuturesIo::new(io);
            let connection = builder.serve_connection(io, service).into_owned();
            // Boxed, since moves of the connection would otherwise multiply its memory.
            let connection = Box::pin(connection);
            let served = async {
                let ending = run_until_stopped(connection, stopped, &replaced, &client).await;
                if ending == Ending::AtOnce {
                    return;
                }
                client.set_phase(ClientPhase::Closing);
                let replaced = async {
                    until_replaced(&replaced).await;
                };
                lingering_close::close(&socket).or(replaced).await;
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
            // Otherwise each response is copied, and the copy outlives the memory that it is counted by.
            .writev(true)
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

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Its last response is written.
    AfterResponse,
    /// It is closed for another one while it waits for its client.
    AtOnce,
}

/// Serves a connection. After the server is stopped, or the connection is replaced while it is idle or as
/// a request arrives, serves it only until its current requests are finished.
async fn run_until_stopped<S>(
    mut connection: Pin<Box<ServedConnection<S>>>,
    stopped: Receiver<()>,
    replaced: &Receiver<ClientPhase>,
    client: &ClientConnection,
) -> Ending
where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<ResponseBody>,
            Error = Infallible,
        > + 'static,
    S::Future: Send + 'static,
{
    let served = async {
        // An error of the connection concerns only its client.
        let _ = connection.as_mut().await;
        ControlFlow::Break(Ending::AfterResponse)
    };
    let stopping = async {
        // Returns an error once the channel is closed, which is the signal.
        let _ = stopped.recv().await;
        ControlFlow::Continue(())
    };
    let replaced = async {
        match until_replaced(replaced).await {
            ClientPhase::Idle => ControlFlow::Continue(()),
            // Its request crossed the decision.
            _ if client.is_running() => ControlFlow::Continue(()),
            _ => ControlFlow::Break(Ending::AtOnce),
        }
    };
    match served.or(stopping).or(replaced).await {
        ControlFlow::Break(ending) => ending,
        ControlFlow::Continue(()) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.as_mut().await;
            Ending::AfterResponse
        }
    }
}

/// Returns the phase in which a connection was, once it is replaced.
async fn until_replaced(replaced: &Receiver<ClientPhase>) -> ClientPhase {
    match replaced.recv().await {
        Ok(phase) => phase,
        // The connection has left the table.
        Err(_) => future::pending().await,
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
