//! How the connections of a pool are opened.

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::Pin;

use async_io::Async;

/// The future returned by a [`Connector`].
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Async<TcpStream>>> + Send>>;

/// Opens the connections of a pool.
pub trait Connector: Debug + Send + Sync {
    /// Opens a connection to `address`.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;
}

/// Opens TCP connections.
#[derive(Debug, Default, Clone, Copy)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        Box::pin(Async::<TcpStream>::connect(address))
    }
}
