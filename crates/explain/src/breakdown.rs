//! Requests that earned nothing, or late, by second and cause.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use compact_str::CompactString;

use crate::Cause;
use crate::LogLine;

/// After how long an answer that begins is late, by route; `other` for the rest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LateThresholds {
    /// By the route's name.
    pub routes: BTreeMap<CompactString, Duration>,
    /// For all others; none if these are never late.
    pub other: Option<Duration>,
}

impl LateThresholds {
    fn of(&self, route: &str) -> Option<Duration> {
        self.routes.get(route).copied().or(self.other)
    }
}

/// What became of the requests of one second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Second {
    answered: usize,
    causes: BTreeMap<Cause, usize>,
}

/// Requests that earned nothing, or late, by second and cause.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Breakdown {
    seconds: BTreeMap<CompactString, Second>,
    /// One request of each cause, to ask for its story.
    examples: BTreeMap<Cause, CompactString>,
    /// What attempts that failed proved, and how often.
    attempts: BTreeMap<CompactString, usize>,
    /// What became of pieces, and how often.
    pieces: BTreeMap<CompactString, usize>,
}

impl Breakdown {
    /// Counts `lines`, which are in the order of their time.
    pub fn of(lines: &[LogLine], late: &LateThresholds) -> Breakdown {
        let mut breakdown = Breakdown::default();
        let mut stages: HashMap<&str, u64> = HashMap::new();
        for line in lines {
            match (line.text.as_str(), line.request()) {
                ("stages ended", Some(id)) => {
                    stages.insert(id, line.number("ms").unwrap_or(0));
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

    /// How many requests had this cause.
    pub fn count_of(&self, cause: Cause) -> usize {
        let all = self.seconds.values();
        all.filter_map(|s| s.causes.get(&cause)).sum()
    }

    /// How many requests were answered, also late.
    pub fn answers(&self) -> usize {
        self.seconds.values().map(|s| s.answered).sum()
    }

    fn answered(&mut self, line: &LogLine, stages_ms: u64, late: &LateThresholds) {
        self.second(line).answered += 1;
        let took = line.number("ms").unwrap_or(0);
        let after = late.of(line.input("route").unwrap_or(""));
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
        let detail = line.input("detail").unwrap_or("");
        *self.attempts.entry(detail.into()).or_default() += 1;
    }

    /// What became of a call's pieces: `12 done, 2 no-room`, or a word for all.
    fn call(&mut self, line: &LogLine) {
        for part in line.input("outcome").unwrap_or("").split(", ") {
            let (count, name) = match part.split_once(' ') {
                Some((count, name)) => (count.parse().unwrap_or(0), name),
                None => (line.number("pieces").unwrap_or(0) as usize, part),
            };
            *self.pieces.entry(name.into()).or_default() += count;
        }
    }

    fn count(&mut self, line: &LogLine, cause: Cause) {
        *self.second(line).causes.entry(cause).or_default() += 1;
        if let Some(id) = line.request() {
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
