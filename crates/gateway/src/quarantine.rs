//! Quarantines of requests, as this instance knows them.

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

/// Where a quarantine state came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuarantineSource {
    /// Decided by this instance.
    Own,
    /// Another instance's heartbeat.
    Beat,
    /// The store.
    Store,
}

/// A quarantine state as instances and the store exchange it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuarantineUpdate {
    pub(crate) content: Content,
    pub(crate) state: QuarantineState,
    /// Time until it expires.
    pub(crate) left: Duration,
}

/// Suspected, quarantined and released requests; checked on the path of each request.
#[derive(Debug)]
pub(crate) struct Quarantine {
    list: ArcSwap<QuarantineList>,
    recent: Mutex<RecentRuns>,
    pub(crate) run_events: RunEvents,
    /// `heartbeat_requested` makes the next heartbeats go out at once. `runs_requested`
    /// has this instance report the runs that it remembers of suspected requests.
    heartbeat_requested: Arc<Signal>,
    pub(crate) runs_requested: Signal,
}

impl Quarantine {
    pub(crate) fn new(heartbeat_requested: Arc<Signal>) -> Quarantine {
        Quarantine {
            list: ArcSwap::default(),
            recent: Mutex::default(),
            run_events: RunEvents::new(),
            heartbeat_requested,
            runs_requested: Signal::new(),
        }
    }

    /// How long a request is still kept from upstreams; none if it is not quarantined.
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

    /// Applies updates; those that are not newer than the known state are ignored.
    pub(crate) fn apply(
        &self,
        now: MonoTime,
        source: QuarantineSource,
        updates: impl IntoIterator<Item = QuarantineUpdate>,
    ) {
        for update in updates {
            let known = self.list.load().get(now, update.content);
            if known.is_some_and(|held| held.state >= update.state) {
                continue;
            }
            let mut is_new = false;
            self.list.rcu(|list| {
                let mut next = QuarantineList::clone(list);
                is_new = next.merge(now, update.content, update.state, update.left);
                next
            });
            if is_new {
                self.runs_requested.notify();
                self.heartbeat_requested.notify();
            }
            // Suspicions are logged only where they arise, because there can be many.
            if is_new && update.state.phase != QuarantinePhase::Suspected {
                log::warn!(
                    content:% = update.content,
                    phase = update.state.phase.as_str(),
                    round = update.state.round,
                    lapses_in_s = update.left.as_secs(),
                    source:? = source;
                    "quarantine changed"
                );
            }
        }
    }

    /// Notes the state that the store holds for a request; none if it holds none.
    pub(crate) fn set_stored(&self, content: Content, state: Option<QuarantineState>) {
        self.list.rcu(|list| {
            let mut next = QuarantineList::clone(list);
            next.set_stored(content, state);
            next
        });
    }

    /// Notes that the store holds states for these requests and no others.
    pub(crate) fn retain_stored(&self, stored: &[Content]) {
        if self.list.load().is_empty() {
            return;
        }
        self.list.rcu(|list| {
            let mut next = QuarantineList::clone(list);
            next.replace_stored(stored);
            next
        });
    }

    /// Notes that a request completed a run at a service.
    pub(crate) fn record_completed(&self, now: MonoTime, service: &str, content: Content) {
        lock(&self.recent).record(now, service, content);
        let held = self.list.load().get(now, content);
        if held.is_some_and(|held| held.state.is_active()) {
            self.run_events.add(RunEvent::Completed(CompletedRun {
                service: service.into(),
                content,
                at: now,
            }));
        }
    }

    /// Recently completed runs of requests that are suspected or quarantined.
    pub(crate) fn recent_runs(&self, now: MonoTime) -> Vec<CompletedRun> {
        let list = self.list.load();
        let open = list.entries(now).filter(|(_, held)| held.state.is_active());
        let recent = lock(&self.recent);
        open.flat_map(|(content, _)| recent.runs_of(now, content))
            .collect()
    }
}
