//! The endpoint for callers' requests.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::HOST;
use http::request::Parts;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::BodyReadError;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::read_bounded;
use jd_net::with_timeout;
use jd_serving::CallHead;
use jd_serving::Caller;
use jd_serving::Content;
use jd_serving::Prompt;
use jd_serving::RetryMode;
use jd_serving::Route;
use jd_serving::RouteKey;
use jd_serving::Router;
use jd_serving::RunContents;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::caller_request::CallerRequest;
use crate::open_requests::InFlight;
use crate::ran_at::RanAt;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::streaming_call;
use crate::unary_call;

/// The retry time of a request that this instance refuses because its configuration is
/// missing or not proven current. An instance that has just started has it within a second.
/// Callers retry once, so that an earlier retry would end in a final failure.
const UNPROVEN_RETRY: Duration = Duration::from_millis(1_000);
/// How long a request waits for the first read of the store after a start, which takes about
/// 20 ms. This is an eighth of the shortest objective of prompts.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(80);
/// The retry time of a request that this instance has no time for: others take it at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);
/// How long the body of a request may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles the requests of callers.
#[derive(Debug)]
pub(crate) struct CallerApi {
    pub(crate) state: Arc<State>,
    pub(crate) stages: Arc<StageRunner>,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let arrived = self.state.now();
            let mut res = self.respond(arrived, req).await;
            if self.state.is_leaving() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            res
        })
    }
}

impl CallerApi {
    async fn respond(&self, arrived: MonoTime, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let head = self.state.dialect.call_head(&parts);
        let id = head.request_id.clone();
        let mut contents = None;
        let ended = match self.admit(arrived, head, parts, body).await {
            Ok(request) => {
                contents = Some(request.contents.clone());
                self.run(request).await
            }
            Err(refusal) => Err(refusal),
        };
        match ended {
            Ok(res) => res,
            Err(refusal) => {
                let id = id.as_deref().unwrap_or("");
                self.refuse(arrived, id, contents.as_ref(), &refusal)
            }
        }
    }

    /// Runs a request. If this instance stops and ends first, it is answered before that.
    pub(crate) async fn run(&self, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        let begun_runs = Arc::clone(&request.begun_runs);
        let ending = async { Err(self.until_end(&begun_runs).await) };
        self.run_admitted(request).or(ending).await
    }

    /// Returns the refusal of a request that has not been answered shortly before this instance ends.
    /// A request that may have run waits longer, since its upstream may still respond.
    async fn until_end(&self, begun_runs: &AtomicU32) -> Refusal {
        let State {
            shutdown, clock, ..
        } = &*self.state;
        shutdown.until(*clock, |plan| plan.unsent_until).await;
        let may_run = || begun_runs.load(Ordering::Relaxed) > 0;
        if may_run() {
            shutdown.until(*clock, |plan| plan.unanswered_until).await;
        }
        match may_run() {
            true => may_have_run(RefusalKind::UpstreamFailed, "the instance stops"),
            false => stopping(),
        }
    }

    async fn run_admitted(&self, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        request.check_quarantine(&self.state, 0)?;
        match request.route().retry_mode {
            RetryMode::Idempotent | RetryMode::Once => unary_call::run(&self.state, request).await,
            RetryMode::Resumable | RetryMode::StreamOnce => {
                streaming_call::run(&self.state, &self.stages, request).await
            }
        }
    }

    /// Reads the request and decides whether it may run. The body is read before any refusal:
    /// closing a connection with unread bytes resets it, and the caller would not receive the
    /// refusal.
    pub(crate) async fn admit(
        &self,
        arrived: MonoTime,
        head: CallHead,
        parts: Parts,
        body: Incoming,
    ) -> Result<CallerRequest, Refusal> {
        let id = head.request_id.as_deref().unwrap_or("");
        let in_flight = InFlight::begin(&self.state, id, arrived);
        let router = self.state.router.load_full();
        let limits = router.as_ref().map(|r| r.limits).unwrap_or_default();
        let ending = async {
            let State {
                shutdown, clock, ..
            } = &*self.state;
            shutdown.until(*clock, |plan| plan.unsent_until).await;
            Err(stopping())
        };
        let body = read_body(body, limits.body_bytes).or(ending).await?;
        if let Some(detail) = &head.invalid {
            return Err(Refusal::not_run(RefusalKind::Malformed, detail.clone()));
        }
        if router.is_none() {
            self.wait_for_first_read().await;
        }
        // Use the configuration that is in force after the body was read.
        let router = self.state.router.load_full();
        let router = router.ok_or_else(|| unproven("no configuration is known here yet"))?;
        let route = self.find_route(&router, &parts)?;
        let spec = router.route(route);
        let caller = authenticate(&router, spec, &head)?;
        let wait = head.deadline.unwrap_or(spec.timeout).min(spec.timeout);
        let seed = head.prompt.as_ref().map(Prompt::session);
        let service = spec.target(seed.unwrap_or_else(|| fastrand::u64(..)));
        let customer = caller.map(|c| c.customer.clone());
        let content = content_of(&parts, customer.as_deref(), &body);
        let service = service.cloned().ok_or_else(|| {
            Refusal::not_run(RefusalKind::NoUpstream, "the route leads to no service")
        })?;
        let prompt = head.prompt.as_ref();
        let contents = RunContents::new(content, &service, customer.as_deref(), prompt);
        in_flight.admitted(contents.request, arrived + wait);
        Ok(CallerRequest {
            route,
            priority: caller.and_then(|c| c.priority).unwrap_or(spec.priority),
            customer,
            arrived,
            deadline: arrived + wait,
            service,
            head,
            parts,
            body,
            contents,
            begun_runs: Arc::default(),
            ran_at: RanAt::default(),
            forwarded: None,
            _running_forward: None,
            _route_use: router.begin_request(route),
            in_flight,
            router,
        })
    }

