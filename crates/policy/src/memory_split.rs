//! How the memory of a process is split between callers and its own work.

/// What a connection with a running request takes, in bytes: its buffers, those of the connection to an
/// upstream, and the handling of the request without its body.
const CONNECTION_BYTES: usize = 72 << 10;
/// What a connection to a service address takes, in bytes: its buffers.
const SERVICE_CONNECTION_BYTES: usize = 32 << 10;
/// The parts of the memory for connections of callers, for those to each service address, for the
/// bodies of callers, and for answers of upstreams, in percent. The rest is for the process itself.
const CONNECTIONS_PERCENT: usize = 35;
const SERVICE_CONNECTIONS_PERCENT: usize = 3;
const BODIES_PERCENT: usize = 25;
const ANSWERS_PERCENT: usize = 15;
/// The least memory for answers, in bytes: room for one of the largest size beside small ones.
const MIN_ANSWER_BYTES: usize = 12 << 20;
/// The part of the connections of callers whose requests may run at a time, in percent. The others are
/// for callers that can still be told to come back.
const REQUESTS_PERCENT: usize = 87;

/// How much of a process's memory may be held for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemorySplit {
    /// Connections of callers.
    pub connections: usize,
    /// Requests of callers that run at a time.
    pub requests: usize,
    /// Connections to each of the service addresses: directory, readiness and metrics.
    pub service_connections: usize,
    /// Bytes of bodies.
    pub body_bytes: usize,
    /// Bytes of answers that are held before they are passed on.
    pub answer_bytes: usize,
}

impl MemorySplit {
    /// Splits `memory` bytes where callers may have `max_connections`.
    pub fn of(memory: usize, max_connections: usize) -> MemorySplit {
        let part = |percent| memory / 100 * percent;
        let connections = (part(CONNECTIONS_PERCENT) / CONNECTION_BYTES).min(max_connections);
        MemorySplit {
            connections,
            requests: connections * REQUESTS_PERCENT / 100,
            service_connections: part(SERVICE_CONNECTIONS_PERCENT) / SERVICE_CONNECTION_BYTES,
            body_bytes: part(BODIES_PERCENT),
            answer_bytes: part(ANSWERS_PERCENT).max(MIN_ANSWER_BYTES),
        }
    }
}
