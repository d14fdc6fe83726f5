//! Cost accounting by customer, pipeline and stage.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jd_types::AttemptId;
use jd_types::AttemptOutcome;
use jd_types::Name;

/// The cost of one attempt. Every attempt is recorded exactly once.
#[derive(Debug, Clone)]
pub struct AttemptCost {
    /// The attempt.
    pub attempt: AttemptId,
    /// The customer that sent the request.
    pub customer: Name,
    /// The pipeline.
    pub pipeline: Name,
    /// The upstream that processed the attempt.
    pub upstream: CompactString,
    /// Units reported by the upstream, or 0 if it reported none.
    pub units: u64,
    /// Time for which the attempt occupied the upstream, in microseconds.
    pub held_us: u64,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
}

/// Totals over a number of attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CostTotals {
    /// Number of attempts.
    pub attempts: u64,
    /// Units of attempts whose response was used.
    pub used_units: u64,
    /// Units of attempts whose response was not used.
    pub wasted_units: u64,
    /// Microseconds of attempts whose response was used.
    pub used_us: u64,
    /// Microseconds of attempts whose response was not used.
    pub wasted_us: u64,
}

impl CostTotals {
    /// Adds `other` to these totals.
    pub fn merge(&mut self, other: CostTotals) {
        self.attempts += other.attempts;
        self.used_units += other.used_units;
        self.wasted_units += other.wasted_units;
        self.used_us += other.used_us;
        self.wasted_us += other.wasted_us;
    }

    fn add(&mut self, cost: &AttemptCost, used: bool) {
        self.attempts += 1;
        match used {
            true => {
                self.used_units += cost.units;
                self.used_us += cost.held_us;
            }
            false => {
                self.wasted_units += cost.units;
                self.wasted_us += cost.held_us;
            }
        }
    }
}

/// The customer, pipeline and stage that totals are kept for.
///
/// Holds names rather than configuration keys, because keys are valid for one
/// configuration revision only and totals are kept across revisions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CostKey {
    /// The customer that sent the requests.
    pub customer: Name,
    /// The pipeline.
    pub pipeline: Name,
    /// Index of the stage in the pipeline, from 0.
    pub stage: u8,
}

/// Cost totals by customer, pipeline and stage.
///
/// The totals of all keys add up exactly to the grand total, so that a disputed bill can
/// be checked.
#[derive(Debug, Default)]
pub struct CostLedger {
    by_key: BTreeMap<CostKey, CostTotals>,
    grand_total: CostTotals,
}

impl CostLedger {
    /// Records the attempts of one finished request.
    ///
    /// `answered` is true if the caller received the complete response. If it is false,
    /// the cost of answered stages counts as wasted too.
    pub fn record(&mut self, costs: &[AttemptCost], answered: bool) {
        for cost in costs {
            let used = answered && cost.outcome == AttemptOutcome::Answered;
            let key = CostKey {
                customer: cost.customer.clone(),
                pipeline: cost.pipeline.clone(),
                stage: cost.attempt.stage,
            };
            self.by_key.entry(key).or_default().add(cost, used);
            self.grand_total.add(cost, used);
        }
    }

    /// The totals of each key, ordered by key.
    pub fn totals_by_key(&self) -> impl Iterator<Item = (&CostKey, CostTotals)> {
        self.by_key.iter().map(|(key, totals)| (key, *totals))
    }

    /// The totals over all attempts.
    pub fn grand_total(&self) -> CostTotals {
        self.grand_total
    }
}
