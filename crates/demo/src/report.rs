//! What a demo found.

use std::fmt::Write;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::checks::Check;

/// Attainment of one pipeline or customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttainedRow {
    /// The pipeline or customer.
    pub name: CompactString,
    /// Calls.
    pub calls: u64,
    /// Of them answered whole, or accepted, within the deadline, in hundredths.
    pub percent: f64,
}

/// Cost of one stage of one pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostRow {
    /// The pipeline.
    pub pipeline: CompactString,
    /// The stage, from 1.
    pub stage: u8,
    /// Attempts.
    pub attempts: u64,
    /// Units whose answer was used.
    pub used_units: u64,
    /// Units whose answer was not.
    pub wasted_units: u64,
    /// Milliseconds of upstreams held for answers that were used.
    pub used_ms: u64,
    /// Milliseconds held for nothing.
    pub wasted_ms: u64,
}

/// How often something happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountRow {
    /// What.
    pub name: CompactString,
    /// How often.
    pub count: u64,
}

/// Latency in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Half are faster.
    pub p50: f64,
    /// 95 in 100 are faster.
    pub p95: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
    /// The slowest.
    pub max: f64,
}

/// What a demo found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The deployment.
    pub deployment: CompactString,
    /// The seed.
    pub seed: u64,
    /// Calls made.
    pub calls: u64,
    /// Attainment over all calls, in hundredths.
    pub attainment: f64,
    /// Attainment by pipeline.
    pub pipelines: Vec<AttainedRow>,
    /// Attainment by customer.
    pub customers: Vec<AttainedRow>,
    /// Cost by stage. Instances that died took their ledger with them; their
    /// logs have it.
    pub costs: Vec<CostRow>,
    /// Final refusals by kind.
    pub refusals: Vec<CountRow>,
    /// Other ends and events.
    pub events: Vec<CountRow>,
    /// Latency of all calls.
    pub latency: Latency,
    /// How often each fault did bite.
    pub faults: Vec<CountRow>,
    /// Every promise.
    pub checks: Vec<Check>,
}

impl Report {
    /// How often promises were broken, in all.
    pub fn violations(&self) -> u64 {
        self.checks.iter().map(|c| c.broken).sum()
    }

    /// True if every fault did bite.
    pub fn faults_bit(&self) -> bool {
        self.faults.iter().all(|f| f.count > 0)
    }

    /// The report for people.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "deployment {}, seed {}, {} calls",
            self.deployment, self.seed, self.calls
        )?;
        writeln!(out, "\nattainment {:.2}%", self.attainment)?;
        for row in self.pipelines.iter().chain(&self.customers) {
            writeln!(
                out,
                "  {:<22}{:>8} calls {:>8.2}%",
                row.name, row.calls, row.percent
            )?;
        }
        let l = &self.latency;
        writeln!(
            out,
            "\nlatency ms   p50 {:.1}   p95 {:.1}   p99 {:.1}   max {:.1}",
            l.p50, l.p95, l.p99, l.max
        )?;
        self.write_costs(out)?;
        write_counts(out, "refusals", &self.refusals)?;
        write_counts(out, "events", &self.events)?;
        write_counts(out, "faults, how often they bit", &self.faults)?;
        writeln!(out, "\npromises")?;
        for c in &self.checks {
            let mark = if c.broken == 0 { "kept  " } else { "BROKEN" };
            writeln!(
                out,
                "  {mark} {} ({} of {} broken)",
                c.promise, c.broken, c.checked
            )?;
        }
        writeln!(out, "\nviolations {}", self.violations())
    }

    fn write_costs(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "\ncost by stage")?;
        writeln!(
            out,
            "  {:<22}{:>6}{:>10}{:>10}{:>8}{:>10}{:>10}",
            "pipeline", "stage", "attempts", "units", "wasted", "ms", "wasted"
        )?;
        for c in &self.costs {
            writeln!(
                out,
                "  {:<22}{:>6}{:>10}{:>10}{:>8}{:>10}{:>10}",
                c.pipeline,
                c.stage,
                c.attempts,
                c.used_units,
                c.wasted_units,
                c.used_ms,
                c.wasted_ms
            )?;
        }
        Ok(())
    }
}

fn write_counts(out: &mut String, title: &str, rows: &[CountRow]) -> std::fmt::Result {
    if rows.is_empty() {
        return Ok(());
    }
    writeln!(out, "\n{title}")?;
    for row in rows {
        writeln!(out, "  {:<40}{:>8}", row.name, row.count)?;
    }
    Ok(())
}
