//! Requests whose response is a stream of events.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::stream::unfold;
use http::Response;
use http::Version;
use jd_net::Body;
use jd_net::with_timeout;
use jd_serving::ResumeError;
use jd_serving::SoftwareVersion;
use jd_serving::StreamId;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::event_stream::EventStream;
use crate::forwarded_from;
use crate::placed_prompt::PlacedPrompt;
use crate::retry_state::RetryState;
use crate::signal::Signal;
use crate::stage_results::StageResults;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::upstream_selection::NextSendError;
use crate::upstream_selection::backoff_retry_after;
use crate::upstream_selection::reserve_upstream;
use crate::upstream_selection::send_to_next_upstream;

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
/// How long an upstream may take to begin a response that another upstream could also give.
/// Several times the time to read the longest prompts.
const RESPONSE_START_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Runs a request whose response is a stream: first its stages, then the request itself.
pub(crate) async fn run(
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let mut retries = RetryState::new(&request, FULL_RETRY);
    retries.software = resumed_version(state, &request, retries.software).await?;
    retries.forward_only = state.forwards.is_due(state, &request);
    let mut results = match retries.forward_only {
        true => stages.no_results(),
        false => {
            // The upstream that resumes a stream is checked right before the send.
            if request.has_stages() && retries.software.is_none() {
                reserve_upstream(state, &request, &mut retries).await?;
            }
            match stages.run(&request).await {
                Ok(results) => results,
                // This instance owned the stages, and has lost its path meanwhile.
                Err(_) if state.forwards.is_due(state, &request) => {
                    retries.forward_only = true;
                    stages.no_results()
                }
                Err(refusal) => return Err(retries.after_runs(refusal)),
            }
        }
    };
    retries.placed = PlacedPrompt::new(results.take_placement());
    let mut stages_rerun = false;
    loop {
        if retries.forward_only && !state.path.is_lost() {
            retries.forward_only = false;
            let rerun = stages.run_again(&request).await;
            results = rerun.map_err(|refusal| retries.after_runs(refusal))?;
        }
        let last = request.head.last_event;
        let request_written = Signal::new();
        let handles = results.handles();
        let timeout = |may_move_on| attempt_timeout(&request, state, may_move_on);
        let on_write = || request_written.notify();
        let sending = send_to_next_upstream(
            state,
            &request,
            &mut retries,
            handles,
            last,
            timeout,
            on_write,
        );
        let sent = sending
            .or(results.release_when_read(&request_written))
            .await;
        let failure = match sent {
            Ok(response) => {
                return begin_response(state, stages, request, response, results, retries).await;
            }
            Err(NextSendError::Refused(refusal)) => return Err(refusal),
            Err(NextSendError::Failed(failure)) => failure,
        };
        let runs = retries.possible_runs();
        if failure.inputs_gone && !stages_rerun {
            stages_rerun = true;
            retries.tried.pop();
            let rerun = stages.run_again(&request).await;
            results = rerun.map_err(|refusal| retries.after_runs(refusal))?;
            continue;
        }
        let retryable = match failure.is_not_run() {
            true => retries.tried.len() < MAX_ATTEMPTS,
            false => retries.runs_left(state, &request) > 0,
        };
        let may_retry = failure.is_unreachable() || state.may_retry(&request.service);
        if !retryable || !may_retry {
            return Err(final_refusal(state, &request, runs, &failure));
        }
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
            Err(e @ ResumeError::OriginNotRead) => {
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
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    request: CallerRequest,
    response: UpstreamResponse,
    results: StageResults,
    retries: RetryState,
) -> Result<Response<Body>, Refusal> {
    let mut headers = state.dialect.caller_headers(&response.http.headers);
    if let (Some(_), Some(software)) = (&request.forwarded, response.attempt.software()) {
        forwarded_from::write_software(&mut headers, software);
        forwarded_from::write_start(&mut headers, response.attempt.start());
    }
    let status = response.head.status;
    let version = request.parts.version;
    let took = state.now().since(request.arrived);
    log::info!(
        request = request.id(),
            content:% = request.contents.request,
        route = request.route().name.as_str(),
        upstream = response.attempt.id(),
        software:? = response.attempt.software().map(SoftwareVersion::as_str),
        resumes:? = request.head.resumes.as_ref().map(StreamId::as_str),
        last_event:? = request.head.last_event,
        status = status.as_u16(),
        config = request.router.version,
        attempts = retries.tried.len(),
        sent_ms = response.attempt.sent_ms(&request),
        ms = took.as_millis() as u64;
        "answer began"
    );
    let body = match status.is_success() {
        true => {
            state.metrics.request("answered", took);
            let events = EventStream::new(state, stages, request, response, results, retries);
            let body = jd_net::stream(unfold(events, EventStream::next));
            match version {
                Version::HTTP_11 | Version::HTTP_2 => body,
                _ => read_whole(body).await?,
            }
        }
        false => {
            state.metrics.request("failed", took);
            error_body(state, &request, response).await?
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    Ok(res)
}

/// The whole body of a stream. Without chunks, as in HTTP/1.0, only a length shows the caller that
/// something is missing.
async fn read_whole(body: Body) -> Result<Body, Refusal> {
    let read = jd_net::read_bounded(body, MAX_UNCHUNKED_STREAM).await;
    let detail = "the stream broke off; ask again in HTTP/1.1 to receive it in parts";
    read.map(jd_net::full)
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
    let read = with_timeout(left, response.http.read_all(MAX_ERROR_BODY)).await;
    if let Some(Ok(_)) = &read {
        attempt.record_end(response.head.status, framing);
    }
    attempt.finish(AttemptOutcome::Failed);
    match read {
        Some(Ok(body)) => Ok(jd_net::full(body)),
        _ => {
            let detail = "the upstream failed and its answer was cut off";
            Err(may_have_run(RefusalKind::UpstreamFailed, detail))
        }
    }
}

fn attempt_timeout(request: &CallerRequest, state: &State, may_move_on: bool) -> Duration {
    let left = request.time_left(state.now());
    match may_move_on {
        true => left.min(RESPONSE_START_TIMEOUT),
        false => left,
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
