//! Selects the upstream for each attempt at a request.

use std::time::Duration;

use compact_str::CompactString;
use jd_serving::InFlightShare;
use jd_serving::RetryMode;
use jd_serving::StageUpstream;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt;
use crate::caller_request::CallerRequest;
use crate::placed_prompt::NextUpstream;
use crate::retry_state::RetryState;
use crate::selection_filter::LimitFilter;
use crate::selection_filter::SelectionFilter;
use crate::selection_filter::UnrecordedFilter;
use crate::state::State;

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

/// Selects the next upstream for a request: the one that the owner of a shard selected for its
/// prompt, or one by its prompt session, or else by load. Skips upstreams that were tried.
pub(crate) fn next_upstream(
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
    if is_new_stream && request.route().retry_mode == RetryMode::Resumable {
        filter.unrecorded = UnrecordedFilter::Never;
    }
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
    if chosen.is_none() && filter.unrecorded == UnrecordedFilter::Never {
        filter.unrecorded = UnrecordedFilter::AfterPatience;
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
