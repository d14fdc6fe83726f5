//! Forwards requests to instances that can connect to upstreams, while this one cannot.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::ToCompactString;
use futures_lite::FutureExt;
use futures_lite::future;
use http::Request;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::EXPECT;
use http::header::TE;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use jd_net::Body;
use jd_net::HttpPool;
use jd_net::lock;
use jd_serving::ForwardTarget;
use jd_serving::RequestStep;
use jd_serving::head_patience;
use jd_types::Refusal;

use crate::active_attempt::ActiveAttempt;
use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::attempts::AttemptClock;
use crate::attempts::AttemptContext;
use crate::caller_request::CallerRequest;
use crate::forward_response;
use crate::forward_response::Begun;
use crate::forward_response::DecodeError;
use crate::forwarded_from;
use crate::forwarded_from::ForwardedFrom;
use crate::next_send::NextSend;
use crate::next_send::NextSendError;
use crate::open_requests::Wait;
use crate::state::State;

/// Instances that may fail to take a request, or to respond, until it is forwarded no more.
const MAX_FORWARD_FAILURES: usize = 2;
/// How long after the deadline the refusal of the other instance is waited for.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);
/// How often a forwarded request checks that the other instance is still live.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The requests that this instance has forwarded and that have not ended.
#[derive(Debug)]
pub(crate) struct ForwardClient {
    pool: HttpPool,
    in_flight: Mutex<HashMap<SocketAddr, u32>>,
    /// The latest version of the configuration by which another instance ran a request.
    version: AtomicU64,
}

/// Counts a forwarded request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct ForwardGuard {
    state: Arc<State>,
    pub(crate) target: SocketAddr,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.state.forwards.in_flight);
        if let Some(count) = in_flight.get_mut(&self.target) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.target);
            }
        }
    }
}

impl ForwardClient {
    pub(crate) fn new(pool: HttpPool) -> ForwardClient {
        ForwardClient {
            pool,
            in_flight: Mutex::default(),
            version: AtomicU64::new(0),
        }
    }

    /// The instances that a request can be forwarded to.
    pub(crate) fn targets(&self, state: &State) -> Vec<ForwardTarget> {
        let now = state.now();
        let cluster = state.cluster();
        let in_flight = lock(&self.in_flight);
        let targets = cluster.instances.forward_targets(now);
        targets
            .map(|e| ForwardTarget {
                address: e.peer_address,
                zone: e.zone.clone(),
                in_flight: in_flight.get(&e.peer_address).copied().unwrap_or(0),
            })
            .collect()
    }

    /// True if a request is to be forwarded before anything is done for it here.
    pub(crate) fn is_due(&self, state: &State, request: &CallerRequest) -> bool {
        state.path.is_lost() && request.forwarded.is_none() && !self.targets(state).is_empty()
    }

    /// The latest version by which this instance or another one ran a request of a caller here.
    fn latest_version(&self, own: u64) -> u64 {
        self.version.load(Ordering::Relaxed).max(own)
    }

    /// Records the version by which another instance ran a request of a caller here.
    pub(crate) fn record_version(&self, version: u64) {
        self.version.fetch_max(version, Ordering::Relaxed);
    }

    fn begin(&self, state: &Arc<State>, target: SocketAddr) -> ForwardGuard {
        *lock(&self.in_flight).entry(target).or_default() += 1;
        ForwardGuard {
            state: Arc::clone(state),
            target,
        }
    }
}

/// Sends a request to another instance that can connect to upstreams, and to a second one if the
/// first cannot take it. Counts as one run, whatever becomes of the other instance or the connection
/// to it: that one begins no more than one. Returns none if there is none to ask.
pub(crate) async fn forward(
    cx: &AttemptContext,
    clock: &AttemptClock,
    next: &NextSend<'_, impl Fn()>,
) -> Option<Result<UpstreamResponse, NextSendError>> {
    let AttemptContext {
        state,
        request,
        retries,
    } = cx;
    if request.forwarded.is_some() || request.time_left(state.now()).is_zero() {
        return None;
    }
    let mut refused = None;
    // It adds to the retry budget of this instance alone. The other one may repeat it as well, after
    // a refusal of an upstream, by what its own requests and its share of the slack allow.
    if !std::mem::replace(&mut lock(retries).counted, true) {
        state.record_first_send(&request.service);
    }
    while let Some(target) = select_target(cx) {
        if let Err(refusal) = request.check_stop(state, RequestStep::Forward) {
            let refusal = lock(retries).after_runs(refusal);
            return Some(Err(NextSendError::Refused(refusal)));
        }
        let from = {
            let mut retries = lock(retries);
            if let Err(refusal) = retries.begin_run(state, request) {
                return Some(Err(NextSendError::Refused(refusal)));
            }
            retries.forward_targets.push(target);
            ForwardedFrom {
                age: state.now().since(request.arrived),
                further_runs: retries.runs_left(state, request),
                ran_at: request.ran_at.upstreams(),
                counted: true,
                version: state.forwards.latest_version(request.router.version),
                last_event: next.last_event,
                software: retries.software.clone(),
            }
        };
        let written_before = clock.is_written();
        let forwarded = send(cx, clock, target, from, &next.on_write).await;
        let mut retries = lock(retries);
        if !matches!(&forwarded, Forwarded::Ended(result) if result.is_ok()) {
            retries.forward_targets.retain(|t| *t != target);
        }
        match forwarded {
            Forwarded::Refused(refusal) => {
                retries.take_back_run(state, request);
                let refusal = retries.after_runs(refusal);
                return Some(Err(NextSendError::Refused(refusal)));
            }
            Forwarded::NotTaken(refusal) => {
                clock.restore_written(written_before);
                retries.take_back_run(state, request);
                retries.forward_failures.push(target);
                refused = Some(refusal);
            }
            Forwarded::Lost(failure) => {
                retries.forward_failures.push(target);
                return Some(Err(NextSendError::Failed(failure)));
            }
            Forwarded::Ended(result) => return Some((*result).map_err(NextSendError::Failed)),
        }
    }
    state.metrics.forward("no-instance");
    refused.map(|refusal| Err(NextSendError::Refused(lock(retries).after_runs(refusal))))
}

