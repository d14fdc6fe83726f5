//! Recent sound runs of requests and of the parts of their prompts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;

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
pub struct CompletedRun {
    /// The service that ran the request.
    pub service: CompactString,
    /// The request, or a part of its prompt.
    pub content: Content,
    /// When its answer began.
    pub at: MonoTime,
}

/// The last sound run of each content that was seen lately.
///
/// A harmless request that is sent again and again, or a part of many prompts, may have been at
/// several upstreams that crashed for another reason. Its sound runs clear it of suspicion.
#[derive(Debug, Default)]
pub struct RecentRuns {
    last: HashMap<(CompactString, Content), MonoTime>,
    /// The contents with the time that was known when they were queued.
    order: VecDeque<(MonoTime, CompactString, Content)>,
}

impl RecentRuns {
    /// Records a run. Beyond the bound, contents that have not run again for longest are
    /// forgotten.
    pub fn record(&mut self, run: CompletedRun) {
        let CompletedRun {
            service,
            content,
            at,
        } = run;
        if let Some(last) = self.last.get_mut(&(service.clone(), content)) {
            *last = at.max(*last);
            return;
        }
        let is_due = |(queued, ..): &(MonoTime, _, _)| is_old(at, *queued);
        if self.order.len() >= MAX_CONTENTS || self.order.front().is_some_and(is_due) {
            self.evict_one();
        }
        self.last.insert((service.clone(), content), at);
        self.order.push_back((at, service, content));
    }

    /// When the answer of the last sound run of a content at a service began; `None` if none is
    /// known.
    pub fn last_run(&self, service: &str, content: Content) -> Option<MonoTime> {
        self.last.get(&(service.into(), content)).copied()
    }

    /// The last run of a content at each service.
    pub fn runs_of(&self, now: MonoTime, content: Content) -> Vec<CompletedRun> {
        let matching = self.last.iter().filter(|((_, c), _)| *c == content);
        let recent = matching.filter(|(_, at)| !is_old(now, **at));
        let runs = recent.map(|((service, _), at)| CompletedRun {
            service: service.clone(),
            content,
            at: *at,
        });
        runs.collect()
    }

    fn evict_one(&mut self) {
        for _ in 0..=MAX_RENEWED {
            let Some((queued, service, content)) = self.order.pop_front() else {
                return;
            };
            let key = (service, content);
            match self.last.get(&key) {
                Some(last) if *last > queued => self.order.push_back((*last, key.0, content)),
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

fn is_old(now: MonoTime, at: MonoTime) -> bool {
    now.since(at) > RETENTION
}
