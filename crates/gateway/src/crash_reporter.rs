//! Detects crashed upstreams and reports them to the coordinators of the quarantine.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::ProbeResult;
use jd_net::lock;
use jd_serving::BrokenRun;
use jd_serving::ConnectionSign;
use jd_serving::Content;
use jd_serving::EndSearch;
use jd_serving::EndSearchStep;
use jd_serving::ListedAs;
use jd_serving::SearchSubject;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamFate;
use jd_types::MonoTime;

use crate::path_checker::OwnPath;
use crate::report_sender::ReportSender;
use crate::run_events::EndedRun;
use crate::run_events::RunEnd;
use crate::run_events::RunEvent;
use crate::run_events::UpstreamRef;
use crate::state::State;

/// How long broken runs of one upstream are collected before it is checked. Its
/// connections break within a few milliseconds of each other.
const COLLECT_FOR: Duration = Duration::from_millis(30);
/// How long after a run that ended in order, or whose caller left, its upstream is looked at: the time
/// from a request to the crash that it causes, and to the end of the upstream's connections.
const SETTLE_FOR: Duration = Duration::from_millis(150);
/// How long a connection has to stay open: a process that listens and is able to serve waits for a
/// request.
const OPEN_FOR: Duration = Duration::from_millis(50);
/// Time over which instances spread their reports of sound runs, for each instance of the fleet.
const REPORT_SPREAD: Duration = Duration::from_millis(1);
/// The longest such time: a third of the time that the coordinators wait for these reports.
const MAX_REPORT_SPREAD: Duration = Duration::from_millis(400);
/// Most searches at a time for the end of one upstream, each after other runs that broke.
const MAX_SEARCHES: usize = 8;
/// Most broken runs in a report on one crash.
const MAX_RUNS_PER_REPORT: usize = 128;
/// Most contents of broken runs in a report.
const MAX_CONTENTS_PER_REPORT: usize = 2_048;
/// Most runs that a log line names.
const MAX_RUNS_PER_LINE: usize = 8;
/// Most parts of prompts that a log line names.
const MAX_PARTS_PER_LINE: usize = 32;

/// Runs at one upstream that are not known to be sound, while it is looked for its end.
#[derive(Debug)]
struct EndedRuns {
    /// When the first of them ended.
    at: MonoTime,
    /// Runs whose connections broke.
    broken: Vec<BrokenRun>,
    /// Runs whose answers had no mark of their end, and that are sound if the upstream goes on.
    unmarked: Vec<BrokenRun>,
    /// Runs whose answers were whole. They are sound once the upstream has answered another one: it
    /// may accept connections and be unable to serve.
    whole: Vec<BrokenRun>,
    /// Runs of which nothing is known if the upstream goes on.
    undecided: Vec<BrokenRun>,
}

impl EndedRuns {
    fn new(at: MonoTime) -> EndedRuns {
        EndedRuns {
            at,
            broken: Vec::new(),
            unmarked: Vec::new(),
            whole: Vec::new(),
            undecided: Vec::new(),
        }
    }

    fn add(&mut self, run: BrokenRun, end: RunEnd) {
        let runs = match end {
            RunEnd::Broken => &mut self.broken,
            RunEnd::Unmarked => &mut self.unmarked,
            RunEnd::Whole => &mut self.whole,
            RunEnd::Failed | RunEnd::Left => &mut self.undecided,
        };
        if runs.len() < MAX_RUNS_PER_REPORT {
            runs.push(run);
        }
    }
}

/// Detects crashed upstreams and reports them to the coordinators of the quarantine.
#[derive(Debug)]
pub(crate) struct CrashReporter {
    state: Arc<State>,
    sender: Arc<ReportSender>,
    /// Those of each search, by upstream, oldest first.
    searched: Mutex<HashMap<UpstreamRef, Vec<EndedRuns>>>,
}

impl CrashReporter {
    pub(crate) fn new(state: Arc<State>, sender: Arc<ReportSender>) -> CrashReporter {
        CrashReporter {
            state,
            sender,
            searched: Mutex::default(),
        }
    }

    /// Handles run events, forever.
    pub(crate) async fn run(self: Arc<Self>) {
        while let Some(event) = self.state.quarantine.run_events.next().await {
            match event {
                RunEvent::Sound(run) => self.sender.send(vec![run]),
                RunEvent::Ended(ended) => self.add_ended_run(ended),
            }
        }
    }

    /// Reports recent sound runs of what is suspected whenever the quarantine changes, forever.
    ///
    /// In a large fleet, all instances have seen sound runs of a part that is in many prompts. They
    /// report after different delays, and the first reports have it released before the others
    /// are sent.
    pub(crate) async fn report_recent_runs(self: Arc<Self>) {
        loop {
            self.state.quarantine.runs_requested.wait().await;
            let spread = REPORT_SPREAD.saturating_mul(self.state.instance_count());
            let spread = spread.min(MAX_REPORT_SPREAD).as_millis() as u64;
            Timer::after(Duration::from_millis(fastrand::u64(..=spread))).await;
            let sound_runs = self.state.quarantine.recent_runs(self.state.now());
            if !sound_runs.is_empty() {
                self.sender.send(sound_runs);
            }
        }
    }

