//! Requests whose answer is a stream of events.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::stream::unfold;
use http::Response;
use jd_net::Body;
use jd_net::with_timeout;
use jd_serving::RetryMode;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::event_stream::EventStream;
use crate::signal::Signal;
use crate::stage_runner::StageResults;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::upstream_selection::NextSendError;
use crate::upstream_selection::RetryState;
use crate::upstream_selection::backoff_retry_after;
use crate::upstream_selection::reserve_upstream;
use crate::upstream_selection::send_to_next_upstream;

/// Upstreams that one request is offered to, those that proved that they did
/// nothing included.
const MAX_OFFERS: usize = 4;
/// When to come back after every upstream was full.
const FULL_PAUSE: Duration = Duration::from_millis(500);
/// The largest failure of an upstream that is passed on, in bytes.
const MAX_FAILURE: usize = 1 << 20;
/// How long an upstream may take to begin an answer that another could begin
/// as well. Several times what the longest prompts of the users take to read.
const BEGIN_WITHIN: Duration = Duration::from_millis(2_500);

/// Runs a request whose answer is a stream: its stages, then the request.
pub(crate) async fn run(
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let mut retries = RetryState::new(FULL_PAUSE);
    if request.has_stages() {
        reserve_upstream(state, &request, &mut retries).await?;
    }
    let mut results = stages.run(&request).await?;
    let mut stages_repeated = false;
    state.record_first_send(&request.service);
    loop {
        let last = request.head.last_event;
        let written = Signal::new();
        let handles = results.handles();
        let patience = |runs| patience(&request, state, runs);
        let note = || written.notify();
        let sending =
            send_to_next_upstream(state, &request, &mut retries, handles, last, patience, note);
        let sent = sending.or(results.release_when_read(&written)).await;
        let failure = match sent {
            Ok(answer) => {
                retries.possible_runs += 1;
                return begin(state, stages, request, answer, results, retries).await;
            }
            Err(NextSendError::Refused(refusal)) => return Err(refusal),
            Err(NextSendError::Failed(failure)) => failure,
        };
        let proved = failure.outcome.run_state() == RunState::NotRun;
        retries.possible_runs += u32::from(!proved);
        let runs = retries.possible_runs;
        if failure.inputs_gone && !stages_repeated {
            stages_repeated = true;
            retries.tried.pop();
            let again = stages.run(&request).await;
            results = again.map_err(|refusal| after_runs(runs, refusal))?;
            continue;
        }
        let allowed = match request.route().retry_mode {
            _ if proved => retries.tried.len() < MAX_OFFERS,
            RetryMode::Resumable => runs < request.route().max_attempts,
            _ => false,
        };
        if !allowed || !state.may_retry(&request.service) {
            return Err(no_more(state, &request, runs, &failure));
        }
    }
}

async fn begin(
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    request: CallerRequest,
    answer: UpstreamResponse,
    results: StageResults,
    retries: RetryState,
) -> Result<Response<Body>, Refusal> {
    let headers = state.dialect.caller_headers(&answer.response.headers);
    let status = answer.head.status;
    let took = state.now().since(request.arrived);
    log::info!(
        request = request.id(),
            content:% = request.content,
        route = request.route().name.as_str(),
        upstream = answer.attempt.id(),
        status = status.as_u16(),
        config = request.router.version,
        attempts = retries.tried.len(),
        sent_ms = answer.attempt.sent_ms(&request),
        ms = took.as_millis() as u64;
        "answer began"
    );
    let body = match status.is_success() {
        true => {
            state.metrics.request("answered", took);
            let events = EventStream::new(state, stages, request, answer, results, retries);
            jd_net::stream(unfold(events, EventStream::next))
        }
        false => {
            state.metrics.request("failed", took);
            failure_body(state, &request, answer).await?
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    Ok(res)
}

async fn failure_body(
    state: &State,
    request: &CallerRequest,
    answer: UpstreamResponse,
) -> Result<Body, Refusal> {
    let mut attempt = answer.attempt;
    let left = request.time_left(state.now());
    let read = with_timeout(left, answer.response.read_all(MAX_FAILURE)).await;
    if let Some(Ok(_)) = &read {
        attempt.mark_completed();
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

/// A refusal as it is once something may have run: it must not say otherwise.
fn after_runs(runs: u32, refusal: Refusal) -> Refusal {
    match runs {
        0 => refusal,
        _ => may_have_run(RefusalKind::UpstreamFailed, refusal.detail),
    }
}

fn patience(request: &CallerRequest, state: &State, runs: u32) -> Duration {
    let left = request.time_left(state.now());
    let repeats = request.route().retry_mode == RetryMode::Resumable
        && runs + 1 < request.route().max_attempts;
    match repeats {
        true => left.min(BEGIN_WITHIN),
        false => left,
    }
}

fn no_more(state: &State, request: &CallerRequest, runs: u32, failure: &AttemptFailure) -> Refusal {
    let detail = failure.detail.as_str();
    match (runs, failure.outcome) {
        (0, _) => {
            let wait = backoff_retry_after(state, &request.service);
            Refusal::not_run(RefusalKind::Overloaded, detail)
                .with_retry_after(wait.unwrap_or(FULL_PAUSE))
        }
        (_, AttemptOutcome::Silent | AttemptOutcome::TimedOut) => {
            may_have_run(RefusalKind::DeadlinePassed, detail)
        }
        _ => may_have_run(RefusalKind::UpstreamFailed, detail),
    }
}
