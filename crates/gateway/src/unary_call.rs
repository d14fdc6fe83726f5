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
use jd_net::ReadError;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::AttemptDecision;
use jd_serving::EndEvidence;
use jd_serving::ReceivedBody;
use jd_serving::ResponseEnd;
use jd_serving::ResponseRole;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::answer_memory;
use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::attempts::AttemptContext;
use crate::attempts::Attempts;
use crate::attempts::log_beside;
use crate::body_kind;
use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::next_send::NextSend;
use crate::next_send::NextSendError;
use crate::next_send::send_to_next_upstream;
use crate::open_requests::Wait;
use crate::retry_counts::Payment;
use crate::retry_state::RetryState;
use crate::state::State;
use crate::upstream_selection::backoff_retry_after;

/// The largest response that is held in memory, in bytes.
const MAX_RESPONSE: usize = 8 << 20;
/// The largest number of upstreams that one request is sent to, including those that proved
/// that they did not run it.
const MAX_ATTEMPTS: usize = 4;
/// The retry time if every upstream was full: about the duration of one response.
const FULL_RETRY: Duration = Duration::from_millis(60);

/// What became of an attempt.
type Ended = Result<CompleteResponse, NextSendError>;

/// Runs a request with a single response, with retries where its route allows them. While an
/// upstream is silent, another one is tried beside it, and the first complete response counts.
pub(crate) async fn run(
    state: &Arc<State>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let retries = RetryState::new(&request, FULL_RETRY);
    let cx = AttemptContext::new(state, request, retries);
    let mut attempts: Attempts<Ended> = Attempts::new();
    let mut last = LastResult::default();
    if let Some(payment) = cx.pay() {
        begin(&cx, &mut attempts, payment);
    }
    loop {
        let left = cx.time_left();
        match attempts.decide(state, None, || cx.may_run(MAX_ATTEMPTS), left) {
            AttemptDecision::End => return last.into_answer(&cx),
            AttemptDecision::Attempt(evidence) => match cx.pay() {
                Some(payment) => {
                    if let Some(evidence) = evidence {
                        log_beside(&cx, evidence, attempts.len());
                    }
                    begin(&cx, &mut attempts, payment);
                }
                None if attempts.is_empty() => return last.into_answer(&cx),
                None => attempts.record_refusal(state.now()),
            },
            AttemptDecision::Wait(limit) => {
                match with_timeout(limit, attempts.next_ended()).await {
                    None => attempts.check_path_in_silence(&cx, None),
                    Some(Ok(complete)) if !complete.status.is_server_error() => {
                        return Ok(pass_on(state, &cx.request, complete));
                    }
                    Some(Ok(complete)) => last.record_error(complete),
                    Some(Err(NextSendError::Failed(failure))) => {
                        attempts.clear_refusals();
                        last.record_failure(failure);
                    }
                    Some(Err(NextSendError::Refused(refusal))) if attempts.is_empty() => {
                        return last.error_response(&cx).ok_or(refusal);
                    }
                    Some(Err(NextSendError::Refused(_))) => {
                        attempts.record_refusal(state.now());
                    }
                }
            }
        }
    }
}

/// Begins an attempt at the next upstream.
fn begin(cx: &AttemptContext, attempts: &mut Attempts<Ended>, payment: Payment) {
    let clock = Arc::clone(payment.clock());
    let cx = cx.clone();
    attempts.begin(clock, async move {
        let next = NextSend {
            inputs: &[],
            last_event: None,
            forward_only: false,
            on_write: || {},
        };
        let response = send_to_next_upstream(&cx, payment.clock(), next).await?;
        let read = read_complete(&cx.state, &cx.request, response).await;
        read.map_err(NextSendError::Failed)
    });
}

/// The results of the attempts that have ended.
#[derive(Debug, Default)]
struct LastResult {
    /// An error response of an upstream, passed on if no later attempt succeeds.
    error_response: Option<CompleteResponse>,
    /// The latest failure; none if the latest result is an error response.
    failure: Option<AttemptFailure>,
}

impl LastResult {
    fn record_error(&mut self, complete: CompleteResponse) {
        self.error_response = Some(complete);
        self.failure = None;
    }

    fn record_failure(&mut self, failure: AttemptFailure) {
        self.failure = Some(failure);
    }

    fn error_response(&mut self, cx: &AttemptContext) -> Option<Response<Body>> {
        let complete = self.error_response.take()?;
        Some(pass_on(&cx.state, &cx.request, complete))
    }

    /// The answer to a request that is not tried again.
    fn into_answer(mut self, cx: &AttemptContext) -> Result<Response<Body>, Refusal> {
        if let Some(response) = self.error_response(cx) {
            return Ok(response);
        }
        let runs = lock(&cx.retries).possible_runs();
        let (kind, detail) = match &self.failure {
            Some(f) => (refusal_kind(f), f.detail.as_str()),
            None => (RefusalKind::DeadlinePassed, "no answer in time"),
        };
        Err(final_refusal(&cx.state, &cx.request, runs, kind, detail))
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
    body: Vec<Bytes>,
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
        Some(Err(ReadError::Broken))
    };
    let reading = http.read_segments(MAX_RESPONSE);
    let read = with_timeout(left, reading).or(restarted).await;
    let (outcome, detail) = match read {
        Some(Ok(body)) if !judge_end(request, head.status, framing, &body).is_complete() => {
            attempt.report_broken();
            let detail = "the connection ended before the answer began";
            (AttemptOutcome::Truncated, detail)
        }
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
        Some(Err(e @ ReadError::NoRoom)) => {
            answer_memory::log_ended(request.id(), attempt.id(), e);
            (
                AttemptOutcome::Cancelled,
                "no memory is left for the answer",
            )
        }
        Some(Err(e)) => {
            answer_memory::log_ended(request.id(), attempt.id(), e);
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

/// Judges the end of a body that was read without an error. Errors of upstreams are passed on
/// whatever their body holds.
fn judge_end(
    request: &CallerRequest,
    status: StatusCode,
    framing: BodyFraming,
    body: &[Bytes],
) -> ResponseEnd {
    if !status.is_success() {
        return ResponseEnd::Complete;
    }
    let evidence = EndEvidence {
        kind: body_kind::of_single(&request.parts.method, status),
        role: ResponseRole::Beginning,
        is_marked: framing.marks_end(),
        received: match body.is_empty() {
            true => ReceivedBody::Nothing,
            false => ReceivedBody::NoEvent,
        },
    };
    evidence.judge()
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
    let mut res = Response::new(jd_net::segmented(complete.body));
    *res.status_mut() = complete.status;
    *res.headers_mut() = complete.headers;
    res
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
