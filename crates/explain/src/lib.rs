//! Explains the outcome of requests from the log lines of any number of instances.
//!
//! [`Log`] collects lines, [`Breakdown`] counts refused, truncated and late requests
//! by second and cause, and [`request_history`] lists every line of one request in
//! order. Malformed lines are counted and reported but are not an error: the log of a
//! crashed instance often ends in the middle of a line and must still be readable.

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
