//! The platform's stand-ins behind HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jd_backing::KvError;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_net::Body;
use jd_net::BodyError;
use jd_net::Clock;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::Workers;
use jd_net::lock;

use crate::FakeKv;
use crate::FakeList;

/// The largest request body.
const MAX_BODY: usize = 4 << 20;
/// How often a waiting watch looks.
const WATCH_STEP: Duration = Duration::from_millis(20);

/// The key-value service and the instance list, running.
#[derive(Debug)]
pub struct PlatformServer {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    clock: Clock,
    kv: Mutex<FakeKv>,
    list: Mutex<FakeList>,
}

impl PlatformServer {
    /// Starts both at one address.
    pub fn start(
        workers: &Workers,
        clock: Clock,
        at: SocketAddr,
        list: FakeList,
    ) -> std::io::Result<PlatformServer> {
        let kv = Mutex::new(FakeKv::default());
        let state = Arc::new(State {
            clock,
            kv,
            list: Mutex::new(list),
        });
        let handler: Arc<dyn Handler> = Arc::clone(&state) as Arc<dyn Handler>;
        let server = HttpServer::start(workers.executor(), at, ServerLimits::default(), handler)?;
        Ok(PlatformServer { server, state })
    }

    /// Where they answer.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Does something with the key-value service's state. No guard leaves this
    /// function: two in one expression would wait for each other for ever.
    pub fn with_kv<T>(&self, f: impl FnOnce(&mut FakeKv) -> T) -> T {
        f(&mut self.state.kv())
    }

    /// Does something with the list's state.
    pub fn with_list<T>(&self, f: impl FnOnce(&mut FakeList) -> T) -> T {
        f(&mut self.state.list())
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            match (req.method(), req.uri().path()) {
                (&Method::POST, "/kv") => self.call(req).await,
                (&Method::GET, "/instances") => self.instances(),
                _ => answer(StatusCode::NOT_FOUND, Bytes::new()),
            }
        })
    }
}

impl State {
    fn kv(&self) -> MutexGuard<'_, FakeKv> {
        lock(&self.kv)
    }

    fn list(&self) -> MutexGuard<'_, FakeList> {
        lock(&self.list)
    }

    fn instances(&self) -> Response<Body> {
        let list = self.list().read(self.clock.now());
        answer(
            StatusCode::OK,
            serde_json::to_vec(&list).unwrap_or_default().into(),
        )
    }

    async fn call(&self, req: Request<Incoming>) -> Response<Body> {
        let body = jd_net::read_bounded(req.into_body(), MAX_BODY).await;
        let parsed = body
            .ok()
            .and_then(|b| serde_json::from_slice::<KvRequest>(&b).ok());
        let Some(call) = parsed else {
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let delay = self.kv().faults().delay_ms;
        if delay > 0 {
            Timer::after(Duration::from_millis(u64::from(delay))).await;
        }
        match self.watch_or_apply(&call).await {
            Ok(reply) => answer(
                StatusCode::OK,
                serde_json::to_vec(&reply).unwrap_or_default().into(),
            ),
            Err(KvError::Unavailable) => answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            Err(KvError::Lost) => cut_off(),
        }
    }

    async fn watch_or_apply(&self, call: &KvRequest) -> Result<KvReply, KvError> {
        let mut left = match call {
            KvRequest::Watch { wait_ms, .. } => Duration::from_millis(u64::from(*wait_ms)),
            _ => Duration::ZERO,
        };
        let mut reply = self.kv().apply(self.clock.now(), call)?;
        loop {
            let empty = matches!(&reply, KvReply::Entries { entries } if entries.is_empty());
            if !empty || left.is_zero() {
                return Ok(reply);
            }
            Timer::after(WATCH_STEP).await;
            left = left.saturating_sub(WATCH_STEP);
            reply = self.kv().look_again(self.clock.now(), call)?;
        }
    }
}

/// An answer that breaks off before its first byte.
fn cut_off() -> Response<Body> {
    let (tx, rx) = async_channel::bounded::<Result<Bytes, BodyError>>(1);
    // There is room for one.
    let _ = tx.try_send(Err("the answer is lost".into()));
    Response::new(jd_net::stream(rx))
}

fn answer(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut res = Response::new(jd_net::full(body));
    *res.status_mut() = status;
    res
}
