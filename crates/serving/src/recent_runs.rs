//! Requests that ran to their end lately.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;

/// How long a run that came to its end is remembered. It speaks against ends before it,
/// and those are asked about within seconds.
const SPEAKS_FOR: Duration = Duration::from_secs(30);
/// Runs that are remembered: thirty seconds of 130 requests a second, twice what one of
/// 1,100 instances has at the peak of 70,000.
const MOST: usize = 4_096;

/// A run that ended well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedRun {
    /// Where.
    pub service: CompactString,
    /// Of which request.
    pub content: Content,
    /// When it ended.
    pub at: MonoTime,
}

/// Requests that ran to their end at a service lately, seen by one instance.
///
/// Guards against an innocent request that is sent again and again, and so was at several
/// upstreams that ended by something else: it has run well beside.
#[derive(Debug, Default)]
pub struct RecentRuns {
    last: HashMap<(CompactString, Content), MonoTime>,
    order: VecDeque<(MonoTime, CompactString, Content)>,
}

impl RecentRuns {
    /// A request ran to its end at a service.
    pub fn record(&mut self, now: MonoTime, service: &str, content: Content) {
        while self.order.len() >= MOST
            || self.order.front().is_some_and(|(at, ..)| is_old(now, *at))
        {
            self.forget_oldest();
        }
        self.last.insert((service.into(), content), now);
        self.order.push_back((now, service.into(), content));
    }

    /// The last runs of a request that ended well, one for each service.
    pub fn runs_of(&self, now: MonoTime, content: Content) -> Vec<CompletedRun> {
        let own = self.last.iter().filter(|((_, c), _)| *c == content);
        let recent = own.filter(|(_, at)| !is_old(now, **at));
        let runs = recent.map(|((service, _), at)| CompletedRun {
            service: service.clone(),
            content,
            at: *at,
        });
        runs.collect()
    }

    fn forget_oldest(&mut self) {
        let Some((at, service, content)) = self.order.pop_front() else {
            return;
        };
        let key = (service, content);
        if self.last.get(&key) == Some(&at) {
            self.last.remove(&key);
        }
    }
}

fn is_old(now: MonoTime, at: MonoTime) -> bool {
    now.since(at) > SPEAKS_FOR
}
