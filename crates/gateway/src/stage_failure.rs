//! Why the stages of a request failed, to its caller and in logs.

use std::time::Duration;

use jd_serving::JobFailure;
use jd_types::Refusal;
use jd_types::RefusalKind;

/// The retry time if no upstream is listed: entries that expired during a store outage are
/// back within two seconds, most of them within one.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(1_200);
/// The retry time after stages failed.
const FAILED_RETRY: Duration = Duration::from_millis(500);

/// The name of a failure in logs and metrics.
pub(crate) const fn name(failure: JobFailure) -> &'static str {
    match failure {
        JobFailure::WouldMiss(_) => "would-miss",
        JobFailure::TooLate => "too-late",
        JobFailure::NoUpstream => "no-upstream",
        JobFailure::PieceFailed => "piece-failed",
        JobFailure::Moved => "moved",
        JobFailure::Quarantined(_) => "quarantined",
    }
}

/// The refusal of a request whose stages failed. The request itself has not run.
pub(crate) fn refusal(failure: JobFailure) -> Refusal {
    let (kind, wait, detail) = match failure {
        JobFailure::WouldMiss(wait) => (
            RefusalKind::WouldMiss,
            wait,
            "the stages would end after the deadline",
        ),
        JobFailure::TooLate => (
            RefusalKind::WouldMiss,
            FAILED_RETRY,
            "the stages did not end before the deadline",
        ),
        JobFailure::NoUpstream => (
            RefusalKind::NoUpstream,
            NO_UPSTREAM_RETRY,
            "no upstream does one of the stages",
        ),
        JobFailure::PieceFailed => (
            RefusalKind::Overloaded,
            FAILED_RETRY,
            "a piece of a stage failed too often",
        ),
        JobFailure::Quarantined(left) => (
            RefusalKind::Quarantined,
            left,
            "upstreams that ran this request ended, one after the other",
        ),
        JobFailure::Moved => (
            RefusalKind::Overloaded,
            FAILED_RETRY,
            "the instance that does stages changed until the deadline",
        ),
    };
    Refusal::not_run(kind, detail).with_retry_after(wait)
}
