//! What this instance holds against requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use jd_net::lock;
use jd_serving::Content;
use jd_serving::GoodRun;
use jd_serving::RecentRuns;
use jd_serving::Standing;
use jd_serving::Standings;
use jd_serving::Verdict;
use jd_types::MonoTime;

use crate::sighting::Sighting;
use crate::sighting::Sightings;
use crate::signal::Signal;

/// From whom a standing was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Decided here.
    Own,
    /// Another instance's heartbeat.
    Beat,
    /// The store.
    Store,
}

/// A standing as it is told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Told {
    pub(crate) content: Content,
    pub(crate) standing: Standing,
    /// Until it lapses.
    pub(crate) left: Duration,
}

/// What is held against requests, read on the path of each of them.
#[derive(Debug)]
pub(crate) struct Quarantine {
    standings: ArcSwap<Standings>,
    recent: Mutex<RecentRuns>,
    pub(crate) sightings: Sightings,
    /// Signals that others are to be told at once, and that who remembers a run of a
    /// suspect is to say so.
    pub(crate) to_tell: Signal,
    pub(crate) to_answer: Signal,
}

impl Quarantine {
    pub(crate) fn new() -> Quarantine {
        Quarantine {
            standings: ArcSwap::default(),
            recent: Mutex::default(),
            sightings: Sightings::new(),
            to_tell: Signal::new(),
            to_answer: Signal::new(),
        }
    }

    /// For how long a request is kept from upstreams; none if it is not.
    pub(crate) fn left(&self, now: MonoTime, content: Content) -> Option<Duration> {
        let standings = self.standings.load();
        match standings.is_empty() {
            true => None,
            false => standings.quarantine_left(now, content),
        }
    }

    pub(crate) fn standings(&self) -> Arc<Standings> {
        self.standings.load_full()
    }

    /// Takes in what is told.
    pub(crate) fn take(&self, now: MonoTime, source: Source, told: impl IntoIterator<Item = Told>) {
        for t in told {
            let known = self.standings.load().of(now, t.content);
            if known.is_some_and(|h| h.standing >= t.standing) {
                continue;
            }
            let mut is_news = false;
            self.standings.rcu(|s| {
                let mut next = Standings::clone(s);
                is_news = next.take(now, t.content, t.standing, t.left);
                next
            });
            if is_news {
                self.to_answer.give();
                self.to_tell.give();
            }
            // Suspicions are logged where they arise: there can be many.
            if is_news && t.standing.verdict != Verdict::Suspected {
                log::warn!(
                    content:% = t.content,
                    verdict = t.standing.verdict.as_str(),
                    round = t.standing.round,
                    lapses_in_s = t.left.as_secs(),
                    source:? = source;
                    "request judged"
                );
            }
        }
    }

    /// The store has this of a request; none if nothing any more.
    pub(crate) fn note_stored(&self, content: Content, standing: Option<Standing>) {
        self.standings.rcu(|s| {
            let mut next = Standings::clone(s);
            next.stored(content, standing);
            next
        });
    }

    /// The store has something of these requests and of no others.
    pub(crate) fn relist(&self, stored: &[Content]) {
        if self.standings.load().is_empty() {
            return;
        }
        self.standings.rcu(|s| {
            let mut next = Standings::clone(s);
            next.relist(stored);
            next
        });
    }

    /// A request ran to its end at a service.
    pub(crate) fn note_ran(&self, now: MonoTime, service: &str, content: Content) {
        lock(&self.recent).note(now, service, content);
        let held = self.standings.load().of(now, content);
        if held.is_some_and(|h| h.standing.is_open()) {
            self.sightings.add(Sighting::Ran(GoodRun {
                service: service.into(),
                content,
                at: now,
            }));
        }
    }

    /// What ran well here lately of that against which something is held.
    pub(crate) fn remembered(&self, now: MonoTime) -> Vec<GoodRun> {
        let standings = self.standings.load();
        let open = standings.all(now).filter(|(_, h)| h.standing.is_open());
        let recent = lock(&self.recent);
        open.flat_map(|(content, _)| recent.of(now, content))
            .collect()
    }
}
