//! Converts upstream limits and permits to and from messages between instances.

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

/// Most limits in one heartbeat; the most recent notices go first.
const MAX_LIMITS_PER_HEARTBEAT: usize = 256;

/// The limits that this instance knows, for a heartbeat.
pub(crate) fn wire_limits(state: &State) -> Vec<UpstreamLimit> {
    let now = state.now();
    let mut limits = state.limits.notices(now);
    limits.sort_unstable_by_key(|(_, notice)| now.since(notice.received_at));
    limits.truncate(MAX_LIMITS_PER_HEARTBEAT);
    let limits = limits.into_iter();
    limits
        .map(|(id, notice)| wire_limit(&id, notice, now))
        .collect()
}

/// Records limits that another instance knows.
pub(crate) fn record(state: &State, limits: impl IntoIterator<Item = UpstreamLimit>) {
    let now = state.now();
    for limit in limits {
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
                log::debug!(upstream = limit.upstream.as_str(); "limit from another instance is not a valid rate; ignored");
            }
        }
    }
}

/// Builds a permit request.
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

/// Answers another instance's permit request.
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

/// Reads a permit reply, and records the limit that it carries.
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

/// Reads a limit from a message; none if its rate is not valid.
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
