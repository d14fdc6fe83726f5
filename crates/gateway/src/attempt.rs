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

use crate::AnswerHead;
use crate::UpstreamCall;
use crate::call::Call;
use crate::send_gate::Purpose;
use crate::send_gate::SendFailure;
use crate::send_gate::SendPermit;
use crate::send_gate::Withheld;
use crate::state::State;
use crate::upstream_table::Chosen;

/// How long an answer that was sent before its upstream ended may be on its way:
/// several round trips between availability zones.
const LAST_ANSWERS_WITHIN: Duration = Duration::from_millis(50);

/// An upstream that has gone on with an answer for so long does not end by having begun
/// it. At 23 of 25 ends in the logs, counted by hand, an answer had begun 122 ms before at most.
const WELL_BEGUN_AFTER: Duration = Duration::from_secs(2);

/// The answer of an upstream, its body still coming in.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: AnswerHead,
    pub(crate) response: HttpResponse,
    pub(crate) open: OpenAttempt,
}

/// An attempt that is not over. Dropping it counts as cancelled.
#[derive(Debug)]
pub(crate) struct OpenAttempt {
    state: Arc<State>,
    chosen: Chosen,
    service: CompactString,
    content: Content,
    began: MonoTime,
    /// When the first part of its answer came.
    first_part: Option<MonoTime>,
    ran: bool,
    over: bool,
}

impl OpenAttempt {
    pub(crate) fn begin(state: &Arc<State>, call: &Call, chosen: Chosen) -> OpenAttempt {
        chosen.upstream.attempt_started();
        OpenAttempt {
            state: Arc::clone(state),
            service: call.service.clone(),
            content: call.content,
            began: state.now(),
            first_part: None,
            ran: false,
            chosen,
            over: false,
        }
    }

    /// Its upstream has given its whole answer, so that the request does not end it.
    pub(crate) fn ran(&mut self) {
        if !std::mem::replace(&mut self.ran, true) {
            let now = self.state.now();
            let quarantine = &self.state.quarantine;
            quarantine.record_completed(now, &self.service, self.content);
        }
    }

    /// A part of its answer came.
    pub(crate) fn goes_on(&mut self) {
        let now = self.state.now();
        let first = *self.first_part.get_or_insert(now);
        if now.since(first) >= WELL_BEGUN_AFTER {
            self.ran();
        }
    }

    /// Its connection broke. Where its upstream had worked on the request for long it did
    /// not end by that.
    pub(crate) fn broke(&mut self) {
        if !self.ran {
            let upstream = self.chosen.of_service(&self.service);
            self.state.run_broke(upstream, self.content, self.began);
        }
    }

    /// How long after the request had come it was sent, in milliseconds.
    pub(crate) fn sent_ms(&self, call: &Call) -> u64 {
        self.began.since(call.arrived).as_millis() as u64
    }

    pub(crate) fn id(&self) -> &str {
        &self.chosen.id
    }

    /// Returns a moment after the upstream is known to have started again: what
    /// waits for the earlier start waits in vain, but an answer that it had sent may
    /// still be on its way.
    pub(crate) async fn until_over(&self) {
        self.chosen.started_again.wait().await;
        Timer::after(LAST_ANSWERS_WITHIN).await;
    }

    pub(crate) fn end(&mut self, outcome: AttemptOutcome) {
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

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}

/// How a send ended that brought no answer for the caller.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) detail: CompactString,
    /// True if results that the request works on are gone.
    pub(crate) inputs_gone: bool,
    /// True if it was not sent at all, since it may not be.
    pub(crate) withheld: bool,
}

fn failure(outcome: AttemptOutcome, detail: impl Into<CompactString>) -> Failure {
    Failure {
        outcome,
        detail: detail.into(),
        inputs_gone: false,
        withheld: false,
    }
}

/// Nothing was sent, and nothing is held against the upstream for it.
fn withheld(call: &Call, upstream: &str, why: Withheld) -> Failure {
    log::info!(
        request = call.id(),
        upstream = upstream,
        reason = why.reason,
        wait_ms:? = why.wait.map(|w| w.as_millis() as u64);
        "attempt withheld"
    );
    Failure {
        withheld: true,
        ..failure(AttemptOutcome::NotRun, why.reason)
    }
}

