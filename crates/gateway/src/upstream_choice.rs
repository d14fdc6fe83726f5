//! Which upstream a request is sent to next.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jd_serving::StageUpstream;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::attempt;
use crate::attempt::Answer;
use crate::attempt::Failure;
use crate::call::Call;
use crate::front::may_have_run;
use crate::send_gate::SendPermit;
use crate::state::State;
use crate::upstream_table::Chosen;
use crate::upstream_table::Limited;

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
pub(crate) struct Offers {
    /// The upstreams that it was sent to, those that did nothing included.
    pub(crate) tried: Vec<CompactString>,
    /// How many of these may have run it.
    pub(crate) runs: u32,
    /// How often it was withheld from the one that was chosen.
    withheld: u32,
    /// When to come back where no upstream is left.
    pause: Duration,
    /// Where it is sent first, if that was settled before its stages.
    reserved: Option<(Chosen, SendPermit)>,
}

impl Offers {
    pub(crate) fn new(pause: Duration) -> Offers {
        Offers {
            tried: Vec::new(),
            runs: 0,
            withheld: 0,
            pause,
            reserved: None,
        }
    }

    /// The refusal of a request whose turn comes after `wait`.
    fn refuse_limited(&self, wait: Duration) -> Refusal {
        let detail = "the upstreams take no more for now";
        match self.runs {
            0 => Refusal::not_run(RefusalKind::Limited, detail).after(wait),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        }
    }

    /// The refusal of a request that no upstream can be sent.
    fn refuse(&self, kind: RefusalKind, detail: &'static str) -> Refusal {
        match (self.runs, kind) {
            (0, RefusalKind::DeadlinePassed) => Refusal::not_run(RefusalKind::WouldMiss, detail),
            (0, kind) => Refusal::not_run(kind, detail).after(self.pause),
            (_, RefusalKind::DeadlinePassed) => may_have_run(kind, detail),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        }
    }
}

/// Why a request got no answer from the next upstream.
#[derive(Debug)]
pub(crate) enum Missed {
    /// There is no next one.
    Refused(Refusal),
    /// It was sent, and brought no answer for the caller.
    Failed(Failure),
}

/// Sends a request to the next upstream, and to another one as long as it is withheld
/// from those that are chosen.
pub(crate) async fn send_to_next(
    state: &Arc<State>,
    call: &Call,
    offers: &mut Offers,
    inputs: &[CompactString],
    last_event: Option<u64>,
    patience: impl Fn(u32) -> Duration,
    written: impl Fn(),
) -> Result<Answer, Missed> {
    loop {
        let permitted = match offers.reserved.take() {
            Some(reserved) => reserved,
            None => {
                let chosen = next_upstream(state, call, offers).map_err(Missed::Refused)?;
                let Ok(permit) = attempt::permit(state, call, &chosen).await else {
                    offers.withheld += 1;
                    continue;
                };
                (chosen, permit)
            }
        };
        let id = permitted.0.id.clone();
        let patience = patience(offers.runs);
        let sending = attempt::send(
            state, call, permitted, inputs, last_event, patience, &written,
        );
        match sending.await {
            Err(failure) if failure.withheld => offers.withheld += 1,
            result => {
                offers.tried.push(id);
                return result.map_err(Missed::Failed);
            }
        }
    }
}

/// The next upstream for a request: the one that keeps its prompt, or the next after
/// those that were tried.
fn next_upstream(state: &State, call: &Call, offers: &Offers) -> Result<Chosen, Refusal> {
    let now = state.now();
    if call.left(now).is_zero() {
        return Err(offers.refuse(RefusalKind::DeadlinePassed, "the deadline passed"));
    }
    call.check_quarantine(state, offers.runs)?;
    let table = state.upstreams.load();
    let mut check = state.send_check(&call.service);
    if offers.withheld >= MAX_TURNED_AWAY {
        check.limited = Limited::Avoided;
    }
    let tried = &offers.tried;
    let chosen = match &call.head.prompt {
        _ if offers.withheld >= MAX_WITHHELD => None,
        Some(prompt) => {
            let instances = state.instance_count();
            let session = prompt.session();
            table.place(&call.service, now, session, instances, tried, &check)
        }
        None => table.pick(&call.service, now, &state.settings.zone, tried, &check),
    };
    let wait = || next_turn(state, &call.service).or_else(|| next_wanted(state, &call.service));
    chosen.ok_or_else(|| match wait() {
        Some(wait) => offers.refuse_limited(wait),
        None => offers.refuse(RefusalKind::NoUpstream, "no upstream is left to try"),
    })
}

/// When a caller is to come back for whom a service's upstreams take no more; none if
/// that is not the reason.
fn next_turn(state: &State, service: &str) -> Option<Duration> {
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
    state.turns.next(state.now(), limited)
}

/// When a caller is to come back if all upstreams of a service want nothing for a while:
/// once the first of them takes requests again, each caller at another moment.
pub(crate) fn next_wanted(state: &State, service: &str) -> Option<Duration> {
    let left = soonest_end(state, service)?;
    let spread = left.mul_f64(RETURN_SPREAD * fastrand::f64());
    Some(left + spread)
}

/// How long until the first upstream of a service takes requests again; none if one does.
fn soonest_end(state: &State, service: &str) -> Option<Duration> {
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
    state.notices.backoff(state.now(), *address, id, *start)
}

/// Refuses a request at once whose stages would be done in vain, since all upstreams that
/// could run it want nothing for longer than these take.
fn check_wanted(state: &State, call: &Call, offers: &Offers) -> Result<(), Refusal> {
    match soonest_end(state, &call.service) {
        Some(left) if left > STAGES_TAKE_LEAST => {
            let wait = next_wanted(state, &call.service);
            Err(offers.refuse_limited(wait.unwrap_or(left)))
        }
        _ => Ok(()),
    }
}

/// Settles before the stages of a request where it is sent, if that upstream names a limit,
/// and refuses it at once if none takes it.
///
/// The load that it answers: all upstreams name limits, and most requests are refused. With
/// a permit asked for after the stages, these were done for all of them.
pub(crate) async fn reserve(
    state: &State,
    call: &Call,
    offers: &mut Offers,
) -> Result<(), Refusal> {
    check_wanted(state, call, offers)?;
    while state.limits.any() {
        let chosen = next_upstream(state, call, offers)?;
        let limit = state.limits.limit(&chosen.id);
        if limit.is_none_or(|rate| rate.per_s() > RESERVED_UP_TO) {
            return Ok(());
        }
        match attempt::permit(state, call, &chosen).await {
            Ok(permit) => {
                offers.reserved = Some((chosen, permit.reserved()));
                return Ok(());
            }
            Err(_) => offers.withheld += 1,
        }
    }
    Ok(())
}
