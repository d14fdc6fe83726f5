//! The event stream of one response, passed on event by event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future;
use http::StatusCode;
use jd_net::BodyError;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::AttemptDecision;
use jd_serving::Evidence;
use jd_serving::SoftwareVersion;
use jd_serving::abandon_gap;
use jd_types::AttemptOutcome;

use crate::attempts::AttemptContext;
use crate::attempts::Attempts;
use crate::attempts::log_beside;
use crate::not_resumed::NotResumed;
use crate::not_resumed::StreamError;
use crate::open_requests::Wait;
use crate::passed_on::PassedOn;
use crate::stage_runner::StageRun;
use crate::stage_runner::StageRunner;
use crate::stream_attempt::BegunStream;
use crate::stream_attempt::Ended;
use crate::stream_attempt::StreamAttempt;
use crate::stream_binding::StreamBinding;
use crate::stream_log;
use crate::stream_response::Read;
use crate::stream_response::StreamResponse;

/// The largest number of upstreams that one stream is sent to, including those that proved that
/// they did not run it.
const MAX_ATTEMPTS: usize = 6;

/// What ended a wait.
enum Progress {
    /// Of the response that is passed on.
    Response(Read),
    /// An attempt to resume the stream ended.
    Attempt(Box<Ended>),
}

/// What an attempt to resume a stream has brought.
enum Resumed {
    /// Nothing; it failed.
    No,
    /// The end of the stream, without further events.
    Whole,
    /// The next events.
    Events(Bytes),
}

/// The events of one response. While its upstream is silent or after it failed, the stream resumes
/// on another upstream after the last complete event, if the route allows that. The first event of
/// either upstream counts.
#[derive(Debug)]
pub(crate) struct EventStream {
    cx: AttemptContext,
    stages: Arc<StageRunner>,
    /// The response that is passed on; closed after it broke.
    response: StreamResponse,
    /// Events that were read before the stream was created.
    first_events: Option<Bytes>,
    /// Attempts to resume the stream at other upstreams.
    attempts: Attempts<Ended>,
    /// True once the silence since the latest event was recorded against the upstream.
    is_silence_recorded: bool,
    /// Why the latest attempt did not resume the stream.
    not_resumed: Option<NotResumed>,
    /// How the response ended that was passed on last.
    outcome: AttemptOutcome,
    /// True once nothing follows.
    has_ended: bool,
    binding: StreamBinding,
    passed_on: PassedOn,
}

impl EventStream {
    /// `first_events` have been read of the response already.
    pub(crate) fn new(
        cx: AttemptContext,
        stages: Arc<StageRunner>,
        response: StreamResponse,
        first_events: Option<Bytes>,
    ) -> EventStream {
        let mut binding = StreamBinding::default();
        // The head has told the other instance the version.
        if cx.request.forwarded.is_some() {
            binding.bind(&cx, &response.attempt);
        }
        EventStream {
            cx,
            stages,
            response,
            first_events,
            attempts: Attempts::new(),
            is_silence_recorded: false,
            not_resumed: None,
            outcome: AttemptOutcome::TimedOut,
            has_ended: false,
            binding,
            passed_on: PassedOn::default(),
        }
    }

    /// The next part of the body and the remaining stream; none at the end.
    pub(crate) async fn next(mut self) -> Option<(Result<Bytes, BodyError>, EventStream)> {
        if self.has_ended {
            return None;
        }
        if let Some(events) = self.first_events.take() {
            self.record_part(&events);
            return Some((Ok(events), self));
        }
        self.response.attempt.record_wait();
        let in_flight = &self.cx.request.in_flight;
        in_flight.waits_for(Wait::ResponseBody, self.response.attempt.id());
        loop {
            match self.decide() {
                AttemptDecision::End => {
                    let why = self.why_not_resumed();
                    return Some(self.cut_off(why).await);
                }
                AttemptDecision::Attempt(evidence) => self.try_resume(evidence),
                AttemptDecision::Wait(limit) => match self.wait(limit).await {
                    None => self.check_silence(),
                    Some(Progress::Response(Read::Events(events))) => {
                        self.end_attempts();
                        self.record_part(&events);
                        return Some((Ok(events), self));
                    }
                    Some(Progress::Response(Read::Whole)) => return self.finish(),
                    Some(Progress::Response(Read::Evidence(e))) if e.is_final() => {
                        self.drop_broken(e)
                    }
                    Some(Progress::Response(Read::Nothing | Read::Evidence(_))) => {}
                    Some(Progress::Attempt(ended)) => match self.handle_ended(*ended) {
                        Resumed::No => {}
                        Resumed::Whole => return self.finish(),
                        Resumed::Events(events) => {
                            self.record_part(&events);
                            return Some((Ok(events), self));
                        }
                    },
                },
            }
        }
    }

