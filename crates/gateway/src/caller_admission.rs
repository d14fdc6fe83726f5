//! Decides whether a caller's request may run, and reads its body.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;
use http::header::EXPECT;
use http::request::Parts;
use hyper::body::Incoming;
use jd_net::ClientConnection;
use jd_net::with_timeout;
use jd_policy::BODY_STALL_TIME;
use jd_serving::CallHead;
use jd_serving::Caller;
use jd_serving::Content;
use jd_serving::Prompt;
use jd_serving::RequestStep;
use jd_serving::Route;
use jd_serving::RouteKey;
use jd_serving::Router;
use jd_serving::RunContents;
use jd_serving::ShutdownPlan;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::caller_api::CallerApi;
use crate::caller_api::host_of;
use crate::caller_body;
use crate::caller_body::BodyFailure;
use crate::caller_body::BodyReader;
use crate::caller_body::CallerBody;
use crate::caller_request::CallerRequest;
use crate::open_requests::InFlight;
use crate::ran_at::RanAt;
use crate::retry_counts::FirstSend;
use crate::running_request::RunningRequest;
use crate::state::State;
use crate::stop_checks;
use crate::stop_checks::StopSubject;

/// The retry time of a request that this instance refuses because its configuration is
/// missing or not proven current. An instance that has just started has it within a second.
/// Callers retry once, so that an earlier retry would end in a final failure.
const UNPROVEN_RETRY: Duration = Duration::from_millis(1_000);
/// How long a request waits for the first read of the store after a start, which takes about
/// 20 ms. This is an eighth of the shortest objective of prompts.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(80);
/// The retry time of a request that finds too many running here: most requests end within it.
const FULL_RETRY: Duration = Duration::from_millis(500);

/// A request that is refused before it runs.
#[derive(Debug)]
pub(crate) struct Rejected {
    pub(crate) refusal: Refusal,
    /// True if its body is not read to the end, so that its connection cannot go on.
    pub(crate) is_unread: bool,
}

impl Rejected {
    fn read(refusal: Refusal) -> Rejected {
        Rejected {
            refusal,
            is_unread: false,
        }
    }

    fn unread(refusal: Refusal) -> Rejected {
        Rejected {
            refusal,
            is_unread: true,
        }
    }
}

/// What the configuration says of a request that may run.
#[derive(Debug)]
struct Checked {
    router: Arc<Router>,
    route: RouteKey,
    service: CompactString,
    head: CallHead,
}

impl CallerApi {
    /// Reads a request and decides whether it may run. What its head decides is decided before its
    /// body is read.
    pub(crate) async fn admit(
        &self,
        arrived: MonoTime,
        head: CallHead,
        parts: Parts,
        mut body: Incoming,
    ) -> Result<CallerRequest, Rejected> {
        let id = head.request_id.as_deref().unwrap_or("");
        let in_flight = InFlight::begin(&self.state, id, arrived);
        let ending = async {
            let refusal = self.until_too_late(arrived, &head, &parts).await;
            Err(Rejected::unread(refusal))
        };
        let reading = self.read_body(&head, &parts, &mut body);
        let body = reading.or(ending).await?;
        let checked = self.check(head, &parts).map_err(Rejected::read)?;
        let running = RunningRequest::begin(&self.state);
        let running = running.ok_or_else(|| Rejected::read(full()))?;
        let request = self.admitted(arrived, checked, parts, body, (in_flight, running));
        let takes = request.check_stop(&self.state, RequestStep::Take);
        takes.map_err(Rejected::read)?;
        Ok(request)
    }

    /// Returns the refusal of a request that is not complete, once it could not end any more before
    /// this instance does.
    async fn until_too_late(&self, arrived: MonoTime, head: &CallHead, parts: &Parts) -> Refusal {
        let State {
            shutdown, clock, ..
        } = &*self.state;
        shutdown.until(*clock, |plan| plan.accept_until).await;
        let (router, route) = match self.check_head(head, parts) {
            Ok(checked) => checked,
            Err(refusal) => return refusal,
        };
        let route = router.route(route);
        let deadline = arrived + max_wait(head, route);
        let terms = StopSubject::new(route, self.state.now(), deadline).terms(&self.state);
        let latest_begin = |plan: &ShutdownPlan| plan.latest_begin(&terms);
        shutdown.until(*clock, latest_begin).await;
        stop_checks::refusal(&self.state, RequestStep::Take, &terms)
    }

