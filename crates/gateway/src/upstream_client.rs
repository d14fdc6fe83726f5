//! The one way from this instance to an upstream.

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
use jd_serving::Content;
use jd_types::MonoTime;

use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_backoffs::apply_response_notices;

/// How long a permit for an upstream that names a limit lasts. Used later, it would
/// arrive together with those that were given out meanwhile.
const PERMIT_LASTS: Duration = Duration::from_millis(500);
/// How long one lasts that was asked for before the stages of its request.
const RESERVED_LASTS: Duration = Duration::from_secs(2);

/// What is sent to an upstream.
#[derive(Debug, Clone)]
pub(crate) enum SendPurpose {
    /// A caller's request.
    Request {
        /// What it is.
        content: Content,
        /// Its rank; 0 is the most urgent.
        priority: u8,
        /// What is known of the upstream's last start.
        cold: Arc<Mutex<ColdStart>>,
    },
    /// A call for pieces of stages.
    Pieces,
    /// A question for room, or results that are given up. It goes to upstreams that leave
    /// as well.
    Maintenance,
}

impl SendPurpose {
    /// How urgent it is, 0 most of all; none for what no permit is asked for.
    fn priority(&self) -> Option<u8> {
        match self {
            SendPurpose::Request { priority, .. } => Some(*priority),
            SendPurpose::Pieces => Some(0),
            SendPurpose::Maintenance => None,
        }
    }
}

/// Leave to send one request to one upstream. Only the gate makes it, and sending uses
/// it up.
#[derive(Debug)]
pub(crate) struct SendPermit {
    to: UpstreamRef,
    purpose: SendPurpose,
    /// When it was given out for an upstream that names a limit; none if it named none.
    limited: Option<MonoTime>,
    /// How long it lasts in that case.
    lasts: Duration,
}

/// Why something was not sent, though it could have been.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Withheld {
    /// In words.
    pub(crate) reason: &'static str,
    /// How long until it may be asked again, where the upstream names a limit or wants
    /// nothing for a while.
    pub(crate) retry_after: Option<Duration>,
}

/// Why a send brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// Nothing was sent, since it may not be any more.
    Withheld(Withheld),
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke.
    ConnectionLost,
    /// Nothing came back in time.
    TimedOut,
}

/// The one way from this instance to an upstream. Nothing else holds connections to
/// upstreams, so that what bounds a send is asked for here, whichever way it takes.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    pool: HttpPool,
}

impl UpstreamClient {
    pub(crate) fn new(pool: HttpPool) -> UpstreamClient {
        UpstreamClient { pool }
    }

    /// Leave to send something to an upstream.
    pub(crate) async fn permit(
        &self,
        state: &State,
        to: UpstreamRef,
        purpose: SendPurpose,
    ) -> Result<SendPermit, Withheld> {
        let notice = state.limits.notice(&to.id);
        let notice = notice.filter(|n| n.limit.is_some());
        let permit = SendPermit {
            limited: notice.map(|_| state.now()),
            lasts: PERMIT_LASTS,
            to,
            purpose,
        };
        permit.check(state)?;
        let (Some(notice), Some(priority)) = (notice, permit.purpose.priority()) else {
            return Ok(permit);
        };
        let asked = state.limiters.acquire(state, &permit.to, notice, priority);
        if let Err(wait) = asked.await {
            state.permit_retries.note(state.now(), &permit.to.id, wait);
            return Err(Withheld {
                reason: "the upstream takes no more for now",
                retry_after: Some(wait),
            });
        }
        let limited = Some(state.now());
        Ok(SendPermit { limited, ..permit })
    }

