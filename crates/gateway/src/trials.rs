//! Runs of suspected requests, which begin one at a time in the whole fleet.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::Content;
use jd_serving::RequestStep;
use jd_serving::TrialEnd;
use jd_serving::TrialRuns;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_wire::CrashReport;
use jd_wire::CrashReportReply;
use jd_wire::GatewayClient;

use crate::attempts::AttemptContext;
use crate::open_requests::Wait;
use crate::peer_quarantine;
use crate::state::State;

/// Timeout of a question: several round trips between availability zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a coordinator is not asked that did not answer, or that cannot decide.
const PASSED_OVER_FOR: Duration = Duration::from_secs(1);
/// How long after a denial an instance asks again for the same request.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What this instance knows of runs of suspected requests.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    /// Those that this instance gives out, as the coordinator that decides, or because none answers.
    runs: Mutex<TrialRuns>,
    /// Until when other runs are known to be denied.
    denied: Mutex<HashMap<Content, MonoTime>>,
    passed_over: Mutex<HashMap<SocketAddr, MonoTime>>,
}

/// A step of a run of a suspected request, as instances tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TrialStep {
    /// It is to begin at this service.
    Begin(CompactString),
    /// It has ended.
    End(TrialEnd),
}

impl Trials {
    /// Records that an upstream crashed at this time with a suspected request.
    pub(crate) fn record_crash(&self, now: MonoTime, content: Content, at: MonoTime) {
        lock(&self.runs).record_crash(now, content, at);
    }

    /// Records that a suspected request was seen sound before upstreams crashed with it.
    pub(crate) fn record_sound_before(&self, now: MonoTime, content: Content, service: &str) {
        lock(&self.runs).record_sound_before(now, content, service);
    }

    /// Records that a request was released, so that others may run in its place.
    pub(crate) fn remove(&self, content: Content) {
        lock(&self.runs).remove(content);
    }

    fn is_denied(&self, now: MonoTime, content: Content) -> bool {
        let mut denied = lock(&self.denied);
        denied.retain(|_, until| *until > now);
        denied.contains_key(&content)
    }

    fn is_passed_over(&self, now: MonoTime, coordinator: SocketAddr) -> bool {
        let mut passed_over = lock(&self.passed_over);
        passed_over.retain(|_, until| *until > now);
        passed_over.contains_key(&coordinator)
    }
}

/// A run of a suspected request that may begin. Others may begin once it is dropped and nothing was
/// sent, or a moment after it ended without a sign of a crash.
#[derive(Debug)]
pub(crate) struct Trial {
    state: Arc<State>,
    content: Content,
    granted_by: SocketAddr,
    is_sent: AtomicBool,
    is_broken: AtomicBool,
}

impl Trial {
    /// Records that the request is written to an upstream.
    pub(crate) fn record_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Records that the connection broke. Whether the upstream has crashed is reported when it is
    /// known.
    pub(crate) fn record_broken(&self) {
        self.is_broken.store(true, Ordering::Relaxed);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let end = match self.is_sent.load(Ordering::Relaxed) {
            _ if self.is_broken.load(Ordering::Relaxed) => return,
            true => TrialEnd::Sent,
            false => TrialEnd::NotSent,
        };
        let (state, content, to) = (Arc::clone(&self.state), self.content, self.granted_by);
        let telling = async move {
            let step = TrialStep::End(end);
            match to == state.own_entry.peer_address {
                true => drop(handle(&state, content, &step)),
                false => drop(tell(&state, to, content, &step).await),
            }
        };
        self.state.executor.spawn(telling).detach();
    }
}

/// Waits until a request is not suspected, or until a run of it may begin, which is returned. Refuses
/// the request once it is quarantined, or its deadline has passed.
pub(crate) async fn until_may_begin(cx: &AttemptContext) -> Result<Option<Arc<Trial>>, Refusal> {
    let AttemptContext {
        state,
        request,
        retries,
    } = cx;
    let content = request.contents.request;
    loop {
        let changed = state.quarantine.listen();
        if !state.quarantine.is_suspected(state.now(), content) {
            return Ok(None);
        }
        request.in_flight.waits_for(Wait::Trial, "");
        if !state.trials.is_denied(state.now(), content)
            && let Some(trial) = begin_detached(state, content, &request.service).await
        {
            return Ok(Some(Arc::new(trial)));
        }
        let runs = lock(retries).possible_runs();
        request.check_quarantine(state, runs)?;
        let stopped = request.check_stop(state, RequestStep::Send);
        stopped.map_err(|refusal| lock(retries).after_runs(refusal))?;
        let left = cx.time_left();
        if left.is_zero() {
            let detail =
                "the request is suspected of ending upstreams, and waited for another run of it";
            return Err(lock(retries).refuse(RefusalKind::DeadlinePassed, detail));
        }
        with_timeout(RETRY_INTERVAL.min(left), changed).await;
    }
}

