//! A TCP relay on the loopback interface that injects link faults.

use std::io;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use jd_net::lock;
use jd_net::with_timeout;
use rustix::io::Errno;
use rustix::net;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::net::sockopt;

use crate::LinkMode;
use crate::early_ends;
use crate::endless;
use crate::odd_entries;

/// The interval at which relays check for a change of their mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time between an early answer and the reset of its connection.
const EARLY_RESET_DELAY: Duration = Duration::from_millis(120);
/// The ends of request lines.
const HTTP_1_1: &[u8] = b" HTTP/1.1\r\n";
const HTTP_1_0: &[u8] = b" HTTP/1.0\r\n";
/// Connections that the operating system queues for a relay.
const BACKLOG: i32 = 128;

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
    /// The address that it connects from; none for that of each client.
    source: Option<IpAddr>,
    /// The relay at the destination, if there is one. While it takes no connections, this one
    /// takes none either.
    next: Option<Arc<Relay>>,
    state: Mutex<State>,
}

/// The direction of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// How a relayed connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

/// Changes a request to HTTP/1.0, if it begins in these bytes. True also if it was changed by the
/// relay before.
fn downgrade(bytes: &mut [u8]) -> bool {
    let versions = bytes.windows(HTTP_1_1.len());
    let mut versions = versions.enumerate();
    let Some((at, _)) = versions.find(|(_, w)| *w == HTTP_1_1 || *w == HTTP_1_0) else {
        return false;
    };
    bytes[at..at + HTTP_1_0.len()].copy_from_slice(HTTP_1_0);
    true
}

