//! Running estimate of a latency.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A new sample has a weight of 1 in 2^`MEAN_SHIFT` in the mean.
const MEAN_SHIFT: u32 = 4;
/// A new sample has a weight of 1 in 2^`DEVIATION_SHIFT` in the deviation.
const DEVIATION_SHIFT: u32 = 3;

/// A moving average and mean deviation of a duration, computed like TCP's round-trip
/// time estimator.
///
/// The values are atomics that are updated without a lock. If two threads record at the
/// same time, one sample may be lost, which is acceptable for an average.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    mean_us: AtomicU64,
    deviation_us: AtomicU64,
}

impl LatencyEstimate {
    /// Creates an estimate from an initial value, which counts as one sample.
    pub fn with_initial(initial: Duration) -> LatencyEstimate {
        let us = as_us(initial);
        LatencyEstimate {
            mean_us: AtomicU64::new(us),
            deviation_us: AtomicU64::new(us / 2),
        }
    }

    /// Records a sample.
    pub fn record(&self, duration: Duration) {
        let sample = as_us(duration);
        let mean = self.mean_us.load(Ordering::Relaxed);
        if mean == 0 {
            self.mean_us.store(sample, Ordering::Relaxed);
            self.deviation_us.store(sample / 2, Ordering::Relaxed);
            return;
        }
        let deviation = self.deviation_us.load(Ordering::Relaxed);
        let difference = sample.abs_diff(mean);
        self.deviation_us.store(
            moving_average(deviation, difference, DEVIATION_SHIFT),
            Ordering::Relaxed,
        );
        self.mean_us
            .store(moving_average(mean, sample, MEAN_SHIFT), Ordering::Relaxed);
    }

    /// The mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// The mean plus `count` mean deviations.
    pub fn mean_plus_deviations(&self, count: u32) -> Duration {
        let deviation = Duration::from_micros(self.deviation_us.load(Ordering::Relaxed));
        self.mean() + deviation * count
    }
}

fn moving_average(old: u64, new: u64, shift: u32) -> u64 {
    old - (old >> shift) + (new >> shift)
}

fn as_us(d: Duration) -> u64 {
    // At least 1, because zero means that there is no sample yet.
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX).max(1)
}