/// Leave to send `call` to `chosen`.
pub(crate) async fn permit(
    state: &State,
    call: &Call,
    chosen: &Chosen,
) -> Result<SendPermit, Failure> {
    let purpose = Purpose::Request {
        content: call.content,
        priority: call.priority,
        cold: Arc::clone(&chosen.cold),
    };
    let upstream = chosen.of_service(&call.service);
    let permit = state.gate.permit(state, upstream, purpose).await;
    permit.map_err(|why| withheld(call, &chosen.id, why))
}

/// Sends `call` to `chosen` and waits at most `patience` for the answer's head.
/// What comes back is the upstream's own answer to this very request, or a
/// failure that says what it proves. `written` is called once a connection
/// takes the request.
pub(crate) async fn send(
    state: &Arc<State>,
    call: &Call,
    (chosen, permit): (Chosen, SendPermit),
    inputs: &[CompactString],
    last_event: Option<u64>,
    patience: Duration,
    written: impl Fn(),
) -> Result<Answer, Failure> {
    let id = chosen.id.clone();
    let mut open = OpenAttempt::begin(state, call, chosen);
    let upstream_call = UpstreamCall {
        upstream: &id,
        left: call.left(state.now()),
        customer: call.customer.as_deref(),
        priority: call.priority,
        inputs,
        last_event,
    };
    let body = jd_net::full(call.body.clone());
    let req = state
        .dialect
        .upstream_request(&call.parts, &upstream_call, body);
    let over = async {
        open.until_over().await;
        Err(SendFailure::Broken)
    };
    let sending = state.gate.send(state, permit, req, patience, written);
    let sent = sending.or(over).await;
    let result = match sent {
        Ok(response) => judge(state, call, response),
        Err(SendFailure::Withheld(why)) => {
            open.end(AttemptOutcome::Cancelled);
            return Err(withheld(call, &id, why));
        }
        Err(SendFailure::Silent) => Err(failure(AttemptOutcome::Silent, "no answer in time")),
        Err(SendFailure::NotSent) => Err(failure(
            AttemptOutcome::Unreachable,
            "no connection could be opened",
        )),
        Err(SendFailure::Broken) => {
            open.broke();
            Err(failure(AttemptOutcome::Failed, "the connection broke"))
        }
    };
    match result {
        Ok((head, response)) => Ok(Answer {
            head,
            response,
            open,
        }),
        Err(failure) => {
            // Results that are gone say nothing of the upstream that was to read them.
            open.end(match failure.inputs_gone {
                true => AttemptOutcome::Cancelled,
                false => failure.outcome,
            });
            log::info!(
                request = call.id(),
                content:% = call.content,
                upstream = id.as_str(),
                sent_ms = open.sent_ms(call),
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
    call: &Call,
    response: HttpResponse,
) -> Result<(AnswerHead, HttpResponse), Failure> {
    let head = state
        .dialect
        .answer_head(response.status, &response.headers);
    let named = head.request_id.as_deref() == call.head.request_id.as_deref();
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    match head {
        _ if misdirected => Err(failure(
            AttemptOutcome::NotRun,
            "another upstream has the address",
        )),
        AnswerHead { not_run: true, .. } => Err(Failure {
            outcome: AttemptOutcome::NotRun,
            detail: format_compact!("the upstream refused with {}", head.status),
            inputs_gone: head.status == StatusCode::CONFLICT,
            withheld: false,
        }),
        _ if !named => Err(failure(
            AttemptOutcome::Crossed,
            "the answer names another request",
        )),
        AnswerHead { encoded: true, .. } => Err(failure(
            AttemptOutcome::Failed,
            "the answer is not the upstream's own body",
        )),
        AnswerHead { signed: false, .. } if head.status.is_success() => Err(failure(
            AttemptOutcome::Failed,
            "the answer is not vouched for",
        )),
        _ => Ok((head, response)),
    }
}
