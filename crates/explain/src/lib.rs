//! What became of requests, told from the log lines of any number of instances.
//!
//! [`Log`] takes lines in, [`Breakdown`] counts by second and cause the requests
//! that were refused, cut or late, and [`story`] has every line of one request in
//! order. Lines that are not log lines are counted and named, and nothing else: a
//! log that was cut off by a crash is the one that is read.

mod bad_line;
mod breakdown;
mod cause;
mod line;
mod log;
mod story;

pub use bad_line::BadLine;
pub use breakdown::Breakdown;
pub use breakdown::LateAfter;
pub use cause::Cause;
pub use line::Line;
pub use log::Log;
pub use story::story;
