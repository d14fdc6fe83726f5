//! Forwards requests to instances that can connect to upstreams, while this one cannot.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::ToCompactString;
use futures_lite::FutureExt;
use http::Request;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::EXPECT;
use http::header::TE;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use jd_net::Body;
use jd_net::HttpPool;
use jd_net::HttpResponse;
use jd_net::SendError;
use jd_net::lock;
use jd_serving::ForwardTarget;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamStart;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::ResponseHead;
use crate::active_attempt::ActiveAttempt;
use crate::attempt::AttemptFailure;
use crate::attempt::UpstreamResponse;
use crate::attempt::failure;
use crate::attempt::validate;
use crate::caller_request::CallerRequest;
use crate::forwarded_from;
use crate::forwarded_from::ForwardedFrom;
use crate::forwarded_refusal;
use crate::open_requests::Wait;
use crate::retry_state::RetryState;
use crate::state::State;
use crate::upstream_selection::NextSendError;

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
    state: &Arc<State>,
    request: &CallerRequest,
    retries: &mut RetryState,
    last_event: Option<u64>,
    on_write: impl Fn(),
) -> Option<Result<UpstreamResponse, NextSendError>> {
    if request.forwarded.is_some() || request.time_left(state.now()).is_zero() {
        return None;
    }
    let mut refused = None;
    // Both instances may repeat the request, this one after a run and the other one after a refusal
    // of an upstream, each by its own budget for retries.
    let counted = std::mem::replace(&mut retries.counted, true);
    if !counted {
        state.record_first_send(&request.service);
    }
    while retries.forward_failures.len() < MAX_FORWARD_FAILURES {
        let mut targets = state.forwards.targets(state);
        targets.retain(|t| !retries.forward_failures.contains(&t.address));
        let zone = &state.settings.zone;
        let mut rng = fastrand::Rng::new();
        let Some(target) = ForwardTarget::select(&targets, zone, &mut rng) else {
            break;
        };
        if let Err(refusal) = retries.begin_run(state, request) {
            return Some(Err(NextSendError::Refused(refusal)));
        }
        let from = ForwardedFrom {
            age: state.now().since(request.arrived),
            further_runs: retries.runs_left(state, request),
            ran_at: request.ran_at.upstreams(),
            counted,
            version: state.forwards.latest_version(request.router.version),
            last_event,
            software: retries.software.clone(),
        };
        match send(state, request, target.address, from, &on_write).await {
            Forwarded::Refused(refusal) => {
                retries.take_back_run(state, request);
                let refusal = retries.after_runs(refusal);
                return Some(Err(NextSendError::Refused(refusal)));
            }
            Forwarded::NotTaken(refusal) => {
                retries.take_back_run(state, request);
                retries.forward_failures.push(target.address);
                refused = Some(refusal);
            }
            Forwarded::Lost(failure) => {
                retries.forward_failures.push(target.address);
                return Some(Err(NextSendError::Failed(failure)));
            }
            Forwarded::Ended(result) => return Some((*result).map_err(NextSendError::Failed)),
        }
    }
    state.metrics.forward("no-instance");
    refused.map(|refusal| Err(NextSendError::Refused(retries.after_runs(refusal))))
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
    state: &Arc<State>,
    request: &CallerRequest,
    target: SocketAddr,
    from: ForwardedFrom,
    on_write: impl Fn(),
) -> Forwarded {
    let guard = state.forwards.begin(state, target);
    let instance = target.to_compact_string();
    request.in_flight.waits_for(Wait::ResponseHead, &instance);
    let further_runs = from.further_runs;
    let began = state.now();
    let timeout = request.time_left(began) + DEADLINE_SLACK;
    let pool = &state.forwards.pool;
    let sending = pool.send_if(
        target,
        forwarded_request(request, from),
        timeout,
        false,
        || {
            on_write();
            true
        },
    );
    let gone = async {
        wait_until_gone(state, target).await;
        Some(Err(SendError::Broken))
    };
    let sent = sending.or(gone).await;
    let result = decode(state, request, sent);
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
    let mut req = Request::new(jd_net::full(request.body.clone()));
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

/// The response of an upstream, from another instance.
struct Begun {
    head: ResponseHead,
    http: HttpResponse,
    /// The software version of the upstream; none if the other instance does not tell.
    software: Option<SoftwareVersion>,
    /// The upstream and its start; none if the other instance does not tell.
    upstream: Option<(CompactString, UpstreamStart)>,
}

/// Why another instance sent no response of an upstream.
enum DecodeError {
    NotTaken(Refusal),
    Refused(Refusal),
    Failed(AttemptFailure),
    Lost(AttemptFailure),
}

fn decode(
    state: &State,
    request: &CallerRequest,
    sent: Option<Result<HttpResponse, SendError>>,
) -> Result<Begun, DecodeError> {
    let not_taken = |detail| Refusal::not_run(RefusalKind::NotServing, detail);
    let lost = |outcome, detail| DecodeError::Lost(failure(outcome, detail));
    match sent {
        Some(Ok(mut response)) => {
            if let Some(version) = forwarded_from::read_version(&response.headers) {
                state.forwards.version.fetch_max(version, Ordering::Relaxed);
            }
            let ran_at = forwarded_from::read_ran_at(&response.headers);
            for upstream in &ran_at {
                request.ran_at.record(upstream);
            }
            match forwarded_refusal::read(&response.headers) {
                Some(refusal) if is_not_taken(&refusal) => Err(DecodeError::NotTaken(refusal)),
                Some(refusal) if refusal.run == RunState::MayHaveRun => {
                    Err(DecodeError::Failed(failure_of(refusal)))
                }
                Some(refusal) => Err(DecodeError::Refused(refusal)),
                None => {
                    let software = forwarded_from::read_software(&response.headers);
                    let start = forwarded_from::read_start(&response.headers);
                    let upstream = ran_at.into_iter().next_back().map(|id| (id, start));
                    forwarded_from::strip(&mut response.headers);
                    let validated = validate(state, request, response);
                    let (head, http) = validated.map_err(DecodeError::Failed)?;
                    Ok(Begun {
                        head,
                        http,
                        software,
                        upstream,
                    })
                }
            }
        }
        Some(Err(SendError::NotSent)) => Err(DecodeError::NotTaken(not_taken(
            "another instance cannot be reached",
        ))),
        Some(Err(SendError::Broken)) => {
            let detail = "the connection to another instance broke";
            Err(lost(AttemptOutcome::Failed, detail))
        }
        None => {
            let detail = "another instance did not answer in time";
            Err(lost(AttemptOutcome::Silent, detail))
        }
    }
}

/// The failure of a run that another instance refused after it had sent the request.
fn failure_of(refusal: Refusal) -> AttemptFailure {
    let outcome = match refusal.kind {
        RefusalKind::DeadlinePassed => AttemptOutcome::Silent,
        _ => AttemptOutcome::Failed,
    };
    failure(outcome, refusal.detail)
}

/// True if the other instance sent the request to no upstream, and a third one may take it.
fn is_not_taken(refusal: &Refusal) -> bool {
    refusal.kind == RefusalKind::NotServing && refusal.run == RunState::NotRun
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
