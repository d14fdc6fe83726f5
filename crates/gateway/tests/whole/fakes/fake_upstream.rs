//! An upstream that answers as it is told.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::StreamExt;
use futures_lite::future;
use futures_lite::stream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;

/// What an upstream answers to one request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// Its whole answer.
    Complete(&'static str),
    /// The same after a while.
    Delayed(&'static str, Duration),
    /// That it did nothing.
    NotRun,
    /// The same, and that it wants nothing more for so many seconds.
    BackOff(&'static str),
    /// That it is another one than the one that was asked.
    Misdirected,
    /// The first of all upstreams that share this gives the answer to another
    /// request; the others say that results which it works on are gone.
    CrossedThenInputsGone(Arc<AtomicBool>),
    /// The whole answer to another request.
    Crossed,
    /// A failure of its own, vouched for.
    Failure,
    /// Parts of a stream; it breaks off after them if `cut`.
    Stream {
        parts: &'static [&'static str],
        cut: bool,
    },
    /// The answer comes once the test lets it.
    UntilReleased(async_channel::Receiver<()>),
}

/// An upstream that answers as it is told, the last reply for ever.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    replies: Mutex<VecDeque<Reply>>,
    /// What it was asked: the id and, if given, the event to go on after.
    pub(crate) asked: Mutex<Vec<(String, Option<String>)>>,
    /// When it was asked for anything.
    arrivals: Mutex<Vec<Instant>>,
    /// The limit that it names in all of its answers.
    limit: Mutex<Option<HeaderValue>>,
    /// True once all of its answers say that it leaves.
    leaving: AtomicBool,
}

impl FakeUpstream {
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        replies: Vec<Reply>,
    ) -> (Arc<FakeUpstream>, HttpServer) {
        let upstream = Arc::new(FakeUpstream {
            replies: Mutex::new(replies.into()),
            asked: Mutex::default(),
            arrivals: Mutex::default(),
            limit: Mutex::default(),
            leaving: AtomicBool::new(false),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler: Arc<dyn Handler> = Arc::clone(&upstream) as Arc<dyn Handler>;
        let server = HttpServer::start(Arc::clone(executor), any, ServerLimits::default(), handler);
        (upstream, server.expect("a free port"))
    }

    pub(crate) fn count(&self) -> usize {
        self.asked.lock().expect("a lock").len()
    }

    /// Has it name a limit in all of its answers from now on, or none.
    pub(crate) fn set_limit(&self, limit: Option<&'static str>) {
        let limit = limit.map(HeaderValue::from_static);
        *self.limit.lock().expect("a lock") = limit;
    }

    /// Has all of its answers say from now on that it leaves.
    pub(crate) fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Has it answer so from now on.
    pub(crate) fn set_replies(&self, replies: Vec<Reply>) {
        *self.replies.lock().expect("a lock") = replies.into();
    }

    /// When it was asked for anything, whatever that was.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("a lock").clone()
    }

    fn with_notices(&self, mut res: Response<Body>) -> Response<Body> {
        if let Some(limit) = &*self.limit.lock().expect("a lock") {
            res.headers_mut().insert("limit", limit.clone());
        }
        if self.leaving.load(Ordering::Relaxed) {
            let said = HeaderValue::from_static("1");
            res.headers_mut().insert("leaving", said);
        }
        res
    }

    fn next(&self) -> Reply {
        let mut replies = self.replies.lock().expect("a lock");
        match replies.len() {
            0 | 1 => replies.front().cloned().expect("a reply"),
            _ => replies.pop_front().expect("a reply"),
        }
    }
}

impl Handler for FakeUpstream {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        self.arrivals.lock().expect("a lock").push(Instant::now());
        // It has nothing to tell of its room, and that is no request of a caller.
        if req.uri().path() == "/room" {
            return Box::pin(async move { self.with_notices(Response::new(jd_net::empty())) });
        }
        let header = |name: &str| {
            let value = req.headers().get(name);
            value.and_then(|v| v.to_str().ok()).map(String::from)
        };
        let id = header("id").unwrap_or_default();
        let asked = (id.clone(), header("after"));
        self.asked.lock().expect("a lock").push(asked);
        let reply = self.next();
        Box::pin(async move {
            let res = match reply {
                Reply::Complete(text) => answer(&id, StatusCode::OK, jd_net::full(text)),
                Reply::Delayed(text, after) => {
                    Timer::after(after).await;
                    answer(&id, StatusCode::OK, jd_net::full(text))
                }
                Reply::Crossed => answer("another", StatusCode::OK, jd_net::full("theirs")),
                Reply::Failure => answer(&id, StatusCode::INTERNAL_SERVER_ERROR, jd_net::empty()),
                Reply::NotRun => not_run(&id, StatusCode::SERVICE_UNAVAILABLE),
                Reply::Misdirected => not_run(&id, StatusCode::MISDIRECTED_REQUEST),
                Reply::BackOff(seconds) => {
                    let mut res = not_run(&id, StatusCode::SERVICE_UNAVAILABLE);
                    let wait = HeaderValue::from_static(seconds);
                    res.headers_mut().insert("wait", wait);
                    res
                }
                Reply::CrossedThenInputsGone(asked) => match asked.swap(true, Ordering::Relaxed) {
                    false => answer("another", StatusCode::OK, jd_net::full("theirs")),
                    true => not_run(&id, StatusCode::CONFLICT),
                },
                Reply::Stream { parts, cut } => {
                    let parts = parts.iter().map(|p| Ok(Bytes::from_static(p.as_bytes())));
                    // What was written is sent while the body has to be waited
                    // for; broken off in the same breath it would be dropped.
                    let end = stream::once_future(async move {
                        future::yield_now().await;
                        cut.then(|| Err("broken off".into()))
                    });
                    let end = end.filter_map(|end| end);
                    let body = jd_net::stream(stream::iter(parts).chain(end));
                    answer(&id, StatusCode::OK, body)
                }
                Reply::UntilReleased(rx) => {
                    // Closed means let go as well.
                    let _ = rx.recv().await;
                    answer(&id, StatusCode::OK, jd_net::full("held"))
                }
            };
            self.with_notices(res)
        })
    }
}

fn not_run(id: &str, status: StatusCode) -> Response<Body> {
    let mut res = answer(id, status, jd_net::empty());
    res.headers_mut()
        .insert("not-run", HeaderValue::from_static("1"));
    res
}

fn answer(id: &str, status: StatusCode, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    let id = HeaderValue::from_str(id).expect("an id");
    res.headers_mut().insert("id", id);
    res.headers_mut()
        .insert("signed", HeaderValue::from_static("yes"));
    res
}
