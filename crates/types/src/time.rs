//! Time values. State machines get the time as an argument and never read a clock.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// An instant on the process's monotonic clock, in microseconds since an origin that
/// the process chooses. Instants of different processes cannot be compared, so no
/// message carries one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The origin of the clock.
    pub const ZERO: MonoTime = MonoTime(0);

    /// The instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> MonoTime {
        MonoTime(micros)
    }

    /// The instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> MonoTime {
        MonoTime(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`; zero if `earlier` is the later of the two.
    pub const fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant `span` before `self`, or the origin if that is later.
    pub fn before(self, span: Duration) -> MonoTime {
        MonoTime(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, span: Duration) -> MonoTime {
        MonoTime(self.0.saturating_add(micros(span)))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A wall-clock time in milliseconds since the Unix epoch. It is only displayed and
/// written to the audit trail. No decision depends on it, because the clocks of
/// instances differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WallTime(u64);

impl WallTime {
    /// The wall-clock time `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> WallTime {
        WallTime(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}
