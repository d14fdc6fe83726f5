//! Prints the slopes that docs/CAPACITY.md multiplies.

use std::alloc::System;

use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let bytes = || {
        let stats = ALLOCATOR.stats();
        stats
            .bytes_allocated
            .saturating_sub(stats.bytes_deallocated)
    };
    for slope in jd_lab::slopes::measure(&bytes) {
        let costs: Vec<String> = slope
            .samples
            .iter()
            .map(|s| format!("{} -> {:.0}", s.size, s.cost))
            .collect();
        println!(
            "{:<42} {:>5}  by {:<22} {:<52} exponent {:>5.2}  spread {:>4.0}%",
            slope.role,
            slope.unit,
            slope.size_of,
            costs.join(", "),
            slope.exponent(),
            slope.spread_percent,
        );
    }
}
