//! What a demo should do.

use std::time::Duration;

use jd_standins::Deployment;

use crate::Fault;

/// What a demo should do.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// How long callers call.
    pub time: Duration,
    /// Calls a second, over all callers.
    pub rate: u32,
    /// The seed of arrivals, bodies and choices of callers.
    pub seed: u64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// True if progress is to be printed to standard error.
    pub progress: bool,
}
