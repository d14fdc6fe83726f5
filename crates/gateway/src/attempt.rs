//! One send to one upstream.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;
use http::StatusCode;
use jd_net::HttpResponse;
use jd_net::lock;
use jd_serving::Content;
use jd_types::AttemptOutcome;
use jd_types::MonoTime;

use crate::ResponseHead;
use crate::UpstreamRequest;
use crate::caller_request::CallerRequest;
use crate::state::State;
use crate::upstream_client::SendFailure;
use crate::upstream_client::SendPermit;
use crate::upstream_client::SendPurpose;
use crate::upstream_client::Withheld;
use crate::upstream_table::SelectedUpstream;

/// How long an answer that was sent before its upstream ended may be on its way:
/// several round trips between availability zones.
const LAST_ANSWERS_WITHIN: Duration = Duration::from_millis(50);

/// An upstream that has gone on with an answer for so long does not end by having begun
/// it. At 23 of 25 ends in the logs, counted by hand, an answer had begun 122 ms before at most.
const WELL_BEGUN_AFTER: Duration = Duration::from_secs(2);

/// The answer of an upstream, its body still coming in.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: ResponseHead,
    pub(crate) response: HttpResponse,
    pub(crate) attempt: ActiveAttempt,
}

/// An attempt that is not over. Dropping it counts as cancelled.
#[derive(Debug)]
pub(crate) struct ActiveAttempt {
    state: Arc<State>,
    chosen: SelectedUpstream,
    service: CompactString,
    content: Content,
    began: MonoTime,
    /// When the first part of its answer came.
    first_part: Option<MonoTime>,
    completed: bool,
    over: bool,
}

impl ActiveAttempt {
    pub(crate) fn begin(
        state: &Arc<State>,
        request: &CallerRequest,
        chosen: SelectedUpstream,
    ) -> ActiveAttempt {
        chosen.upstream.attempt_started();
        ActiveAttempt {
            state: Arc::clone(state),
            service: request.service.clone(),
            content: request.content,
            began: state.now(),
            first_part: None,
            completed: false,
            chosen,
            over: false,
        }
    }

    /// Its upstream has given its whole answer, so that the request does not end it.
    pub(crate) fn mark_completed(&mut self) {
        if !std::mem::replace(&mut self.completed, true) {
            let now = self.state.now();
            let quarantine = &self.state.quarantine;
            quarantine.record_completed(now, &self.service, self.content);
        }
    }

    /// A part of its answer came.
    pub(crate) fn record_progress(&mut self) {
        let now = self.state.now();
        let first = *self.first_part.get_or_insert(now);
        if now.since(first) >= WELL_BEGUN_AFTER {
            self.mark_completed();
        }
    }

    /// Its connection broke. Where its upstream had worked on the request for long it did
    /// not end by that.
    pub(crate) fn report_broken(&mut self) {
        if !self.completed {
            let upstream = self.chosen.upstream_ref(&self.service);
            self.state
                .report_broken_run(upstream, self.content, self.began);
        }
    }

    /// How long after the request had come it was sent, in milliseconds.
    pub(crate) fn sent_ms(&self, request: &CallerRequest) -> u64 {
        self.began.since(request.arrived).as_millis() as u64
    }

    pub(crate) fn id(&self) -> &str {
        &self.chosen.id
    }

    /// Returns a moment after the upstream is known to have started again: what
    /// waits for the earlier start waits in vain, but an answer that it had sent may
    /// still be on its way.
    pub(crate) async fn until_restarted(&self) {
        self.chosen.restarted.wait().await;
        Timer::after(LAST_ANSWERS_WITHIN).await;
    }

    pub(crate) fn finish(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        let now = self.state.now();
        let took = now.since(self.began);
        self.chosen.upstream.attempt_finished(now, took, outcome);
        if outcome == AttemptOutcome::Unreachable {
            // It is looked for again when it is no longer left alone, and may have
            // started just before.
            let looked_for = self.chosen.upstream.ejected_until();
            lock(&self.chosen.cold).record_possible_start(looked_for);
        }
        self.state.metrics.attempt(outcome.as_str());
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.finish(AttemptOutcome::Cancelled);
    }
}