/// Begins a run in a task of its own, so that one that is granted after the caller has left is ended.
async fn begin_detached(state: &Arc<State>, content: Content, service: &str) -> Option<Trial> {
    let (tx, rx) = async_channel::bounded(1);
    let (asking, service) = (Arc::clone(state), CompactString::from(service));
    let beginning = async move {
        let granted_by = begin(&asking, content, &service).await;
        let trial = granted_by.map(|granted_by| Trial {
            state: asking,
            content,
            granted_by,
            is_sent: AtomicBool::new(false),
            is_broken: AtomicBool::new(false),
        });
        // Fails if the caller has left. The trial ends with it.
        let _ = tx.send(trial).await;
    };
    state.executor.spawn(beginning).detach();
    rx.recv().await.ok().flatten()
}

/// Handles a step of a run, of this instance or another one. Returns false if the run may not begin.
pub(crate) fn handle(state: &State, content: Content, step: &TrialStep) -> bool {
    let now = state.now();
    match step {
        TrialStep::Begin(_) if state.quarantine.time_left(now, content).is_some() => false,
        TrialStep::Begin(service) => {
            // The entry of an upstream that has ended may still be listed beside that of the next one.
            let table = state.upstreams.load();
            let addresses: HashSet<SocketAddr> =
                table.upstreams(service).map(|u| u.address).collect();
            let upstreams = addresses.len();
            lock(&state.trials.runs).begin(now, content, service, upstreams)
        }
        TrialStep::End(end) => {
            lock(&state.trials.runs).end(now, content, *end);
            true
        }
    }
}

/// Asks the first coordinator that can decide whether a run may begin; returns that one if so. If none
/// answers, this instance decides on its own runs.
async fn begin(state: &Arc<State>, content: Content, service: &str) -> Option<SocketAddr> {
    let step = TrialStep::Begin(service.into());
    let (granted_by, is_granted) = match ask_coordinators(state, content, &step).await {
        Some(answer) => answer,
        None => {
            let own = state.own_entry.peer_address;
            (own, handle(state, content, &step))
        }
    };
    state.metrics.trial(match is_granted {
        true => "granted",
        false => "denied",
    });
    if !is_granted {
        let until = state.now() + RETRY_INTERVAL;
        lock(&state.trials.denied).insert(content, until);
        return None;
    }
    log::info!(content:% = content, granted_by:% = granted_by; "run of a suspected request begins");
    Some(granted_by)
}

/// What the first coordinator that can decide says on a run; none if there is none.
async fn ask_coordinators(
    state: &Arc<State>,
    content: Content,
    step: &TrialStep,
) -> Option<(SocketAddr, bool)> {
    let trials = &state.trials;
    for coordinator in state.coordinators() {
        match coordinator == state.own_entry.peer_address {
            true if state.can_decide() => {
                return Some((coordinator, handle(state, content, step)));
            }
            true => continue,
            false if trials.is_passed_over(state.now(), coordinator) => continue,
            false => {}
        }
        match tell(state, coordinator, content, step).await {
            Some(reply) if !reply.cannot_decide => {
                return Some((coordinator, !reply.trial_denied));
            }
            Some(_) | None => {
                let until = state.now() + PASSED_OVER_FOR;
                lock(&trials.passed_over).insert(coordinator, until);
            }
        }
    }
    None
}

/// Tells another instance of a step of a run; none if it does not answer.
async fn tell(
    state: &State,
    to: SocketAddr,
    content: Content,
    step: &TrialStep,
) -> Option<CrashReportReply> {
    let channel = state.channels.channel_to(to);
    let report = CrashReport {
        trial: Some(peer_quarantine::wire_trial(content, step)),
        ..CrashReport::default()
    };
    let mut client = GatewayClient::new(channel.clone());
    match with_timeout(ASK_TIMEOUT, client.report_crashes(report)).await {
        Some(reply) => Some(reply.ok()?.into_inner()),
        None => {
            // This connection may hang forever while new ones work.
            channel.reset();
            None
        }
    }
}
