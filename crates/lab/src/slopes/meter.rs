//! Measures time and memory.

use std::fmt;
use std::hint::black_box;
use std::time::Duration;

use cpu_time::ThreadTime;

use crate::slopes::Sample;
use crate::slopes::Slope;

/// Rounds at each size; the median counts.
const ROUNDS: usize = 7;
/// How long one round should take.
const ROUND: Duration = Duration::from_millis(12);

/// Measures time and memory.
pub struct Meter<'a> {
    bytes: &'a dyn Fn() -> usize,
}

impl fmt::Debug for Meter<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Meter")
    }
}

impl<'a> Meter<'a> {
    /// A meter; `bytes` tells how many bytes are allocated now.
    pub fn new(bytes: &'a dyn Fn() -> usize) -> Meter<'a> {
        Meter { bytes }
    }

    /// Processor time of one event in nanoseconds, at each size. `build` makes
    /// the state of a size, `event` is given it and the event's number.
    pub fn time<S, T>(
        &self,
        role: &'static str,
        size_of: &'static str,
        sizes: &[usize],
        build: impl Fn(usize) -> S,
        mut event: impl FnMut(&mut S, u64) -> T,
    ) -> Slope {
        let mut samples = Vec::new();
        let mut spread_percent: f64 = 0.0;
        for &size in sizes {
            let mut state = build(size);
            let mut number = 0;
            let count = calibrate(&mut state, &mut number, &mut event);
            let mut costs: Vec<f64> = (0..ROUNDS)
                .map(|_| round(&mut state, &mut number, count, &mut event))
                .collect();
            costs.sort_by(f64::total_cmp);
            let cost = costs[ROUNDS / 2];
            // The outermost round on either side is left to the machine's noise.
            let inner = costs[ROUNDS - 2] - costs[1];
            spread_percent = spread_percent.max(inner / cost * 100.0);
            samples.push(Sample { size, cost });
        }
        Slope {
            role,
            size_of,
            unit: "ns",
            samples,
            spread_percent,
        }
    }

    /// Bytes that the state of each size holds.
    pub fn memory<S>(
        &self,
        role: &'static str,
        size_of: &'static str,
        sizes: &[usize],
        build: impl Fn(usize) -> S,
    ) -> Slope {
        let sample = |&size: &usize| {
            let before = (self.bytes)();
            let state = build(size);
            let after = (self.bytes)();
            drop(black_box(state));
            Sample {
                size,
                cost: after.saturating_sub(before) as f64,
            }
        };
        let samples = sizes.iter().map(sample).collect();
        Slope {
            role,
            size_of,
            unit: "bytes",
            samples,
            spread_percent: 0.0,
        }
    }

    /// Bytes of a message at each size.
    pub fn message(
        &self,
        role: &'static str,
        size_of: &'static str,
        sizes: &[usize],
        encoded: impl Fn(usize) -> usize,
    ) -> Slope {
        let sample = |&size: &usize| Sample {
            size,
            cost: encoded(size) as f64,
        };
        let samples = sizes.iter().map(sample).collect();
        Slope {
            role,
            size_of,
            unit: "bytes",
            samples,
            spread_percent: 0.0,
        }
    }
}

/// How many events fill a round.
fn calibrate<S, T>(
    state: &mut S,
    number: &mut u64,
    event: &mut impl FnMut(&mut S, u64) -> T,
) -> u64 {
    let mut count = 1;
    loop {
        let took = round(state, number, count, event) * count as f64;
        if took >= ROUND.as_nanos() as f64 / 4.0 || count >= 1 << 20 {
            return (count * 4).max(1);
        }
        count *= 2;
    }
}

fn round<S, T>(
    state: &mut S,
    number: &mut u64,
    count: u64,
    event: &mut impl FnMut(&mut S, u64) -> T,
) -> f64 {
    let began = ThreadTime::now();
    for _ in 0..count {
        *number += 1;
        black_box(event(state, *number));
    }
    began.elapsed().as_nanos() as f64 / count as f64
}
