//! Requests whose response is a stream of events.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::stream::unfold;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::Version;
use jd_net::AnswerMemory;
use jd_net::Body;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::AttemptDecision;
use jd_serving::EventOrder;
use jd_serving::Evidence;
use jd_serving::ResumeError;
use jd_serving::RetryMode;
use jd_serving::SoftwareVersion;
use jd_serving::StreamId;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::attempt::failure;
use crate::attempts::AttemptContext;
use crate::attempts::Attempts;
use crate::attempts::log_beside;
use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::event_stream::EventStream;
use crate::forwarded_from;
use crate::held_answer::read_body;
use crate::open_requests::Wait;
use crate::placed_prompt::PlacedPrompt;
use crate::retry_counts::Payment;
use crate::retry_state::RetryState;
use crate::stage_results::StageResults;
use crate::stage_runner::StageRun;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::stream_attempt::Begun;
use crate::stream_attempt::Ended;
use crate::stream_attempt::StreamAttempt;
use crate::stream_response::StreamResponse;
use crate::upstream_selection::backoff_retry_after;
use crate::upstream_selection::reserve_upstream;

/// The largest number of upstreams that one request is sent to, including those that proved
/// that they did not run it.
const MAX_ATTEMPTS: usize = 4;
/// The retry time if every upstream was full.
const FULL_RETRY: Duration = Duration::from_millis(500);
/// The largest error response of an upstream that is passed on, in bytes.
const MAX_ERROR_BODY: usize = 1 << 20;
/// The largest stream that is sent with a length, to callers that cannot read chunks, in bytes. It
/// is held in memory, like a plain response.
const MAX_UNCHUNKED_STREAM: usize = 8 << 20;
/// Runs a request whose response is a stream: first its stages, then the request itself. While an
/// upstream is silent, another one is tried beside it, and the first to begin its answer counts.
pub(crate) async fn run(
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let mut retries = RetryState::new(&request, FULL_RETRY);
    retries.software = resumed_version(state, &request, retries.software).await?;
    let results = run_stages(state, stages, &request, &mut retries).await?;
    let call = StreamingCall {
        cx: AttemptContext::new(state, request, retries),
        stages: Arc::clone(stages),
        attempts: Attempts::new(),
        results: Some(results),
        stages_rerun: false,
        failure: None,
    };
    call.run().await
}

/// Runs the stages of a request, or leaves them to another instance.
async fn run_stages(
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    request: &CallerRequest,
    retries: &mut RetryState,
) -> Result<StageResults, Refusal> {
    if state.forwards.is_due(state, request) {
        return Ok(stages.no_results());
    }
    // The upstream that resumes a stream is checked right before the send.
    if request.has_stages() && retries.software.is_none() {
        reserve_upstream(state, request, retries).await?;
    }
    match stages.run(request).await {
        Ok(mut results) => {
            retries.placed = PlacedPrompt::new(results.take_placement());
            Ok(results)
        }
        // This instance owned the stages, and has lost its path meanwhile.
        Err(_) if state.forwards.is_due(state, request) => Ok(stages.no_results()),
        Err(refusal) => Err(retries.after_runs(refusal)),
    }
}

/// A request whose response has not begun.
struct StreamingCall {
    cx: AttemptContext,
    stages: Arc<StageRunner>,
    attempts: Attempts<Ended>,
    /// Stage results that no attempt uses; none if the stages have to run again.
    results: Option<StageResults>,
    /// True once the stages ran again because their results were gone.
    stages_rerun: bool,
    /// The latest failure.
    failure: Option<AttemptFailure>,
}

impl StreamingCall {
    async fn run(mut self) -> Result<Response<Body>, Refusal> {
        if let Some(payment) = self.cx.pay() {
            self.begin(payment);
        }
        loop {
            let left = self.cx.time_left();
            let may_run = || self.cx.may_run(MAX_ATTEMPTS);
            match self.attempts.decide(&self.cx.state, None, may_run, left) {
                AttemptDecision::End => return Err(self.into_refusal()),
                AttemptDecision::Attempt(evidence) => {
                    if !self.try_begin(evidence) && self.attempts.is_empty() {
                        return Err(self.into_refusal());
                    }
                }
                AttemptDecision::Wait(limit) => {
                    match with_timeout(limit, self.attempts.next_ended()).await {
                        None => self.attempts.check_path_in_silence(&self.cx, None),
                        Some(ended) => {
                            if let Some(begun) = self.handle(ended)? {
                                return self.begin_response(begun).await;
                            }
                        }
                    }
                }
            }
        }
    }