impl Relay {
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        to: SocketAddr,
    ) -> io::Result<Arc<Relay>> {
        Relay::start_with(executor, address, to, None)
    }

    /// Starts a relay to another one, which connects to that from its own address.
    pub(crate) fn start_before(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        next: Arc<Relay>,
    ) -> io::Result<Arc<Relay>> {
        Relay::start_with(executor, address, next.address(), Some(next))
    }

    fn start_with(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        to: SocketAddr,
        next: Option<Arc<Relay>>,
    ) -> io::Result<Arc<Relay>> {
        let listener = Async::<TcpListener>::bind(address)?;
        let relay = Arc::new(Relay {
            address: listener.get_ref().local_addr()?,
            to,
            source: next.as_ref().map(|_| address.ip()),
            next,
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

    /// Gives the link a fault for this time.
    pub(crate) async fn fail(&self, mode: LinkMode, span: Duration) {
        self.set(Some(mode));
        if mode != LinkMode::BlackholesOpen {
            Timer::after(span).await;
        }
        self.set(None);
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
                self.wait_while(|relay| !relay.takes_no_connections()).await;
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
                None if lock(&self.state).mode == Some(LinkMode::Hangs) => {
                    listener = self.hang(open).await;
                }
                None => {
                    drop(open);
                    listener = self.listen_again().await;
                }
            }
        }
    }

    /// Opens the listener again once the mode allows connections.
    async fn listen_again(&self) -> Option<Async<TcpListener>> {
        self.wait_while(Relay::takes_no_connections).await;
        Async::<TcpListener>::bind(self.address).ok()
    }

    /// Fills the queue of the listener, so that the operating system drops the packets that open
    /// connections, until the mode allows connections.
    async fn hang(&self, listener: Async<TcpListener>) -> Option<Async<TcpListener>> {
        net::listen(listener.get_ref(), 0).ok()?;
        let mut queued = Vec::new();
        while let Some(Ok(filler)) =
            with_timeout(POLL_INTERVAL, Async::<TcpStream>::connect(self.address)).await
        {
            queued.push(filler);
        }
        self.wait_while(Relay::takes_no_connections).await;
        net::listen(listener.get_ref(), BACKLOG).ok()?;
        Some(listener)
    }

    /// Relays a connection until one of its ends closes it or the mode resets it.
    async fn carry(&self, from: Async<TcpStream>) {
        let number = {
            let mut state = lock(&self.state);
            state.opened += 1;
            state.opened
        };
        // The destination does not listen, so the client's connection is closed.
        let Ok(to) = self.connect(&from).await else {
            return;
        };
        let unframed = AtomicBool::new(false);
        let both = future::try_zip(
            self.copy(number, &from, &to, Direction::ToServer, &unframed),
            self.copy(number, &to, &from, Direction::ToClient, &unframed),
        );
        let both = async { both.await.map_or(Ending::Reset, |_| Ending::Close) };
        let resets = async {
            self.wait_for_mode(LinkMode::Resets).await;
            Ending::Reset
        };
        let refuses = async {
            self.wait_for_mode(LinkMode::Refuses).await;
            // A close in order would end an unframed answer as if it were whole.
            match unframed.load(Ordering::Relaxed) {
                true => Ending::Reset,
                false => Ending::Close,
            }
        };
        let ending = future::or(both, future::or(resets, refuses)).await;
        for socket in [&from, &to] {
            // The sockets may be closed already.
            let _ = match ending {
                Ending::Close => socket.get_ref().shutdown(Shutdown::Both),
                // Closing the socket resets the connection then.
                Ending::Reset => sockopt::set_socket_linger(socket, Some(Duration::ZERO))
                    .map_err(io::Error::from),
            };
        }
    }

    /// Connects to the destination from the address that the client has, or that is set, so that
    /// the destination sees which instance connects.
    async fn connect(&self, from: &Async<TcpStream>) -> io::Result<Async<TcpStream>> {
        let client = from.get_ref().peer_addr()?.ip();
        let source = SocketAddr::new(self.source.unwrap_or(client), 0);
        let socket = net::socket_with(
            AddressFamily::INET,
            SocketType::STREAM,
            SocketFlags::CLOEXEC | SocketFlags::NONBLOCK,
            None,
        )?;
        net::bind(&socket, &source)?;
        match net::connect(&socket, &self.to) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let to = Async::new(TcpStream::from(socket))?;
        to.writable().await?;
        match to.get_ref().take_error()? {
            Some(e) => Err(e),
            None => Ok(to),
        }
    }

    async fn copy(
        &self,
        number: u64,
        from: &Async<TcpStream>,
        to: &Async<TcpStream>,
        direction: Direction,
        unframed: &AtomicBool,
    ) -> io::Result<()> {
        let (mut from, mut to) = (from, to);
        let mut buf = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut buf).await?;
            if read == 0 {
                break;
            }
            self.wait_until_forwarding(number, direction).await;
            let downgrades = direction == Direction::ToServer && self.is_unframed();
            if downgrades && downgrade(&mut buf[..read]) {
                unframed.store(true, Ordering::Relaxed);
            }
            let cut = match direction {
                Direction::ToClient if self.cuts_heads() => early_ends::end_in_head(&buf[..read]),
                _ => None,
            };
            if direction == Direction::ToClient && self.mode() == Some(LinkMode::EndlessHeads) {
                endless::send_head(to, || self.mode() == Some(LinkMode::EndlessHeads)).await?;
                break;
            }
            if let (Direction::ToServer, Some(LinkMode::AnswersEarly)) = (direction, self.mode())
                && let Some((answer, closes)) = odd_entries::early_answer(&buf[..read])
            {
                from.write_all(&answer).await?;
                if closes {
                    from.get_ref().shutdown(Shutdown::Write)?;
                }
                Timer::after(EARLY_RESET_DELAY).await;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let mut from = 0;
            if let (Direction::ToServer, Some(LinkMode::HoldsAfter(count))) =
                (direction, self.mode())
            {
                from = count.min(read - 1);
                to.write_all(&buf[..from]).await?;
                let holds = |r: &Relay| matches!(r.mode(), Some(LinkMode::HoldsAfter(_)));
                self.wait_while(holds).await;
            }
            let sent = to.write_all(&buf[from..cut.unwrap_or(read)]).await;
            if sent.is_err() || cut.is_some() {
                break;
            }
        }
        // Passes the end of the stream on; the socket may be closed already.
        let _ = to.get_ref().shutdown(Shutdown::Write);
        Ok(())
    }

    fn mode(&self) -> Option<LinkMode> {
        lock(&self.state).mode
    }

    /// Waits until data of a connection may be forwarded.
    async fn wait_until_forwarding(&self, number: u64, direction: Direction) {
        loop {
            let state = *lock(&self.state);
            match state.mode {
                _ if number < state.first_live => {}
                Some(LinkMode::Blackholes | LinkMode::Hangs) => {}
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
        self.wait_while(|relay| lock(&relay.state).mode != Some(mode))
            .await;
    }

    async fn wait_while(&self, condition: impl Fn(&Relay) -> bool) {
        while condition(self) {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// True if answers of unknown length end with their connection, here or at the next relay.
    fn is_unframed(&self) -> bool {
        let next = self.next.as_ref();
        lock(&self.state).mode == Some(LinkMode::Unframed)
            || next.is_some_and(|next| next.is_unframed())
    }

    /// True if some answers end in their head, here or at the next relay.
    fn cuts_heads(&self) -> bool {
        let next = self.next.as_ref();
        lock(&self.state).mode == Some(LinkMode::CutsHeads)
            || next.is_some_and(|next| next.cuts_heads())
    }

    fn takes_no_connections(&self) -> bool {
        let refuses = matches!(
            lock(&self.state).mode,
            Some(LinkMode::Refuses | LinkMode::RefusesNew | LinkMode::Hangs)
        );
        let next = self.next.as_ref();
        refuses || next.is_some_and(|next| next.takes_no_connections())
    }
}
