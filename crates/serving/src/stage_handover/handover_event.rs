//! Decisions on replicated results, for logs and metrics.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::Incarnation;

/// A decision on results that another owner replicated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverEvent {
    /// A job continues with results of the owner.
    Adopted {
        /// The request id of the job.
        request_id: CompactString,
        /// The owner that replicated the results.
        owner: Incarnation,
        /// The number of results.
        results: usize,
        /// Time since the last update of the owner.
        update_age: Duration,
    },
    /// Results that no job has claimed are released.
    Freed {
        /// The owner that replicated the results.
        owner: Incarnation,
        /// The number of results.
        results: usize,
        /// The sum of their sizes.
        bytes: u64,
        /// Time since this instance took the shard over from the silent owner.
        silent_for: Duration,
        /// Time since the last update of the owner.
        update_age: Duration,
    },
    /// The owner has handed over the results of jobs that it had begun.
    Transferred {
        /// The owner that handed them over.
        owner: Incarnation,
        /// The number of results.
        results: usize,
    },
    /// The owner is running and has released results that a job had adopted.
    Withdrawn {
        /// The owner that replicated the results.
        owner: Incarnation,
        /// The number of results.
        results: usize,
    },
}