    /// Begins another attempt if the retry budget allows it.
    fn try_begin(&mut self, evidence: Option<Evidence>) -> bool {
        let state = &self.cx.state;
        let Some(payment) = self.cx.pay() else {
            self.attempts.record_refusal(state.now());
            return false;
        };
        if let Some(evidence) = evidence {
            log_beside(&self.cx, evidence, self.attempts.len());
        }
        self.begin(payment);
        true
    }

    fn begin(&mut self, payment: Payment) {
        let is_path_lost = self.cx.state.path.is_lost();
        let usable = |r: &StageResults| !r.are_skipped() || is_path_lost;
        let clock = Arc::clone(payment.clock());
        let last_event = self.cx.request.head.last_event;
        // On other routes each run is a stream of its own, with numbers of its own.
        let is_resumable = self.cx.request.route().retry_mode == RetryMode::Resumable;
        let attempt = StreamAttempt {
            cx: self.cx.clone(),
            stages: Arc::clone(&self.stages),
            last_event,
            order: EventOrder::default().resumed_after(last_event.filter(|_| is_resumable)),
            results: self.results.take().filter(usable),
            has_begun: false,
            payment,
            run: match self.attempts.is_empty() {
                true => StageRun::Again,
                false => StageRun::Beside,
            },
        };
        self.attempts.begin(clock, attempt.until_head());
    }

    /// Handles the end of an attempt. Returns the response that the caller gets, or the refusal of
    /// the request.
    fn handle(&mut self, ended: Ended) -> Result<Option<Begun>, Refusal> {
        match ended {
            Ended::Head(head) if self.attempts.is_empty() => return Ok(Some(Begun::Head(head))),
            // The others are kept until it has begun.
            Ended::Head(head) => {
                let clock = Arc::clone(&head.clock);
                let begun = head.until_first_event(self.cx.clone());
                self.attempts.begin(clock, begun);
            }
            Ended::Begun(begun) => return Ok(Some(Begun::Event(begun))),
            Ended::Refused(refusal) if self.attempts.is_empty() => {
                return Err(lock(&self.cx.retries).after_runs(refusal));
            }
            Ended::Refused(_) | Ended::VersionUncertain => {
                self.attempts.record_refusal(self.cx.state.now());
            }
            Ended::Failed(failure, results) => self.record_failure(failure, results),
        }
        Ok(None)
    }

    fn record_failure(&mut self, failure: AttemptFailure, results: Option<StageResults>) {
        if failure.inputs_gone && !std::mem::replace(&mut self.stages_rerun, true) {
            // The upstream may run the request once the results are there again.
            if self.attempts.is_empty() {
                lock(&self.cx.retries).tried.pop();
            }
            return;
        }
        self.attempts.clear_refusals();
        self.results = results;
        self.failure = Some(failure);
    }

    fn into_refusal(self) -> Refusal {
        let runs = lock(&self.cx.retries).possible_runs();
        let no_answer = || failure(AttemptOutcome::Silent, "no answer in time");
        let failure = self.failure.unwrap_or_else(no_answer);
        final_refusal(&self.cx.state, &self.cx.request, runs, &failure)
    }

    async fn begin_response(self, begun: Begun) -> Result<Response<Body>, Refusal> {
        begin_response(self.cx, self.stages, begun).await
    }
}

/// The software version at which a stream has to resume that its caller takes up; none for a new
/// stream. Refuses the request before its stages if no upstream has that version, or if it is not
/// known.
async fn resumed_version(
    state: &State,
    request: &CallerRequest,
    told: Option<SoftwareVersion>,
) -> Result<Option<SoftwareVersion>, Refusal> {
    let refusal = |detail| Refusal::not_run(RefusalKind::NoUpstream, detail);
    let software = match told {
        Some(software) => software,
        None => match find_version(state, request).await {
            Ok(Some(software)) => software,
            Ok(None) => return Ok(None),
            Err(e) if e.is_temporary() => {
                return Err(refusal(e.detail()).with_retry_after(FULL_RETRY));
            }
            // Another attempt would get the same answer.
            Err(e) => return Err(refusal(e.detail())),
        },
    };
    match state
        .upstreams
        .load()
        .has_version(&request.service, &software)
    {
        true => Ok(Some(software)),
        false => {
            let detail = "no upstream has the software version that began the stream";
            Err(refusal(detail).with_retry_after(FULL_RETRY))
        }
    }
}

