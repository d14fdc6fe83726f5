//! How many instances there may be.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

/// How long a number of instances counts: many windows of the retry budget, since instances that
/// are cut off from each other disappear from each other's lists.
const MEMORY: Duration = Duration::from_secs(600);

/// The largest number of instances that was known within [`MEMORY`].
#[derive(Debug, Default)]
pub(crate) struct FleetSize {
    /// Falling numbers, each with the time at which it was last known.
    known: VecDeque<(MonoTime, usize)>,
}

impl FleetSize {
    /// Records how many instances are known.
    pub(crate) fn record(&mut self, now: MonoTime, instances: usize) {
        while self.known.back().is_some_and(|(_, n)| *n <= instances) {
            self.known.pop_back();
        }
        self.known.push_back((now, instances));
        while self
            .known
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MEMORY)
        {
            self.known.pop_front();
        }
    }

    /// The largest recorded number; 0 if there is none.
    pub(crate) fn largest(&self) -> usize {
        self.known.front().map_or(0, |(_, instances)| *instances)
    }
}
