//! What the daemons need to talk: executor threads, a clock, HTTP servers and
//! connection pools, put together from libraries.
//!
//! There is no rule of the system in here but one: which connections are
//! retired when one goes silent, and that is decided by
//! [`jd_policy::ConnectionMonitor`]. Bodies are bounded, and every wait can be
//! given a limit with [`with_timeout`].

mod body;
mod clock;
mod grpc_channel;
mod http_pool;
mod http_response;
mod http_server;
mod lock;
mod send_error;
mod with_timeout;
mod workers;
mod write_stall_timeout;

pub use body::Body;
pub use body::BodyError;
pub use body::BodyReadError;
pub use body::empty;
pub use body::full;
pub use body::read_bounded;
pub use body::stream;
pub use clock::Clock;
pub use grpc_channel::GrpcChannel;
pub use http_pool::HttpPool;
pub use http_pool::ProbeResult;
pub use http_response::HttpResponse;
pub use http_server::ConnectionNumber;
pub use http_server::Handler;
pub use http_server::HandlerFuture;
pub use http_server::HttpServer;
pub use http_server::ServerLimits;
pub use lock::lock;
pub use send_error::SendError;
pub use with_timeout::with_timeout;
pub use workers::Workers;