    /// Handles runs that ended otherwise than by a broken connection, a moment after their ends,
    /// forever. An upstream that crashes from them does so by then, and closes its connections.
    pub(crate) async fn settle_runs(self: Arc<Self>) {
        let state = &self.state;
        while let Some(mut ended) = state.quarantine.settling.next().await {
            let due = ended.at + SETTLE_FOR;
            Timer::after(due.since(state.now())).await;
            // The middle of the time in which the upstream may have ended: those that end at one
            // moment, as at a loss of power, then do so within the time that counts as one, and
            // what it answered before says nothing.
            let ended_at = ended.at;
            ended.at = ended_at + SETTLE_FOR / 2;
            let EndedRun { upstream, at, .. } = &ended;
            let has_answered = {
                let upstreams = state.upstreams.load();
                upstreams.has_answered_since(&upstream.id, *at)
            };
            let client = &state.upstream_client;
            if !has_answered && !client.is_connected(upstream.address, ended_at) {
                self.add_ended_run(ended);
            } else if ended.end == RunEnd::Whole {
                self.record_sound(&upstream.service, &ended.run, ended_at);
            }
        }
    }

    fn record_sound(&self, service: &str, run: &BrokenRun, ended_at: MonoTime) {
        let now = self.state.now();
        let began = run.answered.unwrap_or(ended_at);
        let quarantine = &self.state.quarantine;
        quarantine.record_sound(now, service, &run.contents, began);
    }

    fn add_ended_run(self: &Arc<Self>, ended: EndedRun) {
        let EndedRun {
            at,
            upstream,
            run,
            end,
        } = ended;
        let mut searched = lock(&self.searched);
        let searches = searched.entry(upstream.clone()).or_default();
        let upstreams = self.state.upstreams.load();
        let is_full = searches.len() >= MAX_SEARCHES;
        match searches.last_mut() {
            Some(last) if upstreams.has_answered_since(&upstream.id, last.at) && !is_full => {}
            Some(last) if run.began <= last.at || end != RunEnd::Broken => {
                return last.add(run, end);
            }
            // A connection to an ended upstream that still accepts some: nothing ran.
            Some(_) if run.answered.is_none() && at.since(run.began) < OPEN_FOR => return,
            Some(_) if is_full => return,
            Some(_) | None => {}
        }
        let mut runs = EndedRuns::new(at);
        runs.add(run, end);
        searches.push(runs);
        let searching = Arc::clone(self).search(upstream, at);
        self.state.executor.spawn(searching).detach();
    }

    /// Finds out whether an upstream at which runs broke has crashed, and reports it.
    ///
    /// Most broken connections leave the upstream running. If it is running, the runs whose
    /// answers ended in order were sound.
    async fn search(self: Arc<Self>, upstream: UpstreamRef, at: MonoTime) {
        Timer::after(COLLECT_FOR).await;
        let mut search = EndSearch::new(at);
        let mut is_told = false;
        let (fate, has_answered) = loop {
            let now = self.state.now();
            let subject = self.subject(&upstream, at);
            let has_answered = {
                let upstreams = self.state.upstreams.load();
                upstreams.has_answered_since(&upstream.id, at)
            };
            match search.step(now, self.listed(&upstream), has_answered, subject) {
                EndSearchStep::Over(fate) => break (fate, has_answered),
                EndSearchStep::Wait(pause) => {
                    Timer::after(pause).await;
                }
                EndSearchStep::Connect => {
                    let sign = self.connect(&upstream).await;
                    if sign == ConnectionSign::RefusedEverywhere && !is_told {
                        is_told = true;
                        self.report_possible_crash(&upstream, at);
                    }
                    search.record_connection(self.state.now(), sign);
                }
            }
        };
        if let Some(runs) = self.take_searched(&upstream, at) {
            self.handle_fate(upstream, fate, has_answered, runs);
        }
    }

    /// Reports that an upstream may have crashed at which runs broke.
    fn report_possible_crash(&self, upstream: &UpstreamRef, at: MonoTime) {
        let broken = {
            let searched = lock(&self.searched);
            let mut searches = searched.get(upstream).into_iter().flatten();
            searches.find(|s| s.at == at).map(|s| s.broken.clone())
        };
        let runs = broken.unwrap_or_default();
        if runs.is_empty() {
            return;
        }
        self.sender.send_possible(UpstreamCrash {
            service: upstream.service.clone(),
            upstream: upstream.id.clone(),
            start: upstream.start,
            at,
            runs,
        });
    }