    fn decide(&self) -> AttemptDecision {
        let answering = self.response.open_clock();
        let (state, request) = (&self.cx.state, &self.cx.request);
        let now = state.now();
        let may_run = || self.may_resume() && self.cx.may_run(MAX_ATTEMPTS);
        let left = match answering {
            Some(_) => request.time_left(now),
            // Nobody waits for a stream that comes back later than that. An instance that stops
            // leaves it to others.
            None => {
                let route = request.route();
                let last = self.passed_on.last.unwrap_or(request.arrived);
                let abandoned = last + abandon_gap(route.objective, route.event_gap);
                let until = request.deadline.min(abandoned);
                let stop = state.shutdown.plan().map(|plan| plan.unsent_until);
                stop.map_or(until, |stop| until.min(stop)).since(now)
            }
        };
        self.attempts.decide(state, answering, may_run, left)
    }

    /// True if it is certain where the stream may go on, and after which event.
    fn may_resume(&self) -> bool {
        !self.binding.is_uncertain() && self.response.splitter.can_resume()
    }

    /// Waits for a part of the response or the end of an attempt, whichever comes first.
    async fn wait(&mut self, limit: Duration) -> Option<Progress> {
        let response = async { Progress::Response(self.response.read().await) };
        let attempt = async { Progress::Attempt(Box::new(self.attempts.next_ended().await)) };
        with_timeout(limit, response.or(attempt)).await
    }

    fn check_silence(&mut self) {
        if self.cx.may_run(MAX_ATTEMPTS) {
            let answering = self.response.open_clock();
            self.attempts.check_path_in_silence(&self.cx, answering);
        }
    }

    /// Begins to resume the stream on another upstream, if the retry budget allows it.
    fn try_resume(&mut self, evidence: Option<Evidence>) {
        let state = &self.cx.state;
        let now = state.now();
        let Ok(begun_by) = self.binding.begun_by(&self.cx, &self.response.attempt) else {
            self.binding.set_uncertain(&self.cx);
            self.not_resumed = Some(NotResumed::VersionUncertain);
            return;
        };
        let Some(payment) = self.cx.pay() else {
            self.not_resumed = Some(NotResumed::RetryBudget);
            self.attempts.record_refusal(now);
            return;
        };
        if let Some(evidence) = evidence {
            let pending = self.attempts.len() + usize::from(self.response.is_open());
            log_beside(&self.cx, evidence, pending);
            let is_first = !std::mem::replace(&mut self.is_silence_recorded, true);
            if self.response.is_open() && is_first {
                let silent_for = self.response.silent_for(now);
                self.response.attempt.record_silence(silent_for);
            }
        }
        let clock = Arc::clone(payment.clock());
        let attempt = StreamAttempt {
            cx: self.cx.clone(),
            stages: Arc::clone(&self.stages),
            last_event: self.last_event(),
            order: self
                .response
                .splitter
                .order()
                .resumed_after(self.last_event()),
            results: None,
            has_begun: true,
            payment,
            run: match self.response.is_open() || !self.attempts.is_empty() {
                true => StageRun::Beside,
                false => StageRun::Again,
            },
        };
        self.attempts.begin(clock, attempt.resume(begun_by));
    }

    fn handle_ended(&mut self, ended: Ended) -> Resumed {
        let refused = match ended {
            Ended::Begun(begun) => return self.take_over(begun),
            Ended::Head(_) => return Resumed::No,
            Ended::Failed(failure, _) => {
                let is_used_up = failure.is_not_run() && !self.cx.may_run(MAX_ATTEMPTS);
                self.not_resumed = Some(NotResumed::Failed(failure.detail));
                if is_used_up {
                    self.pause_before_others();
                } else {
                    self.attempts.clear_refusals();
                }
                return Resumed::No;
            }
            Ended::Refused(refusal) => NotResumed::Refused(refusal.detail),
            Ended::VersionUncertain => {
                self.binding.set_uncertain(&self.cx);
                NotResumed::VersionUncertain
            }
        };
        self.not_resumed = Some(refused);
        self.pause_before_others();
        Resumed::No
    }

    /// Has another attempt made after a pause. An upstream that did not run the request may do so
    /// then.
    fn pause_before_others(&mut self) {
        let ran_at = self.cx.request.ran_at.upstreams();
        lock(&self.cx.retries).forget_refused(&ran_at);
        self.attempts.record_refusal(self.cx.state.now());
    }

