//! The bound on the number of runs of one request.

use crate::Route;

/// The runs of one request that may have begun, and how many are allowed.
///
/// A run counts before the request is sent, whatever becomes of the connection afterwards. Only
/// proof that no upstream ran the request takes it back.
///
/// The instance that takes a request from its caller decides on all of its runs. An instance that
/// gets it forwarded may begin one of them, which the first one has counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunBudget {
    allowed: u32,
    begun: u32,
    /// Runs that the instance which forwarded the request may begin after this one.
    further: u32,
}

impl RunBudget {
    /// The runs that a route allows for a request of a caller.
    pub fn of_route(route: &Route) -> RunBudget {
        RunBudget {
            allowed: route.allowed_runs(),
            begun: 0,
            further: 0,
        }
    }

    /// The one run of a forwarded request. The instance that forwarded it may begin `further` ones.
    pub fn of_forwarded(further: u32) -> RunBudget {
        RunBudget {
            allowed: 1,
            begun: 0,
            further,
        }
    }

    /// Lowers the number of allowed runs, if it is higher.
    pub fn lower_to(&mut self, allowed: u32) {
        self.allowed = self.allowed.min(allowed);
    }

    /// Counts a run that is about to begin; false if none is left.
    #[must_use]
    pub fn begin(&mut self) -> bool {
        let is_allowed = self.left() > 0;
        self.begun += u32::from(is_allowed);
        is_allowed
    }

    /// Takes back a run that is proved not to have begun.
    pub fn take_back(&mut self) {
        self.begun = self.begun.saturating_sub(1);
    }

    /// Runs that may have begun.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Runs that may still begin here.
    pub fn left(&self) -> u32 {
        self.allowed.saturating_sub(self.begun)
    }

    /// Runs that may still begin, here or at the instance that forwarded the request.
    pub fn left_anywhere(&self) -> u32 {
        self.left() + self.further
    }
}