    fn subject(&self, upstream: &UpstreamRef, at: MonoTime) -> SearchSubject {
        let searched = lock(&self.searched);
        let mut searches = searched.get(upstream).into_iter().flatten();
        match searches.find(|s| s.at == at) {
            Some(runs) if !runs.broken.is_empty() => SearchSubject::Broken,
            Some(runs) if runs.whole.is_empty() && runs.undecided.is_empty() => {
                SearchSubject::Unmarked
            }
            Some(_) | None => SearchSubject::Hidden,
        }
    }

    fn take_searched(&self, upstream: &UpstreamRef, at: MonoTime) -> Option<EndedRuns> {
        let mut searched = lock(&self.searched);
        let searches = searched.get_mut(upstream)?;
        let index = searches.iter().position(|s| s.at == at)?;
        let runs = searches.remove(index);
        if searches.is_empty() {
            searched.remove(upstream);
        }
        Some(runs)
    }

    fn handle_fate(
        &self,
        upstream: UpstreamRef,
        fate: UpstreamFate,
        has_answered: bool,
        runs: EndedRuns,
    ) {
        let EndedRuns {
            at,
            broken,
            unmarked,
            whole,
            undecided,
        } = runs;
        if fate != UpstreamFate::Ended {
            let answered = whole.iter().filter(|_| has_answered);
            for run in unmarked.iter().chain(answered) {
                self.record_sound(&upstream.service, run, at);
            }
            if !broken.is_empty() {
                self.log_broken(&upstream, fate, at, &broken);
            }
            return;
        }
        let runs = [broken, unmarked, whole, undecided].concat();
        self.log_broken(&upstream, fate, at, &runs);
        self.report_crash(UpstreamCrash {
            service: upstream.service,
            upstream: upstream.id,
            start: upstream.start,
            at,
            runs,
        });
    }

    fn log_broken(
        &self,
        upstream: &UpstreamRef,
        fate: UpstreamFate,
        at: MonoTime,
        runs: &[BrokenRun],
    ) {
        self.state.metrics.broken_runs(fate.as_str(), runs.len());
        let requests = runs.iter().map(|r| r.contents.request.to_string());
        let answered_ms = |r: &BrokenRun| match r.answered {
            Some(answered) => at.since(answered).as_millis().to_string(),
            None => "none".into(),
        };
        // A part of many of these prompts is named once.
        let parts: BTreeSet<Content> = runs
            .iter()
            .flat_map(|r| r.contents.parts.iter().map(|p| p.of_all))
            .collect();
        log::info!(
            upstream = upstream.id.as_str(),
            service = upstream.service.as_str(),
            runs = runs.len(),
            contents = named(MAX_RUNS_PER_LINE, requests).as_str(),
            answered_ms = named(MAX_RUNS_PER_LINE, runs.iter().map(answered_ms)).as_str(),
            parts = named(MAX_PARTS_PER_LINE, parts.iter().map(Content::to_string)).as_str(),
            searched_ms = self.state.now().since(at).as_millis() as u64,
            outcome = fate.as_str();
            "runs broke at an upstream"
        );
    }

    /// Reports a crash, with as many contents as there is room for.
    fn report_crash(&self, mut crash: UpstreamCrash) {
        let mut room = MAX_CONTENTS_PER_REPORT;
        crash.runs.retain(|run| {
            let contents = run.contents.iter().count();
            let fits = contents <= room;
            room -= contents.min(room);
            fits
        });
        self.sender.send_crash(crash);
    }

    /// Opens a connection to an upstream.
    async fn connect(&self, upstream: &UpstreamRef) -> ConnectionSign {
        let (state, address) = (&self.state, upstream.address);
        match state.upstream_client.probe_for(address, OPEN_FOR).await {
            ProbeResult::Open => ConnectionSign::Open,
            // Without a path to the upstreams, all of them refuse connections.
            ProbeResult::Refused if OwnPath::connects_elsewhere(state, address).await => {
                ConnectionSign::Refused
            }
            ProbeResult::Closed
                if OwnPath::stays_connected_elsewhere(state, address, OPEN_FOR).await =>
            {
                ConnectionSign::Closed
            }
            ProbeResult::Refused => ConnectionSign::RefusedEverywhere,
            ProbeResult::Closed | ProbeResult::TimedOut => ConnectionSign::Unknown,
        }
    }

    fn listed(&self, upstream: &UpstreamRef) -> ListedAs {
        let table = self.state.upstreams.load();
        match table.start_of(&upstream.id) {
            Some(now) if now.is_later_than(upstream.start) => ListedAs::Replaced,
            Some(_) => ListedAs::Same,
            None if table.serves_at(&upstream.service, upstream.address) => ListedAs::Replaced,
            None if self.state.cluster().upstreams.is_leaving(&upstream.id) => ListedAs::Leaving,
            None => ListedAs::Missing,
        }
    }
}

/// The first of several words, for a log line.
fn named(limit: usize, words: impl Iterator<Item = String>) -> CompactString {
    let first = words.take(limit);
    first.collect::<Vec<String>>().join(" ").into()
}
