//! An attempt at a request that is in progress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use futures_lite::future;
use http::StatusCode;
use jd_net::BodyFraming;
use jd_net::lock;
use jd_serving::BrokenRun;
use jd_serving::EventSplitter;
use jd_serving::OutOfOrder;
use jd_serving::PROMPT_CRASH;
use jd_serving::RunContents;
use jd_serving::SAFE_AFTER;
use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_serving::StreamPace;
use jd_serving::UpstreamStart;
use jd_types::AttemptOutcome;
use jd_types::MonoTime;

use crate::caller_request::CallerRequest;
use crate::forward_client;
use crate::forward_client::ForwardGuard;
use crate::run_events::RunEnd;
use crate::state::State;
use crate::trials::Trial;
use crate::upstream_record::SelectedUpstream;

/// How long a response that an upstream sent before its process ended may be in transit:
/// several round trips between availability zones.
const LAST_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// An attempt in progress. Dropping it counts as cancelled.
#[derive(Debug)]
pub(crate) struct ActiveAttempt {
    state: Arc<State>,
    /// The upstream; none if another instance runs the request.
    chosen: Option<SelectedUpstream>,
    forward: Option<ForwardGuard>,
    /// The upstream at which another instance runs the request, and its start; none if that does
    /// not tell.
    told_upstream: Option<(CompactString, UpstreamStart)>,
    /// The software version of the upstream; none if another instance does not tell it.
    software: Option<SoftwareVersion>,
    service: CompactString,
    route: CompactString,
    /// True if another upstream began the stream.
    resumes: bool,
    contents: RunContents,
    began: MonoTime,
    /// When the head of the response arrived.
    head_at: Option<MonoTime>,
    /// When the first part of the response body arrived.
    first_part: Option<MonoTime>,
    /// Observes the upstream; none if its pace is not tracked.
    pace: Option<StreamPace>,
    /// True once the request was written to the upstream.
    is_sent: AtomicBool,
    completed: bool,
    /// The run of a suspected request that this is.
    pub(crate) trial: Option<Arc<Trial>>,
    finished: bool,
}

impl ActiveAttempt {
    pub(crate) fn begin(
        state: &Arc<State>,
        request: &CallerRequest,
        mut chosen: SelectedUpstream,
        resumes: bool,
    ) -> ActiveAttempt {
        if chosen.restarted.is_set() {
            // The start that was selected has ended; whichever answers now is a later one.
            chosen.restarted = Arc::default();
        }
        chosen.upstream.attempt_started();
        let now = state.now();
        ActiveAttempt {
            forward: None,
            told_upstream: None,
            software: Some(chosen.software.clone()),
            state: Arc::clone(state),
            service: request.service.clone(),
            route: request.route().name.clone(),
            resumes,
            contents: request.contents.clone(),
            began: now,
            head_at: None,
            first_part: None,
            pace: state.paces.begin_stream(now, request, &chosen, resumes),
            is_sent: AtomicBool::new(false),
            completed: false,
            trial: None,
            chosen: Some(chosen),
            finished: false,
        }
    }

    /// An attempt of another instance. That instance records what it observes of upstreams.
    pub(crate) fn forwarded(
        state: &Arc<State>,
        request: &CallerRequest,
        guard: ForwardGuard,
        upstream: Option<(CompactString, UpstreamStart)>,
        software: Option<SoftwareVersion>,
    ) -> ActiveAttempt {
        ActiveAttempt {
            chosen: None,
            forward: Some(guard),
            told_upstream: upstream,
            software,
            state: Arc::clone(state),
            service: request.service.clone(),
            route: request.route().name.clone(),
            resumes: false,
            contents: request.contents.clone(),
            began: state.now(),
            head_at: None,
            first_part: None,
            pace: None,
            is_sent: AtomicBool::new(false),
            completed: true,
            trial: None,
            finished: false,
        }
    }

    /// Records that the request is written to the upstream.
    pub(crate) fn record_written(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
        if let Some(trial) = &self.trial {
            trial.record_sent();
        }
    }

