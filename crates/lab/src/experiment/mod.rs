//! Policies against the same seeded arrivals and faults, in virtual time.
//!
//! Nine instances' real gates, tables, runs, budgets and loan books are stepped
//! by one event loop; only callers and upstreams are modelled, by a queue each.
//! The same seed gives the same bytes. It compares policies; it does not
//! predict absolute latencies of a deployment.

mod arrivals;
mod disturbance;
mod event;
mod instance;
mod outcome;
mod plot;
mod request;
mod server;
mod table;
mod variant;
mod workload;
mod world;
mod world_beat;
mod world_outcome;
mod world_send;

use jd_standins::Deployment;

pub use disturbance::Disturbance;
pub use outcome::Outcome;
pub use plot::plot;
pub use table::table;
pub use variant::Variant;

/// Loads as parts of the capacity of the busiest pool.
pub const LOADS: [f64; 3] = [0.7, 1.0, 1.5];

/// Runs every policy under every load without a fault, and under every fault at
/// the load of 0.7.
pub fn run(deployment: &Deployment, seed: u64, seconds: u64) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for variant in Variant::ALL {
        for load in LOADS {
            let cell = world::Cell {
                variant,
                load,
                disturbance: Disturbance::None,
                seed,
                seconds,
            };
            outcomes.push(world::run(deployment, cell));
        }
        for disturbance in Disturbance::FAULTS {
            let cell = world::Cell {
                variant,
                load: LOADS[0],
                disturbance,
                seed,
                seconds,
            };
            outcomes.push(world::run(deployment, cell));
        }
    }
    outcomes
}
