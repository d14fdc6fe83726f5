//! Sends requests to upstreams, after checking that each may be sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use jd_net::Body;
use jd_net::HttpPool;
use jd_net::HttpResponse;
use jd_net::ProbeResult;
use jd_net::SendError;
use jd_net::lock;
use jd_serving::ColdStart;
use jd_serving::RequestStep;
use jd_serving::RunContents;
use jd_serving::StopTerms;
use jd_types::MonoTime;

use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_backoffs::apply_response_notices;

/// How long a permit for a rate-limited upstream is valid. A permit that was used later
/// would reach the upstream together with permits that were granted in the meantime.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// How long a permit is valid that was requested before the stages of its request ran.
const RESERVED_PERMIT_VALIDITY: Duration = Duration::from_secs(2);

/// The purpose of a request to an upstream, which decides what limits it.
#[derive(Debug, Clone)]
pub(crate) enum SendPurpose {
    /// A caller's request.
    Request {
        /// Identifies the request and the parts of its prompt, for the quarantine.
        contents: RunContents,
        /// Its priority; 0 is the most urgent.
        priority: u8,
        /// The cold-start state of the upstream.
        cold: Arc<Mutex<ColdStart>>,
        /// Until when it may be sent while this instance stops.
        stop: StopTerms,
    },
    /// A batch of stage pieces.
    Pieces,
    /// A query for free result storage, or the release of results. These are also sent to
    /// upstreams that are shutting down.
    Maintenance,
}

impl SendPurpose {
    /// The priority of the permit, 0 being the most urgent; none if no permit is required.
    fn priority(&self) -> Option<u8> {
        match self {
            SendPurpose::Request { priority, .. } => Some(*priority),
            SendPurpose::Pieces => Some(0),
            SendPurpose::Maintenance => None,
        }
    }
}

/// Permission to send one request to one upstream. Only [`UpstreamClient`] creates
/// permits, and sending consumes them.
#[derive(Debug)]
pub(crate) struct SendPermit {
    to: UpstreamRef,
    purpose: SendPurpose,
    /// When the permit was granted, if the upstream is rate limited.
    granted_at: Option<MonoTime>,
    /// How long the permit of a rate-limited upstream is valid.
    validity: Duration,
}

/// Why this instance did not send a request to a reachable upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Withheld {
    /// The reason, as logged.
    pub(crate) reason: &'static str,
    /// How long until the upstream may be tried again, if a rate limit or a backoff is
    /// the reason.
    pub(crate) retry_after: Option<Duration>,
}

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// The request was not sent, because a check failed.
    Withheld(Withheld),
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the response.
    ConnectionLost,
    /// The response has this status, which is none.
    InvalidStatus(u16),
    /// No response arrived in time.
    TimedOut,
}

/// Sends requests to upstreams. All connections to upstreams are in this pool, so that
/// rate limits, backoffs, the quarantine and cold-start limits are checked for every send.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    pool: HttpPool,
}

impl UpstreamClient {
    pub(crate) fn new(pool: HttpPool) -> UpstreamClient {
        UpstreamClient { pool }
    }

    /// Requests permission to send to an upstream. Asks the limiter of the upstream if the
    /// upstream is rate limited.
    pub(crate) async fn permit(
        &self,
        state: &State,
        to: UpstreamRef,
        purpose: SendPurpose,
    ) -> Result<SendPermit, Withheld> {
        let notice = state.limits.notice(&to.id);
        let notice = notice.filter(|n| n.limit.is_some());
        let permit = SendPermit {
            granted_at: notice.map(|_| state.now()),
            validity: PERMIT_VALIDITY,
            to,
            purpose,
        };
        permit.check(state)?;
        let (Some(notice), Some(priority)) = (notice, permit.purpose.priority()) else {
            return Ok(permit);
        };
        let asked = state.limiters.acquire(state, &permit.to, notice, priority);
        if let Err(wait) = asked.await {
            state
                .permit_retries
                .record_denied(state.now(), &permit.to.id, wait);
            return Err(Withheld {
                reason: "the upstream takes no more for now",
                retry_after: Some(wait),
            });
        }
        let granted_at = Some(state.now());
        Ok(SendPermit {
            granted_at,
            ..permit
        })
    }

    /// Sends a request and waits at most `timeout` for the head of its response. The checks
    /// are repeated once a connection is available, and `on_write` is called after they
    /// pass, with the request as it is about to be written. Without the second check, a request that waits for a connection would be sent
    /// to an upstream that was removed in the meantime.
    pub(crate) async fn send(
        &self,
        state: &State,
        permit: SendPermit,
        req: Request<Body>,
        timeout: Duration,
        on_write: impl Fn(&mut Request<Body>),
    ) -> Result<HttpResponse, SendFailure> {
        let withheld = Mutex::new(None);
        let counted = AtomicBool::new(false);
        let may_send = |req: &mut Request<Body>| {
            // The pool calls this again for a request that it retries after a dead
            // connection; the request is counted once.
            let checked = match counted.swap(true, Ordering::Relaxed) {
                true => permit.check_current(state),
                false => permit.consume(state),
            };
            match checked {
                Ok(()) => on_write(req),
                Err(why) => *lock(&withheld) = Some(why),
            }
            checked.is_ok()
        };
        let pool = &self.pool;
        let sent = pool.send_if(permit.to.address, req, timeout, false, may_send);
        let sent = sent.await;
        match (sent, lock(&withheld).take()) {
            (_, Some(why)) => Err(SendFailure::Withheld(why)),
            (Some(Ok(response)), None) => {
                if response.opened {
                    state.path.record_opened(state, permit.to.address);
                }
                apply_response_notices(state, &permit.to, &response);
                Ok(response)
            }
            (Some(Err(SendError::NotSent)), None) => {
                state.path.record_failed(state, permit.to.address);
                Err(SendFailure::ConnectFailed)
            }
            (Some(Err(SendError::Broken)), None) => Err(SendFailure::ConnectionLost),
            (Some(Err(SendError::InvalidStatus { status })), None) => {
                Err(SendFailure::InvalidStatus(status))
            }
            (None, None) => Err(SendFailure::TimedOut),
        }
    }

