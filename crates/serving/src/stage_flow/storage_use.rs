//! How much storage the results of a service occupy, and for how long.

use std::time::Duration;

/// The weight of a new result: about the results of the last second or two decide.
const RESULT_WEIGHT: f64 = 1.0 / 256.0;
/// The fewest calls of one upstream whose results occupy storage at the same time: a call that is
/// sent as soon as the one before has ended finds all results of that one.
const MIN_OVERLAPPING_CALLS: f64 = 2.0;
/// Results that have to be observed before the figures count.
const MIN_RESULTS: u32 = 64;

/// The moving means of the size of the results of one service, and of the time for which each
/// occupies storage, from the start of its call until its release.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StorageUse {
    results: u32,
    bytes: f64,
    byte_seconds: f64,
}

impl StorageUse {
    /// Records a result that has been released.
    pub(crate) fn record(&mut self, bytes: u64, occupied_for: Duration) {
        self.results = self.results.saturating_add(1);
        let weight = RESULT_WEIGHT.max(1.0 / f64::from(self.results));
        let bytes = bytes as f64;
        self.bytes += (bytes - self.bytes) * weight;
        self.byte_seconds += (bytes * occupied_for.as_secs_f64() - self.byte_seconds) * weight;
    }

    /// The mean number of pieces of a call for which `storage` bytes of one upstream last, if calls
    /// take `call_time` and follow each other; none if too little is known.
    pub(crate) fn pieces_per_call(&self, storage: u64, call_time: Duration) -> Option<f64> {
        if self.results < MIN_RESULTS || self.bytes <= 0.0 {
            return None;
        }
        let seconds = self.byte_seconds / self.bytes;
        let overlapping = seconds / call_time.as_secs_f64().max(f64::MIN_POSITIVE);
        Some(storage as f64 / self.bytes / overlapping.max(MIN_OVERLAPPING_CALLS))
    }
}