    /// Passes on the response of another upstream from now on.
    fn take_over(&mut self, begun: BegunStream) -> Resumed {
        let last_event = self.last_event();
        let now = self.cx.state.now();
        if self.response.is_open() {
            let silent = Evidence::Silent;
            self.response
                .log_given_up(&self.cx, silent, self.passed_on.parts);
            self.cx.state.metrics.parallel_attempt("later-answered");
        }
        self.attempts.cancel_all();
        let mut earlier = std::mem::replace(&mut self.response, begun.response);
        // Its silence was recorded when the other attempt began.
        earlier.attempt.finish(AttemptOutcome::Cancelled);
        self.response.splitter.follow(&earlier.splitter);
        log::info!(
            request = self.cx.request.id(),
            content:% = self.cx.request.contents.request,
            upstream = self.response.attempt.id(),
            software:? = self.response.attempt.software().map(SoftwareVersion::as_str),
            pause_ms = earlier.silent_for(now).as_millis() as u64,
            last_event:?;
            "stream resumed on another upstream"
        );
        self.not_resumed = None;
        begun.first.map_or(Resumed::Whole, Resumed::Events)
    }

    /// Ends the attempts to resume the stream, because its upstream goes on.
    fn end_attempts(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        log::info!(
            request = self.cx.request.id(),
            content:% = self.cx.request.contents.request,
            upstream = self.response.attempt.id(),
            attempts = self.attempts.len(),
            parts = self.passed_on.parts;
            "silent upstream goes on; attempts beside it are ended"
        );
        self.cx.state.metrics.parallel_attempt("earlier-answered");
        self.attempts.cancel_all();
    }

    fn drop_broken(&mut self, evidence: Evidence) {
        self.response
            .log_given_up(&self.cx, evidence, self.passed_on.parts);
        self.outcome = match evidence {
            Evidence::NoRoom => AttemptOutcome::Cancelled,
            _ => {
                self.response.attempt.report_broken();
                AttemptOutcome::Truncated
            }
        };
        self.response.close();
        self.attempts.clear_refusals();
        self.response.attempt.finish(self.outcome);
    }

    fn record_part(&mut self, events: &[u8]) {
        self.binding.bind(&self.cx, &self.response.attempt);
        self.passed_on.record(self.cx.state.now());
        self.is_silence_recorded = false;
        self.cx.request.in_flight.waits_for(Wait::Caller, "");
        self.response.attempt.record_progress(events);
        // An upstream that sends events has read its inputs. Results take much storage; a
        // stream that resumes on another upstream has its stages run again.
        self.response.results.release();
    }

    /// The event after which the stream resumes.
    fn last_event(&self) -> Option<u64> {
        let last = self.response.splitter.last_event();
        last.or(self.cx.request.head.last_event)
    }

    fn why_not_resumed(&mut self) -> NotResumed {
        let is_late = self.cx.time_left().is_zero();
        let may_run = self.cx.may_run(MAX_ATTEMPTS);
        match self.not_resumed.take() {
            _ if is_late => NotResumed::Deadline,
            Some(why) => why,
            None if self.binding.is_uncertain() => NotResumed::VersionUncertain,
            None if self.response.splitter.order().is_unordered() => NotResumed::EventsUnordered,
            None if !self.response.splitter.can_resume() => NotResumed::EventUnnumbered,
            None if may_run => NotResumed::Abandoned,
            None => NotResumed::NoRunLeft,
        }
    }

    fn finish(mut self) -> Option<(Result<Bytes, BodyError>, EventStream)> {
        self.end_attempts();
        let framing = self.response.framing;
        let attempt = &mut self.response.attempt;
        attempt.record_end(StatusCode::OK, framing);
        attempt.finish(AttemptOutcome::Answered);
        self.has_ended = true;
        let state = &self.cx.state;
        state.metrics.stream_end(framing.as_str());
        stream_log::ended(&self.cx, &self.response, &self.passed_on);
        let rest = self.response.splitter.take_remaining();
        self.response.close();
        (!rest.is_empty()).then_some((Ok(rest), self))
    }

    async fn cut_off(mut self, why: NotResumed) -> (Result<Bytes, BodyError>, EventStream) {
        self.response.attempt.finish(self.outcome);
        self.response.close();
        self.has_ended = true;
        self.attempts.cancel_all();
        let state = &self.cx.state;
        let took = state.now().since(self.cx.request.arrived);
        state.metrics.request("cut-off", took);
        stream_log::cut_off(
            &self.cx,
            &self.response,
            &self.passed_on,
            self.outcome,
            &why,
        );
        // Let events that are written but not yet sent reach the caller before the connection
        // is dropped: the caller may resume after the last of them.
        future::yield_now().await;
        (Err(Box::new(StreamError::from(why))), self)
    }
}
