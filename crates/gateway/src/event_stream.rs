//! The event stream of one response, passed on event by event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future;
use http::StatusCode;
use jd_net::BodyError;
use jd_net::BodyFraming;
use jd_net::HttpResponse;
use jd_net::SendError;
use jd_net::with_timeout;
use jd_serving::EventSplitter;
use jd_serving::RetryMode;
use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_serving::StreamEnd;
use jd_serving::StreamId;
use jd_serving::StreamOrigin;
use jd_types::AttemptOutcome;
use jd_types::MonoTime;
use snafu::Snafu;

use crate::active_attempt::ActiveAttempt;
use crate::attempt::UpstreamResponse;
use crate::caller_request::CallerRequest;
use crate::open_requests::Wait;
use crate::retry_state::RetryState;
use crate::stage_results::StageResults;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::upstream_selection::NextSendError;
use crate::upstream_selection::send_to_next_upstream;
use crate::version_check;

/// How long a stream that could resume on another upstream may be silent. Twice the longest
/// gap between events that the routes of the deployment still count as in time.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The largest number of upstreams that one stream is sent to, including those that proved that
/// they did not run it.
const MAX_ATTEMPTS: usize = 6;

/// Why a stream was cut off. The caller sees a broken connection, never a regular end.
#[derive(Debug, Snafu)]
enum StreamError {
    #[snafu(display("the upstream broke off and nothing could go on; ask again"))]
    Upstream,
    #[snafu(display("the time for the answer is over; allow a longer deadline"))]
    Deadline,
}

/// Whether a stream is bound to the software version of the upstream that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Binding {
    /// No event was passed on, so that any version may begin the stream.
    Unbound,
    /// Only the version in [`RetryState::software`] may resume it.
    Bound,
    /// It is not certain which version began it, so that none may resume it.
    Uncertain,
}

/// The events of one response. After a failure the stream resumes on another upstream after
/// the last complete event, if the route allows that.
#[derive(Debug)]
pub(crate) struct EventStream {
    state: Arc<State>,
    request: CallerRequest,
    response: Option<HttpResponse>,
    framing: BodyFraming,
    attempt: ActiveAttempt,
    stages: Arc<StageRunner>,
    results: StageResults,
    splitter: EventSplitter,
    retries: RetryState,
    binding: Binding,
    /// The attempt that began the stream, unless its version was checked before it was sent.
    beginning: Option<StreamBeginning>,
    events: u64,
    /// When the first and the last events were passed on.
    first: Option<MonoTime>,
    last: Option<MonoTime>,
    /// The longest time between two parts that were passed on.
    longest_pause: Duration,
}

impl EventStream {
    pub(crate) fn new(
        state: &Arc<State>,
        stages: &Arc<StageRunner>,
        request: CallerRequest,
        response: UpstreamResponse,
        results: StageResults,
        retries: RetryState,
    ) -> EventStream {
        let is_forwarded = request.forwarded.is_some();
        let mut stream = EventStream {
            state: Arc::clone(state),
            request,
            framing: response.http.framing,
            response: Some(response.http),
            attempt: response.attempt,
            stages: Arc::clone(stages),
            results,
            splitter: EventSplitter::default(),
            retries,
            binding: Binding::Unbound,
            beginning: None,
            events: 0,
            first: None,
            last: None,
            longest_pause: Duration::ZERO,
        };
        // The head has told the other instance the version.
        if is_forwarded {
            stream.bind();
        }
        stream
    }

