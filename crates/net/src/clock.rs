//! The only place where time is read.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jd_types::MonoTime;
use jd_types::WallTime;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The clocks of this process. Time starts at one second, since
/// [`MonoTime::ZERO`] stands for "was always there".
///
/// Reads the clock that runs on while the machine is suspended. With the usual
/// monotonic clock a process that wakes from a suspension believes its leases,
/// deadlines and proofs to be as young as before, and acts on them.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            origin: boot_time(),
        }
    }

    /// Now, on the monotonic clock.
    pub fn now(&self) -> MonoTime {
        MonoTime::from_millis(1_000) + boot_time().saturating_sub(self.origin)
    }

    /// Now, on the wall clock.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        WallTime::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Time since the machine started, suspension included.
fn boot_time() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(t.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(t.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
