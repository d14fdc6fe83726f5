//! Which upstream a request is sent to next.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jd_serving::StageUpstream;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt;
use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::state::State;
use crate::upstream_client::SendPermit;
use crate::upstream_table::LimitFilter;
use crate::upstream_table::SelectedUpstream;

/// How often a request may be withheld from the upstream that was chosen before it is
/// refused.
const MAX_WITHHELD: u32 = 8;
/// How often before only upstreams that name no limit are chosen.
const MAX_TURNED_AWAY: u32 = 3;

/// Above this limit, in requests a second, permits are asked for after the stages. Kept
/// while stages take their various times, more of them would be used at once than the
/// upstream takes.
const RESERVED_UP_TO: f64 = 8.0;

/// The part of the wait that callers are told by which their returns are spread.
const RETURN_SPREAD: f64 = 0.25;
/// The longest such wait.
const LONGEST_RETURN: Duration = Duration::from_secs(600);
/// The least that the stages of a request take.
const STAGES_TAKE_LEAST: Duration = Duration::from_millis(200);

/// Where one attempt of a caller was sent so far.
#[derive(Debug)]
pub(crate) struct RetryState {
    /// The upstreams that it was sent to, those that did nothing included.
    pub(crate) tried: Vec<CompactString>,
    /// How many of these may have run it.
    pub(crate) possible_runs: u32,
    /// How often it was withheld from the one that was chosen.
    withheld: u32,
    /// When to come back where no upstream is left.
    retry_after: Duration,
    /// Where it is sent first, if that was settled before its stages.
    reserved: Option<(SelectedUpstream, SendPermit)>,
}

impl RetryState {
    pub(crate) fn new(retry_after: Duration) -> RetryState {
        RetryState {
            tried: Vec::new(),
            possible_runs: 0,
            withheld: 0,
            retry_after,
            reserved: None,
        }
    }

    /// The refusal of a request whose turn comes after `wait`.
    fn refuse_limited(&self, wait: Duration) -> Refusal {
        let detail = "the upstreams take no more for now";
        match self.possible_runs {
            0 => Refusal::not_run(RefusalKind::Limited, detail).with_retry_after(wait),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        }
    }

    /// The refusal of a request that no upstream can be sent.
    fn refuse(&self, kind: RefusalKind, detail: &'static str) -> Refusal {
        match (self.possible_runs, kind) {
            (0, RefusalKind::DeadlinePassed) => Refusal::not_run(RefusalKind::WouldMiss, detail),
            (0, kind) => Refusal::not_run(kind, detail).with_retry_after(self.retry_after),
            (_, RefusalKind::DeadlinePassed) => may_have_run(kind, detail),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        }
    }
}

/// Why a request got no answer from the next upstream.
#[derive(Debug)]
pub(crate) enum NextSendError {
    /// There is no next one.
    Refused(Refusal),
    /// It was sent, and brought no answer for the caller.
    Failed(AttemptFailure),
}

/// Sends a request to the next upstream, and to another one as long as it is withheld
/// from those that are chosen.
pub(crate) async fn send_to_next_upstream(
    state: &Arc<State>,
    request: &CallerRequest,
    retries: &mut RetryState,
    inputs: &[CompactString],
    last_event: Option<u64>,
    patience: impl Fn(u32) -> Duration,
    written: impl Fn(),
) -> Result<UpstreamResponse, NextSendError> {
    loop {
        let permitted = match retries.reserved.take() {
            Some(reserved) => reserved,
            None => {
                let chosen =
                    next_upstream(state, request, retries).map_err(NextSendError::Refused)?;
                let Ok(permit) = attempt::request_permit(state, request, &chosen).await else {
                    retries.withheld += 1;
                    continue;
                };
                (chosen, permit)
            }
        };
        let id = permitted.0.id.clone();
        let patience = patience(retries.possible_runs);
        let sending = attempt::send(
            state, request, permitted, inputs, last_event, patience, &written,
        );
        match sending.await {
            Err(failure) if failure.withheld => retries.withheld += 1,
            result => {
                retries.tried.push(id);
                return result.map_err(NextSendError::Failed);
            }
        }
    }
}