    /// The next part of the body and the remaining stream; none at the end.
    pub(crate) async fn next(mut self) -> Option<(Result<Bytes, BodyError>, EventStream)> {
        self.attempt.record_wait();
        loop {
            let in_flight = &self.request.in_flight;
            in_flight.waits_for(Wait::ResponseBody, self.attempt.id());
            let left = self.request.time_left(self.state.now());
            let wait = match self.attempt.forwarded_to() {
                None if self.may_move_on() => left.min(STALL_TIMEOUT),
                // The other instance has the same timeout.
                _ => left,
            };
            let response = self.response.as_mut()?;
            let restarted = async {
                self.attempt.until_restarted().await;
                Some(Err(SendError::Broken))
            };
            let read = with_timeout(wait, response.chunk()).or(restarted).await;
            let outcome = match read {
                Some(Ok(Some(part))) => match self.splitter.push(&part) {
                    Some(events) => {
                        self.record_part(&events);
                        self.request.in_flight.waits_for(Wait::Caller, "");
                        return Some((Ok(events), self));
                    }
                    None => continue,
                },
                Some(Ok(None)) if self.is_whole() => return self.finish(),
                Some(Ok(None) | Err(_)) => {
                    self.attempt.report_broken();
                    AttemptOutcome::Truncated
                }
                None if self.request.time_left(self.state.now()).is_zero() => {
                    return Some(
                        self.cut_off(AttemptOutcome::TimedOut, StreamError::Deadline)
                            .await,
                    );
                }
                None => {
                    self.state.path.check_in_silence(&self.state).await;
                    AttemptOutcome::Silent
                }
            };
            if !self.resume(outcome).await {
                return Some(self.cut_off(outcome, StreamError::Upstream).await);
            }
        }
    }

    fn is_whole(&self) -> bool {
        self.splitter.end(self.framing.marks_end()) == StreamEnd::Whole
    }

    fn record_part(&mut self, events: &[u8]) {
        if self.binding == Binding::Unbound {
            self.bind();
        }
        self.events += 1;
        let now = self.state.now();
        let pause = now.since(self.last.unwrap_or(now));
        self.longest_pause = self.longest_pause.max(pause);
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.attempt.record_progress(events);
        // An upstream that sends events has read its inputs. Results take much storage; a
        // stream that resumes on another upstream has its stages run again.
        self.results.release();
    }

    /// Binds the stream to the software version of the upstream that begins it, and records its
    /// origin for the instances at which its caller may resume it.
    fn bind(&mut self) {
        if self.request.route().retry_mode != RetryMode::Resumable {
            return;
        }
        let told = self.attempt.software().cloned();
        let required = self.retries.software.take();
        if required.is_none() {
            self.beginning = self.attempt.beginning();
        }
        let software = told.or(required).or_else(|| self.only_version());
        let is_certain = software.is_some() && !self.attempt.is_version_uncertain();
        self.binding = match is_certain {
            true => Binding::Bound,
            false => Binding::Uncertain,
        };
        if software.is_some() {
            self.record_origin(software.clone().filter(|_| is_certain));
        }
        self.retries.software = software;
    }

    /// True if the events so far are of the version that the stream is bound to.
    async fn is_version_certain(&self) -> bool {
        if self.attempt.is_version_uncertain() {
            return false;
        }
        match (&self.beginning, &self.retries.software) {
            (Some(beginning), Some(software)) => {
                let service = &self.request.service;
                version_check::is_certain(&self.state, service, beginning, software).await
            }
            _ => true,
        }
    }

    /// The version of all upstreams of the service, if they have provably had the same one lately.
    fn only_version(&self) -> Option<SoftwareVersion> {
        let age = self.request.max_stream_age();
        let known = self.state.known_versions(&self.request.service, age);
        known.only().cloned()
    }

    fn record_origin(&self, software: Option<SoftwareVersion>) {
        let Ok(id) = StreamId::try_from(self.request.id()) else {
            return;
        };
        let request = &self.request;
        let origin = StreamOrigin {
            service: request.service.clone(),
            customer: request.customer.clone(),
            software,
            beginning: self.beginning.clone(),
        };
        let until = request.arrived + request.max_stream_age();
        self.state.streams.record(&self.state, id, origin, until);
    }

    fn finish(mut self) -> Option<(Result<Bytes, BodyError>, EventStream)> {
        self.attempt.record_end(StatusCode::OK, self.framing);
        self.attempt.finish(AttemptOutcome::Answered);
        self.response = None;
        self.state.metrics.stream_end(self.framing.as_str());
        let took = self.state.now().since(self.request.arrived);
        let first = self.first.map(|at| at.since(self.request.arrived));
        let tokens = self.request.head.prompt.as_ref().map(|p| p.tokens_in);
        log::info!(
            request = self.request.id(),
            route = self.request.route().name.as_str(),
            upstream = self.attempt.id(),
            tokens:? = tokens,
            parts = self.events,
            first_ms:? = first.map(|d| d.as_millis() as u64),
            pause_ms = self.longest_pause.as_millis() as u64,
            framing = self.framing.as_str(),
            partial_bytes = self.splitter.partial_bytes(),
            ms = took.as_millis() as u64;
            "stream ended"
        );
        let rest = self.splitter.take_remaining();
        (!rest.is_empty()).then_some((Ok(rest), self))
    }

