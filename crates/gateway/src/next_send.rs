//! Sends a request to the next upstream, or to another instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use futures_lite::FutureExt;
use futures_lite::future;
use jd_net::lock;
use jd_serving::RequestStep;
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
use crate::forward_client;
use crate::placed_prompt::NextUpstream;
use crate::placed_prompt::PlacedPrompt;
use crate::placed_prompt::fetch_timeout;
use crate::trials;
use crate::trials::Trial;
use crate::upstream_record::SelectedUpstream;
use crate::upstream_selection::next_upstream;
use crate::version_check::runs_listed_start;

/// The number of upstreams that cannot be connected to after which a request is sent to another
/// instance.
const MAX_UNREACHABLE: usize = 2;

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
        check_stop(cx, RequestStep::Send)?;
        let trial = trials::until_may_begin(cx).await;
        let trial = trial.map_err(NextSendError::Refused)?;
        let permitted = match select_permitted(cx, trial).await {
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

/// Refuses the request if it could not end before this instance does.
fn check_stop(cx: &AttemptContext, step: RequestStep) -> Result<(), NextSendError> {
    let checked = cx.request.check_stop(&cx.state, step);
    checked.map_err(|refusal| NextSendError::Refused(lock(&cx.retries).after_runs(refusal)))
}

/// Selects the next upstream and requests its permit; none if the send was withheld and another one
/// is to be selected.
async fn select_permitted(
    cx: &AttemptContext,
    trial: Option<Arc<Trial>>,
) -> Result<Option<PermittedSend>, Refusal> {
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
            trial,
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
        trial,
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
    let written_before = clock.is_written();
    let silence_noted = AtomicBool::new(false);
    let on_write = || {
        let patience = match source {
            Some(_) if request.route().retry_mode.may_repeat() => {
                fetch_timeout(state.paces.expected_of(state.now(), request))
            }
            _ => Duration::MAX,
        };
        let patience = patience.min(head_patience(request.route().retry_mode, cx.time_left()));
        clock.set_written();
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
                state.record_silence(&chosen.upstream, waited);
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
            clock.restore_written(written_before);
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
