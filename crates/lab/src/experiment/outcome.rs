//! What one cell of an experiment gave.

use serde::Serialize;

use crate::experiment::Disturbance;
use crate::experiment::Variant;

/// What one policy gave under one load and fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// The policy.
    pub variant: Variant,
    /// The load, as a part of capacity.
    pub load: f64,
    /// The fault.
    pub disturbance: Disturbance,
    /// Calls.
    pub calls: u64,
    /// Calls answered within their deadline, in hundredths.
    pub attainment: f64,
    /// The same for the smallest customer.
    pub small_customer: f64,
    /// Calls refused, in hundredths.
    pub refused: f64,
    /// The 99th percentile of answered calls, in milliseconds.
    pub p99_ms: f64,
    /// Upstream time for one attained call, in milliseconds.
    pub cost_ms: f64,
    /// Of all upstream time, what was wasted, in hundredths.
    pub wasted: f64,
    /// Prompts whose prefix the engine had, in hundredths.
    pub prefix_hits: f64,
}
