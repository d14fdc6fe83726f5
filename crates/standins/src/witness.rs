//! What upstreams saw, counted by themselves.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_types::AttemptId;
use jd_types::MonoTime;
use jd_types::RequestId;

/// How long after an upstream was marked as leaving new work may still come.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// What all upstreams of a run saw together.
#[derive(Debug, Default)]
pub struct Witness {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    runs: HashMap<CompactString, KeyRuns>,
    stages: HashMap<RequestId, HashSet<u8>>,
    leaving: HashMap<SocketAddr, MonoTime>,
    new_work_on_leaving: u32,
    last_on_leaving: Duration,
    units: u64,
    attempts: u64,
    crossed: u32,
    truncated: u32,
    failed: u32,
    silent: u32,
    late: u32,
    slowed: u32,
    told_leaving: u32,
}

#[derive(Debug, Default)]
struct KeyRuns {
    count: u32,
    output: String,
}

/// The counts of a [`Witness`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WitnessReport {
    /// Keys that ran more than once.
    pub doubled: u32,
    /// Keys that ran.
    pub keys: u32,
    /// Requests that came to an upstream too long after it was marked leaving.
    pub new_work_on_leaving: u32,
    /// The longest after the mark that one came at all.
    pub last_on_leaving: Duration,
    /// Units worked.
    pub units: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Answers that were crossed on purpose.
    pub crossed: u32,
    /// Streams that were cut on purpose.
    pub truncated: u32,
    /// Requests that were failed on purpose.
    pub failed: u32,
    /// Requests that were swallowed on purpose.
    pub silent: u32,
    /// Answers that were held back on purpose.
    pub late: u32,
    /// Requests that were slowed on purpose.
    pub slowed: u32,
    /// Answers that said that the upstream is leaving.
    pub told_leaving: u32,
}

impl Witness {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        lock(&self.seen)
    }

    /// An upstream is marked as leaving.
    pub fn mark_leaving(&self, now: MonoTime, upstream: SocketAddr) {
        self.lock().leaving.insert(upstream, now);
    }

    /// A request came in.
    pub fn began(&self, now: MonoTime, upstream: SocketAddr) {
        let mut seen = self.lock();
        seen.attempts += 1;
        let since = seen.leaving.get(&upstream).map(|marked| now.since(*marked));
        if let Some(after) = since {
            seen.last_on_leaving = seen.last_on_leaving.max(after);
            seen.new_work_on_leaving += u32::from(after > LEAVING_GRACE);
        }
    }

    /// Work with a key was carried out.
    pub fn ran(&self, key: &str, output: &str) {
        let mut seen = self.lock();
        let runs = seen.runs.entry(CompactString::from(key)).or_default();
        runs.count += 1;
        runs.output = output.to_owned();
    }

    /// The output of the work with that key, as any of its service's upstreams
    /// can look it up; none if it was not carried out.
    pub fn output_of(&self, key: &str) -> Option<String> {
        self.lock().runs.get(key).map(|r| r.output.clone())
    }

    /// How often work with that key was carried out.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.lock().runs.get(key).map_or(0, |r| r.count)
    }

    /// A stage of a request was carried out.
    pub fn finished(&self, attempt: AttemptId) {
        self.lock()
            .stages
            .entry(attempt.request)
            .or_default()
            .insert(attempt.stage);
    }

    /// True if that stage of the request was carried out.
    pub fn has_finished(&self, request: RequestId, stage: u8) -> bool {
        self.lock()
            .stages
            .get(&request)
            .is_some_and(|s| s.contains(&stage))
    }

    /// Units were worked.
    pub fn worked(&self, units: u64) {
        self.lock().units += units;
    }

    /// A fault did bite.
    pub(crate) fn bit(&self, fault: Bite) {
        let mut seen = self.lock();
        match fault {
            Bite::Crossed => seen.crossed += 1,
            Bite::Truncated => seen.truncated += 1,
            Bite::Failed => seen.failed += 1,
            Bite::Silent => seen.silent += 1,
            Bite::Late => seen.late += 1,
            Bite::Slowed => seen.slowed += 1,
            Bite::ToldLeaving => seen.told_leaving += 1,
        }
    }

    /// All counts.
    pub fn report(&self) -> WitnessReport {
        let seen = self.lock();
        let doubled = seen.runs.values().filter(|r| r.count > 1).count();
        WitnessReport {
            doubled: u32::try_from(doubled).unwrap_or(u32::MAX),
            keys: u32::try_from(seen.runs.len()).unwrap_or(u32::MAX),
            new_work_on_leaving: seen.new_work_on_leaving,
            last_on_leaving: seen.last_on_leaving,
            units: seen.units,
            attempts: seen.attempts,
            crossed: seen.crossed,
            truncated: seen.truncated,
            failed: seen.failed,
            silent: seen.silent,
            late: seen.late,
            slowed: seen.slowed,
            told_leaving: seen.told_leaving,
        }
    }
}

/// Which fault was carried out.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Bite {
    Crossed,
    Truncated,
    Failed,
    Silent,
    Late,
    Slowed,
    ToldLeaving,
}
