//! What this instance holds against requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use jd_net::lock;
use jd_serving::CompletedRun;
use jd_serving::Content;
use jd_serving::QuarantineList;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::RecentRuns;
use jd_types::MonoTime;

use crate::run_events::RunEvent;
use crate::run_events::RunEvents;
use crate::signal::Signal;

/// From whom a state was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuarantineSource {
    /// Decided here.
    Own,
    /// Another instance's heartbeat.
    Beat,
    /// The store.
    Store,
}

/// The state of a request as it is told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuarantineUpdate {
    pub(crate) content: Content,
    pub(crate) state: QuarantineState,
    /// Until it lapses.
    pub(crate) left: Duration,
}

/// What is held against requests, read on the path of each of them.
#[derive(Debug)]
pub(crate) struct Quarantine {
    list: ArcSwap<QuarantineList>,
    recent: Mutex<RecentRuns>,
    pub(crate) run_events: RunEvents,
    /// Signals that others are to be told at once, and that who remembers a run of a
    /// suspect is to say so.
    to_tell: Arc<Signal>,
    pub(crate) runs_wanted: Signal,
}

impl Quarantine {
    pub(crate) fn new(to_tell: Arc<Signal>) -> Quarantine {
        Quarantine {
            list: ArcSwap::default(),
            recent: Mutex::default(),
            run_events: RunEvents::new(),
            to_tell,
            runs_wanted: Signal::new(),
        }
    }

    /// For how long a request is kept from upstreams; none if it is not.
    pub(crate) fn time_left(&self, now: MonoTime, content: Content) -> Option<Duration> {
        let list = self.list.load();
        match list.is_empty() {
            true => None,
            false => list.quarantine_remaining(now, content),
        }
    }

    pub(crate) fn list(&self) -> Arc<QuarantineList> {
        self.list.load_full()
    }

    /// Takes in what is told.
    pub(crate) fn apply(
        &self,
        now: MonoTime,
        source: QuarantineSource,
        told: impl IntoIterator<Item = QuarantineUpdate>,
    ) {
        for t in told {
            let known = self.list.load().get(now, t.content);
            if known.is_some_and(|h| h.state >= t.state) {
                continue;
            }
            let mut is_news = false;
            self.list.rcu(|s| {
                let mut next = QuarantineList::clone(s);
                is_news = next.merge(now, t.content, t.state, t.left);
                next
            });
            if is_news {
                self.runs_wanted.notify();
                self.to_tell.notify();
            }
            // Suspicions are logged where they arise: there can be many.
            if is_news && t.state.phase != QuarantinePhase::Suspected {
                log::warn!(
                    content:% = t.content,
                    phase = t.state.phase.as_str(),
                    round = t.state.round,
                    lapses_in_s = t.left.as_secs(),
                    source:? = source;
                    "quarantine changed"
                );
            }
        }
    }

    /// The store has this of a request; none if nothing any more.
    pub(crate) fn set_stored(&self, content: Content, state: Option<QuarantineState>) {
        self.list.rcu(|s| {
            let mut next = QuarantineList::clone(s);
            next.set_stored(content, state);
            next
        });
    }

    /// The store has something of these requests and of no others.
    pub(crate) fn retain_stored(&self, stored: &[Content]) {
        if self.list.load().is_empty() {
            return;
        }
        self.list.rcu(|s| {
            let mut next = QuarantineList::clone(s);
            next.replace_stored(stored);
            next
        });
    }

    /// A request ran to its end at a service.
    pub(crate) fn record_completed(&self, now: MonoTime, service: &str, content: Content) {
        lock(&self.recent).record(now, service, content);
        let held = self.list.load().get(now, content);
        if held.is_some_and(|h| h.state.is_active()) {
            self.run_events.add(RunEvent::Completed(CompletedRun {
                service: service.into(),
                content,
                at: now,
            }));
        }
    }

    /// What ran well here lately of that against which something is held.
    pub(crate) fn recent_runs(&self, now: MonoTime) -> Vec<CompletedRun> {
        let list = self.list.load();
        let open = list.entries(now).filter(|(_, h)| h.state.is_active());
        let recent = lock(&self.recent);
        open.flat_map(|(content, _)| recent.runs_of(now, content))
            .collect()
    }
}
