//! An admitted request of a caller.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use http::request::Parts;
use jd_serving::CallHead;
use jd_serving::PromptDemand;
use jd_serving::Route;
use jd_serving::RouteKey;
use jd_serving::RouteUse;
use jd_serving::Router;
use jd_serving::RunContents;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::splitmix64;

use crate::caller_api::host_of;
use crate::caller_api::may_have_run;
use crate::caller_body::CallerBody;
use crate::forward_api::RunningForward;
use crate::forwarded_from::ForwardedFrom;
use crate::open_requests::InFlight;
use crate::ran_at::RanAt;
use crate::retry_counts::FirstSend;
use crate::running_request::RunningRequest;
use crate::state::State;

/// An admitted request of a caller, with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) router: Arc<Router>,
    pub(crate) route: RouteKey,
    pub(crate) customer: Option<CompactString>,
    pub(crate) priority: u8,
    pub(crate) arrived: MonoTime,
    /// When it was complete.
    pub(crate) taken_at: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) service: CompactString,
    pub(crate) head: CallHead,
    pub(crate) parts: Parts,
    pub(crate) body: CallerBody,
    /// Identifies the request, the same if the caller sends it again, and the parts of its prompt.
    pub(crate) contents: RunContents,
    /// How often it may have run, by what was sent from here so far.
    pub(crate) begun_runs: Arc<AtomicU32>,
    /// The upstreams at which it may have run, at all instances.
    pub(crate) ran_at: RanAt,
    /// The first send from here, which is no retry.
    pub(crate) first_send: FirstSend,
    /// Set if another instance took the request from its caller.
    pub(crate) forwarded: Option<ForwardedFrom>,
    /// Counts the request as running until it is dropped.
    pub(crate) _running: RunningRequest,
    pub(crate) _running_forward: Option<RunningForward>,
    /// Counts the request on its route until it is dropped.
    pub(crate) _route_use: RouteUse,
    /// Keeps the request among those in flight, with what it waits for.
    pub(crate) in_flight: InFlight,
}

impl CallerRequest {
    pub(crate) fn route(&self) -> &Route {
        self.router.route(self.route)
    }

    /// The runs that its route allows in the configuration that is in force by now; none if there is
    /// no such route, or if that is still the configuration by which it was admitted.
    pub(crate) fn changed_allowed_runs(&self, state: &State) -> Option<u32> {
        let router = state.router.load();
        let router = router.as_ref()?;
        if router.version == self.router.version {
            return None;
        }
        let key = router.find(host_of(&self.parts), self.parts.uri.path())?;
        Some(router.route(key).allowed_runs())
    }

    /// The request ID that the caller sent; empty if none.
    pub(crate) fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or("")
    }

    /// A hash of the customer that the request belongs to; 0 if it has none.
    pub(crate) fn customer_hash(&self) -> u64 {
        let name = self.customer.as_deref().unwrap_or("");
        name.bytes().fold(0, |h, b| splitmix64(h ^ u64::from(b)))
    }

    /// Refuses the request if it or a part of its prompt is quarantined because it crashes
    /// upstreams. `runs` is the number of times that it may have run so far. Called before each
    /// send.
    pub(crate) fn check_quarantine(&self, state: &State, runs: u32) -> Result<(), Refusal> {
        let Some(hold) = state.quarantine.hold(state.now(), &self.contents) else {
            return Ok(());
        };
        let left = hold.left;
        let detail = match hold.part {
            None => "upstreams that ran this request ended, one after the other".into(),
            Some(part) => format_compact!(
                "upstreams ended, one after the other, as they began answers on a part of its prompt ({part})"
            ),
        };
        Err(match runs {
            0 => Refusal::not_run(RefusalKind::Quarantined, detail).with_retry_after(left),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        })
    }

    /// Returns the refusal of a request that is put under quarantine before it is sent.
    pub(crate) async fn until_quarantined(&self, state: &State) -> Refusal {
        loop {
            let decided = state.quarantine.listen();
            if let Err(refusal) = self.check_quarantine(state, 0) {
                return refusal;
            }
            decided.await;
        }
    }

    /// True if the request has stages that have to run before it.
    pub(crate) fn has_stages(&self) -> bool {
        let numbered = 0..self.route().stages.len();
        let mut pieces = numbered.map(|n| self.head.pieces.get(n).copied().unwrap_or(0));
        pieces.any(|pieces| pieces > 0)
    }

    /// How long ago a stream on this route may have begun that its caller still resumes: both bounds
    /// of a caller's patience, one for the first attempt and one for the later ones.
    pub(crate) fn max_stream_age(&self) -> Duration {
        let patience = self.head.deadline.unwrap_or_default();
        patience.max(self.route().timeout).saturating_mul(2)
    }

    /// The prompt, if the owner of a shard is to select its upstream: where an upstream that reads
    /// a long prompt would make the other streams there late.
    pub(crate) fn prompt_demand(&self) -> Option<PromptDemand> {
        let max_pause = self.route().short_event_gap()?;
        let prompt = self.head.prompt.as_ref()?;
        let is_placed = self.router.tracks_pace(&self.service);
        is_placed.then(|| PromptDemand {
            service: self.service.clone(),
            session: prompt.session(),
            tokens_in: prompt.tokens_in,
            tokens_out: prompt.tokens_out,
            shared_tokens: prompt.shared_tokens(),
            max_pause,
        })
    }

    /// The time until the deadline of the request.
    pub(crate) fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }

    /// When the response has to begin to meet the objective of the route.
    pub(crate) fn objective_deadline(&self) -> MonoTime {
        self.arrived + self.route().objective
    }
}
