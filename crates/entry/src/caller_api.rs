//! What callers can ask.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use compact_str::format_compact;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jd_coord::IdempotencyKey;
use jd_coord::RunAnswer;
use jd_net::Body;
use jd_net::BodyReadError;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::lock;
use jd_net::with_timeout;
use jd_types::CustomerKey;
use jd_types::Name;
use jd_types::PipelineKey;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::caller_request::HEADER_KEY;
use crate::caller_request::Wanted;
use crate::caller_request::bearer;
use crate::caller_response::plain;
use crate::caller_response::respond;
use crate::key_routing::refuse_unfit;
use crate::key_routing::upstream_key;
use crate::locate_api::locate;
use crate::output::Output;
use crate::problem::Problem;
use crate::queue_worker::run_or_defer;
use crate::run_driver::Admitted;
use crate::run_driver::InFlight;
use crate::shared::Shared;
use crate::shared::customer_limit;
use crate::snapshot::Snapshot;

/// How long a caller may take to send its body.
const BODY_WITHIN: Duration = Duration::from_secs(5);
/// How long a request may wait for its customer's limit.
const LIMIT_WITHIN: Duration = Duration::from_millis(1_500);
/// When to come back if the limit is used up.
const LIMIT_AFTER: Duration = Duration::from_millis(500);
/// Parts of an answer that may wait for a slow caller.
const PARTS: usize = 16;

/// The callers' endpoint.
#[derive(Debug)]
pub(crate) struct CallerApi {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for CallerApi {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move { self.route(req).await })
    }
}

impl CallerApi {
    async fn route(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/v1/locate") => self.locate(&req),
            (&Method::GET, "/healthz") => plain(StatusCode::OK, "alive"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::POST, p) if p.starts_with(PIPELINES) => {
                self.run(&path[PIPELINES.len()..], req).await
            }
            _ => plain(StatusCode::NOT_FOUND, "no such path; see the guide"),
        }
    }

    fn locate(&self, req: &Request<Incoming>) -> Response<Body> {
        let query = req.uri().query().unwrap_or_default();
        let hall = query.split('&').find_map(|pair| pair.strip_prefix("hall="));
        match hall.map(Name::try_from) {
            Some(Err(e)) => refuse(Refusal::not_run(
                RefusalKind::Malformed,
                format_compact!("{e}"),
            )),
            Some(Ok(hall)) => locate(&self.shared, Some(&hall)),
            None => locate(&self.shared, None),
        }
    }

    fn ready(&self) -> Response<Body> {
        match self.shared.unfit() {
            None => plain(StatusCode::OK, "ready"),
            Some(why) => plain(StatusCode::SERVICE_UNAVAILABLE, why),
        }
    }

    async fn run(&self, pipeline: &str, req: Request<Incoming>) -> Response<Body> {
        let shared = &self.shared;
        let arrived = shared.now();
        let in_flight = InFlight::enter(shared);
        // Asked again after counting: a stop that began in between sees either
        // this request in flight or this question answered with "stopping".
        if let Some(why) = shared.unfit() {
            return self.refuse_early(pipeline, self.unfit(why, &req));
        }
        let snapshot = shared.snapshot.load_full();
        let (customer, key) = match self.who_and_what(&snapshot, pipeline, &req) {
            Ok(found) => found,
            Err(refusal) => return self.refuse_early(pipeline, refusal),
        };
        let wanted = match wanted(&snapshot, customer, key, &req) {
            Ok(wanted) => wanted,
            Err(refusal) => return self.refuse_early(pipeline, refusal),
        };
        let body = match self.read_body(req).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse_early(pipeline, refusal),
        };
        let request = shared.next_request();
        let name = snapshot
            .compiled
            .customers
            .get(customer.index())
            .map(|c| &c.name);
        let upstream_key = name
            .zip(wanted.key.as_ref())
            .map(|(c, k)| upstream_key(c, k));
        let admitted = Admitted {
            request,
            pipeline: key,
            customer,
            priority: wanted.priority,
            deadline: arrived + wanted.deadline,
            body,
            key: upstream_key,
            stream: wanted.stream,
            snapshot,
        };
        let rx = serve(Arc::clone(shared), admitted, wanted.key, in_flight);
        respond(rx, request, wanted.stream).await
    }

    fn unfit(&self, why: &str, req: &Request<Incoming>) -> Refusal {
        let snapshot = self.shared.snapshot.load();
        let customer = bearer(req.headers()).and_then(|c| snapshot.compiled.authenticate(c));
        let customer = customer.and_then(|c| snapshot.compiled.customers.get(c.index()));
        let key = req.headers().get(HEADER_KEY).and_then(|k| k.to_str().ok());
        let key = key.and_then(|k| IdempotencyKey::try_from(k).ok());
        refuse_unfit(&self.shared, why, customer.map(|c| &c.name), key.as_ref())
    }

    /// A refusal before the request got a number.
    fn refuse_early(&self, pipeline: &str, refusal: Refusal) -> Response<Body> {
        let known = self
            .shared
            .snapshot
            .load()
            .compiled
            .pipeline(pipeline)
            .is_some();
        // Names that callers invent must not become labels of metrics.
        self.shared
            .metrics
            .refused(if known { pipeline } else { "-" }, refusal.kind);
        refuse(refusal)
    }

    fn who_and_what(
        &self,
        snapshot: &Snapshot,
        pipeline: &str,
        req: &Request<Incoming>,
    ) -> Result<(CustomerKey, PipelineKey), Refusal> {
        let customer = bearer(req.headers()).and_then(|c| snapshot.compiled.authenticate(c));
        let customer = customer.ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::Unauthenticated,
                "no customer has that credential",
            )
        })?;
        let pipeline = snapshot.compiled.pipeline(pipeline).ok_or_else(|| {
            Refusal::not_run(RefusalKind::UnknownPipeline, "no pipeline has that name")
        })?;
        Ok((customer, pipeline))
    }

    async fn read_body(&self, req: Request<Incoming>) -> Result<String, Refusal> {
        let limit = self.shared.settings.callers.max_body;
        let read = with_timeout(BODY_WITHIN, jd_net::read_bounded(req.into_body(), limit)).await;
        let bytes = match read {
            None => return Err(malformed("the body took too long to come")),
            Some(Err(e @ BodyReadError::TooLarge { .. })) => {
                return Err(Refusal::not_run(
                    RefusalKind::TooLarge,
                    format_compact!("{e}"),
                ));
            }
            Some(Err(e)) => return Err(malformed(&format_compact!("{e}"))),
            Some(Ok(bytes)) => bytes,
        };
        String::from_utf8(bytes.to_vec()).map_err(|_| malformed("the body is not UTF-8 text"))
    }
}