    /// Waits for the first configuration, at most [`FIRST_READ_TIMEOUT`].
    ///
    /// After a failure of all instances, callers retry at the moment at which the instances
    /// start. When these requests were refused with a retry time of a second, one in ten of
    /// that second's requests was late without need.
    async fn wait_for_first_read(&self) {
        let until = self.state.now() + FIRST_READ_TIMEOUT;
        let read = async {
            while self.state.router.load().is_none() {
                let changes = self.state.changes.listen();
                if self.state.router.load().is_none() {
                    changes.await;
                }
            }
        };
        let timeout = until.since(self.state.now());
        if with_timeout(timeout, read).await.is_none() {
            log::info!("no configuration read yet; requests are refused");
        }
    }

    /// The route of a request, if the configuration here is proven recent enough or the route
    /// needs no credential.
    ///
    /// A credential may have been revoked, and a credential or route that is unknown here may
    /// have been added, since the configuration was last proven to be in force. A
    /// configuration that was proven when the request arrived is valid for the whole request,
    /// since the caller had sent it by then.
    fn find_route(&self, router: &Router, parts: &Parts) -> Result<RouteKey, Refusal> {
        let host = host_of(parts);
        let route = router.find(host, parts.uri.path());
        let open = route.is_some_and(|r| !router.needs_credential(router.route(r)));
        if !open && !self.state.is_fresh() {
            return Err(unproven("what is known here is too old to act on"));
        }
        route.ok_or_else(|| {
            let detail = format_compact!("no route for host `{host}` and this path");
            Refusal::not_run(RefusalKind::UnknownPipeline, detail)
        })
    }

    fn refuse(
        &self,
        arrived: MonoTime,
        id: &str,
        contents: Option<&RunContents>,
        refusal: &Refusal,
    ) -> Response<Body> {
        let now = self.state.now();
        let took = now.since(arrived);
        self.state.metrics.request(refusal.kind.as_str(), took);
        let proof_ms = self.state.proof_age().map(|a| a.as_millis() as u64);
        let config = self.state.router.load().as_ref().map(|r| r.version);
        // Empty for a request that was refused before its body was read.
        let content = contents.map(|c| c.request.to_string()).unwrap_or_default();
        let hold = contents.and_then(|c| self.state.quarantine.hold(now, c));
        let held = hold.map(|h| h.content.to_string()).unwrap_or_default();
        let held_part = hold.and_then(|h| h.part).map(|p| p.to_string());
        let held_part = held_part.unwrap_or_default();
        log::info!(
            request = id,
            content = content.as_str(),
            held = held.as_str(),
            held_part = held_part.as_str(),
            config:? = config,
            outcome = refusal.kind.as_str(),
            run = refusal.run.as_str(),
            detail = refusal.detail.as_str(),
            ms = took.as_millis() as u64,
            path_lost = self.state.path.is_lost(),
            proof_ms:? = proof_ms;
            "refused"
        );
        self.state.dialect.refusal(refusal)
    }
}

/// The content of a request: its host, method, target, customer and body.
fn content_of(parts: &Parts, customer: Option<&str>, body: &[u8]) -> Content {
    let target = parts.uri.path_and_query().map_or("", |t| t.as_str());
    Content::of(&[
        host_of(parts).as_bytes(),
        parts.method.as_str().as_bytes(),
        target.as_bytes(),
        customer.unwrap_or("").as_bytes(),
        body,
    ])
}

/// The caller of a request; none if the route needs no credential.
fn authenticate<'a>(
    router: &'a Router,
    route: &Route,
    head: &CallHead,
) -> Result<Option<&'a Caller>, Refusal> {
    if !router.needs_credential(route) {
        return Ok(None);
    }
    let shown = head.credential.as_deref();
    let caller = shown.and_then(|c| router.caller(c)).ok_or_else(|| {
        let detail = "the credential is missing or not in force";
        Refusal::not_run(RefusalKind::Unauthenticated, detail)
    })?;
    Ok(Some(caller))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match with_timeout(BODY_TIMEOUT, read_bounded(body, limit)).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(e @ BodyReadError::TooLarge { .. })) => {
            Err(Refusal::not_run(RefusalKind::TooLarge, e.to_string()))
        }
        Some(Err(e @ BodyReadError::Truncated)) => {
            Err(Refusal::not_run(RefusalKind::Malformed, e.to_string()))
        }
        None => {
            let detail = "the body did not arrive in time";
            Err(Refusal::not_run(RefusalKind::Malformed, detail))
        }
    }
}

pub(crate) fn host_of(parts: &Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or("");
    host.split_once(':').map_or(host, |(name, _)| name)
}

fn unproven(detail: &'static str) -> Refusal {
    Refusal::not_run(RefusalKind::NotServing, detail).with_retry_after(UNPROVEN_RETRY)
}

/// The refusal of a request that this instance has no time for because it stops.
pub(crate) fn stopping() -> Refusal {
    let detail = "the instance stops; ask another one";
    Refusal::not_run(RefusalKind::NotServing, detail).with_retry_after(STOPPING_RETRY)
}

/// The refusal of a request that was sent to an upstream and may have run.
pub(crate) fn may_have_run(kind: RefusalKind, detail: impl Into<CompactString>) -> Refusal {
    Refusal {
        kind,
        run: RunState::MayHaveRun,
        detail: detail.into(),
        retry_after: None,
    }
}