    /// Sends a request and waits at most `patience` for the head of its answer. What
    /// bounds sends is looked at again once a connection is there to take it, and
    /// `written` is called after that.
    ///
    /// Guards against requests that are sent to an upstream which was left while they
    /// waited for a connection.
    pub(crate) async fn send(
        &self,
        state: &State,
        permit: SendPermit,
        req: Request<Body>,
        patience: Duration,
        written: impl Fn(),
    ) -> Result<HttpResponse, SendFailure> {
        let withheld = Mutex::new(None);
        let counted = AtomicBool::new(false);
        let may_send = || {
            // A request that a dead connection hands back is counted once.
            let checked = match counted.swap(true, Ordering::Relaxed) {
                true => permit.check_without_cold(state),
                false => permit.use_up(state),
            };
            match checked {
                Ok(()) => written(),
                Err(why) => *lock(&withheld) = Some(why),
            }
            checked.is_ok()
        };
        let pool = &self.pool;
        let sent = pool.send_if(permit.to.address, req, patience, false, may_send);
        let sent = sent.await;
        match (sent, lock(&withheld).take()) {
            (_, Some(why)) => Err(SendFailure::Withheld(why)),
            (Some(Ok(response)), None) => {
                apply_response_notices(state, &permit.to, &response);
                Ok(response)
            }
            (Some(Err(SendError::NotSent)), None) => Err(SendFailure::ConnectFailed),
            (Some(Err(SendError::Broken)), None) => Err(SendFailure::ConnectionLost),
            (None, None) => Err(SendFailure::TimedOut),
        }
    }

    /// Closes idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Whether anybody answers at an address. Nothing is asked there.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeResult {
        self.pool.probe(address).await
    }
}

impl SendPermit {
    /// The same permit, kept while the stages of its request are done.
    pub(crate) fn reserved(self) -> SendPermit {
        SendPermit {
            lasts: RESERVED_LASTS,
            ..self
        }
    }

    /// Whether it may be sent, by what is known now.
    fn check(&self, state: &State) -> Result<(), Withheld> {
        self.check_without_cold(state)?;
        match &self.purpose {
            SendPurpose::Request { cold, .. } if !self.bears(state, cold) => Err(Withheld {
                reason: "the upstream has just started and bears no more",
                retry_after: None,
            }),
            _ => Ok(()),
        }
    }

    /// Whether anything was heard since the upstream was chosen that forbids it.
    fn check_without_cold(&self, state: &State) -> Result<(), Withheld> {
        let now = state.now();
        let withheld = |reason| {
            Err(Withheld {
                reason,
                retry_after: None,
            })
        };
        let ask_anew = |reason| {
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
            // Room for its results is the least of its needs, and they lapse.
            SendPurpose::Maintenance if is_limited => withheld("the upstream names a limit"),
            SendPurpose::Maintenance => Ok(()),
            SendPurpose::Request { .. } | SendPurpose::Pieces if !listed() => {
                withheld("the upstream gets nothing new any more")
            }
            SendPurpose::Request { content, .. }
                if state.quarantine.time_left(now, *content).is_some() =>
            {
                withheld("the request ends upstreams")
            }
            SendPurpose::Request { .. } | SendPurpose::Pieces => match self.limited {
                _ if !is_limited => Ok(()),
                None => ask_anew("the upstream names a limit by now"),
                Some(at) if now.since(at) > self.lasts => ask_anew("the permit has lapsed"),
                Some(_) => Ok(()),
            },
        }
    }

    /// Looks once more whether it may be sent, and counts it.
    fn use_up(&self, state: &State) -> Result<(), Withheld> {
        self.check(state)?;
        if let SendPurpose::Request { cold, .. } = &self.purpose
            && let Some(spec) = state.cold_spec(&self.to.service)
        {
            lock(cold).record_sent(state.now(), spec);
        }
        Ok(())
    }

    /// True if the upstream is warm, or this instance has a part left of what it bears.
    fn bears(&self, state: &State, cold: &Mutex<ColdStart>) -> bool {
        let now = state.now();
        let Some(spec) = state.cold_spec(&self.to.service) else {
            return true;
        };
        if !lock(cold).is_cold(now, spec) {
            return true;
        }
        // Asked for while nothing is locked.
        let place = state.fleet_place(self.to.address);
        lock(cold).may_send(now, spec, place)
    }
}
