//! A stand-in upstream behind HTTP.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jd_backing::EngineOrder;
use jd_backing::EngineStatus;
use jd_backing::HEADER_LEAVING;
use jd_backing::HEADER_LOAD;
use jd_backing::Listed;
use jd_backing::ListedState;
use jd_backing::WorkDone;
use jd_backing::WorkPart;
use jd_backing::WorkRequest;
use jd_net::Body;
use jd_net::BodyError;
use jd_net::Clock;
use jd_net::ConnectionNumber;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::Workers;
use jd_net::lock;
use jd_types::AttemptId;

use crate::FakeEngine;
use crate::UpstreamFaults;
use crate::UpstreamSpec;
use crate::Witness;
use crate::stage_parts;
use crate::witness::Bite;

/// The largest request body.
const MAX_BODY: usize = 4 << 20;
/// How late a late answer is.
const LATE: Duration = Duration::from_secs(2);
/// How long a model version takes to load.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// Prefixes that an engine remembers.
const CACHED_PREFIXES: usize = 8;
/// Steps that an unknown prefix costs.
const PREFILL_STEPS: u32 = 4;

/// A running stand-in upstream.
#[derive(Debug)]
pub struct UpstreamServer {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    spec: UpstreamSpec,
    address: OnceLock<SocketAddr>,
    faults: Arc<UpstreamFaults>,
    witness: Arc<Witness>,
    clock: Clock,
    workers: Workers,
    busy: AtomicU32,
    dice: AtomicU64,
    last_attempt: Mutex<Option<AttemptId>>,
    engine: Option<Mutex<FakeEngine>>,
    prefixes: Mutex<VecDeque<u64>>,
    connections: AtomicU32,
}

