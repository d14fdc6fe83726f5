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

use crate::attempt::Answer;
use crate::attempt::Failure;
use crate::call::Call;
use crate::event_stream::EventStream;
use crate::front::may_have_run;
use crate::signal::Signal;
use crate::stage_runner::StageResults;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::upstream_choice::Missed;
use crate::upstream_choice::Offers;
use crate::upstream_choice::next_wanted;
use crate::upstream_choice::reserve;
use crate::upstream_choice::send_to_next;

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
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let mut offers = Offers::new(FULL_PAUSE);
    if call.has_stages() {
        reserve(state, &call, &mut offers).await?;
    }
    let mut results = stages.run(&call).await?;
    let mut stages_repeated = false;
    state.first_send(&call.service);
    loop {
        let last = call.head.last_event;
        let written = Signal::new();
        let handles = results.handles();
        let patience = |runs| patience(&call, state, runs);
        let note = || written.give();
        let sending = send_to_next(state, &call, &mut offers, handles, last, patience, note);
        let sent = sending.or(results.free_when_read(&written)).await;
        let failure = match sent {
            Ok(answer) => {
                offers.runs += 1;
                return begin(state, stages, call, answer, results, offers).await;
            }
            Err(Missed::Refused(refusal)) => return Err(refusal),
            Err(Missed::Failed(failure)) => failure,
        };
        let proved = failure.outcome.run_state() == RunState::NotRun;
        offers.runs += u32::from(!proved);
        let runs = offers.runs;
        if failure.inputs_gone && !stages_repeated {
            stages_repeated = true;
            offers.tried.pop();
            let again = stages.run(&call).await;
            results = again.map_err(|refusal| after_runs(runs, refusal))?;
            continue;
        }
        let allowed = match call.route().retry_mode {
            _ if proved => offers.tried.len() < MAX_OFFERS,
            RetryMode::Resumable => runs < call.route().max_attempts,
            _ => false,
        };
        if !allowed || !state.may_repeat(&call.service) {
            return Err(no_more(state, &call, runs, &failure));
        }
    }
}

async fn begin(
    state: &Arc<State>,
    stages: &Arc<StageRunner>,
    call: Call,
    answer: Answer,
    results: StageResults,
    offers: Offers,
) -> Result<Response<Body>, Refusal> {
    let headers = state.dialect.caller_headers(&answer.response.headers);
    let status = answer.head.status;
    let took = state.now().since(call.arrived);
    log::info!(
        request = call.id(),
            content:% = call.content,
        route = call.route().name.as_str(),
        upstream = answer.open.id(),
        status = status.as_u16(),
        config = call.router.version,
        attempts = offers.tried.len(),
        sent_ms = answer.open.sent_ms(&call),
        ms = took.as_millis() as u64;
        "answer began"
    );
    let body = match status.is_success() {
        true => {
            state.metrics.request("answered", took);
            let events = EventStream::new(state, stages, call, answer, results, offers);
            jd_net::stream(unfold(events, EventStream::next))
        }
        false => {
            state.metrics.request("failed", took);
            failure_body(state, &call, answer).await?
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    Ok(res)
}

async fn failure_body(state: &State, call: &Call, answer: Answer) -> Result<Body, Refusal> {
    let mut open = answer.open;
    let left = call.left(state.now());
    let read = with_timeout(left, answer.response.read_all(MAX_FAILURE)).await;
    if let Some(Ok(_)) = &read {
        open.ran();
    }
    open.end(AttemptOutcome::Failed);
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

fn patience(call: &Call, state: &State, runs: u32) -> Duration {
    let left = call.left(state.now());
    let repeats =
        call.route().retry_mode == RetryMode::Resumable && runs + 1 < call.route().max_attempts;
    match repeats {
        true => left.min(BEGIN_WITHIN),
        false => left,
    }
}

fn no_more(state: &State, call: &Call, runs: u32, failure: &Failure) -> Refusal {
    let detail = failure.detail.as_str();
    match (runs, failure.outcome) {
        (0, _) => {
            let wait = next_wanted(state, &call.service);
            Refusal::not_run(RefusalKind::Overloaded, detail).after(wait.unwrap_or(FULL_PAUSE))
        }
        (_, AttemptOutcome::Silent | AttemptOutcome::TimedOut) => {
            may_have_run(RefusalKind::DeadlinePassed, detail)
        }
        _ => may_have_run(RefusalKind::UpstreamFailed, detail),
    }
}
