//! One attempt at a request on one upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;
use http::Request;
use http::StatusCode;
use jd_net::Body;
use jd_net::HttpResponse;
use jd_serving::Evidence;
use jd_types::AttemptOutcome;
use jd_types::RunState;

use crate::ResponseHead;
use crate::UnsendableText;
use crate::UpstreamRequest;
use crate::active_attempt::ActiveAttempt;
use crate::caller_request::CallerRequest;
use crate::open_requests::Wait;
use crate::state::State;
use crate::trials::Trial;
use crate::upstream_client::SendFailure;
use crate::upstream_client::SendPermit;
use crate::upstream_client::SendPurpose;
use crate::upstream_client::Withheld;
use crate::upstream_record::SelectedUpstream;

/// The response of an upstream, whose body is not read yet.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: ResponseHead,
    pub(crate) http: HttpResponse,
    pub(crate) attempt: ActiveAttempt,
}

/// How an attempt ended that brought no response for the caller.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) detail: CompactString,
    /// True if stage results that the request reads are gone.
    pub(crate) inputs_gone: bool,
    /// True if a check of this instance kept the request from being sent.
    pub(crate) withheld: bool,
}

impl AttemptFailure {
    /// True if it is proved that no upstream ran the request.
    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome.run_state() == RunState::NotRun
    }

    /// True if no connection could be opened. Nothing has arrived at the upstream then, so that
    /// another attempt is no retry in the sense of the retry budget.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.outcome == AttemptOutcome::Unreachable
    }
}

/// The failure of an attempt that was sent.
pub(crate) fn failure(outcome: AttemptOutcome, detail: impl Into<CompactString>) -> AttemptFailure {
    AttemptFailure {
        outcome,
        detail: detail.into(),
        inputs_gone: false,
        withheld: false,
    }
}

/// The failure of an attempt that was not sent. It does not count against the upstream.
fn withheld(request: &CallerRequest, upstream: &str, why: Withheld) -> AttemptFailure {
    log::info!(
        request = request.id(),
        upstream = upstream,
        reason = why.reason,
        wait_ms:? = why.retry_after.map(|w| w.as_millis() as u64);
        "attempt withheld"
    );
    AttemptFailure {
        withheld: true,
        ..failure(AttemptOutcome::NotRun, why.reason)
    }
}

/// The failure of an attempt for which there is no request that upstreams would run as it is meant.
fn unsendable(request: &CallerRequest, upstream: &str, error: &UnsendableText) -> AttemptFailure {
    let why = Withheld {
        reason: "a header of it cannot be written",
        retry_after: None,
    };
    let failure = withheld(request, upstream, why);
    AttemptFailure {
        detail: error.to_compact_string(),
        ..failure
    }
}

/// Requests permission to send `request` to `chosen`.
pub(crate) async fn request_permit(
    state: &State,
    request: &CallerRequest,
    chosen: &SelectedUpstream,
) -> Result<SendPermit, AttemptFailure> {
    let purpose = SendPurpose::Request {
        contents: request.contents.clone(),
        priority: request.priority,
        cold: Arc::clone(&chosen.cold),
        stop: request.stop_terms(state),
    };
    let upstream = chosen.upstream_ref(&request.service);
    request.in_flight.waits_for(Wait::Permit, &chosen.id);
    let permit = state.upstream_client.permit(state, upstream, purpose).await;
    permit.map_err(|why| withheld(request, &chosen.id, why))
}

/// An upstream that was selected for a request, with the permission to send to it.
#[derive(Debug)]
pub(crate) struct PermittedSend {
    pub(crate) chosen: SelectedUpstream,
    pub(crate) permit: SendPermit,
    /// The run that may begin, if the request is suspected.
    pub(crate) trial: Option<Arc<Trial>>,
    /// The upstream from which it is to fetch tokens of the prompt.
    pub(crate) fetch_from: Option<SocketAddr>,
}