impl UpstreamServer {
    /// Starts an upstream on a port of the system's choice.
    pub fn start(
        workers: &Workers,
        clock: Clock,
        at: SocketAddr,
        spec: UpstreamSpec,
        witness: Arc<Witness>,
    ) -> std::io::Result<UpstreamServer> {
        let engine = spec.model.clone().map(|model| {
            let status = EngineStatus {
                model,
                version: 1,
                loading: None,
            };
            Mutex::new(FakeEngine::new(status, spec.checks_token))
        });
        let state = Arc::new(State {
            spec,
            address: OnceLock::new(),
            faults: Arc::new(UpstreamFaults::default()),
            witness,
            clock,
            workers: workers.clone(),
            busy: AtomicU32::new(0),
            dice: AtomicU64::new(1),
            last_attempt: Mutex::new(None),
            engine,
            prefixes: Mutex::new(VecDeque::new()),
            connections: AtomicU32::new(0),
        });
        let handler: Arc<dyn Handler> = Arc::clone(&state) as Arc<dyn Handler>;
        let server = HttpServer::start(workers.executor(), at, ServerLimits::default(), handler)?;
        // Set once, right here.
        let _ = state.address.set(server.address());
        Ok(UpstreamServer { server, state })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it is.
    pub fn spec(&self) -> &UpstreamSpec {
        &self.state.spec
    }

    /// How the platform lists it while it is there.
    pub fn listed(&self) -> Listed {
        let (pool, hall) = (Some(self.spec().pool.clone()), self.spec().hall.clone());
        Listed {
            address: self.address(),
            pool,
            hall,
            state: ListedState::Live,
        }
    }

    /// How it fails.
    pub fn faults(&self) -> &UpstreamFaults {
        &self.state.faults
    }

    /// The highest connection number so far.
    pub fn connections(&self) -> u32 {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Requests that it is working on.
    pub fn busy(&self) -> u32 {
        self.state.busy.load(Ordering::Relaxed)
    }

    /// What it serves, if it is an engine.
    pub fn engine_status(&self) -> Option<EngineStatus> {
        self.state.engine.as_ref().map(|e| lock(e).status().clone())
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move { self.route(req).await })
    }
}

impl State {
    async fn route(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/work") => self.work(req).await,
            (&Method::GET, "/engine") => self.engine(),
            (&Method::POST, "/order") => self.order(req).await,
            (&Method::GET, p) if p.starts_with("/keys/") => self.look_up(&p["/keys/".len()..]),
            _ => answer(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn work(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let number = req
            .extensions()
            .get::<ConnectionNumber>()
            .map_or(0, |n| n.0);
        self.connections.fetch_max(number, Ordering::Relaxed);
        if number < self.faults.silent_below() {
            self.witness.bit(Bite::Silent);
            std::future::pending::<()>().await;
        }
        let body = jd_net::read_bounded(req.into_body(), MAX_BODY).await;
        let parsed = body
            .ok()
            .and_then(|b| serde_json::from_slice::<WorkRequest>(&b).ok());
        let Some(work) = parsed else {
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        self.witness.began(self.clock.now(), self.here());
        let _busy = Busy::enter(&self.busy);
        if self.faults.slower() > 0 {
            self.witness.bit(Bite::Slowed);
        }
        if self.faults.fails(self.roll()) {
            self.witness.bit(Bite::Failed);
            return answer(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        }
        match work.stream {
            true => self.work_streamed(work),
            false => self.work_whole(work).await,
        }
    }

    async fn work_whole(&self, work: WorkRequest) -> Response<Body> {
        let parts = stage_parts(work.kind, &work.input);
        self.prefill(&work).await;
        for _ in &parts {
            Timer::after(self.step()).await;
        }
        let done = self.finish(&work, parts.concat(), parts.len());
        if self.faults.is_late(self.roll()) {
            self.witness.bit(Bite::Late);
            Timer::after(LATE).await;
        }
        let body = serde_json::to_vec(&done).unwrap_or_default();
        self.with_headers(answer(StatusCode::OK, body.into()))
    }

    fn work_streamed(self: &Arc<Self>, work: WorkRequest) -> Response<Body> {
        let (tx, rx) = async_channel::bounded::<Result<Bytes, BodyError>>(4);
        let res = self.with_headers(Response::new(jd_net::stream(rx)));
        let state = Arc::clone(self);
        let producing = async move {
            let _busy = Busy::enter(&state.busy);
            let parts = stage_parts(work.kind, &work.input);
            let cut = state
                .faults
                .truncates(state.roll())
                .then_some(parts.len() / 2);
            state.prefill(&work).await;
            for (i, part) in parts.iter().enumerate() {
                Timer::after(state.step()).await;
                if cut == Some(i) {
                    state.witness.bit(Bite::Truncated);
                    return;
                }
                if tx
                    .send(Ok(line(&WorkPart::Part(part.clone()))))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            let mut done = state.finish(&work, parts.concat(), parts.len());
            done.output.clear();
            // Errs only if the caller is gone.
            let _ = tx.send(Ok(line(&WorkPart::Done(done)))).await;
        };
        self.workers.spawn(producing).detach();
        res
    }

    /// Carries the work out: from here on it has had its effect.
    fn finish(&self, work: &WorkRequest, output: String, units: usize) -> WorkDone {
        let units = units as u64;
        self.witness.worked(units);
        if let Some(key) = &work.key {
            self.witness.ran(key, &output);
        }
        self.witness.finished(work.attempt);
        let previous = lock(&self.last_attempt).replace(work.attempt);
        let crossed = previous.filter(|p| *p != work.attempt && self.faults.crosses(self.roll()));
        if crossed.is_some() {
            self.witness.bit(Bite::Crossed);
        }
        WorkDone {
            attempt: crossed.unwrap_or(work.attempt),
            output,
            units,
        }
    }

    /// The time an engine needs for a prefix that it does not have.
    async fn prefill(&self, work: &WorkRequest) {
        let Some(prefix) = work.prefix else { return };
        let known = {
            let mut prefixes = lock(&self.prefixes);
            let known = prefixes.contains(&prefix);
            prefixes.retain(|p| *p != prefix);
            prefixes.push_back(prefix);
            if prefixes.len() > CACHED_PREFIXES {
                prefixes.pop_front();
            }
            known
        };
        if !known {
            Timer::after(self.step() * PREFILL_STEPS).await;
        }
    }

    /// One step's time: longer when more is asked than there are slots.
    fn step(&self) -> Duration {
        let busy = self.busy.load(Ordering::Relaxed);
        let crowding = f64::from(busy) / f64::from(self.spec.slots.max(1));
        self.spec.step.mul_f64(crowding.max(1.0)) * (1 + self.faults.slower())
    }

    fn look_up(&self, key: &str) -> Response<Body> {
        match self.witness.output_of(key) {
            Some(output) => answer(StatusCode::OK, output.into()),
            None => answer(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn engine(&self) -> Response<Body> {
        match &self.engine {
            Some(engine) => {
                let body = serde_json::to_vec(lock(engine).status()).unwrap_or_default();
                answer(StatusCode::OK, body.into())
            }
            None => answer(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn order(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let body = jd_net::read_bounded(req.into_body(), MAX_BODY).await;
        let order = body
            .ok()
            .and_then(|b| serde_json::from_slice::<EngineOrder>(&b).ok());
        let (Some(order), Some(engine)) = (order, &self.engine) else {
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let taken = lock(engine).order(&order);
        if !taken {
            return answer(StatusCode::CONFLICT, Bytes::new());
        }
        let state = Arc::clone(&self);
        let loading = async move {
            Timer::after(LOAD_TIME).await;
            if let Some(engine) = &state.engine {
                lock(engine).loaded();
            }
        };
        self.workers.spawn(loading).detach();
        answer(StatusCode::OK, Bytes::new())
    }

    fn with_headers(&self, mut res: Response<Body>) -> Response<Body> {
        let load = self.busy.load(Ordering::Relaxed);
        res.headers_mut().insert(HEADER_LOAD, load.into());
        if self.faults.is_leaving() {
            self.witness.bit(Bite::ToldLeaving);
            res.headers_mut().insert(HEADER_LEAVING, 1.into());
        }
        res
    }

    fn here(&self) -> SocketAddr {
        self.address
            .get()
            .copied()
            .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// A number below 100 from a fixed sequence.
    fn roll(&self) -> u32 {
        let seed = self.dice.fetch_add(1, Ordering::Relaxed);
        fastrand::Rng::with_seed(seed ^ u64::from(self.here().port())).u32(..100)
    }
}

struct Busy<'a>(&'a AtomicU32);

impl<'a> Busy<'a> {
    fn enter(count: &'a AtomicU32) -> Busy<'a> {
        count.fetch_add(1, Ordering::Relaxed);
        Busy(count)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn line(part: &WorkPart) -> Bytes {
    let mut text = serde_json::to_vec(part).unwrap_or_default();
    text.push(b'\n');
    text.into()
}

fn answer(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut res = Response::new(jd_net::full(body));
    *res.status_mut() = status;
    res
}
