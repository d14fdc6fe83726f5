//! Why no other upstream goes on with a stream.

use compact_str::CompactString;
use snafu::Snafu;

/// Why no other upstream goes on with a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NotResumed {
    /// The deadline passed.
    Deadline,
    /// The caller has most likely abandoned the stream, or this instance stops.
    Abandoned,
    /// The route allows no further run, or the request was sent to too many upstreams.
    NoRunLeft,
    /// It is not certain which software version began the stream.
    VersionUncertain,
    /// The last event that the caller has got has no number.
    EventUnnumbered,
    /// The numbers of the events that the caller has got went back or came twice.
    EventsUnordered,
    /// The retry budget of the service is used up.
    RetryBudget,
    /// The stages or all upstreams refused the request before it was sent.
    Refused(CompactString),
    /// The latest attempt failed.
    Failed(CompactString),
}

impl NotResumed {
    /// The reason and its details, as logged.
    pub(crate) fn as_parts(&self) -> (&'static str, &str) {
        match self {
            NotResumed::Deadline => ("deadline", ""),
            NotResumed::Abandoned => ("abandoned", ""),
            NotResumed::NoRunLeft => ("no-run-left", ""),
            NotResumed::VersionUncertain => ("version-uncertain", ""),
            NotResumed::EventUnnumbered => ("event-unnumbered", ""),
            NotResumed::EventsUnordered => ("events-unordered", ""),
            NotResumed::RetryBudget => ("retry-budget", ""),
            NotResumed::Refused(detail) => ("refused", detail),
            NotResumed::Failed(detail) => ("failed", detail),
        }
    }
}

/// Why a stream was cut off. The caller sees a broken connection, never a regular end.
#[derive(Debug, Snafu)]
pub(crate) enum StreamError {
    #[snafu(display("the upstream broke off and nothing could go on; ask again"))]
    Upstream,
    #[snafu(display("the time for the answer is over; allow a longer deadline"))]
    Deadline,
}

impl From<NotResumed> for StreamError {
    fn from(why: NotResumed) -> StreamError {
        match why {
            NotResumed::Deadline => StreamError::Deadline,
            _ => StreamError::Upstream,
        }
    }
}
