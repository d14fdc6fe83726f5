//! HTTP/2 connections between instances, for `tonic`.

use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use tower_service::Service;

use crate::SendError;
use crate::limited_read::LimitedRead;
use crate::lock;
use crate::write_stall_timeout::WriteStallTimeout;

/// Time for which an instance may read almost nothing of what is written to it. The timeouts of calls
/// are shorter, and do not end the connection that other calls use.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A channel to one instance. It connects on first use and reconnects after a failure.
#[derive(Debug, Clone)]
pub struct GrpcChannel {
    address: SocketAddr,
    executor: Arc<Executor<'static>>,
    sender: Arc<Mutex<Option<SendRequest<tonic::body::Body>>>>,
}

impl GrpcChannel {
    /// Creates a channel without connecting.
    pub fn new(executor: Arc<Executor<'static>>, address: SocketAddr) -> GrpcChannel {
        GrpcChannel {
            address,
            executor,
            sender: Arc::new(Mutex::new(None)),
        }
    }

    /// Closes the connection, so that the next call opens a new one.
    ///
    /// Call this after a call has timed out, because the connection may never respond
    /// again.
    pub fn reset(&self) {
        *lock(&self.sender) = None;
    }

    fn open_sender(&self) -> Option<SendRequest<tonic::body::Body>> {
        let sender = lock(&self.sender);
        sender.as_ref().filter(|s| !s.is_closed()).cloned()
    }

    async fn ready_sender(&self) -> Result<SendRequest<tonic::body::Body>, SendError> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let io = Async::<TcpStream>::connect(self.address).await;
        let io = io.map_err(|_| SendError::NotSent)?;
        io.get_ref()
            .set_nodelay(true)
            .map_err(|_| SendError::NotSent)?;
        let executor = SmolExecutor::new(Arc::clone(&self.executor));
        let io = LimitedRead::new(WriteStallTimeout::new(io, WRITE_STALL_TIMEOUT), None);
        let opened = http2::handshake(executor, FuturesIo::new(io)).await;
        let (sender, driver) = opened.map_err(|_| SendError::NotSent)?;
        let connection = async move {
            // Errors are reported by the results of the calls.
            let _ = driver.await;
        };
        self.executor.spawn(connection).detach();
        let mut slot = lock(&self.sender);
        *slot = Some(sender.clone());
        Ok(sender)
    }

    async fn send(self, req: Request<tonic::body::Body>) -> Result<Response<Incoming>, SendError> {
        let mut sender = self.ready_sender().await?;
        let (mut parts, body) = req.into_parts();
        parts.uri = absolute_uri(self.address, &parts.uri)?;
        let req = Request::from_parts(parts, body);
        sender
            .send_request(req)
            .await
            .map_err(|_| SendError::Broken)
    }
}

/// Adds the scheme and authority, which an HTTP/2 request must contain.
fn absolute_uri(address: SocketAddr, uri: &Uri) -> Result<Uri, SendError> {
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let built = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path);
    built.build().map_err(|_| SendError::NotSent)
}

impl Service<Request<tonic::body::Body>> for GrpcChannel {
    type Response = Response<Incoming>;
    type Error = SendError;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Incoming>, SendError>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), SendError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<tonic::body::Body>) -> Self::Future {
        Box::pin(self.clone().send(req))
    }
}
