//! Counts of refused, truncated and late requests by second and cause.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::Cause;
use crate::LogLine;

/// The time to the start of an answer beyond which the answer counts as late, by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LateThresholds {
    /// Thresholds by the name of the route.
    pub routes: BTreeMap<CompactString, Duration>,
    /// The threshold of all other routes; without it, their answers are never late.
    pub other: Option<Duration>,
}

impl LateThresholds {
    fn for_route(&self, route: &str) -> Option<Duration> {
        self.routes.get(route).copied().or(self.other)
    }
}

/// Counts of the requests that ended within one second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Second {
    answered: usize,
    causes: BTreeMap<Cause, usize>,
}

/// Counts of refused, truncated and late requests by second and cause.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Breakdown {
    seconds: BTreeMap<CompactString, Second>,
    /// The first request of each cause, as an example whose history can be looked up.
    examples: BTreeMap<Cause, CompactString>,
    /// Counts of failed attempts by the `detail` of their log lines.
    attempts: BTreeMap<CompactString, usize>,
    /// Counts of pieces by outcome.
    pieces: BTreeMap<CompactString, usize>,
}

impl Breakdown {
    /// Counts `lines`, which must be sorted by time.
    pub fn of(lines: &[LogLine], late: &LateThresholds) -> Breakdown {
        let mut breakdown = Breakdown::default();
        let mut stages: HashMap<&str, u64> = HashMap::new();
        for line in lines {
            match (line.message.as_str(), line.request_id()) {
                ("stages ended", Some(id)) => {
                    stages.insert(id, line.integer_value("ms").unwrap_or(0));
                }
                ("answered" | "answer began", Some(id)) => {
                    breakdown.answered(line, stages.get(id).copied().unwrap_or(0), late);
                }
                ("attempt failed", _) => breakdown.attempt(line),
                ("call for pieces", _) => breakdown.call(line),
                _ => {
                    if let Some(cause) = Cause::of(line) {
                        breakdown.count(line, cause);
                    }
                }
            }
        }
        breakdown
    }

    /// The number of requests with this cause.
    pub fn count_of(&self, cause: Cause) -> usize {
        let all = self.seconds.values();
        all.filter_map(|s| s.causes.get(&cause)).sum()
    }

    /// The number of answered requests, including late ones.
    pub fn answers(&self) -> usize {
        self.seconds.values().map(|s| s.answered).sum()
    }

    fn answered(&mut self, line: &LogLine, stages_ms: u64, late: &LateThresholds) {
        self.second(line).answered += 1;
        let took = line.integer_value("ms").unwrap_or(0);
        let after = late.for_route(line.text_value("route").unwrap_or(""));
        if after.is_some_and(|after| u128::from(took) > after.as_millis()) {
            let by_stages = stages_ms * 2 > took;
            self.count(
                line,
                match by_stages {
                    true => Cause::LateByStages,
                    false => Cause::LateByUpstream,
                },
            );
        }
    }

    fn attempt(&mut self, line: &LogLine) {
        let detail = line.text_value("detail").unwrap_or("");
        *self.attempts.entry(detail.into()).or_default() += 1;
    }

    /// Counts the pieces of a call. Its `outcome` either lists counts by outcome, as in
    /// `12 done, 2 no-room`, or is a single word that applies to all pieces.
    fn call(&mut self, line: &LogLine) {
        for part in line.text_value("outcome").unwrap_or("").split(", ") {
            let (count, name) = match part.split_once(' ') {
                Some((count, name)) => (count.parse().unwrap_or(0), name),
                None => (line.integer_value("pieces").unwrap_or(0) as usize, part),
            };
            *self.pieces.entry(name.into()).or_default() += count;
        }
    }

    fn count(&mut self, line: &LogLine, cause: Cause) {
        *self.second(line).causes.entry(cause).or_default() += 1;
        if let Some(id) = line.request_id() {
            self.examples.entry(cause).or_insert_with(|| id.into());
        }
    }

    fn second(&mut self, line: &LogLine) -> &mut Second {
        self.seconds.entry(line.second().into()).or_default()
    }
}

impl fmt::Display for Breakdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = Cause::ALL.into_iter().filter(|c| self.count_of(*c) > 0);
        let used: Vec<Cause> = used.collect();
        write!(f, "{:20} {:>8}", "second", "answered")?;
        for cause in &used {
            write!(f, " {:>13}", cause.as_str())?;
        }
        writeln!(f)?;
        for (second, counts) in &self.seconds {
            write!(f, "{second:20} {:>8}", counts.answered)?;
            for cause in &used {
                let count = counts.causes.get(cause).copied().unwrap_or(0);
                write!(f, " {count:>13}")?;
            }
            writeln!(f)?;
        }
        writeln!(f)?;
        for cause in used {
            let example = self.examples.get(&cause).map_or("", |id| id.as_str());
            let count = self.count_of(cause);
            writeln!(f, "{:13} {count:>6}  for one: {example}", cause.as_str())?;
        }
        list(f, "attempts that failed", &self.attempts)?;
        list(f, "pieces of stages", &self.pieces)
    }
}

fn list(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &BTreeMap<CompactString, usize>,
) -> fmt::Result {
    if counts.is_empty() {
        return Ok(());
    }
    writeln!(f, "\n{title}")?;
    for (name, count) in counts {
        writeln!(f, "{count:>9}  {name}")?;
    }
    Ok(())
}
