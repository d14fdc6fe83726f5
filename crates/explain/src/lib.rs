//! What became of requests, told from the log lines of any number of instances.
//!
//! [`Log`] takes lines in, [`Breakdown`] counts by second and cause the requests
//! that were refused, cut or late, and [`request_history`] has every line of one request in
//! order. Lines that are not log lines are counted and named, and nothing else: a
//! log that was cut off by a crash is the one that is read.

mod breakdown;
mod cause;
mod log;
mod log_line;
mod malformed_line;
mod request_history;

pub use breakdown::Breakdown;
pub use breakdown::LateThresholds;
pub use cause::Cause;
pub use log::Log;
pub use log_line::LogLine;
pub use malformed_line::MalformedLine;
pub use request_history::request_history;
