//! What the shipped desk makes of a burst.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_lab::stages::Load;
use jd_lab::stages::run;

fn burst(times: f64) -> Load {
    let seconds = Duration::from_secs;
    Load {
        steady: 1.0,
        burst: times,
        only: None,
        burst_in: (seconds(5), seconds(11)),
        lasts: seconds(20),
        seed: 0,
    }
}

#[test]
fn the_mean_load_is_served_in_time() {
    assert!(run(&burst(1.0)).earned(true) > 0.99);
}

/// In a burst of two and a half times the mean a quarter of the worth was lost
/// while everything waited in the order of its deadline; 0.75 and less.
#[test]
fn a_burst_beyond_capacity_costs_only_what_is_beyond() {
    let report = run(&burst(2.5));
    assert!(report.earned(true) > 0.88, "{report}");
    assert!(report.earned(false) > 0.97, "{report}");
}