    /// Reads the body of a request that may run by its head. Discards a small body of another one, so
    /// that its connection can go on.
    async fn read_body(
        &self,
        head: &CallHead,
        parts: &Parts,
        body: &mut Incoming,
    ) -> Result<CallerBody, Rejected> {
        if self.state.router.load().is_none() && head.invalid.is_none() {
            self.wait_for_first_read().await;
        }
        let limits = self.state.router.load().as_ref().map(|r| r.limits);
        let limit = limits.unwrap_or_default().body_bytes;
        let client = parts.extensions.get::<ClientConnection>().cloned();
        let reader = BodyReader::new(&self.state.caller_memory, client, limit);
        let checked = self.check_head(head, parts);
        let checked = checked.and_then(|_| reader.check_length(body).map_err(body_refusal));
        let checked = checked.and_then(|()| match RunningRequest::has_room(&self.state) {
            true => Ok(()),
            false => Err(full()),
        });
        if let Err(refusal) = checked {
            // A client that expects a response before the body does not send it now.
            let is_sent = !parts.headers.contains_key(EXPECT);
            let is_unread = !is_sent || !caller_body::discard_small(body).await;
            return Err(Rejected { refusal, is_unread });
        }
        let read = reader.read(body).await;
        read.map_err(|failure| Rejected::unread(body_refusal(failure)))
    }

    /// Decides by the head of a request, and the configuration that is in force, whether it may run.
    fn check_head(
        &self,
        head: &CallHead,
        parts: &Parts,
    ) -> Result<(Arc<Router>, RouteKey), Refusal> {
        if let Some(detail) = &head.invalid {
            return Err(Refusal::not_run(RefusalKind::Malformed, detail.clone()));
        }
        let router = self.state.router.load_full();
        let router = router.ok_or_else(|| unproven("no configuration is known here yet"))?;
        let route = self.find_route(&router, parts)?;
        authenticate(&router, router.route(route), head)?;
        Ok((router, route))
    }

    fn check(&self, head: CallHead, parts: &Parts) -> Result<Checked, Refusal> {
        let (router, route) = self.check_head(&head, parts)?;
        let seed = head.prompt.as_ref().map(Prompt::session);
        let target = router
            .route(route)
            .target(seed.unwrap_or_else(|| fastrand::u64(..)));
        let service = target.cloned().ok_or_else(|| {
            Refusal::not_run(RefusalKind::NoUpstream, "the route leads to no service")
        })?;
        Ok(Checked {
            router,
            route,
            service,
            head,
        })
    }

    fn admitted(
        &self,
        arrived: MonoTime,
        checked: Checked,
        parts: Parts,
        body: CallerBody,
        (in_flight, running): (InFlight, RunningRequest),
    ) -> CallerRequest {
        let Checked {
            router,
            route,
            service,
            head,
        } = checked;
        let spec = router.route(route);
        let shown = head.credential.as_deref();
        let caller = shown
            .filter(|_| router.needs_credential(spec))
            .and_then(|c| router.caller(c));
        let wait = max_wait(&head, spec);
        let customer = caller.map(|c| c.customer.clone());
        let content = content_of(&parts, customer.as_deref(), &body);
        let prompt = head.prompt.as_ref();
        let contents = RunContents::new(content, &service, customer.as_deref(), prompt);
        in_flight.admitted(contents.request, arrived + wait);
        CallerRequest {
            route,
            priority: caller.and_then(|c| c.priority).unwrap_or(spec.priority),
            customer,
            arrived,
            taken_at: self.state.now(),
            deadline: arrived + wait,
            service,
            head,
            parts,
            body,
            contents,
            begun_runs: Arc::default(),
            ran_at: RanAt::default(),
            first_send: FirstSend::default(),
            forwarded: None,
            _running: running,
            _running_forward: None,
            _route_use: router.begin_request(route),
            in_flight,
            router,
        }
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
}

/// The content of a request: its host, method, target, customer and body.
fn content_of(parts: &Parts, customer: Option<&str>, body: &CallerBody) -> Content {
    let target = parts.uri.path_and_query().map_or("", |t| t.as_str());
    let head = [
        host_of(parts).as_bytes(),
        parts.method.as_str().as_bytes(),
        target.as_bytes(),
        customer.unwrap_or("").as_bytes(),
    ];
    Content::of_segments(&head, body.segments())
}

/// How long the caller of a request waits for its answer.
fn max_wait(head: &CallHead, route: &Route) -> Duration {
    head.deadline.unwrap_or(route.timeout).min(route.timeout)
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

fn body_refusal(failure: BodyFailure) -> Refusal {
    let kind = match failure {
        BodyFailure::TooLarge { .. } => RefusalKind::TooLarge,
        BodyFailure::Truncated | BodyFailure::Late => RefusalKind::Malformed,
        BodyFailure::NoMemory | BodyFailure::Stalled => RefusalKind::Overloaded,
    };
    let refusal = Refusal::not_run(kind, failure.to_string());
    match failure {
        // Bodies that stall by now have lost their memory by then, if others need it.
        BodyFailure::NoMemory | BodyFailure::Stalled => refusal.with_retry_after(BODY_STALL_TIME),
        _ => refusal,
    }
}

fn unproven(detail: &'static str) -> Refusal {
    Refusal::not_run(RefusalKind::NotServing, detail).with_retry_after(UNPROVEN_RETRY)
}

/// The refusal of a request while as many run as may.
fn full() -> Refusal {
    let detail = "too many requests run here; ask another instance";
    Refusal::not_run(RefusalKind::Overloaded, detail).with_retry_after(FULL_RETRY)
}
