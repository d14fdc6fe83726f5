//! What is logged at the end of a stream.

use jd_types::AttemptOutcome;

use crate::attempts::AttemptContext;
use crate::not_resumed::NotResumed;
use crate::passed_on::PassedOn;
use crate::stream_response::StreamResponse;

/// Logs a stream that ended whole.
pub(crate) fn ended(cx: &AttemptContext, response: &StreamResponse, passed_on: &PassedOn) {
    let request = &cx.request;
    let took = cx.state.now().since(request.arrived);
    let first = passed_on.first.map(|at| at.since(request.arrived));
    let tokens = request.head.prompt.as_ref().map(|p| p.tokens_in);
    log::info!(
        request = request.id(),
        route = request.route().name.as_str(),
        upstream = response.attempt.id(),
        tokens:? = tokens,
        parts = passed_on.parts,
        first_ms:? = first.map(|d| d.as_millis() as u64),
        pause_ms = passed_on.longest_pause.as_millis() as u64,
        framing = response.framing.as_str(),
        end = response.end_as_str(),
        partial_bytes = response.splitter.partial_bytes(),
        ms = took.as_millis() as u64;
        "stream ended"
    );
}

/// Logs a stream that was cut off, and why no other upstream went on.
pub(crate) fn cut_off(
    cx: &AttemptContext,
    response: &StreamResponse,
    passed_on: &PassedOn,
    outcome: AttemptOutcome,
    why: &NotResumed,
) {
    let now = cx.state.now();
    let (reason, detail) = why.as_parts();
    log::warn!(
        request = cx.request.id(),
        content:% = cx.request.contents.request,
        upstream = response.attempt.id(),
        outcome = outcome.as_str(),
        reason,
        detail,
        since_last_ms = response.silent_for(now).as_millis() as u64,
        left_ms = cx.time_left().as_millis() as u64,
        parts = passed_on.parts,
        last_event:? = response.splitter.last_event(),
        framing = response.framing.as_str(),
        end = response.end_as_str(),
        partial_bytes = response.splitter.partial_bytes(),
        ms = now.since(cx.request.arrived).as_millis() as u64;
        "stream cut off"
    );
}
