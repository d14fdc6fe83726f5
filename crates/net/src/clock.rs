//! Access to the system clocks. No other module reads the time.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jd_types::MonoTime;
use jd_types::WallTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The monotonic clock and the wall clock of this process.
///
/// Monotonic time starts at one second, because [`MonoTime::ZERO`] stands for the time
/// before the process started.
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
        MonoTime::from_millis(1_000) + boot_time().saturating_sub(self.origin)
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
