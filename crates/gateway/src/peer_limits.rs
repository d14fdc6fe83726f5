//! Limits of upstreams, and permits to send to them, in messages between instances.

use std::time::Duration;

use jd_serving::LimitNotice;
use jd_serving::RequestRate;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_wire::PermitReply;
use jd_wire::PermitRequest;
use jd_wire::UpstreamLimit;

use crate::limits::LimitSource;
use crate::run_events::UpstreamRef;
use crate::state::State;

/// The most limits that one heartbeat tells, those first that were heard last.
const MOST_TOLD: usize = 256;

/// What this instance has heard of limits, for a heartbeat.
pub(crate) fn wire_limits(state: &State) -> Vec<UpstreamLimit> {
    let now = state.now();
    let mut told = state.limits.notices(now);
    told.sort_unstable_by_key(|(_, notice)| now.since(notice.received_at));
    told.truncate(MOST_TOLD);
    let told = told.into_iter();
    told.map(|(id, notice)| wire_limit(&id, notice, now))
        .collect()
}

/// Takes in what another instance has heard.
pub(crate) fn record(state: &State, told: impl IntoIterator<Item = UpstreamLimit>) {
    let now = state.now();
    for limit in told {
        match notice_of(&limit, now) {
            Some(notice) => {
                let limits = &state.limits;
                limits.record(
                    now,
                    &limit.upstream,
                    notice,
                    LimitSource::Beat,
                    &state.metrics,
                );
            }
            None => {
                log::debug!(upstream = limit.upstream.as_str(); "limit told by another instance is no rate; it is left out");
            }
        }
    }
}

/// The message that asks for a permit.
pub(crate) fn permit_request(
    upstream: &UpstreamRef,
    notice: LimitNotice,
    priority: u8,
    now: MonoTime,
) -> PermitRequest {
    PermitRequest {
        limit: Some(wire_limit(&upstream.id, notice, now)),
        priority: u32::from(priority),
    }
}

/// Decides on a permit that another instance asks for.
pub(crate) fn handle_permit_request(state: &State, req: PermitRequest) -> PermitReply {
    let now = state.now();
    let priority = u8::try_from(req.priority).unwrap_or(u8::MAX);
    let Some(asked) = req.limit else {
        return PermitReply::default();
    };
    record(state, [asked.clone()]);
    let decided = state
        .limiters
        .acquire_local(state, &asked.upstream, priority);
    let notice = state.limits.notice(&asked.upstream);
    let wait = decided.err().unwrap_or_default();
    PermitReply {
        granted: decided.is_ok(),
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        limit: notice.map(|n| wire_limit(&asked.upstream, n, now)),
    }
}

/// The decision that a message tells.
pub(crate) fn permit_decision(state: &State, reply: PermitReply) -> Result<(), Duration> {
    record(state, reply.limit);
    match reply.granted {
        true => Ok(()),
        false => Err(Duration::from_millis(u64::from(reply.wait_ms))),
    }
}

fn wire_limit(id: &str, notice: LimitNotice, now: MonoTime) -> UpstreamLimit {
    let heard_ago = now.since(notice.received_at).as_millis();
    UpstreamLimit {
        upstream: id.into(),
        start_ms: notice.start.millis().unwrap_or(0),
        per_s: notice.limit.map(RequestRate::per_s),
        heard_ms_ago: u32::try_from(heard_ago).unwrap_or(u32::MAX),
    }
}

/// What a message says of a limit; none if that is no rate.
fn notice_of(limit: &UpstreamLimit, now: MonoTime) -> Option<LimitNotice> {
    let start = match limit.start_ms {
        0 => UpstreamStart::UNKNOWN,
        ms => UpstreamStart::at_millis(ms),
    };
    Some(LimitNotice {
        start,
        limit: limit.per_s.map(RequestRate::try_from).transpose().ok()?,
        received_at: now.before(Duration::from_millis(u64::from(limit.heard_ms_ago))),
    })
}
