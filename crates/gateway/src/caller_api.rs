//! Where callers' requests come in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
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
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::caller_request::CallerRequest;
use crate::stage_runner::StageRunner;
use crate::state::State;
use crate::streaming_call;
use crate::unary_call;

/// When to come back to an instance that does not know what is in force. One
/// that has just started knows within a second; the users' callers come back
/// once, and sooner they would be refused for good.
const UNPROVEN_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a request waits for this process's first reading of the store, which
/// takes about 20 ms. An eighth of the shortest objectives of prompts.
const FIRST_READ_WAIT: Duration = Duration::from_millis(80);
/// How long a request's body may take to arrive.
const BODY_WITHIN: Duration = Duration::from_secs(10);

/// Answers callers.
#[derive(Debug)]
pub(crate) struct CallerApi {
    pub(crate) state: Arc<State>,
    pub(crate) stages: Arc<StageRunner>,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let arrived = self.state.now();
            let mut res = self.answer(arrived, req).await;
            if self.state.is_leaving() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            res
        })
    }
}

impl CallerApi {
    async fn answer(&self, arrived: MonoTime, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let head = self.state.dialect.call_head(&parts);
        let id = head.request_id.clone();
        let mut content = None;
        let ended = match self.admit(arrived, head, parts, body).await {
            Ok(request) => {
                content = Some(request.content);
                self.run(request).await
            }
            Err(refusal) => Err(refusal),
        };
        match ended {
            Ok(res) => res,
            Err(refusal) => {
                let id = id.as_deref().unwrap_or("");
                self.refuse(arrived, id, content, &refusal)
            }
        }
    }

    async fn run(&self, request: CallerRequest) -> Result<Response<Body>, Refusal> {
        request.check_quarantine(&self.state, 0)?;
        match request.route().retry_mode {
            RetryMode::Idempotent | RetryMode::Once => unary_call::run(&self.state, request).await,
            RetryMode::Resumable | RetryMode::StreamOnce => {
                streaming_call::run(&self.state, &self.stages, request).await
            }
        }
    }

    /// Reads the request and decides whether it may run. The body is read
    /// before any refusal: a connection closed over unread bytes is reset, and
    /// the caller would not see the refusal.
    async fn admit(
        &self,
        arrived: MonoTime,
        head: CallHead,
        parts: Parts,
        body: Incoming,
    ) -> Result<CallerRequest, Refusal> {
        let in_flight = self.state.track_request();
        let router = self.state.router.load_full();
        let limits = router.as_ref().map(|r| r.limits).unwrap_or_default();
        let body = read_body(body, limits.body_bytes).await?;
        if router.is_none() {
            self.first_read().await;
        }
        // What came into force while the body was read counts.
        let router = self.state.router.load_full();
        let router = router.ok_or_else(|| unproven("no configuration is known here yet"))?;
        let route = self.find_route(&router, &parts)?;
        let spec = router.route(route);
        let caller = caller_of(&router, spec, &head)?;
        let wait = head.deadline.unwrap_or(spec.timeout).min(spec.timeout);
        let seed = head.prompt.as_ref().map(Prompt::session);
        let service = spec.target(seed.unwrap_or_else(|| fastrand::u64(..)));
        let customer = caller.map(|c| c.customer.clone());
        let content = content_of(&parts, customer.as_deref(), &body);
        let service = service.cloned().ok_or_else(|| {
            Refusal::not_run(RefusalKind::NoUpstream, "the route leads to no service")
        })?;
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
            content,
            _in_flight: in_flight,
            router,
        })
    }

    /// Returns once something is known here, or after a short while.
    ///
    /// The load that it answers: after a loss of all instances their callers ask
    /// again in the moment in which they start. Refused and told to come back in a
    /// second, one in ten of that second's requests was late that need not be.
    async fn first_read(&self) {
        let until = self.state.now() + FIRST_READ_WAIT;
        let read = async {
            while self.state.router.load().is_none() {
                let changes = self.state.changes.listen();
                if self.state.router.load().is_none() {
                    changes.await;
                }
            }
        };
        let left = until.since(self.state.now());
        if with_timeout(left, read).await.is_none() {
            log::info!("nothing is known here yet; requests are refused");
        }
    }

    /// The route of a request, if what is known here may be acted on.
    ///
    /// A credential may have been taken away, and an unknown one or an unknown
    /// route may have been added, since this was last proven to be in force.
    /// What was proven when the request came may be acted on for as long as the
    /// request lasts: its caller had sent it by then.
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
        content: Option<Content>,
        refusal: &Refusal,
    ) -> Response<Body> {
        let took = self.state.now().since(arrived);
        self.state.metrics.request(refusal.kind.as_str(), took);
        let proof_ms = self.state.proof_age().map(|a| a.as_millis() as u64);
        let config = self.state.router.load().as_ref().map(|r| r.version);
        // Empty where it was refused before it was read.
        let content = content.map(|c| c.to_string()).unwrap_or_default();
        log::info!(
            request = id,
            content = content.as_str(),
            config:? = config,
            outcome = refusal.kind.as_str(),
            run = refusal.run.as_str(),
            detail = refusal.detail.as_str(),
            ms = took.as_millis() as u64,
            proof_ms:? = proof_ms;
            "refused"
        );
        self.state.dialect.refusal(refusal)
    }
}

/// What a request is: where it goes, whose it is and what it says.
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

/// Who calls; none where nobody has to show a credential.
fn caller_of<'a>(
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
    match with_timeout(BODY_WITHIN, read_bounded(body, limit)).await {
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

fn host_of(parts: &Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or("");
    host.split_once(':').map_or(host, |(name, _)| name)
}

fn unproven(detail: &'static str) -> Refusal {
    Refusal::not_run(RefusalKind::NotServing, detail).with_retry_after(UNPROVEN_PAUSE)
}

/// A refusal after something was sent: nobody can tell whether it ran.
pub(crate) fn may_have_run(kind: RefusalKind, detail: impl Into<CompactString>) -> Refusal {
    Refusal {
        kind,
        run: RunState::MayHaveRun,
        detail: detail.into(),
        retry_after: None,
    }
}