    /// Records that the head of a response to the request arrived.
    pub(crate) fn record_head(&mut self) {
        self.head_at = Some(self.state.now());
        if let Some(chosen) = &self.chosen {
            chosen.upstream.record_answer(self.began);
        }
    }

    /// Records that the response ended without an error. The run is sound if it succeeded and the
    /// upstream goes on: a crash may end an answer without a mark of its end in order, or follow
    /// right after it.
    pub(crate) fn record_end(&mut self, status: StatusCode, framing: BodyFraming) {
        match status.is_success() {
            true if !framing.marks_end() => self.report_run(RunEnd::Unmarked),
            true if self.has_outlived_prompt_crash() => self.record_sound(),
            true => self.report_run(RunEnd::Whole),
            false if self.has_outlived_prompt_crash() => {}
            false => self.report_run(RunEnd::Failed),
        }
        self.completed = true;
    }

    /// True if the answer began so long ago that the upstream would have crashed from it.
    fn has_outlived_prompt_crash(&self) -> bool {
        let now = self.state.now();
        self.answered()
            .is_some_and(|at| now.since(at) >= PROMPT_CRASH)
    }

    /// Records that the upstream outlived the beginning of the answer, so that the contents of
    /// the run are not suspected of crashing upstreams.
    fn record_sound(&mut self) {
        if !std::mem::replace(&mut self.completed, true) {
            let now = self.state.now();
            let began = self.answered().unwrap_or(now);
            let quarantine = &self.state.quarantine;
            quarantine.record_sound(now, &self.service, &self.contents, began);
        }
    }

    /// When the answer began, as far as it shows.
    fn answered(&self) -> Option<MonoTime> {
        self.first_part.or(self.head_at)
    }

    /// Records that the next part of the response body is waited for.
    pub(crate) fn record_wait(&mut self) {
        if let Some(pace) = &mut self.pace {
            pace.record_wait(self.state.now());
        }
    }

    /// Records that a part of the response body with these complete events arrived. Comments alone
    /// may come before the upstream has begun to work on the request.
    pub(crate) fn record_progress(&mut self, events: &[u8]) {
        let now = self.state.now();
        let count = EventSplitter::count_events(events);
        if let Some(pace) = &mut self.pace
            && let Some(first) = pace.record_part(now, count)
        {
            self.state
                .paces
                .record_first_event(now, &self.service, first);
        }
        if count == 0 {
            return;
        }
        let first = *self.first_part.get_or_insert(now);
        if now.since(first) >= SAFE_AFTER {
            self.record_sound();
        }
    }

    /// Records that the connection broke. Ignored once the attempt counts as completed, since
    /// the upstream then did not crash because of the request.
    pub(crate) fn report_broken(&mut self) {
        if let Some(trial) = &self.trial {
            trial.record_broken();
        }
        self.report_run(RunEnd::Broken);
    }

    /// Records that the response went on elsewhere than after the event that was asked for.
    pub(crate) fn record_out_of_order(&self, e: OutOfOrder) {
        self.state.metrics.event_out_of_order(e.as_str());
        log::warn!(upstream = self.id(), reason = e.as_str(), detail:% = e; "event out of order");
    }

    fn report_run(&self, end: RunEnd) {
        if let Some(chosen) = &self.chosen
            && !self.completed
        {
            let upstream = chosen.upstream_ref(&self.service);
            let run = BrokenRun {
                contents: self.contents.clone(),
                began: self.began,
                answered: self.answered(),
            };
            self.state.report_run(upstream, run, end);
        }
    }

    /// The time from the arrival of the request to this attempt, in milliseconds.
    pub(crate) fn sent_ms(&self, request: &CallerRequest) -> u64 {
        self.began.since(request.arrived).as_millis() as u64
    }

    /// The current time.
    pub(crate) fn now(&self) -> MonoTime {
        self.state.now()
    }

    /// The time since this attempt was sent.
    pub(crate) fn age(&self) -> Duration {
        self.state.now().since(self.began)
    }

