//! Which connection of a client is closed when another client connects and there is room for no more.

use std::collections::BTreeSet;
use std::time::Duration;

use jd_types::MonoTime;
use slab::Slab;

/// How long a client that connects has at least to send the head of its request.
const HEAD_TIME: Duration = Duration::from_millis(50);
/// How long a body may make no progress until its connection is closed for another one.
const BODY_TIME: Duration = Duration::from_secs(2);
/// How long a connection is idle between two requests until it is closed for another one.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// The part of the limit that connections which were told to close, and still have to, may take beyond
/// it, in percent.
const REPLACED_PERCENT: usize = 10;

/// Identifies an open connection in [`ClientConnections`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientKey(usize);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClientPhase {
    /// Its client, which closes it after the last response.
    Closing,
    /// The head of its first request.
    Head,
    /// The body of a request.
    Body,
    /// The head of a further request.
    Idle,
    /// The end of a response.
    Running,
}

impl ClientPhase {
    /// The phases in which a connection may be closed for another one, in the order in which they are
    /// considered, with the time that it has at least.
    const CLOSED_FOR_OTHERS: [(ClientPhase, Duration); 4] = [
        (ClientPhase::Closing, HEAD_TIME),
        (ClientPhase::Head, HEAD_TIME),
        (ClientPhase::Body, BODY_TIME),
        (ClientPhase::Idle, IDLE_TIME),
    ];

    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ClientPhase::Closing => "closing",
            ClientPhase::Head => "head",
            ClientPhase::Body => "body",
            ClientPhase::Idle => "idle",
            ClientPhase::Running => "running",
        }
    }
}

/// The answer to a client that connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientAdmission {
    /// The connection is open.
    Opened(ClientKey),
    /// The connection is open, and another one has to be closed, which was in this phase.
    Replaces(ClientKey, ClientKey, ClientPhase),
    /// The connection has to be closed.
    Refused,
}

/// The open connections of clients.
#[derive(Debug)]
pub struct ClientConnections {
    limit: usize,
    open: Slab<Connection>,
    /// Connections that may be closed for others, by phase and the time since which they wait.
    waiting: [BTreeSet<(MonoTime, ClientKey)>; ClientPhase::CLOSED_FOR_OTHERS.len()],
    /// Open connections that were not told to close.
    count: usize,
}

#[derive(Debug)]
struct Connection {
    phase: ClientPhase,
    since: MonoTime,
    /// Requests whose responses have not ended.
    requests: u32,
    is_replaced: bool,
}

impl ClientConnections {
    /// A table that has room for `limit` connections.
    pub fn new(limit: usize) -> ClientConnections {
        ClientConnections {
            limit,
            open: Slab::new(),
            waiting: Default::default(),
            count: 0,
        }
    }

    /// Changes the limit. Open connections stay.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds the connection of a client that connects, if there is room or one that waits.
    pub fn open(&mut self, now: MonoTime) -> ClientAdmission {
        if self.count < self.limit {
            return ClientAdmission::Opened(self.insert(now));
        }
        let still_open = self.open.len() - self.count;
        let has_room = still_open <= self.limit * REPLACED_PERCENT / 100;
        let longest = self.longest_waiting(now).filter(|_| has_room);
        let Some((replaced, phase)) = longest else {
            return ClientAdmission::Refused;
        };
        self.stop_waiting(replaced);
        self.open[replaced.0].is_replaced = true;
        self.count -= 1;
        ClientAdmission::Replaces(self.insert(now), replaced, phase)
    }

    fn insert(&mut self, now: MonoTime) -> ClientKey {
        let key = ClientKey(self.open.insert(Connection {
            phase: ClientPhase::Running,
            since: now,
            requests: 0,
            is_replaced: false,
        }));
        self.count += 1;
        self.set_phase(key, ClientPhase::Head, now);
        key
    }

    fn longest_waiting(&self, now: MonoTime) -> Option<(ClientKey, ClientPhase)> {
        let phases = ClientPhase::CLOSED_FOR_OTHERS.iter().zip(&self.waiting);
        let mut longest = phases.filter_map(|((phase, time), waiting)| {
            let (since, key) = waiting.first()?;
            (now.since(*since) >= *time).then_some((*key, *phase))
        });
        longest.next()
    }

    /// True if a connection has a request that waits for no client. One that was told to close may have
    /// received it meanwhile.
    pub fn is_running(&self, key: ClientKey) -> bool {
        self.open[key.0].phase == ClientPhase::Running
    }

    /// Records that a request has begun, whose head is complete.
    pub fn begin_request(&mut self, key: ClientKey, now: MonoTime) {
        self.open[key.0].requests += 1;
        self.set_phase(key, ClientPhase::Running, now);
    }

    /// Records that the response to a request has ended or is given up.
    pub fn end_request(&mut self, key: ClientKey, now: MonoTime) {
        let connection = &mut self.open[key.0];
        connection.requests -= 1;
        if connection.requests == 0 {
            self.set_phase(key, ClientPhase::Idle, now);
        }
    }

    /// Records what a connection waits for from now on. A repeated call restarts the time.
    pub fn set_phase(&mut self, key: ClientKey, phase: ClientPhase, now: MonoTime) {
        self.stop_waiting(key);
        let connection = &mut self.open[key.0];
        connection.phase = phase;
        connection.since = now;
        let waits = phase_index(phase).filter(|_| !connection.is_replaced);
        if let Some(index) = waits {
            self.waiting[index].insert((now, key));
        }
    }

    fn stop_waiting(&mut self, key: ClientKey) {
        let connection = &self.open[key.0];
        if let Some(index) = phase_index(connection.phase) {
            self.waiting[index].remove(&(connection.since, key));
        }
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, key: ClientKey) {
        self.stop_waiting(key);
        if !self.open.remove(key.0).is_replaced {
            self.count -= 1;
        }
    }
}

fn phase_index(phase: ClientPhase) -> Option<usize> {
    let mut phases = ClientPhase::CLOSED_FOR_OTHERS.iter();
    phases.position(|(closed, _)| *closed == phase)
}
