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
use jd_serving::Content;
use jd_serving::UpstreamCrash;
use jd_types::MonoTime;

use crate::path_checker::OwnPath;
use crate::report_sender::ReportSender;
use crate::run_events::RunEnd;
use crate::run_events::RunEvent;
use crate::run_events::UpstreamRef;
use crate::state::State;

/// How long broken runs of one upstream are collected before it is checked. Its
/// connections break within a few milliseconds of each other.
const COLLECT_FOR: Duration = Duration::from_millis(30);
/// Interval between checks whether an upstream that answers has restarted.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long these checks go on. A process that is restarted at once is listed again
/// within a second; an upstream that crashes later than that did not crash from the runs
/// that broke before.
const RECHECK_FOR: Duration = Duration::from_secs(1);
/// Time over which instances spread their reports of sound runs, for each instance of the fleet.
const REPORT_SPREAD: Duration = Duration::from_millis(1);
/// The longest such time: a third of the time that the coordinators wait for these reports.
const MAX_REPORT_SPREAD: Duration = Duration::from_millis(400);
/// Most broken runs in a report on one crash.
const MAX_RUNS_PER_REPORT: usize = 128;
/// Most contents of broken runs in a report.
const MAX_CONTENTS_PER_REPORT: usize = 2_048;
/// Most runs that a log line names.
const MAX_RUNS_PER_LINE: usize = 8;
/// Most parts of prompts that a log line names.
const MAX_PARTS_PER_LINE: usize = 32;

/// Runs at one upstream that are not known to be complete.
#[derive(Debug)]
struct BrokenRuns {
    at: MonoTime,
    /// Runs whose connections broke.
    broken: Vec<BrokenRun>,
    /// Runs whose answers ended in order, without a mark that they were complete.
    unmarked: Vec<BrokenRun>,
}

impl BrokenRuns {
    fn add(&mut self, run: BrokenRun, end: RunEnd) {
        let runs = match end {
            RunEnd::Broken => &mut self.broken,
            RunEnd::Unmarked => &mut self.unmarked,
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
    broken: Mutex<HashMap<UpstreamRef, BrokenRuns>>,
}

impl CrashReporter {
    pub(crate) fn new(state: Arc<State>, sender: Arc<ReportSender>) -> CrashReporter {
        CrashReporter {
            state,
            sender,
            broken: Mutex::default(),
        }
    }

    /// Handles run events, forever.
    pub(crate) async fn run(self: Arc<Self>) {
        while let Some(event) = self.state.quarantine.run_events.next().await {
            match event {
                RunEvent::Sound(run) => self.sender.send(vec![run]),
                RunEvent::Broken {
                    at,
                    upstream,
                    run,
                    end,
                } => self.add_broken_run(at, upstream, run, end),
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

    fn add_broken_run(
        self: &Arc<Self>,
        at: MonoTime,
        upstream: UpstreamRef,
        run: BrokenRun,
        end: RunEnd,
    ) {
        let mut broken = lock(&self.broken);
        if let Some(known) = broken.get_mut(&upstream) {
            known.add(run, end);
            return;
        }
        let mut runs = BrokenRuns {
            at,
            broken: Vec::new(),
            unmarked: Vec::new(),
        };
        runs.add(run, end);
        broken.insert(upstream.clone(), runs);
        let investigating = Arc::clone(self).investigate(upstream);
        self.state.executor.spawn(investigating).detach();
    }

    /// Finds out whether an upstream at which runs broke has crashed, and reports it.
    ///
    /// Most broken connections leave the upstream running. It has crashed if its address
    /// refuses connections, or if a later start of it is known. If it is running, the runs
    /// whose answers ended in order were sound.
    async fn investigate(self: Arc<Self>, upstream: UpstreamRef) {
        Timer::after(COLLECT_FOR).await;
        // Runs that break from now on start a check of their own.
        let Some(runs) = lock(&self.broken).remove(&upstream) else {
            return;
        };
        let until = self.state.now() + RECHECK_FOR;
        let mut status = self.check(&upstream).await;
        while status == UpstreamStatus::Running && self.state.now() < until {
            Timer::after(RECHECK_INTERVAL).await;
            status = self.check_entry(&upstream);
            if status == UpstreamStatus::Unlisted {
                // It may have left and still be finishing its requests.
                status = self.check(&upstream).await;
            }
        }
        let BrokenRuns {
            at,
            broken,
            unmarked,
        } = runs;
        if status != UpstreamStatus::Ended {
            for run in &unmarked {
                let now = self.state.now();
                let began = run.answered.unwrap_or(at);
                let quarantine = &self.state.quarantine;
                quarantine.record_sound(now, &upstream.service, &run.contents, began);
            }
            if !broken.is_empty() {
                self.log_broken(&upstream, status, at, &broken);
            }
            return;
        }
        let mut runs = broken;
        runs.extend(unmarked);
        self.log_broken(&upstream, status, at, &runs);
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
        status: UpstreamStatus,
        at: MonoTime,
        runs: &[BrokenRun],
    ) {
        self.state.metrics.broken_runs(status.as_str(), runs.len());
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
            outcome = status.as_str();
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

    async fn check(&self, upstream: &UpstreamRef) -> UpstreamStatus {
        if self.check_entry(upstream) == UpstreamStatus::Ended {
            return UpstreamStatus::Ended;
        }
        match self.state.upstream_client.probe(upstream.address).await {
            // Without a path to the upstreams, all of them refuse connections.
            ProbeResult::Refused => {
                match OwnPath::connects_elsewhere(&self.state, upstream.address).await {
                    true => UpstreamStatus::Ended,
                    false => UpstreamStatus::Running,
                }
            }
            ProbeResult::Open | ProbeResult::TimedOut => UpstreamStatus::Running,
        }
    }

    /// Checks the list of upstreams alone.
    fn check_entry(&self, upstream: &UpstreamRef) -> UpstreamStatus {
        let table = self.state.upstreams.load();
        match table.start_of(&upstream.id) {
            Some(now) if now.is_later_than(upstream.start) => UpstreamStatus::Ended,
            Some(_) => UpstreamStatus::Running,
            None if table.serves_at(&upstream.service, upstream.address) => UpstreamStatus::Ended,
            None => UpstreamStatus::Unlisted,
        }
    }
}

/// Result of checking an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamStatus {
    /// Its process has ended.
    Ended,
    /// It is running, or its state is unknown.
    Running,
    /// It is no longer listed.
    Unlisted,
}

impl UpstreamStatus {
    const fn as_str(self) -> &'static str {
        match self {
            UpstreamStatus::Ended => "ended",
            UpstreamStatus::Running => "there",
            UpstreamStatus::Unlisted => "unlisted",
        }
    }
}

/// The first of several words, for a log line.
fn named(limit: usize, words: impl Iterator<Item = String>) -> CompactString {
    let first = words.take(limit);
    first.collect::<Vec<String>>().join(" ").into()
}
