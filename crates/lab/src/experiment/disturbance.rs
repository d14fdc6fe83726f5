//! What goes wrong in an experiment.

use serde::Serialize;

/// What goes wrong in the middle three fifths of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disturbance {
    /// Nothing.
    None,
    /// One upstream of each pool is ten times as slow.
    Slow,
    /// One upstream of each pool fails half of its requests.
    Failing,
    /// One upstream of each pool swallows a third of its requests.
    Silent,
    /// The largest customer calls three times as much.
    Burst,
    /// Three of four callers use the same instance.
    Skewed,
}

impl Disturbance {
    /// Everything that goes wrong.
    pub const FAULTS: [Disturbance; 5] = [
        Disturbance::Slow,
        Disturbance::Failing,
        Disturbance::Silent,
        Disturbance::Burst,
        Disturbance::Skewed,
    ];

    /// The name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Disturbance::None => "none",
            Disturbance::Slow => "slow",
            Disturbance::Failing => "failing",
            Disturbance::Silent => "silent",
            Disturbance::Burst => "burst",
            Disturbance::Skewed => "skewed",
        }
    }
}
