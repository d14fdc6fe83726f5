//! Networking and runtime support for the daemons: executor threads, a clock, HTTP servers
//! and connection pools.
//!
//! This crate contains no policy of its own. Which connections are retired when one stops
//! responding is decided by [`jd_policy::ConnectionMonitor`]. Body sizes are bounded, and
//! [`with_timeout`] bounds any wait.

mod answer_buffer;
mod answer_memory;
mod body;
mod body_framing;
mod client_table;
mod clock;
mod connection_progress;
mod connector;
mod grpc_channel;
mod http_pool;
mod http_response;
mod http_server;
mod limited_read;
mod lingering_close;
mod lock;
mod send_error;
mod server_limits;
mod shared_socket;
mod tracked_body;
mod url_component;
mod with_timeout;
mod workers;
mod write_stall_timeout;

pub use answer_buffer::AnswerBuffer;
pub use answer_buffer::ReadError;
pub use answer_memory::AnswerBytes;
pub use answer_memory::AnswerCounts;
pub use answer_memory::AnswerMemory;
pub use answer_memory::UnfinishedAnswer;
pub use body::Body;
pub use body::BodyError;
pub use body::BodyReadError;
pub use body::empty;
pub use body::full;
pub use body::read_bounded;
pub use body::segmented;
pub use body::stream;
pub use body_framing::BodyFraming;
pub use client_table::ClientConnection;
pub use client_table::ClosedConnections;
pub use clock::Clock;
pub use connector::ConnectFuture;
pub use connector::Connector;
pub use connector::RedirectingConnector;
pub use connector::TcpConnector;
pub use grpc_channel::GrpcChannel;
pub use http_pool::HttpPool;
pub use http_pool::ProbeResult;
pub use http_response::HttpResponse;
pub use http_server::ClientAddress;
pub use http_server::ConnectionNumber;
pub use http_server::Handler;
pub use http_server::HandlerFuture;
pub use http_server::HttpServer;
pub use lock::lock;
pub use send_error::SendError;
pub use server_limits::ServerLimits;
pub use url_component::decode_component;
pub use url_component::encode_component;
pub use with_timeout::with_timeout;
pub use workers::Workers;
