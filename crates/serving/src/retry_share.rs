//! One instance's share of the retries that all instances may send beyond the ratio.

use std::time::Duration;

use crate::RetryLimit;

/// The fraction of the slack that processes share which have run for a window.
const FULL_FRACTION: f64 = 0.45;
/// The fraction that they share at their start, so that a single process can retry at once.
const FIRST_FRACTION: f64 = 0.05;

/// What the share of an instance depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryShare {
    /// The list of instances is not known yet, so that the share is zero.
    Unlisted,
    /// The list is known.
    Listed {
        /// The largest number of instances that was known lately, including this one.
        instances: usize,
        /// The time since the start of this process.
        age: Duration,
    },
}

impl RetryShare {
    /// The number of instances that the slack is divided by; 0 if it is not known yet.
    pub fn instances(self) -> usize {
        match self {
            RetryShare::Unlisted => 0,
            RetryShare::Listed { instances, .. } => instances,
        }
    }

    /// The retries that an instance may send in a window beyond the ratio.
    ///
    /// With the slack S, N instances and a window W, it grows from 0.05 S / N at the start of the
    /// process to 0.45 S / N at the age of W. In any window, the process that runs at an address
    /// when the window begins sends at most 0.45 S / N. If k processes start there within the
    /// window, their ages add up to at most W, so that they send at most (0.05 k + 0.4) S / N. All
    /// instances together then send at most (0.85 + 0.05 k) S, which is S for three starts at each
    /// address, if each knows of all addresses.
    pub fn slack(self, limit: &RetryLimit) -> f64 {
        match self {
            RetryShare::Unlisted => 0.0,
            RetryShare::Listed { instances, age } => {
                let grown = age.as_secs_f64() / limit.window.as_secs_f64();
                let grows = (FULL_FRACTION - FIRST_FRACTION) * grown.min(1.0);
                limit.slack / instances.max(1) as f64 * (FIRST_FRACTION + grows)
            }
        }
    }
}