/// Sends `request` to the selected upstream and waits for the head of the response.
/// Returns the upstream's own response to this request, or a failure whose outcome tells
/// whether the request may have run. `on_write` is called once a connection takes the request.
pub(crate) async fn send(
    state: &Arc<State>,
    request: &CallerRequest,
    permitted: PermittedSend,
    inputs: &[CompactString],
    last_event: Option<u64>,
    on_write: impl Fn(),
) -> Result<UpstreamResponse, AttemptFailure> {
    let PermittedSend {
        chosen,
        permit,
        trial,
        fetch_from,
    } = permitted;
    let id = chosen.id.clone();
    request.in_flight.waits_for(Wait::ResponseHead, &id);
    let mut attempt = ActiveAttempt::begin(state, request, chosen, last_event.is_some());
    attempt.trial = trial;
    let upstream_request = UpstreamRequest {
        upstream: &id,
        timeout: request.time_left(state.now()),
        customer: request.customer.as_deref(),
        priority: request.priority,
        inputs,
        fetch_from,
        last_event,
    };
    let body = request.body.to_http();
    let req = state
        .dialect
        .upstream_request(&request.parts, &upstream_request, body);
    let req = match req {
        Ok(req) => req,
        Err(e) => {
            attempt.finish(AttemptOutcome::Cancelled);
            return Err(unsendable(request, &id, &e));
        }
    };
    let restarted = async {
        attempt.until_restarted().await;
        None
    };
    let timeout = request.time_left(state.now());
    let client = &state.upstream_client;
    // The connection may have taken a while, or the process may have stood still.
    let on_write = |req: &mut Request<Body>| {
        let left = request.time_left(state.now());
        state.dialect.write_time_left(req.headers_mut(), left);
        attempt.record_written();
        on_write();
    };
    let sending = async { Some(client.send(state, permit, req, timeout, on_write).await) };
    if let Some(from) = &request.forwarded {
        // Tells where it ran if this instance ends before the response.
        log::info!(
            request = request.id(),
            upstream = id.as_str(),
            further_runs = from.further_runs;
            "forwarded request sent"
        );
    }
    let sent = sending.or(restarted).await;
    let result = match sent {
        Some(Ok(response)) => validate(state, request, response),
        Some(Err(SendFailure::Withheld(why))) => {
            attempt.finish(AttemptOutcome::Cancelled);
            return Err(withheld(request, &id, why));
        }
        Some(Err(SendFailure::TimedOut)) => {
            Err(failure(AttemptOutcome::Silent, "no answer in time"))
        }
        Some(Err(SendFailure::ConnectFailed)) => Err(failure(
            AttemptOutcome::Unreachable,
            "no connection could be opened",
        )),
        Some(Err(SendFailure::ConnectionLost)) => {
            attempt.report_broken();
            Err(failure(AttemptOutcome::Failed, "the connection broke"))
        }
        Some(Err(SendFailure::InvalidStatus(status))) => Err(failure(
            AttemptOutcome::Failed,
            format_compact!("the answer has the status {status}, which is none"),
        )),
        None => {
            attempt.report_broken();
            Err(failure(AttemptOutcome::Failed, "the upstream restarted"))
        }
    };
    match result {
        Ok((head, response)) => {
            attempt.record_head();
            Ok(UpstreamResponse {
                head,
                http: response,
                attempt,
            })
        }
        Err(failure) => {
            // Missing results are not the fault of the upstream that was to read them, nor is a
            // source that sends nothing the fault of the upstream that was to fetch from it.
            let is_blameless = failure.inputs_gone
                || fetch_from.is_some() && failure.outcome == AttemptOutcome::Silent;
            attempt.finish(match is_blameless {
                true => AttemptOutcome::Cancelled,
                false => failure.outcome,
            });
            log::info!(
                request = request.id(),
                content:% = request.contents.request,
                upstream = id.as_str(),
                sent_ms = attempt.sent_ms(request),
                waited_ms = attempt.age().as_millis() as u64,
                left_ms = request.time_left(state.now()).as_millis() as u64,
                outcome = failure.outcome.as_str(),
                evidence = Evidence::of_outcome(failure.outcome).as_str(),
                run = failure.outcome.run_state().as_str(),
                detail = failure.detail.as_str();
                "attempt failed"
            );
            Err(failure)
        }
    }
}

/// Accepts a response only if it names this request: a duplicate or late response to another
/// request otherwise looks the same, and a refusal of that one proves nothing of this one.
pub(crate) fn validate(
    state: &State,
    request: &CallerRequest,
    response: HttpResponse,
) -> Result<(ResponseHead, HttpResponse), AttemptFailure> {
    let head = state
        .dialect
        .response_head(response.status, &response.headers);
    let names_request = head.request_id.as_deref() == request.head.request_id.as_deref();
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    match head {
        _ if !names_request => Err(failure(
            AttemptOutcome::Crossed,
            "the answer names another request",
        )),
        _ if misdirected => Err(failure(
            AttemptOutcome::NotRun,
            "another upstream has the address",
        )),
        ResponseHead { not_run: true, .. } => Err(AttemptFailure {
            outcome: AttemptOutcome::NotRun,
            detail: format_compact!("the upstream refused with {}", head.status),
            inputs_gone: head.status == StatusCode::CONFLICT,
            withheld: false,
        }),
        ResponseHead { encoded: true, .. } => Err(failure(
            AttemptOutcome::Failed,
            "the answer is not the upstream's own body",
        )),
        ResponseHead { signed: false, .. } if head.status.is_success() => Err(failure(
            AttemptOutcome::Failed,
            "the answer is not vouched for",
        )),
        _ => Ok((head, response)),
    }
}
