//! How long a stage takes, learned from its answers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Weight of a new sample is 1 in 2^SHIFT.
const MEAN_SHIFT: u32 = 4;
/// Same for the deviation.
const DEVIATION_SHIFT: u32 = 3;

/// A running mean and mean deviation of a duration, in the manner of TCP's
/// round-trip estimator.
///
/// Kept in atomics without a lock. Two threads that update at once may lose
/// one of the samples, which an average can bear.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    mean_us: AtomicU64,
    deviation_us: AtomicU64,
}

impl LatencyEstimate {
    /// An estimate that starts from a guess; it counts as one sample.
    pub fn with_initial(initial: Duration) -> LatencyEstimate {
        let us = as_us(initial);
        LatencyEstimate {
            mean_us: AtomicU64::new(us),
            deviation_us: AtomicU64::new(us / 2),
        }
    }

    /// Takes a sample into account.
    pub fn record(&self, took: Duration) {
        let sample = as_us(took);
        let mean = self.mean_us.load(Ordering::Relaxed);
        if mean == 0 {
            self.mean_us.store(sample, Ordering::Relaxed);
            self.deviation_us.store(sample / 2, Ordering::Relaxed);
            return;
        }
        let deviation = self.deviation_us.load(Ordering::Relaxed);
        let off = sample.abs_diff(mean);
        self.deviation_us
            .store(step(deviation, off, DEVIATION_SHIFT), Ordering::Relaxed);
        self.mean_us
            .store(step(mean, sample, MEAN_SHIFT), Ordering::Relaxed);
    }

    /// The mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// The mean plus `count` mean deviations.
    pub fn mean_plus_deviations(&self, count: u32) -> Duration {
        let spread = Duration::from_micros(self.deviation_us.load(Ordering::Relaxed));
        self.mean() + spread * count
    }
}

fn step(old: u64, new: u64, shift: u32) -> u64 {
    old - (old >> shift) + (new >> shift)
}

fn as_us(d: Duration) -> u64 {
    // Keep clear of zero, which stands for "no sample yet".
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX).max(1)
}