/// How a send ended that brought no answer for the caller.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) detail: CompactString,
    /// True if results that the request works on are gone.
    pub(crate) inputs_gone: bool,
    /// True if it was not sent at all, since it may not be.
    pub(crate) withheld: bool,
}

fn failure(outcome: AttemptOutcome, detail: impl Into<CompactString>) -> AttemptFailure {
    AttemptFailure {
        outcome,
        detail: detail.into(),
        inputs_gone: false,
        withheld: false,
    }
}

/// Nothing was sent, and nothing is held against the upstream for it.
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

/// Leave to send `call` to `chosen`.
pub(crate) async fn request_permit(
    state: &State,
    request: &CallerRequest,
    chosen: &SelectedUpstream,
) -> Result<SendPermit, AttemptFailure> {
    let purpose = SendPurpose::Request {
        content: request.content,
        priority: request.priority,
        cold: Arc::clone(&chosen.cold),
    };
    let upstream = chosen.upstream_ref(&request.service);
    let permit = state.upstream_client.permit(state, upstream, purpose).await;
    permit.map_err(|why| withheld(request, &chosen.id, why))
}

/// Sends `call` to `chosen` and waits at most `patience` for the answer's head.
/// What comes back is the upstream's own answer to this very request, or a
/// failure that says what it proves. `written` is called once a connection
/// takes the request.
pub(crate) async fn send(
    state: &Arc<State>,
    request: &CallerRequest,
    (chosen, permit): (SelectedUpstream, SendPermit),
    inputs: &[CompactString],
    last_event: Option<u64>,
    patience: Duration,
    written: impl Fn(),
) -> Result<UpstreamResponse, AttemptFailure> {
    let id = chosen.id.clone();
    let mut attempt = ActiveAttempt::begin(state, request, chosen);
    let upstream_request = UpstreamRequest {
        upstream: &id,
        timeout: request.time_left(state.now()),
        customer: request.customer.as_deref(),
        priority: request.priority,
        inputs,
        last_event,
    };
    let body = jd_net::full(request.body.clone());
    let req = state
        .dialect
        .upstream_request(&request.parts, &upstream_request, body);
    let over = async {
        attempt.until_restarted().await;
        Err(SendFailure::ConnectionLost)
    };
    let sending = state
        .upstream_client
        .send(state, permit, req, patience, written);
    let sent = sending.or(over).await;
    let result = match sent {
        Ok(response) => judge(state, request, response),
        Err(SendFailure::Withheld(why)) => {
            attempt.finish(AttemptOutcome::Cancelled);
            return Err(withheld(request, &id, why));
        }
        Err(SendFailure::TimedOut) => Err(failure(AttemptOutcome::Silent, "no answer in time")),
        Err(SendFailure::ConnectFailed) => Err(failure(
            AttemptOutcome::Unreachable,
            "no connection could be opened",
        )),
        Err(SendFailure::ConnectionLost) => {
            attempt.report_broken();
            Err(failure(AttemptOutcome::Failed, "the connection broke"))
        }
    };
    match result {
        Ok((head, response)) => Ok(UpstreamResponse {
            head,
            response,
            attempt,
        }),
        Err(failure) => {
            // Results that are gone say nothing of the upstream that was to read them.
            attempt.finish(match failure.inputs_gone {
                true => AttemptOutcome::Cancelled,
                false => failure.outcome,
            });
            log::info!(
                request = request.id(),
                content:% = request.content,
                upstream = id.as_str(),
                sent_ms = attempt.sent_ms(request),
                outcome = failure.outcome.as_str(),
                detail = failure.detail.as_str();
                "attempt failed"
            );
            Err(failure)
        }
    }
}

/// An answer counts only if it names the request that waits; an extra or late
/// one of another request looks like an answer and belongs to nobody here.
fn judge(
    state: &State,
    request: &CallerRequest,
    response: HttpResponse,
) -> Result<(ResponseHead, HttpResponse), AttemptFailure> {
    let head = state
        .dialect
        .response_head(response.status, &response.headers);
    let named = head.request_id.as_deref() == request.head.request_id.as_deref();
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    match head {
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
        _ if !named => Err(failure(
            AttemptOutcome::Crossed,
            "the answer names another request",
        )),
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
