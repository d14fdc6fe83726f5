//! The network path of one gateway to the upstreams and to other gateways, which can be cut.

use std::future;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use jd_net::ConnectFuture;
use jd_net::Connector;

/// The address of all fake upstreams; the gateways have other ones.
const UPSTREAMS: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// How often open connections look for a change.
const POLL: Duration = Duration::from_millis(2);

/// What becomes of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Open ones carry nothing, and new ones do not open.
    Hangs,
    /// Open ones are closed, and new ones are refused.
    Resets,
    /// Open ones go on, and new ones are refused.
    RefusesNew,
}

/// The network path of one gateway to the upstreams, and to the gateways that it forwards requests
/// to.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    cut: Arc<Mutex<Option<Cut>>>,
    /// Counts how often open connections to other gateways were closed.
    forward_resets: Arc<AtomicUsize>,
    /// True if open connections can be cut as well. Each then takes three descriptors.
    carries: bool,
    executor: Arc<Executor<'static>>,
}

impl UpstreamLink {
    pub(crate) fn new(executor: &Arc<Executor<'static>>, carries: bool) -> UpstreamLink {
        UpstreamLink {
            cut: Arc::default(),
            forward_resets: Arc::default(),
            carries,
            executor: Arc::clone(executor),
        }
    }

    /// Closes the open connections over which requests are forwarded. New ones open, and
    /// heartbeats go on.
    pub(crate) fn reset_forwards(&self) {
        self.forward_resets.fetch_add(1, Ordering::Relaxed);
    }

    /// Cuts the path to the upstreams, or restores it.
    pub(crate) fn set(&self, cut: Option<Cut>) {
        *self.cut.lock().expect("a lock") = cut;
    }
}

impl Connector for UpstreamLink {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let is_upstream = address.ip() == UPSTREAMS;
        let cut = *self.cut.lock().expect("a lock");
        match cut.filter(|_| is_upstream) {
            Some(Cut::Hangs) => Box::pin(future::pending()),
            Some(Cut::Resets | Cut::RefusesNew) => {
                Box::pin(future::ready(Err(io::ErrorKind::ConnectionRefused.into())))
            }
            None if !self.carries => Box::pin(Async::<TcpStream>::connect(address)),
            None => {
                let executor = Arc::clone(&self.executor);
                let (cut, resets) = match is_upstream {
                    true => (Arc::clone(&self.cut), Arc::default()),
                    false => (Arc::default(), Arc::clone(&self.forward_resets)),
                };
                Box::pin(async move {
                    let upstream = Async::<TcpStream>::connect(address).await?;
                    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
                    let near = listener.get_ref().local_addr()?;
                    let client = Async::<TcpStream>::connect(near).await?;
                    let (far, _) = listener.accept().await?;
                    executor.spawn(carry(far, upstream, cut, resets)).detach();
                    Ok(client)
                })
            }
        }
    }
}

/// Carries a connection until either end closes it or a cut resets it.
async fn carry(
    near: Async<TcpStream>,
    far: Async<TcpStream>,
    cut: Arc<Mutex<Option<Cut>>>,
    resets: Arc<AtomicUsize>,
) {
    let resets_before = resets.load(Ordering::Relaxed);
    let is = |mode| *cut.lock().expect("a lock") == Some(mode);
    let reset = async {
        while !is(Cut::Resets) && resets.load(Ordering::Relaxed) == resets_before {
            Timer::after(POLL).await;
        }
    };
    let hung = async || {
        while is(Cut::Hangs) {
            Timer::after(POLL).await;
        }
    };
    let copy = async |mut from: &Async<TcpStream>, mut to: &Async<TcpStream>| {
        let mut buf = [0; 4_096];
        while let Ok(read @ 1..) = from.read(&mut buf).await {
            hung().await;
            if to.write_all(&buf[..read]).await.is_err() {
                break;
            }
        }
        hung().await;
    };
    let ended = async { copy(&near, &far).or(copy(&far, &near)).await };
    ended.or(reset).await;
    for end in [near, far] {
        // The other side may have closed it already.
        let _ = end.get_ref().shutdown(Shutdown::Both);
    }
}