/// Where pipelines are called.
const PIPELINES: &str = "/v1/pipelines/";

fn wanted(
    snapshot: &Snapshot,
    customer: CustomerKey,
    pipeline: PipelineKey,
    req: &Request<Incoming>,
) -> Result<Wanted, Refusal> {
    let customer = snapshot.compiled.customers.get(customer.index());
    let pipeline = snapshot.compiled.pipelines.get(pipeline.index());
    match (customer, pipeline) {
        (Some(c), Some(p)) => Wanted::read(req.headers(), p, c),
        _ => Err(malformed("the configuration changed; send it again")),
    }
}

/// Starts the run in a task of its own. A caller that goes away must not cut a
/// run with a key short: its next call with the key wants to know how it ended.
pub(crate) fn serve(
    shared: Arc<Shared>,
    req: Admitted,
    key: Option<IdempotencyKey>,
    in_flight: InFlight,
) -> Receiver<Output> {
    let (tx, rx) = async_channel::bounded(PARTS);
    let workers = shared.workers.clone();
    let serving = async move {
        let answer = serve_keyed(&shared, &req, key, &tx).await;
        note_end(&shared, &req, &answer);
        // Errs only if the caller is gone.
        let _ = tx.send(Output::End(answer)).await;
        drop(in_flight);
    };
    workers.spawn(serving).detach();
    rx
}

async fn serve_keyed(
    shared: &Arc<Shared>,
    req: &Admitted,
    key: Option<IdempotencyKey>,
    tx: &Sender<Output>,
) -> RunAnswer {
    let Some(key) = key else {
        return serve_limited(shared, req, tx).await;
    };
    let Some(customer) = req.customer().map(|c| c.name.clone()) else {
        return RunAnswer::Refused(malformed("the customer is gone"));
    };
    if let Some(answer) = crate::key_routing::decide_key(shared, req, &customer, &key).await {
        return answer;
    }
    let answer = serve_limited(shared, req, tx).await;
    lock(&shared.runs).ended(shared.now(), &customer, &key, req.request, &answer);
    answer
}

