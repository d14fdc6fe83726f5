//! Requests with one answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::FutureExt;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use jd_net::Body;
use jd_net::SendError;
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
use crate::state::State;
use crate::upstream_selection::NextSendError;
use crate::upstream_selection::RetryState;
use crate::upstream_selection::backoff_retry_after;
use crate::upstream_selection::send_to_next_upstream;

/// The largest answer that is held in memory, in bytes.
const MAX_ANSWER: usize = 8 << 20;
/// Upstreams that one request is offered to, those that proved that they did
/// nothing included.
const MAX_OFFERS: usize = 4;
/// When to come back after every upstream was full: about one answer later.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Runs a request with one answer.
pub(crate) async fn run(
    state: &Arc<State>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let mut retries = RetryState::new(FULL_PAUSE);
    // An upstream's own failure, in case nothing better comes.
    let mut failed: Option<Whole> = None;
    state.record_first_send(&request.service);
    loop {
        let patience = |runs| patience(&request, state.now(), runs);
        let sending =
            send_to_next_upstream(state, &request, &mut retries, &[], None, patience, || {});
        let sent = match (sending.await, failed.take()) {
            (Ok(answer), kept) => {
                failed = kept;
                Ok(answer)
            }
            (Err(NextSendError::Failed(failure)), kept) => {
                failed = kept;
                Err(failure)
            }
            (Err(NextSendError::Refused(_)), Some(whole)) => {
                return Ok(pass_on(state, &request, whole));
            }
            (Err(NextSendError::Refused(refusal)), None) => return Err(refusal),
        };
        let ended = match sent {
            Ok(answer) => read_whole(state, &request, answer).await,
            Err(failure) => Err(failure),
        };
        let failure = match ended {
            Ok(whole) if !whole.status.is_server_error() => {
                return Ok(pass_on(state, &request, whole));
            }
            Ok(whole) => {
                failed = Some(whole);
                None
            }
            Err(failure) => Some(failure),
        };
        let proved = failure
            .as_ref()
            .is_some_and(|f| f.outcome.run_state() == RunState::NotRun);
        retries.possible_runs += u32::from(!proved);
        let runs = retries.possible_runs;
        let allowed = match request.route().retry_mode {
            _ if proved => retries.tried.len() < MAX_OFFERS,
            RetryMode::Idempotent => runs < request.route().max_attempts,
            _ => false,
        };
        if allowed && state.may_retry(&request.service) {
            continue;
        }
        return match (failed, failure) {
            (Some(whole), _) => Ok(pass_on(state, &request, whole)),
            (None, Some(f)) => Err(no_more(
                state,
                &request,
                runs,
                kind_of(&f),
                f.detail.as_str(),
            )),
            (None, None) => {
                let kind = RefusalKind::UpstreamFailed;
                Err(no_more(state, &request, runs, kind, "no answer"))
            }
        };
    }
}

/// An upstream's answer, read whole.
#[derive(Debug)]
struct Whole {
    upstream: CompactString,
    /// When it was sent there, in milliseconds after it had come.
    sent_ms: u64,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Reads the answer whole before a byte of it is passed on, so that one that is
/// cut off can be tried again or become an honest failure.
async fn read_whole(
    state: &State,
    request: &CallerRequest,
    answer: UpstreamResponse,
) -> Result<Whole, AttemptFailure> {
    let UpstreamResponse {
        head,
        response,
        mut attempt,
    } = answer;
    let headers = state.dialect.caller_headers(&response.headers);
    let left = request.time_left(state.now());
    let over = async {
        attempt.until_restarted().await;
        Some(Err(SendError::Broken))
    };
    let read = with_timeout(left, response.read_all(MAX_ANSWER))
        .or(over)
        .await;
    let (outcome, detail) = match read {
        Some(Ok(body)) => {
            attempt.mark_completed();
            attempt.finish(match head.status.is_server_error() {
                true => AttemptOutcome::Failed,
                false => AttemptOutcome::Answered,
            });
            return Ok(Whole {
                upstream: attempt.id().into(),
                sent_ms: attempt.sent_ms(request),
                status: head.status,
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

fn pass_on(state: &State, request: &CallerRequest, whole: Whole) -> Response<Body> {
    let took = state.now().since(request.arrived);
    state.metrics.request("answered", took);
    log::info!(
        request = request.id(),
            content:% = request.content,
        route = request.route().name.as_str(),
        upstream = whole.upstream.as_str(),
        status = whole.status.as_u16(),
        config = request.router.version,
        sent_ms = whole.sent_ms,
        ms = took.as_millis() as u64;
        "answered"
    );
    let mut res = Response::new(jd_net::full(whole.body));
    *res.status_mut() = whole.status;
    *res.headers_mut() = whole.headers;
    res
}

/// How long to wait for an upstream. What may run again leaves half of its time
/// for that; what may not waits as long as its caller does.
fn patience(request: &CallerRequest, now: jd_types::MonoTime, runs: u32) -> Duration {
    let left = request.time_left(now);
    let repeats = request.route().retry_mode == RetryMode::Idempotent
        && runs + 1 < request.route().max_attempts;
    match repeats {
        true => left / 2,
        false => left,
    }
}

fn kind_of(failure: &AttemptFailure) -> RefusalKind {
    match failure.outcome {
        AttemptOutcome::NotRun | AttemptOutcome::Unreachable => RefusalKind::Overloaded,
        AttemptOutcome::TimedOut | AttemptOutcome::Silent => RefusalKind::DeadlinePassed,
        _ => RefusalKind::UpstreamFailed,
    }
}

/// The refusal of what will not be tried again. It says that nothing ran only
/// if every send proved so.
fn no_more(
    state: &State,
    request: &CallerRequest,
    runs: u32,
    kind: RefusalKind,
    detail: &str,
) -> Refusal {
    match (runs, kind) {
        (0, RefusalKind::DeadlinePassed) => over(0, detail),
        (0, kind) => {
            let wait = backoff_retry_after(state, &request.service);
            Refusal::not_run(kind, detail).with_retry_after(wait.unwrap_or(FULL_PAUSE))
        }
        (_, RefusalKind::DeadlinePassed) => over(runs, detail),
        _ => may_have_run(RefusalKind::UpstreamFailed, detail),
    }
}

fn over(runs: u32, detail: &str) -> Refusal {
    match runs {
        0 => Refusal::not_run(RefusalKind::WouldMiss, detail),
        _ => may_have_run(RefusalKind::DeadlinePassed, detail),
    }
}
