//! A result of another owner that a job has adopted.

use jd_types::Incarnation;
use jd_types::MonoTime;

/// A result of another owner that a job has adopted.
#[derive(Debug)]
pub(crate) struct AdoptedResult {
    pub(crate) owner: Incarnation,
    pub(crate) expires_at: MonoTime,
    /// True once the job does not need it any more.
    pub(crate) unneeded: bool,
}
