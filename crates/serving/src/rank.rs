//! The order in which pieces are served.

use jd_types::MonoTime;

use crate::JobKey;
use crate::PieceKey;

/// Whether a piece's job can still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Feasibility {
    /// It can.
    InTime,
    /// It cannot, but earlier stages have been done for it. Left behind, their
    /// results expire, and the work has to be done twice.
    LateBegun,
    /// It cannot, and nothing has been done for it.
    Late,
}

/// The order in which pieces are served: those that can still be in time
/// first, and among them those that have to start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) chance: Feasibility,
    pub(crate) start_by: MonoTime,
    pub(crate) job: JobKey,
    pub(crate) piece: PieceKey,
}

impl Feasibility {
    pub(crate) fn of(is_late: bool, is_first: bool) -> Feasibility {
        match (is_late, is_first) {
            (false, _) => Feasibility::InTime,
            (true, false) => Feasibility::LateBegun,
            (true, true) => Feasibility::Late,
        }
    }
}