/// The next upstream for a request: the one that keeps its prompt, or the next after
/// those that were tried.
fn next_upstream(
    state: &State,
    request: &CallerRequest,
    retries: &RetryState,
) -> Result<SelectedUpstream, Refusal> {
    let now = state.now();
    if request.time_left(now).is_zero() {
        return Err(retries.refuse(RefusalKind::DeadlinePassed, "the deadline passed"));
    }
    request.check_quarantine(state, retries.possible_runs)?;
    let table = state.upstreams.load();
    let mut check = state.selection_filter(&request.service);
    if retries.withheld >= MAX_TURNED_AWAY {
        check.limit_filter = LimitFilter::Unlimited;
    }
    let tried = &retries.tried;
    let chosen = match &request.head.prompt {
        _ if retries.withheld >= MAX_WITHHELD => None,
        Some(prompt) => {
            let instances = state.instance_count();
            let session = prompt.session();
            table.pick_for_session(&request.service, now, session, instances, tried, &check)
        }
        None => table.pick_by_load(&request.service, now, &state.settings.zone, tried, &check),
    };
    let wait = || {
        limit_retry_after(state, &request.service)
            .or_else(|| backoff_retry_after(state, &request.service))
    };
    chosen.ok_or_else(|| match wait() {
        Some(wait) => retries.refuse_limited(wait),
        None => retries.refuse(RefusalKind::NoUpstream, "no upstream is left to try"),
    })
}

/// When a caller is to come back for whom a service's upstreams take no more; none if
/// that is not the reason.
fn limit_retry_after(state: &State, service: &str) -> Option<Duration> {
    if !state.limits.any() {
        return None;
    }
    let table = state.upstreams.load();
    let able = table
        .upstreams(service)
        .filter(|u| backoff(state, u).is_none());
    let limited = able.filter_map(|upstream| {
        let rate = state.limits.limit(&upstream.id)?;
        Some((upstream.id, rate))
    });
    state.permit_retries.next(state.now(), limited)
}

/// When a caller is to come back if all upstreams of a service want nothing for a while:
/// once the first of them takes requests again, each caller at another moment.
pub(crate) fn backoff_retry_after(state: &State, service: &str) -> Option<Duration> {
    let left = shortest_backoff(state, service)?;
    let spread = left.mul_f64(RETURN_SPREAD * fastrand::f64());
    Some(left + spread)
}

/// How long until the first upstream of a service takes requests again; none if one does.
fn shortest_backoff(state: &State, service: &str) -> Option<Duration> {
    let table = state.upstreams.load();
    let mut soonest: Option<Duration> = None;
    for upstream in table.upstreams(service) {
        let left = backoff(state, &upstream)?.min(LONGEST_RETURN);
        soonest = Some(soonest.map_or(left, |s| s.min(left)));
    }
    soonest
}

fn backoff(state: &State, upstream: &StageUpstream) -> Option<Duration> {
    let StageUpstream {
        id, start, address, ..
    } = upstream;
    state.backoffs.backoff(state.now(), *address, id, *start)
}

/// Refuses a request at once whose stages would be done in vain, since all upstreams that
/// could run it want nothing for longer than these take.
fn check_backoffs(
    state: &State,
    request: &CallerRequest,
    retries: &RetryState,
) -> Result<(), Refusal> {
    match shortest_backoff(state, &request.service) {
        Some(left) if left > STAGES_TAKE_LEAST => {
            let wait = backoff_retry_after(state, &request.service);
            Err(retries.refuse_limited(wait.unwrap_or(left)))
        }
        _ => Ok(()),
    }
}

/// Settles before the stages of a request where it is sent, if that upstream names a limit,
/// and refuses it at once if none takes it.
///
/// The load that it answers: all upstreams name limits, and most requests are refused. With
/// a permit asked for after the stages, these were done for all of them.
pub(crate) async fn reserve_upstream(
    state: &State,
    request: &CallerRequest,
    retries: &mut RetryState,
) -> Result<(), Refusal> {
    check_backoffs(state, request, retries)?;
    while state.limits.any() {
        let chosen = next_upstream(state, request, retries)?;
        let limit = state.limits.limit(&chosen.id);
        if limit.is_none_or(|rate| rate.per_s() > RESERVED_UP_TO) {
            return Ok(());
        }
        match attempt::request_permit(state, request, &chosen).await {
            Ok(permit) => {
                retries.reserved = Some((chosen, permit.reserved()));
                return Ok(());
            }
            Err(_) => retries.withheld += 1,
        }
    }
    Ok(())
}
