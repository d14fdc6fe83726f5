//! The open connections of a server's clients.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use jd_policy::ClientAdmission;
use jd_policy::ClientConnections;
use jd_policy::ClientKey;
use jd_policy::ClientPhase;

use crate::Body;
use crate::BodyError;
use crate::Clock;
use crate::lock;

/// The connections of clients that a server has closed because it had room for no more.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosedConnections {
    /// Closed as they were opened.
    pub refused: u64,
    /// Closed for another one, by the phase in which they were.
    pub closing: u64,
    /// While the head of a first request was missing.
    pub head: u64,
    /// While a body was missing.
    pub body: u64,
    /// Between two requests.
    pub idle: u64,
}

/// The open connections of a server's clients.
#[derive(Debug)]
pub(crate) struct ClientTable {
    clock: Clock,
    connections: Mutex<Connections>,
}

#[derive(Debug)]
struct Connections {
    policy: ClientConnections,
    /// Tells a connection that it is closed for another one.
    replaced: HashMap<ClientKey, Sender<ClientPhase>>,
    closed: ClosedConnections,
}

impl ClientTable {
    pub(crate) fn new(limit: usize) -> ClientTable {
        ClientTable {
            clock: Clock::start(),
            connections: Mutex::new(Connections {
                policy: ClientConnections::new(limit),
                replaced: HashMap::new(),
                closed: ClosedConnections::default(),
            }),
        }
    }

    pub(crate) fn set_limit(&self, limit: usize) {
        lock(&self.connections).policy.set_limit(limit);
    }

    pub(crate) fn closed(&self) -> ClosedConnections {
        lock(&self.connections).closed
    }

    /// Admits a connection that was accepted. None if it has to be closed.
    pub(crate) fn open(self: &Arc<ClientTable>) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut connections = lock(&self.connections);
        let key = match connections.policy.open(now) {
            ClientAdmission::Opened(key) => key,
            ClientAdmission::Replaces(key, other, phase) => {
                connections.closed.count(phase);
                if let Some(replaced) = connections.replaced.get(&other) {
                    // Fails if the connection is closing by itself.
                    let _ = replaced.try_send(phase);
                }
                key
            }
            ClientAdmission::Refused => {
                connections.closed.refused += 1;
                return None;
            }
        };
        let (tx, replaced) = async_channel::bounded(1);
        connections.replaced.insert(key, tx);
        Some(OpenConnection {
            client: ClientConnection(Arc::new(TableEntry {
                table: Arc::clone(self),
                key,
            })),
            replaced,
        })
    }
}

impl ClosedConnections {
    fn count(&mut self, phase: ClientPhase) {
        match phase {
            ClientPhase::Closing => self.closing += 1,
            ClientPhase::Head => self.head += 1,
            ClientPhase::Body => self.body += 1,
            ClientPhase::Idle => self.idle += 1,
            ClientPhase::Running => {}
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) client: ClientConnection,
    /// Receives the phase in which the connection was when it was closed for another one.
    pub(crate) replaced: Receiver<ClientPhase>,
}

/// The connection on which a request was received. Stored in the extensions of the request.
#[derive(Debug, Clone)]
pub struct ClientConnection(Arc<TableEntry>);

/// A connection in the table. It leaves the table on drop, after the last request of it.
#[derive(Debug)]
struct TableEntry {
    table: Arc<ClientTable>,
    key: ClientKey,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        let mut connections = lock(&self.table.connections);
        connections.policy.close(self.key);
        connections.replaced.remove(&self.key);
    }
}

impl ClientConnection {
    /// Records that the handler waits for the body of a request, or for more of it.
    pub fn waits_for_body(&self) {
        self.set_phase(ClientPhase::Body);
    }

    /// Records that the handler waits for no more of the body of a request.
    pub fn has_body(&self) {
        self.set_phase(ClientPhase::Running);
    }

    /// True if the connection has a request that waits for no client.
    pub(crate) fn is_running(&self) -> bool {
        let TableEntry { table, key } = &*self.0;
        lock(&table.connections).policy.is_running(*key)
    }

    pub(crate) fn set_phase(&self, phase: ClientPhase) {
        let TableEntry { table, key } = &*self.0;
        let now = table.clock.now();
        lock(&table.connections).policy.set_phase(*key, phase, now);
    }

    pub(crate) fn begin_request(&self) -> OpenRequest {
        let TableEntry { table, key } = &*self.0;
        let now = table.clock.now();
        lock(&table.connections).policy.begin_request(*key, now);
        OpenRequest(self.clone())
    }
}

/// A request whose response has not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest(ClientConnection);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let TableEntry { table, key } = &*self.0.0;
        let now = table.clock.now();
        lock(&table.connections).policy.end_request(*key, now);
    }
}

/// The body of a response, which ends its request when it is dropped.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    pub(crate) body: Body,
    pub(crate) _request: OpenRequest,
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