    async fn cut_off(
        mut self,
        outcome: AttemptOutcome,
        why: StreamError,
    ) -> (Result<Bytes, BodyError>, EventStream) {
        self.attempt.finish(outcome);
        self.response = None;
        self.state
            .metrics
            .request("cut-off", self.state.now().since(self.request.arrived));
        log::warn!(
            request = self.request.id(),
            content:% = self.request.contents.request,
            upstream = self.attempt.id(),
            outcome = outcome.as_str(),
            parts = self.events,
            last_event:? = self.splitter.last_event(),
            framing = self.framing.as_str(),
            partial_bytes = self.splitter.partial_bytes(),
            ms = self.state.now().since(self.request.arrived).as_millis() as u64;
            "stream cut off"
        );
        // Let events that are written but not yet sent reach the caller before the connection
        // is dropped: the caller may resume after the last of them.
        future::yield_now().await;
        (Err(Box::new(why)), self)
    }

    fn may_resume(&mut self) -> bool {
        self.binding != Binding::Uncertain
            && self.retries.tried.len() < MAX_ATTEMPTS
            && self.retries.runs_left(&self.state, &self.request) > 0
    }

    /// True if the stream is not waited for until its deadline when it is silent, because it may
    /// resume here or at the instance that forwarded its request.
    fn may_move_on(&self) -> bool {
        self.binding != Binding::Uncertain
            && self.retries.tried.len() < MAX_ATTEMPTS
            && self.retries.may_move_on()
    }

    /// Resumes on another upstream after the last complete event. Returns false if that is not
    /// allowed or not possible.
    async fn resume(&mut self, outcome: AttemptOutcome) -> bool {
        self.response = None;
        self.attempt.finish(outcome);
        if self.binding == Binding::Bound && !self.is_version_certain().await {
            self.binding = Binding::Uncertain;
            self.record_origin(None);
        }
        let mut is_unreachable = false;
        while self.may_resume() && (is_unreachable || self.may_retry()) {
            self.retries.forward_only = self.state.forwards.is_due(&self.state, &self.request);
            match self.retries.forward_only {
                true => self.results = self.stages.no_results(),
                false => match self.stages.run_to_resume(&self.request).await {
                    Ok(results) => self.results = results,
                    Err(_) => return false,
                },
            }
            let last = self.splitter.last_event().or(self.request.head.last_event);
            match self.send_to_next(last).await {
                Ok(response) if response.head.status.is_success() => {
                    log::info!(
                        request = self.request.id(),
                        content:% = self.request.contents.request,
                        upstream = response.attempt.id(),
                        software:? = response.attempt.software().map(SoftwareVersion::as_str),
                        last_event:? = last;
                        "stream resumed on another upstream"
                    );
                    self.splitter.begin_response();
                    self.framing = response.http.framing;
                    self.response = Some(response.http);
                    self.attempt = response.attempt;
                    return true;
                }
                Err(NextSendError::Refused(_)) => return false,
                Err(NextSendError::Failed(f)) => is_unreachable = f.is_unreachable(),
                Ok(_) => is_unreachable = false,
            }
        }
        false
    }

    fn may_retry(&self) -> bool {
        self.state.may_retry(&self.request.service)
    }

    async fn send_to_next(&mut self, last: Option<u64>) -> Result<UpstreamResponse, NextSendError> {
        let inputs = self.results.handles();
        let (state, request, retries) = (&self.state, &self.request, &mut self.retries);
        let timeout = |_| request.time_left(state.now());
        send_to_next_upstream(state, request, retries, inputs, last, timeout, || {}).await
    }
}
