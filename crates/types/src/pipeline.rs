//! A named sequence of stages under one deadline.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Stage;

/// A named sequence of stages under one deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pipeline {
    /// The longest time that a request may take, in milliseconds.
    pub deadline_ms: u32,
    /// The stages in order of execution; 1 to 8.
    pub stages: Vec<Stage>,
    /// True if no caller waits for the result: the request is acknowledged once it
    /// is stored durably, and is run later.
    pub deferrable: bool,
}

impl Pipeline {
    /// The shortest and longest deadlines, in milliseconds.
    pub const DEADLINE_MS: std::ops::RangeInclusive<u32> = 10..=60_000;
    /// The maximum number of stages.
    pub const MAX_STAGES: usize = 8;

    /// The deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(u64::from(self.deadline_ms))
    }

    /// True if any stage may run at most once, in which case a request needs an
    /// idempotency key.
    pub fn needs_key(&self) -> bool {
        self.stages.iter().any(|s| !s.idempotent)
    }
}

impl fmt::Display for Pipeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "deadline {}ms stages ", self.deadline_ms)?;
        for (i, stage) in self.stages.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{stage}")?;
        }
        match self.deferrable {
            true => f.write_str(" deferrable"),
            false => Ok(()),
        }
    }
}
