//! A TCP relay on the loopback interface that injects link faults.

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

/// The interval at which relays check for a change of their mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of a relay.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    mode: Option<LinkMode>,
    /// Connections with a lower number never carry data again.
    first_live: u64,
    opened: u64,
}

/// Relays connections from its address to another one, and injects faults.
#[derive(Debug)]
pub(crate) struct Relay {
    address: SocketAddr,
    to: SocketAddr,
    state: Mutex<State>,
}

/// The direction of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
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
            state: Mutex::default(),
        });
        let accepting = Arc::clone(&relay).accept(listener, Arc::clone(executor));
        executor.spawn(accepting).detach();
        Ok(relay)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the link, or none.
    pub(crate) fn set(&self, mode: Option<LinkMode>) {
        let mut state = lock(&self.state);
        if mode == Some(LinkMode::BlackholesOpen) {
            state.first_live = state.opened + 1;
        }
        state.mode = mode;
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
                self.wait_for_mode(LinkMode::Refuses).await;
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

    /// Opens the listener again once the mode is no longer [`LinkMode::Refuses`].
    async fn listen_again(&self) -> Option<Async<TcpListener>> {
        loop {
            Timer::after(POLL_INTERVAL).await;
            if lock(&self.state).mode != Some(LinkMode::Refuses) {
                return Async::<TcpListener>::bind(self.address).ok();
            }
        }
    }

    /// Relays a connection until one of its ends closes it or the mode resets it.
    async fn carry(&self, from: Async<TcpStream>) {
        let number = {
            let mut state = lock(&self.state);
            state.opened += 1;
            state.opened
        };
        // The destination does not listen, so the client's connection is closed.
        let Ok(to) = Async::<TcpStream>::connect(self.to).await else {
            return;
        };
        let both = future::zip(
            self.copy(number, &from, &to, Direction::ToServer),
            self.copy(number, &to, &from, Direction::ToClient),
        );
        let both = async {
            both.await;
        };
        let over = future::or(
            self.wait_for_mode(LinkMode::Resets),
            self.wait_for_mode(LinkMode::Refuses),
        );
        future::or(both, over).await;
        // The sockets may be closed already.
        let _ = from.get_ref().shutdown(Shutdown::Both);
        let _ = to.get_ref().shutdown(Shutdown::Both);
    }

    async fn copy(
        &self,
        number: u64,
        from: &Async<TcpStream>,
        to: &Async<TcpStream>,
        direction: Direction,
    ) {
        let (mut from, mut to) = (from, to);
        let mut buf = vec![0; 16 << 10];
        while let Ok(read @ 1..) = from.read(&mut buf).await {
            self.wait_until_forwarding(number, direction).await;
            if to.write_all(&buf[..read]).await.is_err() {
                break;
            }
        }
        // Passes the end of the stream on; the socket may be closed already.
        let _ = to.get_ref().shutdown(Shutdown::Write);
    }

    /// Waits until data of a connection may be forwarded.
    async fn wait_until_forwarding(&self, number: u64, direction: Direction) {
        loop {
            let state = *lock(&self.state);
            match state.mode {
                _ if number < state.first_live => {}
                Some(LinkMode::Blackholes) => {}
                Some(LinkMode::BlackholesReplies) if direction == Direction::ToClient => {}
                Some(LinkMode::Delays(by)) => {
                    Timer::after(by).await;
                    return;
                }
                _ => return,
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn wait_for_mode(&self, mode: LinkMode) {
        while lock(&self.state).mode != Some(mode) {
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
