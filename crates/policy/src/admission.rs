//! Deadline-based admission control.

use std::time::Duration;

use jd_types::MonoTime;

/// The result of comparing the expected processing time with the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionCheck {
    /// The request can be answered before its deadline.
    Fits {
        /// Time left beyond the expected processing time, available for queueing.
        slack: Duration,
    },
    /// The request is expected to miss its deadline.
    WouldMiss {
        /// How far the expected processing time exceeds the time left.
        short_by: Duration,
    },
}

/// Compares the time until `deadline` with the `expected` time of all remaining stages.
///
/// Rejecting early avoids wasted work. Under overload, a request that starts late
/// completes its first stages, misses its deadline in the last one, and costs as much
/// as a request that is answered.
pub fn check_deadline(now: MonoTime, deadline: MonoTime, expected: Duration) -> AdmissionCheck {
    let left = deadline.since(now);
    match left.checked_sub(expected) {
        Some(slack) => AdmissionCheck::Fits { slack },
        None => AdmissionCheck::WouldMiss {
            short_by: expected - left,
        },
    }
}
