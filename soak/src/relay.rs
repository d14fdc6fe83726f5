//! A link that can fail: a relay of connections on the loopback.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use jd_net::lock;

use crate::LinkMode;

/// How often a connection that carries nothing looks whether it may again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// What a relay does now.
#[derive(Debug, Clone, Copy, Default)]
struct Doing {
    mode: Option<LinkMode>,
    /// Connections with a lower number carry nothing for good.
    forgotten: u64,
    opened: u64,
}

/// A link that can fail: connections to its address are carried to another.
#[derive(Debug)]
pub(crate) struct Relay {
    address: SocketAddr,
    to: SocketAddr,
    doing: Mutex<Doing>,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Relay {
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        to: SocketAddr,
    ) -> std::io::Result<Arc<Relay>> {
        let listener = Async::<TcpListener>::bind(address)?;
        let relay = Arc::new(Relay {
            address: listener.get_ref().local_addr()?,
            to,
            doing: Mutex::default(),
        });
        let accepting = Arc::clone(&relay).accept(listener, Arc::clone(executor));
        executor.spawn(accepting).detach();
        Ok(relay)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Misbehaves from now on, or does not.
    pub(crate) fn set(&self, mode: Option<LinkMode>) {
        let mut doing = lock(&self.doing);
        if mode == Some(LinkMode::BlackholesOpen) {
            doing.forgotten = doing.opened + 1;
        }
        doing.mode = mode;
    }

    async fn accept(
        self: Arc<Self>,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
    ) {
        let mut listener = Some(listener);
        while let Some(open) = listener.take() {
            let accepted = async { Some(open.accept().await) };
            let gone = async {
                self.until_set(LinkMode::Refuses).await;
                None
            };
            match future::or(accepted, gone).await {
                Some(Ok((from, _))) => {
                    let relay = Arc::clone(&self);
                    executor
                        .spawn(async move { relay.carry(from).await })
                        .detach();
                    listener = Some(open);
                }
                Some(Err(_)) => return,
                None => {
                    drop(open);
                    listener = self.listen_again().await;
                }
            }
        }
    }

    /// Listens again once somebody is there again.
    async fn listen_again(&self) -> Option<Async<TcpListener>> {
        loop {
            Timer::after(LOOK_AGAIN).await;
            if lock(&self.doing).mode != Some(LinkMode::Refuses) {
                return Async::<TcpListener>::bind(self.address).ok();
            }
        }
    }

    /// Carries one connection until one of its ends closes it.
    async fn carry(&self, from: Async<TcpStream>) {
        let number = {
            let mut doing = lock(&self.doing);
            doing.opened += 1;
            doing.opened
        };
        // Nobody to carry to: the caller sees its connection closed.
        let Ok(to) = Async::<TcpStream>::connect(self.to).await else {
            return;
        };
        let both = future::zip(
            self.copy(number, &from, &to, Way::There),
            self.copy(number, &to, &from, Way::Back),
        );
        let both = async {
            both.await;
        };
        let over = future::or(
            self.until_set(LinkMode::Resets),
            self.until_set(LinkMode::Refuses),
        );
        future::or(both, over).await;
        // Either may be closed already.
        let _ = from.get_ref().shutdown(Shutdown::Both);
        let _ = to.get_ref().shutdown(Shutdown::Both);
    }

    async fn copy(&self, number: u64, from: &Async<TcpStream>, to: &Async<TcpStream>, way: Way) {
        let (mut from, mut to) = (from, to);
        let mut buf = vec![0; 16 << 10];
        while let Ok(read @ 1..) = from.read(&mut buf).await {
            self.until_carried(number, way).await;
            if to.write_all(&buf[..read]).await.is_err() {
                break;
            }
        }
        // Tells the other end that nothing more comes; it may know.
        let _ = to.get_ref().shutdown(Shutdown::Write);
    }

    /// Returns once bytes of a connection may go on.
    async fn until_carried(&self, number: u64, way: Way) {
        loop {
            let doing = *lock(&self.doing);
            match doing.mode {
                _ if number < doing.forgotten => {}
                Some(LinkMode::Blackholes) => {}
                Some(LinkMode::BlackholesReplies) if way == Way::Back => {}
                Some(LinkMode::Delays(by)) => {
                    Timer::after(by).await;
                    return;
                }
                _ => return,
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    async fn until_set(&self, mode: LinkMode) {
        while lock(&self.doing).mode != Some(mode) {
            Timer::after(LOOK_AGAIN).await;
        }
    }
}
