//! Selects the upstream for each attempt at a request.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use futures_lite::FutureExt;
use futures_lite::future;
use jd_net::lock;
use jd_serving::InFlightShare;
use jd_serving::RetryMode;
use jd_serving::StageUpstream;
use jd_serving::head_patience;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt;
use crate::attempt::AttemptFailure;
use crate::attempt::PermittedSend;
use crate::attempt::UpstreamResponse;
use crate::attempts::AttemptClock;
use crate::attempts::AttemptContext;
use crate::caller_request::CallerRequest;
use crate::forward_client;
use crate::placed_prompt::NextUpstream;
use crate::placed_prompt::PlacedPrompt;
use crate::placed_prompt::fetch_timeout;
use crate::retry_state::RetryState;
use crate::selection_filter::LimitFilter;
use crate::selection_filter::SelectionFilter;
use crate::state::State;
use crate::upstream_record::SelectedUpstream;
use crate::version_check::runs_listed_start;

/// The number of upstreams that cannot be connected to after which a request is sent to another
/// instance.
const MAX_UNREACHABLE: usize = 2;
/// The number of withheld sends after which a request is refused.
const MAX_WITHHELD: u32 = 8;
/// The number of withheld sends after which only upstreams without a rate limit are selected.
const MAX_WITHHELD_LIMITED: u32 = 3;

/// Above this rate limit, in requests a second, permits are requested after the stages.
/// Stages take different times, so that permits held during them would be used in bursts
/// above the limit.
const MAX_RESERVED_RATE: f64 = 8.0;

/// The retry time if this instance has its share in progress at the upstreams of a brittle
/// service: about the duration of one response.
const BRITTLE_RETRY: Duration = Duration::from_millis(100);

/// The retry times that callers are given are spread by up to this fraction of the wait.
const RETRY_JITTER: f64 = 0.25;
/// The longest wait that callers are given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// The shortest time that the stages of a request take.
const MIN_STAGES_DURATION: Duration = Duration::from_millis(200);

/// Why an attempt at the next upstream brought no response.
#[derive(Debug)]
pub(crate) enum NextSendError {
    /// No upstream could be selected.
    Refused(Refusal),
    /// The attempt failed.
    Failed(AttemptFailure),
}

/// What is sent with one attempt.
pub(crate) struct NextSend<'a, F> {
    /// The stage results that the request reads.
    pub(crate) inputs: &'a [CompactString],
    /// The event after which a stream resumes.
    pub(crate) last_event: Option<u64>,
    /// True if the stages were not run here, so that only another instance can run the request.
    pub(crate) forward_only: bool,
    /// Called once a connection takes the request.
    pub(crate) on_write: F,
}

/// Sends a request to the next upstream and waits for the head of its response, until its deadline
/// if need be. Selects another upstream whenever a send is withheld. Sends it to another instance if
/// this one can connect to no upstream. `clock` tells for how long the attempt is silent.
pub(crate) async fn send_to_next_upstream(
    cx: &AttemptContext,
    clock: &AttemptClock,
    next: NextSend<'_, impl Fn()>,
) -> Result<UpstreamResponse, NextSendError> {
    let AttemptContext {
        state,
        request,
        retries,
    } = cx;
    let is_unreachable = {
        let retries = lock(retries);
        let quarantine = request.check_quarantine(state, retries.possible_runs());
        quarantine.map_err(NextSendError::Refused)?;
        state.path.is_lost() || retries.unreachable >= MAX_UNREACHABLE
    };
    if (is_unreachable || next.forward_only)
        && let Some(result) = forward_client::forward(cx, clock, &next).await
    {
        return result;
    }
    if next.forward_only {
        let detail = "no upstream can be connected to, and no other instance is known that can";
        let refusal = lock(retries).refuse(RefusalKind::NoUpstream, detail);
        return Err(NextSendError::Refused(refusal));
    }
    if !std::mem::replace(&mut lock(retries).counted, true) {
        state.record_first_send(&request.service);
    }
    loop {
        let permitted = match select_permitted(cx).await {
            Ok(Some(permitted)) => permitted,
            Ok(None) => continue,
            Err(refusal) if lock(retries).unreachable == 0 => {
                return Err(NextSendError::Refused(refusal));
            }
            Err(refusal) => {
                let runs = lock(retries).possible_runs();
                let quarantine = request.check_quarantine(state, runs);
                quarantine.map_err(NextSendError::Refused)?;
                let forwarded = forward_client::forward(cx, clock, &next).await;
                return forwarded.unwrap_or(Err(NextSendError::Refused(refusal)));
            }
        };
        match send_permitted(cx, clock, &next, permitted).await? {
            Err(failure) if failure.withheld => lock(retries).withheld += 1,
            result => return result.map_err(NextSendError::Failed),
        }
    }
}

