//! Runs the requests that other instances forward.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use jd_net::Body;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::caller_api::CallerApi;
use crate::caller_body;
use crate::caller_request::CallerRequest;
use crate::forwarded_from;
use crate::forwarded_from::ForwardedFrom;
use crate::forwarded_refusal;
use crate::ran_at::RanAt;
use crate::state::State;

/// Forwarded requests that are run at a time. Bounds the memory that the requests of instances
/// without a path take beside those of own callers.
const MAX_RUNNING: usize = 256;

/// The retry time of a request that neither instance takes: until heartbeats have told of others.
const NOT_TAKEN_RETRY: Duration = Duration::from_millis(500);

/// Counts a forwarded request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningForward(Arc<State>);

impl RunningForward {
    /// Counts a forwarded request; none if too many are running.
    fn begin(state: &Arc<State>) -> Option<RunningForward> {
        let running = RunningForward(Arc::clone(state));
        let before = running.count().fetch_add(1, Ordering::Relaxed);
        (before < MAX_RUNNING).then_some(running)
    }

    fn count(&self) -> &AtomicUsize {
        &self.0.forwards_running
    }
}

impl Drop for RunningForward {
    fn drop(&mut self) {
        self.count().fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerApi {
    /// Runs a request that another instance forwards, by what is in force here: its customer,
    /// route and credential are checked again. It is not forwarded any further.
    pub(crate) async fn respond_forwarded(
        &self,
        from: ForwardedFrom,
        req: Request<Incoming>,
    ) -> Response<Body> {
        let ran_at = RanAt::new(from.ran_at.clone());
        let ended = self.run_forwarded(from, req, &ran_at).await;
        self.state.metrics.forward(match &ended {
            Ok(_) => "run-for-another",
            Err(_) => "refused-for-another",
        });
        let mut res = ended.unwrap_or_else(|refusal| forwarded_refusal::response(&refusal));
        forwarded_from::write_version(res.headers_mut(), self.state.deployment_version());
        forwarded_from::write_ran_at(res.headers_mut(), &ran_at.upstreams());
        res
    }

    async fn run_forwarded(
        &self,
        from: ForwardedFrom,
        req: Request<Incoming>,
        ran_at: &RanAt,
    ) -> Result<Response<Body>, Refusal> {
        let state = &self.state;
        let running = RunningForward::begin(state);
        let (mut parts, mut body) = req.into_parts();
        if let Err(refusal) = self.check_forward(running.as_ref(), &from, None) {
            // The other instance may read the refusal only after it has sent the whole body.
            let limits = state.router.load().as_ref().map(|r| r.limits);
            caller_body::discard_all(&mut body, limits.unwrap_or_default().body_bytes).await;
            return Err(refusal);
        }
        forwarded_from::strip(&mut parts.headers);
        let mut head = state.dialect.call_head(&parts);
        head.last_event = from.last_event.or(head.last_event);
        let arrived = state.now().before(from.age);
        let admitted = Box::pin(self.admit(arrived, head, parts, body)).await;
        let admitted = admitted.map_err(|rejected| match rejected.refusal.kind {
            // Another instance may have memory for the body.
            RefusalKind::Overloaded => not_taken(&rejected.refusal.detail),
            _ => rejected.refusal,
        })?;
        self.check_forward(running.as_ref(), &from, Some(admitted.router.version))?;
        let request = CallerRequest {
            ran_at: ran_at.clone(),
            forwarded: Some(from),
            _running_forward: running,
            ..admitted
        };
        let id = request.head.request_id.clone();
        let first_send = request.first_send.clone();
        let ended = Box::pin(self.run(request)).await;
        ended.map_err(|refusal| {
            log::info!(
                request = id.as_deref().unwrap_or(""),
                outcome = refusal.kind.as_str(),
                run = refusal.run.as_str(),
                detail = refusal.detail.as_str();
                "forwarded request refused"
            );
            match refusal.run {
                // An upstream that rejected it has received it: another instance's send would be a
                // retry that nobody counts.
                RunState::NotRun if state.path.is_lost() && !first_send.is_taken() => {
                    not_taken(&refusal.detail)
                }
                _ => refusal,
            }
        })
    }
}

impl CallerApi {
    /// Refuses a request that another instance may take, by the configuration's version by which it
    /// was admitted, or by the one in force before that.
    fn check_forward(
        &self,
        running: Option<&RunningForward>,
        from: &ForwardedFrom,
        version: Option<u64>,
    ) -> Result<(), Refusal> {
        let state = &self.state;
        let in_force = || state.router.load().as_ref().map(|r| r.version);
        match version.or_else(in_force) {
            _ if running.is_none() => Err(not_taken("too many forwarded requests")),
            _ if state.is_leaving() => Err(not_taken("the instance is shutting down")),
            _ if state.path.is_lost() => Err(not_taken("no upstream can be connected to")),
            // Two instances that take turns must not go back to an earlier version.
            Some(version) if version < from.version => {
                Err(not_taken("a later version is in force elsewhere"))
            }
            _ => Ok(()),
        }
    }
}

/// The refusal of a request that another instance may take.
fn not_taken(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::NotServing, detail).with_retry_after(NOT_TAKEN_RETRY)
}
