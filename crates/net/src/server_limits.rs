//! Limits on what the clients of a server can use.

use std::time::Duration;

/// Limits on the resources that a client can use before it is authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections. A new one replaces one that waits for its client, if there
    /// is one.
    pub connections: usize,
    /// Maximum number of headers of one request.
    pub headers: usize,
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Time within which a client has to send the head of a request.
    pub head_timeout: Duration,
    /// Time for which a client may read almost nothing of the pending response data.
    pub write_stall_timeout: Duration,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub streams: u32,
    /// True if only HTTP/1.1 is served.
    pub http1_only: bool,
    /// Size of the receive buffer of each connection, in bytes; none for that of the system. Only the
    /// size at the start of the server is used.
    pub receive_buffer: Option<usize>,
}

impl ServerLimits {
    /// The limits that hold if none are set.
    pub const DEFAULT: ServerLimits = ServerLimits {
        connections: 4_096,
        headers: 64,
        head_bytes: 16 << 10,
        head_timeout: Duration::from_secs(5),
        write_stall_timeout: Duration::from_secs(15),
        streams: 256,
        http1_only: false,
        receive_buffer: None,
    };
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits::DEFAULT
    }
}