/// Selects the next upstream and requests its permit; none if the send was withheld and another one
/// is to be selected.
async fn select_permitted(cx: &AttemptContext) -> Result<Option<PermittedSend>, Refusal> {
    let AttemptContext {
        state,
        request,
        retries,
    } = cx;
    let reserved = {
        let mut retries = lock(retries);
        let reserved = retries.reserved.take();
        if reserved.is_some() {
            retries.placed = PlacedPrompt::default();
        }
        reserved
    };
    if let Some((chosen, permit)) = reserved {
        return Ok(Some(PermittedSend {
            chosen,
            permit,
            fetch_from: None,
        }));
    }
    let (next, is_bound) = {
        let mut retries = lock(retries);
        let next = next_upstream(state, request, &mut retries)?;
        (next, retries.software.is_some())
    };
    let NextUpstream { chosen, fetch_from } = next;
    if is_bound && !runs_listed_start(state, chosen.upstream_ref(&request.service)).await {
        lock(retries).record_tried(&chosen.id);
        return Ok(None);
    }
    let Ok(permit) = attempt::request_permit(state, request, &chosen).await else {
        lock(retries).withheld += 1;
        return Ok(None);
    };
    Ok(Some(PermittedSend {
        chosen,
        permit,
        fetch_from,
    }))
}

/// Sends a request to the upstream that was selected. Counts the run first, and takes it back if it
/// is proved that the upstream did not run the request.
async fn send_permitted(
    cx: &AttemptContext,
    clock: &AttemptClock,
    next: &NextSend<'_, impl Fn()>,
    permitted: PermittedSend,
) -> Result<Result<UpstreamResponse, AttemptFailure>, NextSendError> {
    let AttemptContext {
        state,
        request,
        retries,
    } = cx;
    let (chosen, source) = (permitted.chosen.clone(), permitted.fetch_from);
    let may_run_again = {
        let mut retries = lock(retries);
        let begun = retries.begin_run(state, request);
        begun.map_err(NextSendError::Refused)?;
        retries.record_tried(&chosen.id);
        retries.may_run_again()
    };
    let is_first_there = request.ran_at.record(&chosen.id);
    let silence_noted = AtomicBool::new(false);
    let on_write = || {
        let patience = match source {
            Some(_) if request.route().retry_mode.may_repeat() => {
                fetch_timeout(state.paces.expected_of(state.now(), request))
            }
            _ => Duration::MAX,
        };
        let patience = patience.min(head_patience(request.route().retry_mode, cx.time_left()));
        clock.record(state.now(), patience);
        (next.on_write)();
    };
    let sending = attempt::send(
        state,
        request,
        permitted,
        next.inputs,
        next.last_event,
        on_write,
    );
    let silent = async {
        if !may_run_again {
            return future::pending().await;
        }
        let waited = clock.until_overdue(&state.clock).await;
        silence_noted.store(true, Ordering::Relaxed);
        match source {
            // A source that sends nothing is not the fault of the upstream that fetches from it.
            Some(source) => record_failed_fetch(cx, &chosen, source, AttemptOutcome::Silent),
            None => {
                chosen.upstream.record_silence(state.now(), waited);
                false
            }
        };
        future::pending().await
    };
    let sent = sending.or(silent).await;
    let mut is_tried_again = false;
    if let Err(failure) = &sent {
        if failure.is_not_run() {
            lock(retries).take_back_run(state, request);
            if is_first_there {
                request.ran_at.take_back(&chosen.id);
            }
        }
        if let Some(source) = source
            && !failure.withheld
            && !silence_noted.load(Ordering::Relaxed)
        {
            is_tried_again = record_failed_fetch(cx, &chosen, source, failure.outcome);
        }
        let mut retries = lock(retries);
        if failure.withheld || is_tried_again {
            retries.forget_tried(&chosen.id);
        }
        if failure.is_unreachable() {
            retries.unreachable += 1;
        }
    }
    Ok(sent)
}

fn record_failed_fetch(
    cx: &AttemptContext,
    chosen: &SelectedUpstream,
    source: SocketAddr,
    outcome: AttemptOutcome,
) -> bool {
    let placed = &mut lock(&cx.retries).placed;
    placed.record_failed_fetch(&cx.state, &cx.request, (chosen, source), outcome)
}

