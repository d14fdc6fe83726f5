//! Access to the system clocks. No other module reads the time.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jd_types::MonoTime;
use jd_types::WallTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The monotonic time at the start of a process: longer than the longest age in a message between
/// instances, which is 2^32 ms. With a smaller one, what happened before the start would look as
/// young as the process, and a revoked credential would count as proven.
const START: MonoTime = MonoTime::from_millis(60 * 24 * 3_600 * 1_000);

/// The monotonic clock and the wall clock of this process.
///
/// Monotonic time starts long after [`MonoTime::ZERO`], which stands for the time before the
/// process started.
///
/// Uses the clock that includes time during which the machine is suspended. With the usual
/// monotonic clock, a process that resumes after a suspension would treat expired leases,
/// deadlines and proofs as still valid.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock {
            origin: boot_time(),
        }
    }

    /// The current time of the monotonic clock.
    pub fn now(&self) -> MonoTime {
        START + boot_time().saturating_sub(self.origin)
    }

    /// The current time of the wall clock.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        WallTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Time since the machine booted, including time suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