    /// Closes idle connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Closes the connections to `address` that have been idle for as long as a request on another
    /// one has been silent.
    pub(crate) fn close_idle_for(&self, address: SocketAddr, silent_for: Duration) {
        self.pool.close_idle_for(address, silent_for);
    }

    /// True if a connection to `address` is open that the upstream has not closed: an idle one, or one
    /// that was opened before `time`.
    pub(crate) fn is_connected(&self, address: SocketAddr, time: MonoTime) -> bool {
        self.pool.is_connected(address, time)
    }

    /// Tests whether a connection to `address` can be opened. Sends no request.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeResult {
        self.pool.probe(address).await
    }

    /// The same, and whether the connection stays open for this long.
    pub(crate) async fn probe_for(&self, address: SocketAddr, time: Duration) -> ProbeResult {
        self.pool.probe_for(address, time).await
    }
}

impl SendPermit {
    /// The same permit with the longer validity that covers the stages of its request.
    pub(crate) fn reserved(self) -> SendPermit {
        SendPermit {
            validity: RESERVED_PERMIT_VALIDITY,
            ..self
        }
    }

    /// Checks whether the request may be sent now, including the cold-start limit.
    fn check(&self, state: &State) -> Result<(), Withheld> {
        self.check_current(state)?;
        match &self.purpose {
            SendPurpose::Request { cold, .. } if !self.has_cold_capacity(state, cold) => {
                Err(Withheld {
                    reason: "the upstream has just started and bears no more",
                    retry_after: None,
                })
            }
            _ => Ok(()),
        }
    }

    /// Checks backoff, listing, quarantine and permit against the current state, which may
    /// have changed since the upstream was selected.
    fn check_current(&self, state: &State) -> Result<(), Withheld> {
        let now = state.now();
        let withheld = |reason| {
            Err(Withheld {
                reason,
                retry_after: None,
            })
        };
        let request_again = |reason| {
            let wait = Some(Duration::ZERO);
            Err(Withheld {
                reason,
                retry_after: wait,
            })
        };
        let UpstreamRef {
            id, start, address, ..
        } = &self.to;
        if let Some(left) = state.backoffs.backoff(now, *address, id, *start) {
            return Err(Withheld {
                reason: "the upstream wants nothing for a while",
                retry_after: Some(left),
            });
        }
        let is_limited = state.limits.limit(&self.to.id).is_some();
        let listed = || {
            let table = state.upstreams.load();
            table.lists_at(&self.to.id, self.to.address)
        };
        match &self.purpose {
            // Storage is not worth a part of the rate limit: results expire by themselves.
            SendPurpose::Maintenance if is_limited => withheld("the upstream names a limit"),
            SendPurpose::Maintenance => Ok(()),
            SendPurpose::Request { .. } | SendPurpose::Pieces if !listed() => {
                withheld("the upstream gets nothing new any more")
            }
            SendPurpose::Request { stop, .. }
                if state.shutdown.check(now, RequestStep::Send, stop).is_err() =>
            {
                withheld("the request could not end before this instance")
            }
            SendPurpose::Request { contents, .. }
                if state.quarantine.hold(now, contents).is_some() =>
            {
                withheld("the request or a part of its prompt ends upstreams")
            }
            SendPurpose::Request { .. } | SendPurpose::Pieces => match self.granted_at {
                _ if !is_limited => Ok(()),
                None => request_again("the upstream names a limit by now"),
                Some(at) if now.since(at) > self.validity => request_again("the permit has lapsed"),
                Some(_) => Ok(()),
            },
        }
    }

    /// Checks once more whether the request may be sent, and counts it against the
    /// cold-start limit.
    fn consume(&self, state: &State) -> Result<(), Withheld> {
        self.check(state)?;
        if let SendPurpose::Request { cold, .. } = &self.purpose
            && let Some(spec) = state.cold_spec(&self.to.service)
        {
            lock(cold).record_sent(state.now(), spec);
        }
        Ok(())
    }

    /// True if the upstream is warm, or if this instance has capacity left in its share of
    /// the cold-start limit.
    fn has_cold_capacity(&self, state: &State, cold: &Mutex<ColdStart>) -> bool {
        let now = state.now();
        let Some(spec) = state.cold_spec(&self.to.service) else {
            return true;
        };
        if !lock(cold).is_cold(now, spec) {
            return true;
        }
        // Computed while `cold` is not locked; see `SelectionFilter::cold_allows`.
        let position = state.fleet_position(self.to.address);
        lock(cold).may_send(now, spec, position)
    }
}