/// Selects the next upstream for a request: the one that the owner of a shard selected for its
/// prompt, or one by its prompt session, or else by load. Skips upstreams that were tried.
fn next_upstream(
    state: &State,
    request: &CallerRequest,
    retries: &mut RetryState,
) -> Result<NextUpstream, Refusal> {
    let now = state.now();
    if request.time_left(now).is_zero() {
        return Err(retries.refuse(RefusalKind::DeadlinePassed, "the deadline passed"));
    }
    request.check_quarantine(state, retries.possible_runs())?;
    let mut filter = state.selection_filter(&request.service);
    filter.software.clone_from(&retries.software);
    // If all instances end, the store alone tells which versions can have begun a stream.
    let is_new_stream = retries.software.is_none();
    filter.only_recorded = is_new_stream && request.route().retry_mode == RetryMode::Resumable;
    let ran_at = request.ran_at.upstreams();
    if ran_at.is_empty()
        && let Some(placed) = retries.placed.take(state, request, &filter)
    {
        return Ok(placed);
    }
    let table = state.upstreams.load();
    if retries.withheld >= MAX_WITHHELD_LIMITED {
        filter.limit_filter = LimitFilter::Unlimited;
    }
    let tried = retries.tried.as_slice();
    // The only upstream that is left may be one at which another instance ran the request.
    let ran_elsewhere = ran_at.into_iter().filter(|id| !tried.contains(id));
    let avoided: Vec<CompactString> = tried.iter().cloned().chain(ran_elsewhere).collect();
    let may_return = avoided.len() > tried.len();
    let is_used_up = |share: InFlightShare| table.in_flight(&request.service) >= share.at_all;
    let choose = |filter: &SelectionFilter<'_>| match &request.head.prompt {
        _ if retries.withheld >= MAX_WITHHELD => None,
        _ if filter.brittle.is_some_and(is_used_up) => None,
        Some(prompt) => {
            let instances = state.instance_count();
            let session = prompt.session();
            let pick = |tried: &[CompactString]| {
                table.pick_for_session(&request.service, now, session, instances, tried, filter)
            };
            let source = retries.placed.failed_source();
            let elsewhere = source.and_then(|s| pick(&[tried, &[s.clone()][..]].concat()));
            let elsewhere = elsewhere.or_else(|| pick(&avoided));
            elsewhere.or_else(|| may_return.then(|| pick(tried)).flatten())
        }
        None => {
            let zone = &state.settings.zone;
            let pick = |tried: &[CompactString]| {
                table.pick_by_load(&request.service, now, zone, tried, filter)
            };
            pick(&avoided).or_else(|| may_return.then(|| pick(tried)).flatten())
        }
    };
    let mut chosen = choose(&filter);
    if chosen.is_none() && std::mem::replace(&mut filter.only_recorded, false) {
        chosen = choose(&filter);
    }
    let wait = || {
        limit_retry_after(state, &request.service)
            .or_else(|| backoff_retry_after(state, &request.service))
            .or_else(|| filter.brittle.map(|_| BRITTLE_RETRY))
    };
    let chosen = chosen.map(|chosen| NextUpstream {
        chosen,
        fetch_from: None,
    });
    chosen.ok_or_else(|| match wait() {
        Some(wait) => retries.refuse_limited(wait),
        None => retries.refuse(RefusalKind::NoUpstream, "no upstream is left to try"),
    })
}

/// When a caller may retry if permits for the rate-limited upstreams of a service are used
/// up; none if rate limits are not the reason.
fn limit_retry_after(state: &State, service: &str) -> Option<Duration> {
    if !state.limits.any() {
        return None;
    }
    let table = state.upstreams.load();
    let accepting = table
        .upstreams(service)
        .filter(|u| backoff(state, u).is_none());
    let limited = accepting.filter_map(|upstream| {
        let rate = state.limits.limit(&upstream.id)?;
        Some((upstream.id, rate))
    });
    state.permit_retries.next_caller_retry(state.now(), limited)
}

/// When a caller may retry if all upstreams of a service are backing off: when the first
/// backoff ends, plus a random part so that callers do not all return at once.
pub(crate) fn backoff_retry_after(state: &State, service: &str) -> Option<Duration> {
    let left = shortest_backoff(state, service)?;
    let spread = left.mul_f64(RETRY_JITTER * fastrand::f64());
    Some(left + spread)
}

/// The time until the first backoff of a service's upstreams ends; none if an upstream
/// accepts requests now.
fn shortest_backoff(state: &State, service: &str) -> Option<Duration> {
    let table = state.upstreams.load();
    let mut soonest: Option<Duration> = None;
    for upstream in table.upstreams(service) {
        let left = backoff(state, &upstream)?.min(MAX_RETRY_AFTER);
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

/// Refuses a request before its stages if all upstreams that could run it back off for
/// longer than the stages take.
fn check_backoffs(
    state: &State,
    request: &CallerRequest,
    retries: &RetryState,
) -> Result<(), Refusal> {
    match shortest_backoff(state, &request.service) {
        Some(left) if left > MIN_STAGES_DURATION => {
            let wait = backoff_retry_after(state, &request.service);
            Err(retries.refuse_limited(wait.unwrap_or(left)))
        }
        _ => Ok(()),
    }
}

/// Selects the upstream of a request before its stages and obtains a permit, if that
/// upstream is rate limited; refuses the request if no upstream accepts it.
///
/// When all upstreams are rate limited and most requests are refused, a permit that is
/// requested only after the stages means that stages run for refused requests as well.
pub(crate) async fn reserve_upstream(
    state: &State,
    request: &CallerRequest,
    retries: &mut RetryState,
) -> Result<(), Refusal> {
    check_backoffs(state, request, retries)?;
    while state.limits.any() {
        let chosen = next_upstream(state, request, retries)?.chosen;
        let limit = state.limits.limit(&chosen.id);
        if limit.is_none_or(|rate| rate.per_s() > MAX_RESERVED_RATE) {
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