/// Runs a request within its customer's limit.
async fn serve_limited(shared: &Arc<Shared>, req: &Admitted, tx: &Sender<Output>) -> RunAnswer {
    let (Some(customer), Some(pipeline)) = (req.customer(), req.pipeline()) else {
        return RunAnswer::Refused(malformed("the configuration changed"));
    };
    if let Err(refusal) = check_in_time(shared, req) {
        return RunAnswer::Refused(refusal);
    }
    let limit = customer_limit(customer.name.as_str());
    if !take_limit(shared, &limit, req).await {
        let detail = format_compact!(
            "customer {} has {} in flight",
            customer.name,
            customer.limit
        );
        let refusal =
            Refusal::not_run(RefusalKind::CustomerLimit, detail).with_retry_after(LIMIT_AFTER);
        return RunAnswer::Refused(refusal);
    }
    let answer = run_or_defer(shared, req, pipeline.deferrable, tx).await;
    lock(&shared.loans).give_back(&limit);
    shared.limits_moved.notify(usize::MAX);
    answer
}

/// Refuses what the queues and the stages leave no time for.
fn check_in_time(shared: &Shared, req: &Admitted) -> Result<(), Refusal> {
    let stages = req
        .pipeline()
        .map(|p| p.stages.as_slice())
        .unwrap_or_default();
    let pools = stages.iter().filter_map(|s| req.snapshot.pool(s.pool));
    let work = pools
        .map(|p| p.timing().mean + p.expected_wait(req.priority))
        .sum();
    match jd_policy::check_deadline(shared.now(), req.deadline, work) {
        jd_policy::AdmissionCheck::Fits { .. } => Ok(()),
        jd_policy::AdmissionCheck::WouldMiss { short_by } => {
            let detail = format_compact!("{work:?} of work is expected, {short_by:?} too much");
            shared.decided(req.request, "refuse", detail.clone());
            Err(Refusal::not_run(RefusalKind::WouldMiss, detail).with_retry_after(short_by))
        }
    }
}

/// Waits for the customer's limit: this instance's part may be on loan to
/// another, and comes back or is lent here with the next heartbeats.
async fn take_limit(shared: &Shared, limit: &str, req: &Admitted) -> bool {
    let until = shared.now() + LIMIT_WITHIN;
    let until = until.min(req.deadline);
    let mut waited = false;
    loop {
        let moved = shared.limits_moved.listen();
        let now = shared.now();
        {
            let mut loans = lock(&shared.loans);
            let taken = loans.take(now, shared.base(), limit, req.deadline);
            if taken || now >= until {
                if waited {
                    loans.wait_ended(limit);
                }
                return taken;
            }
            if !waited {
                loans.wait_began(limit);
                waited = true;
            }
        }
        shared.urgent.notify(1);
        // Woken or late, the loop looks again.
        let _ = with_timeout(until.since(now), moved).await;
    }
}

fn note_end(shared: &Shared, req: &Admitted, answer: &RunAnswer) {
    let pipeline = req.pipeline().map_or("-", |p| p.name.as_str());
    let customer = req.customer().map_or("-", |c| c.name.as_str());
    match answer {
        RunAnswer::Whole(_) => {
            let budget = req.pipeline().map(|p| p.deadline).unwrap_or_default();
            let took = budget.saturating_sub(req.deadline.since(shared.now()));
            shared.metrics.answered(pipeline, took);
            shared.decided(
                req.request,
                "answered",
                format_compact!("{pipeline} {customer} {took:?}"),
            );
        }
        RunAnswer::Refused(r) => {
            shared.metrics.refused(pipeline, r.kind);
            shared.decided(
                req.request,
                "refused",
                format_compact!("{pipeline} {customer} {r}"),
            );
            log::info!(request:% = req.request, pipeline, customer, refusal:% = r; "refused");
        }
    }
}

fn refuse(refusal: Refusal) -> Response<Body> {
    Problem::new(&refusal, None).into_response()
}

fn malformed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Malformed, detail)
}