/// The instance that a request is forwarded to next: one at which no attempt is pending, if there is
/// one; none if it is forwarded no more.
fn select_target(cx: &AttemptContext) -> Option<SocketAddr> {
    let state = &cx.state;
    let retries = lock(&cx.retries);
    if retries.forward_failures.len() >= MAX_FORWARD_FAILURES {
        return None;
    }
    let mut targets = state.forwards.targets(state);
    targets.retain(|t| !retries.forward_failures.contains(&t.address));
    let is_free = |t: &&ForwardTarget| !retries.forward_targets.contains(&t.address);
    let free: Vec<ForwardTarget> = targets.iter().filter(is_free).cloned().collect();
    let zone = &state.settings.zone;
    let mut rng = fastrand::Rng::new();
    let selected = ForwardTarget::select(&free, zone, &mut rng);
    let selected = selected.or_else(|| ForwardTarget::select(&targets, zone, &mut rng));
    selected.map(|target| target.address)
}

/// What became of a request that was sent to another instance.
enum Forwarded {
    /// A response of an upstream arrived, or that instance says that the run failed.
    Ended(Box<Result<UpstreamResponse, AttemptFailure>>),
    /// Nothing arrived from that instance.
    Lost(AttemptFailure),
    /// That instance refused it, and no upstream ran it.
    Refused(Refusal),
    /// That instance did not take it, and sent it to no upstream.
    NotTaken(Refusal),
}

async fn send(
    cx: &AttemptContext,
    clock: &AttemptClock,
    target: SocketAddr,
    from: ForwardedFrom,
    on_write: impl Fn(),
) -> Forwarded {
    let AttemptContext { state, request, .. } = cx;
    let guard = state.forwards.begin(state, target);
    let instance = target.to_compact_string();
    request.in_flight.waits_for(Wait::ResponseHead, &instance);
    let further_runs = from.further_runs;
    let path_lost = state.path.is_lost();
    let unreachable = lock(&cx.retries).unreachable;
    let began = state.now();
    let timeout = request.time_left(began) + DEADLINE_SLACK;
    let pool = &state.forwards.pool;
    let sending = pool.send_if(
        target,
        forwarded_request(request, from),
        timeout,
        false,
        |req| {
            let age = state.now().since(request.arrived);
            forwarded_from::write_age(req.headers_mut(), age);
            let patience = head_patience(request.route().retry_mode, cx.time_left());
            clock.set_forwarded();
            clock.set_written();
            clock.record(state.now(), patience);
            on_write();
            true
        },
    );
    // An instance that misses heartbeats may still answer: it is waited for while another one is
    // asked.
    let missed = async {
        wait_until_gone(state, target).await;
        clock.suspect();
        future::pending().await
    };
    let sent = sending.or(missed).await;
    let result = forward_response::decode(state, request, sent);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(DecodeError::NotTaken(_)) => "not-taken",
        Err(DecodeError::Refused(_)) => "refused",
        Err(DecodeError::Failed(_)) => "failed",
        Err(DecodeError::Lost(_)) => "lost",
    };
    state.metrics.forward(outcome);
    log::info!(
        request = request.id(),
        instance:% = target,
        ran_at:? = request.ran_at.upstreams(),
        further_runs,
        path_lost,
        unreachable,
        sent_ms = began.since(request.arrived).as_millis() as u64,
        outcome,
        ms = state.now().since(began).as_millis() as u64;
        "request forwarded"
    );
    match result {
        Ok(Begun {
            head,
            http,
            software,
            upstream,
        }) => {
            let attempt = ActiveAttempt::forwarded(state, request, guard, upstream, software);
            Forwarded::Ended(Box::new(Ok(UpstreamResponse {
                head,
                http,
                attempt,
            })))
        }
        Err(DecodeError::NotTaken(refusal)) => Forwarded::NotTaken(refusal),
        Err(DecodeError::Refused(refusal)) => Forwarded::Refused(refusal),
        Err(DecodeError::Failed(failure)) => Forwarded::Ended(Box::new(Err(failure))),
        Err(DecodeError::Lost(failure)) => Forwarded::Lost(failure),
    }
}

/// The caller's own request, with what this instance tells of it.
fn forwarded_request(request: &CallerRequest, from: ForwardedFrom) -> Request<Body> {
    let mut req = Request::new(request.body.to_http());
    *req.method_mut() = request.parts.method.clone();
    *req.uri_mut() = request.parts.uri.clone();
    *req.headers_mut() = request.parts.headers.clone();
    // These are of the caller's connection.
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        TE,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        req.headers_mut().remove(name);
    }
    from.write(req.headers_mut());
    req
}

/// Returns once an instance stops answering heartbeats.
pub(crate) async fn wait_until_gone(state: &State, target: SocketAddr) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = state.now();
        if !state.cluster().instances.is_present_at(now, target) {
            return;
        }
    }
}
