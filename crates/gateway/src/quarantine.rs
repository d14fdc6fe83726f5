//! Quarantines of requests, as this instance knows them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use event_listener::Event;
use event_listener::EventListener;
use jd_net::lock;
use jd_serving::Content;
use jd_serving::PartContent;
use jd_serving::QuarantineEntry;
use jd_serving::QuarantineList;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::RecentRuns;
use jd_serving::RunContents;
use jd_serving::SoundRun;
use jd_types::MonoTime;

use crate::run_events::EndedRun;
use crate::run_events::QUEUE_CAPACITY;
use crate::run_events::RunEvent;
use crate::run_events::RunEvents;
use crate::run_events::SETTLING_CAPACITY;
use crate::signal::Signal;

/// Least time between two reports of sound runs of one content by one instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

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

/// A quarantine that keeps a run from upstreams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    /// The request, or the part of its prompt, that is quarantined.
    pub(crate) content: Content,
    /// The part among the prompts of all customers, if a part is quarantined.
    pub(crate) part: Option<Content>,
    /// Time until it expires.
    pub(crate) left: Duration,
}

/// Suspected, quarantined and released requests and parts of prompts; checked on the path of each request.
#[derive(Debug)]
pub(crate) struct Quarantine {
    list: ArcSwap<QuarantineList>,
    recent: Mutex<RecentRuns>,
    /// When the runs of contents were last reported; of those reported lately.
    reported: Mutex<HashMap<Content, MonoTime>>,
    pub(crate) run_events: RunEvents<RunEvent>,
    /// Runs that ended otherwise than by a broken connection, until their upstreams are known to
    /// go on.
    pub(crate) settling: RunEvents<EndedRun>,
    /// Notified when a request or a part of prompts is put under quarantine, or released.
    decided: Event,
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
            reported: Mutex::default(),
            run_events: RunEvents::new(QUEUE_CAPACITY),
            settling: RunEvents::new(SETTLING_CAPACITY),
            decided: Event::new(),
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

    /// True if a request is suspected, and neither quarantined nor released.
    pub(crate) fn is_suspected(&self, now: MonoTime, content: Content) -> bool {
        let list = self.list.load();
        let is_suspected = |held: QuarantineEntry| held.state.phase == QuarantinePhase::Suspected;
        !list.is_empty() && list.get(now, content).is_some_and(is_suspected)
    }

    /// What keeps a run from upstreams: the most specific of its contents that are quarantined.
    pub(crate) fn hold(&self, now: MonoTime, contents: &RunContents) -> Option<Hold> {
        let list = self.list.load();
        if list.is_empty() {
            return None;
        }
        contents.iter().find_map(|content| {
            let left = list.quarantine_remaining(now, content)?;
            let is_held = |p: &&PartContent| p.of_customer == content || p.of_all == content;
            let part = contents.parts.iter().find(is_held).map(|p| p.of_all);
            Some(Hold {
                content,
                part,
                left,
            })
        })
    }

    /// The next quarantine or release.
    pub(crate) fn listen(&self) -> EventListener {
        self.decided.listen()
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
            if is_new && update.state.is_active() {
                self.runs_requested.notify();
            }
            if is_new {
                self.heartbeat_requested.notify();
            }
            if is_new && update.state.phase != QuarantinePhase::Suspected {
                self.decided.notify(usize::MAX);
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

    /// Notes that a run was sound whose answer began at `began`.
    pub(crate) fn record_sound(
        &self,
        now: MonoTime,
        service: &str,
        contents: &RunContents,
        began: MonoTime,
    ) {
        let run = SoundRun {
            service: service.into(),
            contents: contents.clone(),
            at: began,
        };
        let list = self.list.load();
        let is_asked_for = |content| {
            let held = list.get(now, content);
            held.is_some_and(|held| held.state.is_active()) && self.may_report(now, content)
        };
        if !list.is_empty() && contents.iter().any(is_asked_for) {
            self.run_events.add(RunEvent::Sound(run.clone()));
        }
        lock(&self.recent).record(run);
    }

    /// True if no run of this content was reported lately: a part of prompts may be in many
    /// requests a second, at many instances.
    fn may_report(&self, now: MonoTime, content: Content) -> bool {
        let mut reported = lock(&self.reported);
        reported.retain(|_, at| now.since(*at) < REPORT_INTERVAL);
        let is_due = !reported.contains_key(&content);
        if is_due {
            reported.insert(content, now);
        }
        is_due
    }

    /// The last one of all sound runs at a service, and the last ones of these contents.
    pub(crate) fn last_runs(
        &self,
        service: &str,
        contents: impl Iterator<Item = Content>,
    ) -> Vec<SoundRun> {
        lock(&self.recent).last_runs(service, contents)
    }

    /// Recent sound runs of what is suspected or quarantined.
    pub(crate) fn recent_runs(&self, now: MonoTime) -> Vec<SoundRun> {
        let list = self.list.load();
        let is_open = |content| {
            let held = list.get(now, content);
            held.is_some_and(|held| held.state.is_active())
        };
        lock(&self.recent).runs_of(now, is_open)
    }
}
