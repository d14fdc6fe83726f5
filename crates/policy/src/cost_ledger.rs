//! What each stage cost, and for whom.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jd_types::AttemptId;
use jd_types::AttemptOutcome;
use jd_types::Name;

/// One attempt's cost. Every attempt leaves exactly one line.
#[derive(Debug, Clone)]
pub struct AttemptCost {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose request.
    pub customer: Name,
    /// The pipeline.
    pub pipeline: Name,
    /// The upstream that worked.
    pub upstream: CompactString,
    /// Units that the upstream reported; 0 if it reported none.
    pub units: u64,
    /// Time that the upstream was held, in microseconds.
    pub held_us: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// Sums over attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CostTotals {
    /// Attempts.
    pub attempts: u64,
    /// Units of attempts whose answer was used.
    pub used_units: u64,
    /// Units of attempts whose answer was not.
    pub wasted_units: u64,
    /// Microseconds of attempts whose answer was used.
    pub used_us: u64,
    /// Microseconds of attempts whose answer was not.
    pub wasted_us: u64,
}

impl CostTotals {
    /// Adds another sum to this one.
    pub fn merge(&mut self, other: CostTotals) {
        self.attempts += other.attempts;
        self.used_units += other.used_units;
        self.wasted_units += other.wasted_units;
        self.used_us += other.used_us;
        self.wasted_us += other.wasted_us;
    }

    fn add(&mut self, line: &AttemptCost, used: bool) {
        self.attempts += 1;
        match used {
            true => {
                self.used_units += line.units;
                self.used_us += line.held_us;
            }
            false => {
                self.wasted_units += line.units;
                self.wasted_us += line.held_us;
            }
        }
    }
}

/// What a sum is for. Names and not keys of an arena, since a sum outlives the
/// revision of the configuration that it began under.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CostKey {
    /// Whose requests.
    pub customer: Name,
    /// The pipeline.
    pub pipeline: Name,
    /// The stage's place in the pipeline, from 0.
    pub stage: u8,
}

/// Cost by customer, pipeline and stage. The cells are sums of the lines, so
/// they add up to the total exactly, which is what a bill is disputed by.
#[derive(Debug, Default)]
pub struct CostLedger {
    by_key: BTreeMap<CostKey, CostTotals>,
    total: CostTotals,
}

impl CostLedger {
    /// Enters the lines of one finished request. `answered` says whether its
    /// caller got the whole answer: if not, even its answered stages are waste.
    pub fn record(&mut self, lines: &[AttemptCost], answered: bool) {
        for line in lines {
            let used = answered && line.outcome == AttemptOutcome::Answered;
            let key = CostKey {
                customer: line.customer.clone(),
                pipeline: line.pipeline.clone(),
                stage: line.attempt.stage,
            };
            self.by_key.entry(key).or_default().add(line, used);
            self.total.add(line, used);
        }
    }

    /// Every cell, in order of its key.
    pub fn totals_by_key(&self) -> impl Iterator<Item = (&CostKey, CostTotals)> {
        self.by_key.iter().map(|(key, cell)| (key, *cell))
    }

    /// The sum of all lines.
    pub fn grand_total(&self) -> CostTotals {
        self.total
    }
}