    /// The instance that runs the request; none if it was sent to an upstream.
    pub(crate) fn forwarded_to(&self) -> Option<SocketAddr> {
        self.forward.as_ref().map(|guard| guard.target)
    }

    /// The ID of the upstream.
    pub(crate) fn id(&self) -> &str {
        match (&self.chosen, &self.told_upstream) {
            (Some(chosen), _) => chosen.id.as_str(),
            (None, Some((id, _))) => id.as_str(),
            (None, None) => "of another instance",
        }
    }

    /// The software version of the upstream; none if another instance does not tell it.
    pub(crate) fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    /// The start of the upstream; unknown if another instance does not tell it.
    pub(crate) fn start(&self) -> UpstreamStart {
        let told = self.told_upstream.as_ref().map(|(_, start)| *start);
        let own = self.chosen.as_ref().map(|chosen| chosen.start);
        own.or(told).unwrap_or(UpstreamStart::UNKNOWN)
    }

    /// The beginning of a stream by this attempt; none if another instance made it and does not
    /// tell its upstream.
    pub(crate) fn beginning(&self) -> Option<StreamBeginning> {
        let own = self.chosen.as_ref().map(|chosen| &*chosen.id);
        let told = self.told_upstream.as_ref().map(|(id, _)| id);
        Some(StreamBeginning {
            upstream: own.or(told)?.clone(),
            start: self.start(),
            // Of a forwarded request, when its response arrived here, which is later.
            sent_at: self.began,
        })
    }

    /// True if the entry of the upstream names another software version than when the request was
    /// sent, or has meanwhile, so that it is uncertain which one answered.
    pub(crate) fn is_version_uncertain(&self) -> bool {
        let chosen = self.chosen.as_ref();
        if chosen.is_some_and(|chosen| chosen.redescribed.is_set()) {
            return true;
        }
        let table = self.state.upstreams.load();
        let listed = table.software_of(self.id());
        listed.is_some_and(|listed| Some(listed) != self.software.as_ref())
    }

    /// Returns shortly after the upstream is known to have restarted. The response of the earlier
    /// start will not come any more, unless it was sent before and is in transit. Never returns for
    /// a forwarded request.
    pub(crate) async fn until_restarted(&self) {
        match &self.chosen {
            Some(chosen) => chosen.restarted.wait().await,
            None => future::pending().await,
        }
        Timer::after(LAST_RESPONSE_DELAY).await;
    }

    /// Returns once the instance that runs the request misses heartbeats. It may still go on. Never
    /// returns for a request that was sent to an upstream.
    pub(crate) async fn until_instance_missed(&self) {
        match self.forwarded_to() {
            Some(target) => forward_client::wait_until_gone(&self.state, target).await,
            None => future::pending().await,
        }
    }

    /// Records that the upstream has been silent for `silent_for`, although it may go on.
    pub(crate) fn record_silence(&self, silent_for: Duration) {
        if let Some(chosen) = &self.chosen {
            self.state.record_silence(&chosen.upstream, silent_for);
        }
    }

    pub(crate) fn finish(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.pace = None;
        let Some(chosen) = &self.chosen else {
            return;
        };
        let now = self.state.now();
        let took = now.since(self.began);
        chosen.upstream.attempt_finished(now, took, outcome);
        if !self.resumes {
            let run_times = &self.state.run_times;
            run_times.record(now, &self.route, took, outcome);
        }
        if outcome == AttemptOutcome::Unreachable {
            // The upstream is tried again when its ejection ends, and may have started just
            // before.
            let retried_at = chosen.upstream.ejected_until();
            lock(&chosen.cold).record_unreachable(retried_at);
        }
        self.state.metrics.attempt(outcome.as_str());
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let is_sent = self.is_sent.load(Ordering::Relaxed);
        if is_sent && !self.finished && !self.has_outlived_prompt_crash() {
            self.report_run(RunEnd::Left);
        }
        self.finish(AttemptOutcome::Cancelled);
    }
}
