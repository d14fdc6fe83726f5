//! The loads that are put before the desk, and the table of what it makes of them.

use std::time::Duration;

use crate::stages::KINDS;
use crate::stages::Load;
use crate::stages::run;

/// Seeds of each load; one alone differs by a few hundredths.
const SEEDS: u64 = 3;
/// How long requests come.
const LASTS: Duration = Duration::from_secs(30);
/// When the burst begins and ends.
const BURST: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(16));

/// A line for each load and seed: the steady load and the burst as multiples of
/// the mean, the kind that the burst is of; the part of the worth that was earned
/// outside of the burst and in it; of each kind the parts in time, late, refused
/// and given up, outside and in.
pub fn table() -> String {
    let steady = [1.0, 1.5, 2.0].map(|load| (load, load, None));
    let bursts = [1.8, 2.5, 3.2].map(|load| (1.0, load, None));
    let of_a_kind = [
        (1.0, 3.2, Some(0)),
        (1.0, 3.2, Some(1)),
        (1.0, 4.5, Some(1)),
    ];
    let mut lines = String::new();
    for (steady, burst, only) in steady.into_iter().chain(bursts).chain(of_a_kind) {
        for seed in 0..SEEDS {
            let load = Load {
                steady,
                burst,
                only,
                burst_in: BURST,
                lasts: LASTS,
                seed,
            };
            let of = only.map_or("all", |n| KINDS[n].name);
            lines += &format!("{steady:.1} {burst:.1} {of:6} {}\n", run(&load));
        }
    }
    lines
}
