//! Prints what the shipped desk makes of Karrabin's stages at several loads.
//!
//! Columns: the kind that the burst is of; the part of the worth that was earned
//! outside of the burst and in it; of each kind the parts in time, late, refused
//! and given up, outside and in.

use std::time::Duration;

use jd_lab::stages::KINDS;
use jd_lab::stages::Load;
use jd_lab::stages::run;

/// Seeds of each load; one alone differs by a few hundredths.
const SEEDS: u64 = 3;

fn main() {
    let seconds = Duration::from_secs;
    let steady = [1.0, 1.5, 2.0].map(|load| (load, load, None));
    let bursts = [1.8, 2.5, 3.2].map(|load| (1.0, load, None));
    let of_a_kind = [
        (1.0, 3.2, Some(0)),
        (1.0, 3.2, Some(1)),
        (1.0, 4.5, Some(1)),
    ];
    let all = steady.into_iter().chain(bursts).chain(of_a_kind);
    for (steady, burst, only) in all {
        for seed in 0..SEEDS {
            let load = Load {
                steady,
                burst,
                only,
                burst_in: (seconds(10), seconds(16)),
                lasts: seconds(30),
                seed,
            };
            let of = only.map_or("all", |n| KINDS[n].name);
            println!("{steady:.1} {burst:.1} {of:6} {}", run(&load));
        }
    }
}
