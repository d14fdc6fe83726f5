//! What the event loop has counted, as an outcome.

use std::time::Duration;

use crate::experiment::Outcome;
use crate::experiment::arrivals::Arrival;
use crate::experiment::world::World;

impl World<'_> {
    pub(super) fn outcome(&self, calls: &[Arrival]) -> Outcome {
        let percent = |part: f64, whole: f64| part * 100.0 / whole.max(1e-9);
        let last = self.deployment.customers.len() - 1;
        let small = calls.iter().filter(|c| c.customer == last).count();
        let small_attained = self.attained.iter().filter(|(c, _)| *c == last).count();
        let mut took: Vec<Duration> = self.attained.iter().map(|(_, t)| *t).collect();
        took.sort();
        let p99 = took.get(took.len() * 99 / 100).copied().unwrap_or_default();
        let attained = self.attained.len() as f64;
        Outcome {
            variant: self.cell.variant,
            load: self.cell.load,
            disturbance: self.cell.disturbance,
            calls: calls.len() as u64,
            attainment: percent(attained, calls.len() as f64),
            small_customer: percent(small_attained as f64, small as f64),
            refused: percent(self.refused as f64, calls.len() as f64),
            p99_ms: p99.as_secs_f64() * 1_000.0,
            cost_ms: self.all.as_secs_f64() * 1_000.0 / attained.max(1.0),
            wasted: percent(
                (self.all - self.used.min(self.all)).as_secs_f64(),
                self.all.as_secs_f64(),
            ),
            prefix_hits: percent(self.hits as f64, self.prompts as f64),
        }
    }
}
