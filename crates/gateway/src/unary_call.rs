//! Requests with a single, complete response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::FutureExt;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use jd_net::Body;
use jd_net::BodyFraming;
use jd_net::SendError;
use jd_net::with_timeout;
use jd_types::AttemptOutcome;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::open_requests::Wait;
use crate::retry_state::RetryState;
use crate::state::State;
use crate::upstream_selection::NextSendError;
use crate::upstream_selection::backoff_retry_after;
use crate::upstream_selection::send_to_next_upstream;

/// The largest response that is held in memory, in bytes.
const MAX_RESPONSE: usize = 8 << 20;
/// The largest number of upstreams that one request is sent to, including those that proved
/// that they did not run it.
const MAX_ATTEMPTS: usize = 4;
/// The retry time if every upstream was full: about the duration of one response.
const FULL_RETRY: Duration = Duration::from_millis(60);

/// Runs a request with a single response, with retries where its route allows them.
pub(crate) async fn run(
    state: &Arc<State>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let mut retries = RetryState::new(&request, FULL_RETRY);
    // An error response of an upstream, passed on if no later attempt succeeds.
    let mut error_response: Option<CompleteResponse> = None;
    loop {
        let timeout = |may_move_on| attempt_timeout(&request, state.now(), may_move_on);
        let sending =
            send_to_next_upstream(state, &request, &mut retries, &[], None, timeout, || {});
        let attempted = match (sending.await, error_response.take()) {
            (Ok(response), kept) => {
                error_response = kept;
                Ok(response)
            }
            (Err(NextSendError::Failed(failure)), kept) => {
                error_response = kept;
                Err(failure)
            }
            (Err(NextSendError::Refused(_)), Some(complete)) => {
                return Ok(pass_on(state, &request, complete));
            }
            (Err(NextSendError::Refused(refusal)), None) => return Err(refusal),
        };
        let result = match attempted {
            Ok(response) => read_complete(state, &request, response).await,
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(complete) if !complete.status.is_server_error() => {
                return Ok(pass_on(state, &request, complete));
            }
            Ok(complete) => {
                error_response = Some(complete);
                None
            }
            Err(failure) => Some(failure),
        };
        let runs = retries.possible_runs();
        let retryable = match failure.as_ref().is_some_and(AttemptFailure::is_not_run) {
            true => retries.tried.len() < MAX_ATTEMPTS,
            false => retries.runs_left(state, &request) > 0,
        };
        let is_unreachable = failure.as_ref().is_some_and(AttemptFailure::is_unreachable);
        if retryable && (is_unreachable || state.may_retry(&request.service)) {
            continue;
        }
        return match (error_response, failure) {
            (Some(complete), _) => Ok(pass_on(state, &request, complete)),
            (None, Some(f)) => Err(final_refusal(
                state,
                &request,
                runs,
                refusal_kind(&f),
                f.detail.as_str(),
            )),
            (None, None) => {
                let kind = RefusalKind::UpstreamFailed;
                Err(final_refusal(state, &request, runs, kind, "no answer"))
            }
        };
    }
}

/// A complete response of an upstream.
#[derive(Debug)]
struct CompleteResponse {
    upstream: CompactString,
    /// The time from the arrival of the request to the attempt, in milliseconds.
    sent_ms: u64,
    status: StatusCode,
    /// How the upstream marked the end of the body.
    framing: BodyFraming,
    headers: HeaderMap,
    body: Bytes,
}

/// Reads the whole response before any of it is passed on, so that after a truncated response
/// the request can be retried or refused with a correct status.
async fn read_complete(
    state: &State,
    request: &CallerRequest,
    response: UpstreamResponse,
) -> Result<CompleteResponse, AttemptFailure> {
    let UpstreamResponse {
        head,
        http,
        mut attempt,
    } = response;
    let headers = state.dialect.caller_headers(&http.headers);
    let framing = http.framing;
    request
        .in_flight
        .waits_for(Wait::ResponseBody, attempt.id());
    let left = request.time_left(state.now());
    let restarted = async {
        attempt.until_restarted().await;
        Some(Err(SendError::Broken))
    };
    let read = with_timeout(left, http.read_all(MAX_RESPONSE))
        .or(restarted)
        .await;
    let (outcome, detail) = match read {
        Some(Ok(body)) => {
            attempt.record_end(head.status, framing);
            attempt.finish(match head.status.is_server_error() {
                true => AttemptOutcome::Failed,
                false => AttemptOutcome::Answered,
            });
            return Ok(CompleteResponse {
                upstream: attempt.id().into(),
                sent_ms: attempt.sent_ms(request),
                status: head.status,
                framing,
                headers,
                body,
            });
        }
        Some(Err(_)) => {
            attempt.report_broken();
            (AttemptOutcome::Truncated, "the answer was cut off")
        }
        None => (AttemptOutcome::TimedOut, "the answer did not end in time"),
    };
    attempt.finish(outcome);
    Err(AttemptFailure {
        outcome,
        detail: detail.into(),
        inputs_gone: false,
        withheld: false,
    })
}

fn pass_on(state: &State, request: &CallerRequest, complete: CompleteResponse) -> Response<Body> {
    let took = state.now().since(request.arrived);
    state.metrics.request("answered", took);
    log::info!(
        request = request.id(),
            content:% = request.contents.request,
        route = request.route().name.as_str(),
        upstream = complete.upstream.as_str(),
        status = complete.status.as_u16(),
        framing = complete.framing.as_str(),
        config = request.router.version,
        sent_ms = complete.sent_ms,
        ms = took.as_millis() as u64;
        "answered"
    );
    let mut res = Response::new(jd_net::full(complete.body));
    *res.status_mut() = complete.status;
    *res.headers_mut() = complete.headers;
    res
}

/// How long to wait for an upstream: half of the time left if the request may be retried
/// after that, and all of it otherwise.
fn attempt_timeout(request: &CallerRequest, now: MonoTime, may_move_on: bool) -> Duration {
    let left = request.time_left(now);
    match may_move_on {
        true => left / 2,
        false => left,
    }
}

fn refusal_kind(failure: &AttemptFailure) -> RefusalKind {
    match failure.outcome {
        AttemptOutcome::NotRun | AttemptOutcome::Unreachable => RefusalKind::Overloaded,
        AttemptOutcome::TimedOut | AttemptOutcome::Silent => RefusalKind::DeadlinePassed,
        _ => RefusalKind::UpstreamFailed,
    }
}

/// The refusal of a request that is not retried any more. It says that the request did not
/// run only if every attempt proved that.
fn final_refusal(
    state: &State,
    request: &CallerRequest,
    runs: u32,
    kind: RefusalKind,
    detail: &str,
) -> Refusal {
    match (runs, kind) {
        (0, RefusalKind::DeadlinePassed) => deadline_refusal(0, detail),
        (0, kind) => {
            let wait = backoff_retry_after(state, &request.service);
            Refusal::not_run(kind, detail).with_retry_after(wait.unwrap_or(FULL_RETRY))
        }
        (_, RefusalKind::DeadlinePassed) => deadline_refusal(runs, detail),
        _ => may_have_run(RefusalKind::UpstreamFailed, detail),
    }
}

fn deadline_refusal(runs: u32, detail: &str) -> Refusal {
    match runs {
        0 => Refusal::not_run(RefusalKind::WouldMiss, detail),
        _ => may_have_run(RefusalKind::DeadlinePassed, detail),
    }
}
