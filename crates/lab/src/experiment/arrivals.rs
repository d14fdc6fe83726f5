//! Seeded calls.

use std::time::Duration;

use fastrand::Rng;
use jd_standins::Deployment;
use jd_types::MonoTime;

use crate::experiment::Disturbance;
use crate::experiment::world::Cell;
use crate::experiment::world::INSTANCES;

/// One call, decided by the seed alone, so that every policy gets the same.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) at: MonoTime,
    pub(super) customer: usize,
    pub(super) pipeline: usize,
    pub(super) instance: usize,
}

/// When the fault begins and ends.
pub(super) fn window(seconds: u64) -> (MonoTime, MonoTime) {
    let part = seconds * 1_000 / 5;
    (
        START + Duration::from_millis(part),
        START + Duration::from_millis(part * 4),
    )
}

/// When calls begin.
pub(super) const START: MonoTime = MonoTime::from_millis(10_000);

/// All calls of a cell, at `rate` a second in the mean.
pub(super) fn arrivals(deployment: &Deployment, cell: Cell, rate: f64) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(cell.seed);
    let end = START + Duration::from_secs(cell.seconds);
    let (from, to) = window(cell.seconds);
    let customers = deployment.customers.map(|(.., percent)| percent);
    let pipelines: Vec<u32> = deployment.pipelines.iter().map(|p| p.percent).collect();
    let mut at = START;
    let mut calls = Vec::new();
    while at < end {
        at = at + Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let call = Arrival {
            at,
            customer: draw(&mut rng, &customers),
            pipeline: draw(&mut rng, &pipelines),
            instance: rng.usize(..INSTANCES),
        };
        let disturbed = at >= from && at < to;
        let skewed = disturbed && cell.disturbance == Disturbance::Skewed && rng.u32(..4) < 3;
        let call = if skewed {
            Arrival {
                instance: 0,
                ..call
            }
        } else {
            call
        };
        let burst = disturbed && cell.disturbance == Disturbance::Burst && call.customer == 0;
        let copies = if burst { 3 } else { 1 };
        calls.extend((0..copies).map(|n| Arrival {
            instance: (call.instance + n) % INSTANCES,
            ..call
        }));
    }
    calls
}

fn draw(rng: &mut Rng, parts: &[u32]) -> usize {
    let mut left = rng.u32(..parts.iter().sum::<u32>().max(1));
    for (i, part) in parts.iter().enumerate() {
        match left.checked_sub(*part) {
            Some(rest) => left = rest,
            None => return i,
        }
    }
    0
}
