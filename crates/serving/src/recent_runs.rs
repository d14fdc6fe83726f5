//! Recent sound runs of requests and of the parts of their prompts.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;
use crate::RunContents;

/// How long a sound run is remembered. It is evidence against earlier crashes being caused by
/// its contents, and that evidence is asked for within seconds of a crash.
const RETENTION: Duration = Duration::from_secs(30);
/// The contents that are remembered: the requests of thirty seconds at 130 requests a second,
/// which is twice the load of one of 1,100 instances at a peak of 70,000 requests a second, and
/// as many parts of prompts.
const MAX_CONTENTS: usize = 8_192;
/// How many contents that ran again may be kept for each one that is evicted, which bounds the work
/// of an eviction.
const MAX_RENEWED: usize = 8;

/// A run that completed, or that outlived [`SAFE_AFTER`](crate::SAFE_AFTER).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoundRun {
    /// The service that ran the request.
    pub service: CompactString,
    /// The request and the parts of its prompt.
    pub contents: RunContents,
    /// When its answer began.
    pub at: MonoTime,
}

/// The last sound run of each content that was seen lately.
///
/// A harmless request that is sent again and again, or a part of many prompts, may have been at
/// several upstreams that crashed for another reason. Its sound runs clear it of suspicion.
#[derive(Debug, Default)]
pub struct RecentRuns {
    last: HashMap<(CompactString, Content), Arc<SoundRun>>,
    /// The contents with the time that was known when they were queued.
    order: VecDeque<(MonoTime, CompactString, Content)>,
    /// The last run of each service.
    latest: HashMap<CompactString, Arc<SoundRun>>,
}

impl RecentRuns {
    /// Records a run. Beyond the bound, contents that have not run again for longest are
    /// forgotten.
    pub fn record(&mut self, run: SoundRun) {
        let run = Arc::new(run);
        for content in run.contents.iter() {
            self.record_content(content, &run);
        }
        let latest = self.latest.entry(run.service.clone());
        let latest = latest.or_insert_with(|| Arc::clone(&run));
        if latest.at < run.at {
            *latest = run;
        }
    }

    fn record_content(&mut self, content: Content, run: &Arc<SoundRun>) {
        let key = (run.service.clone(), content);
        if let Some(last) = self.last.get_mut(&key) {
            if last.at < run.at {
                *last = Arc::clone(run);
            }
            return;
        }
        let is_due = |(queued, ..): &(MonoTime, _, _)| is_old(run.at, *queued);
        if self.order.len() >= MAX_CONTENTS || self.order.front().is_some_and(is_due) {
            self.evict_one();
        }
        self.order.push_back((run.at, key.0.clone(), content));
        self.last.insert(key, Arc::clone(run));
    }

    /// When the answer of the last sound run of a content at a service began; `None` if none is
    /// known.
    pub fn last_run(&self, service: &str, content: Content) -> Option<MonoTime> {
        let last = self.last.get(&(service.into(), content));
        last.map(|run| run.at)
    }

    /// When the answer of the last sound run at a service began; `None` if none is known.
    pub fn latest(&self, service: &str) -> Option<MonoTime> {
        self.latest.get(service).map(|run| run.at)
    }

    /// The last one of all sound runs at a service, and the last ones of these contents.
    pub fn last_runs(
        &self,
        service: &str,
        contents: impl Iterator<Item = Content>,
    ) -> Vec<SoundRun> {
        let of_contents = contents.filter_map(|c| self.last.get(&(service.into(), c)));
        distinct(self.latest.get(service).into_iter().chain(of_contents))
    }

    /// The last runs at each service of the contents that a condition holds for.
    pub fn runs_of(&self, now: MonoTime, is_meant: impl Fn(Content) -> bool) -> Vec<SoundRun> {
        let meant = self.last.iter().filter(|((_, c), _)| is_meant(*c));
        distinct(meant.map(|(_, run)| run).filter(|run| !is_old(now, run.at)))
    }

    fn evict_one(&mut self) {
        for _ in 0..=MAX_RENEWED {
            let Some((queued, service, content)) = self.order.pop_front() else {
                return;
            };
            let key = (service, content);
            match self.last.get(&key) {
                Some(last) if last.at > queued => {
                    self.order.push_back((last.at, key.0, content));
                }
                _ => {
                    self.last.remove(&key);
                    return;
                }
            }
        }
        if let Some((_, service, content)) = self.order.pop_front() {
            self.last.remove(&(service, content));
        }
    }
}

/// Each of these runs once: one run is the last one of several contents.
fn distinct<'a>(runs: impl Iterator<Item = &'a Arc<SoundRun>>) -> Vec<SoundRun> {
    let mut seen = HashSet::new();
    let first = runs.filter(|run| seen.insert(Arc::as_ptr(run)));
    first.map(|run| SoundRun::clone(run)).collect()
}

fn is_old(now: MonoTime, at: MonoTime) -> bool {
    now.since(at) > RETENTION
}
