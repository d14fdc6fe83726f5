//! How the connections of a pool are opened.

use std::collections::HashMap;
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

/// Opens TCP connections, to other addresses where this is configured.
#[derive(Debug, Default, Clone)]
pub struct RedirectingConnector {
    /// Addresses, and those that are connected to instead.
    pub redirects: HashMap<SocketAddr, SocketAddr>,
}

impl Connector for RedirectingConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let to = self.redirects.get(&address).copied();
        TcpConnector.connect(to.unwrap_or(address))
    }
}

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        Box::pin(Async::<TcpStream>::connect(address))
    }
}
