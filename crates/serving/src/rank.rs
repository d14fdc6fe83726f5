//! The order in which pieces are served.

use jd_types::MonoTime;

use crate::JobKey;
use crate::PieceKey;

/// Whether the job of a piece can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Feasibility {
    /// The job can be on time.
    OnTime,
    /// The job is late, but earlier stages of it have been done. If the piece waited behind others,
    /// their results would expire, and the work would have to be done twice.
    LateStarted,
    /// The job is late, and the piece belongs to a first stage.
    Late,
}

/// The order in which pieces are served: first those whose jobs can still be on time, and among
/// these first those that have to start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) feasibility: Feasibility,
    /// When the piece has to start for its job to be on time, plus a step for each priority below
    /// the most urgent.
    pub(crate) latest_start: MonoTime,
    pub(crate) job: JobKey,
    pub(crate) piece: PieceKey,
}

impl Feasibility {
    pub(crate) fn of(is_late: bool, is_first: bool) -> Feasibility {
        match (is_late, is_first) {
            (false, _) => Feasibility::OnTime,
            (true, false) => Feasibility::LateStarted,
            (true, true) => Feasibility::Late,
        }
    }
}
