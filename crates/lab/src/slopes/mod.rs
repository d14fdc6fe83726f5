//! What each role costs, at several sizes.
//!
//! Time is processor time of this thread for many events in a row, the median
//! of several rounds. Memory is asked from the caller's allocator counter,
//! before and after the state is built. Bytes of messages are the encoded sizes.

mod config;
mod heartbeat;
mod limits;
mod locate;
mod meter;
mod requests;
mod routing;
mod slope;

pub use meter::Meter;
pub use slope::Sample;
pub use slope::Slope;

/// Measures every role. `bytes` tells how many bytes are allocated now.
pub fn measure(bytes: &dyn Fn() -> usize) -> Vec<Slope> {
    let meter = Meter::new(bytes);
    let mut slopes = heartbeat::measure(&meter);
    slopes.extend(locate::measure(&meter));
    slopes.extend(routing::measure(&meter));
    slopes.extend(limits::measure(&meter));
    slopes.extend(config::measure(&meter));
    slopes.extend(requests::measure(&meter));
    slopes
}