async fn find_version(
    state: &State,
    request: &CallerRequest,
) -> Result<Option<SoftwareVersion>, ResumeError> {
    let head = &request.head;
    let resume_at = |stream| state.streams.resume_at(state, request, stream);
    // An instance of an earlier version of this program forwards the rest of a stream without the
    // version that began it. The stream then has the ID of the request.
    let own = request.forwarded.as_ref().and(head.last_event);
    let own = own.and_then(|_| StreamId::try_from(request.id()).ok());
    if own.is_some()
        && let Ok(software) = resume_at(own.as_ref()).await
    {
        return Ok(Some(software));
    }
    match (&head.resumes, head.last_event) {
        (None, None) => Ok(None),
        (stream, Some(_)) => resume_at(stream.as_ref()).await.map(Some),
        // Without an event to resume after, an unknown stream begins anew.
        (stream, None) => Ok(resume_at(stream.as_ref()).await.ok()),
    }
}

async fn begin_response(
    cx: AttemptContext,
    stages: Arc<StageRunner>,
    begun: Begun,
) -> Result<Response<Body>, Refusal> {
    let (state, request) = (&cx.state, &cx.request);
    let (status, headers, attempt) = begun.parts();
    let mut headers = state.dialect.caller_headers(headers);
    if let (Some(_), Some(software)) = (&request.forwarded, attempt.software()) {
        forwarded_from::write_software(&mut headers, software);
        forwarded_from::write_start(&mut headers, attempt.start());
    }
    let version = request.parts.version;
    let took = state.now().since(request.arrived);
    log::info!(
        request = request.id(),
        content:% = request.contents.request,
        route = request.route().name.as_str(),
        upstream = attempt.id(),
        software:? = attempt.software().map(SoftwareVersion::as_str),
        resumes:? = request.head.resumes.as_ref().map(StreamId::as_str),
        last_event:? = request.head.last_event,
        status = status.as_u16(),
        config = request.router.version,
        attempts = lock(&cx.retries).tried.len(),
        sent_ms = attempt.sent_ms(request),
        ms = took.as_millis() as u64;
        "answer began"
    );
    let outcome = match status.is_success() {
        true => "answered",
        false => "failed",
    };
    state.metrics.request(outcome, took);
    let (response, first) = match begun {
        Begun::Head(head) if !status.is_success() => {
            let body = error_body(state, request, head.response).await?;
            return Ok(response_with(status, headers, body));
        }
        Begun::Head(head) => (StreamResponse::new(request, head), None),
        Begun::Event(begun) => (begun.response, begun.first),
    };
    request.in_flight.waits_for(Wait::Caller, "");
    let memory = Arc::clone(&state.answer_memory);
    let events = EventStream::new(cx, stages, response, first);
    let body = jd_net::stream(unfold(events, EventStream::next));
    let body = match version {
        Version::HTTP_11 | Version::HTTP_2 => body,
        _ => read_whole(&memory, body).await?,
    };
    Ok(response_with(status, headers, body))
}

fn response_with(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

/// The whole body of a stream. Without chunks, as in HTTP/1.0, only a length shows the caller that
/// something is missing.
async fn read_whole(memory: &Arc<AnswerMemory>, body: Body) -> Result<Body, Refusal> {
    let read = read_body(memory, body, MAX_UNCHUNKED_STREAM).await;
    let detail = "the stream broke off; ask again in HTTP/1.1 to receive it in parts";
    read.map(jd_net::segmented)
        .map_err(|_| may_have_run(RefusalKind::UpstreamFailed, detail))
}

async fn error_body(
    state: &State,
    request: &CallerRequest,
    response: UpstreamResponse,
) -> Result<Body, Refusal> {
    let mut attempt = response.attempt;
    let left = request.time_left(state.now());
    let framing = response.http.framing;
    let reading = response.http.read_segments(MAX_ERROR_BODY);
    let read = with_timeout(left, reading).await;
    if let Some(Ok(_)) = &read {
        attempt.record_end(response.head.status, framing);
    }
    attempt.finish(AttemptOutcome::Failed);
    match read {
        Some(Ok(body)) => Ok(jd_net::segmented(body)),
        _ => {
            let detail = "the upstream failed and its answer was cut off";
            Err(may_have_run(RefusalKind::UpstreamFailed, detail))
        }
    }
}

fn final_refusal(
    state: &State,
    request: &CallerRequest,
    runs: u32,
    failure: &AttemptFailure,
) -> Refusal {
    let detail = failure.detail.as_str();
    match (runs, failure.outcome) {
        (0, _) => {
            let wait = backoff_retry_after(state, &request.service);
            Refusal::not_run(RefusalKind::Overloaded, detail)
                .with_retry_after(wait.unwrap_or(FULL_RETRY))
        }
        (_, AttemptOutcome::Silent | AttemptOutcome::TimedOut) => {
            may_have_run(RefusalKind::DeadlinePassed, detail)
        }
        _ => may_have_run(RefusalKind::UpstreamFailed, detail),
    }
}
