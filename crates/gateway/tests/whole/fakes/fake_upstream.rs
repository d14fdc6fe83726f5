//! An upstream with programmed replies.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
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
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Clock;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpPool;
use jd_net::HttpServer;
use jd_net::ServerLimits;

use crate::fakes::Reply;
use crate::fakes::STREAM;

/// What an upstream does when another one fetches tokens from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FetchReply {
    /// It sends them.
    Sends,
    /// It accepts the connection and sends nothing.
    Hangs,
    /// It breaks the connection off.
    Breaks,
}

/// An upstream with programmed replies. The last reply is repeated.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    replies: Mutex<VecDeque<Reply>>,
    /// The ID of each request and, if given, the event to resume after.
    pub(crate) asked: Mutex<Vec<(String, Option<String>)>>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
    /// The start that its reports name, in milliseconds since 1970.
    start_ms: Mutex<Option<u64>>,
    /// True once its reports are cut short.
    cuts_reports: AtomicBool,
    /// The rate limit that all responses announce.
    limit: Mutex<Option<HeaderValue>>,
    /// The load that all responses report.
    load: Mutex<Option<HeaderValue>>,
    /// The rejections a second that all responses say it withstands.
    brittle: Mutex<Option<HeaderValue>>,
    /// Requests that run at a time; what is beyond is rejected.
    capacity: AtomicUsize,
    running: AtomicUsize,
    /// When requests were rejected.
    rejections: Mutex<Vec<Instant>>,
    /// True once all responses announce a shutdown.
    leaving: AtomicBool,
    /// The sources that requests named to fetch tokens from.
    pub(crate) fetches: Mutex<Vec<String>>,
    fetch_reply: Mutex<FetchReply>,
    /// The connections to sources.
    pool: HttpPool,
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
            start_ms: Mutex::default(),
            cuts_reports: AtomicBool::new(false),
            limit: Mutex::default(),
            load: Mutex::default(),
            brittle: Mutex::default(),
            capacity: AtomicUsize::new(usize::MAX),
            running: AtomicUsize::new(0),
            rejections: Mutex::default(),
            leaving: AtomicBool::new(false),
            fetches: Mutex::default(),
            fetch_reply: Mutex::new(FetchReply::Sends),
            pool: HttpPool::new(Arc::clone(executor), Clock::start()),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler: Arc<dyn Handler> = Arc::clone(&upstream) as Arc<dyn Handler>;
        let server = HttpServer::start(Arc::clone(executor), any, ServerLimits::default(), handler);
        (upstream, server.expect("a free port"))
    }

    pub(crate) fn count(&self) -> usize {
        self.asked.lock().expect("a lock").len()
    }

    /// True if a request with this ID has reached it.
    pub(crate) fn has_run(&self, id: &str) -> bool {
        let asked = self.asked.lock().expect("a lock");
        asked.iter().any(|(asked, _)| asked == id)
    }

    /// Sets the start that its reports name from now on.
    pub(crate) fn set_start(&self, ms: u64) {
        *self.start_ms.lock().expect("a lock") = Some(ms);
    }

    /// Cuts its reports short from now on.
    pub(crate) fn cut_reports(&self) {
        self.cuts_reports.store(true, Ordering::Relaxed);
    }

    /// Sets the rate limit that all responses announce from now on.
    pub(crate) fn set_limit(&self, limit: Option<&'static str>) {
        let limit = limit.map(HeaderValue::from_static);
        *self.limit.lock().expect("a lock") = limit;
    }

    /// Sets the load that all responses report from now on.
    pub(crate) fn set_load(&self, load: &'static str) {
        let load = HeaderValue::from_static(load);
        *self.load.lock().expect("a lock") = Some(load);
    }

    /// Rejects requests beyond `capacity` from now on, and says how many rejections a second it
    /// withstands.
    pub(crate) fn set_brittle(&self, capacity: usize, rejections: &'static str) {
        self.capacity.store(capacity, Ordering::Relaxed);
        let rejections = HeaderValue::from_static(rejections);
        *self.brittle.lock().expect("a lock") = Some(rejections);
    }

    /// Requests in progress.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// When requests were rejected for want of capacity.
    pub(crate) fn rejections(&self) -> Vec<Instant> {
        self.rejections.lock().expect("a lock").clone()
    }

    /// Makes all responses announce a shutdown from now on.
    pub(crate) fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Replaces the replies.
    pub(crate) fn set_replies(&self, replies: Vec<Reply>) {
        *self.replies.lock().expect("a lock") = replies.into();
    }

    /// When each request of any kind arrived.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("a lock").clone()
    }

    /// Sets what the upstream does when another one fetches tokens from it.
    pub(crate) fn set_fetch_reply(&self, reply: FetchReply) {
        *self.fetch_reply.lock().expect("a lock") = reply;
    }

    async fn send_tokens(&self) -> Response<Body> {
        let reply = *self.fetch_reply.lock().expect("a lock");
        match reply {
            FetchReply::Sends => Response::new(jd_net::full("tokens")),
            FetchReply::Hangs => future::pending().await,
            FetchReply::Breaks => {
                let broken = stream::once(Err("broken off".into()));
                Response::new(jd_net::stream(broken))
            }
        }
    }

    /// Fetches tokens from another upstream; false if that fails.
    async fn fetch(&self, source: &str) -> bool {
        self.fetches.lock().expect("a lock").push(source.into());
        let req = Request::builder().uri("/tokens").header("host", "tokens");
        let req = req.body(jd_net::empty()).expect("a request");
        let timeout = Duration::from_secs(30);
        let source = source.parse().expect("an address");
        match self.pool.send(source, req, timeout, true).await {
            Some(Ok(response)) => response.read_all(100).await.is_ok(),
            _ => false,
        }
    }

    fn with_notices(&self, mut res: Response<Body>) -> Response<Body> {
        if let Some(limit) = &*self.limit.lock().expect("a lock") {
            res.headers_mut().insert("limit", limit.clone());
        }
        if let Some(load) = &*self.load.lock().expect("a lock") {
            res.headers_mut().insert("load", load.clone());
        }
        if let Some(brittle) = &*self.brittle.lock().expect("a lock") {
            res.headers_mut().insert("brittle", brittle.clone());
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
        // A query for a report is not a request of a caller.
        if req.uri().path() == "/room" {
            let start = *self.start_ms.lock().expect("a lock");
            let mut report = start.map_or(String::new(), |ms| ms.to_string());
            if self.cuts_reports.load(Ordering::Relaxed) {
                report = "{\"sta".into();
            }
            return Box::pin(async move { self.with_notices(Response::new(jd_net::full(report))) });
        }
        if req.uri().path() == "/tokens" {
            return Box::pin(async move { self.send_tokens().await });
        }
        let header = |name: &str| {
            let value = req.headers().get(name);
            value.and_then(|v| v.to_str().ok()).map(String::from)
        };
        let id = header("id").unwrap_or_default();
        let asked = (id.clone(), header("after"));
        self.asked.lock().expect("a lock").push(asked);
        let reply = match self.next() {
            Reply::Resumable { .. } if header("after").is_some() => Reply::Stream {
                parts: &STREAM[1..],
                cut: false,
            },
            Reply::CutThenSilent(silence) if header("after").is_some() => {
                Reply::Pausing(&[STREAM[1], "never"], silence)
            }
            Reply::Resumable { cut: true } | Reply::CutThenSilent(_) => Reply::Stream {
                parts: &STREAM[..1],
                cut: true,
            },
            Reply::Resumable { cut: false } => Reply::Stream {
                parts: &STREAM,
                cut: false,
            },
            reply => reply,
        };
        let fetch = header("fetch");
        let running = Running::begin(&self);
        if running.before >= self.capacity.load(Ordering::Relaxed) {
            let mut rejections = self.rejections.lock().expect("a lock");
            rejections.push(Instant::now());
            drop(rejections);
            let rejected = not_run(&id, StatusCode::SERVICE_UNAVAILABLE);
            return Box::pin(async move { self.with_notices(rejected) });
        }
        Box::pin(async move {
            let _running = running;
            if let Some(source) = fetch
                && !self.fetch(&source).await
            {
                return not_run(&id, StatusCode::SERVICE_UNAVAILABLE);
            }
            let res = match reply {
                Reply::Complete(text) => single(&id, text),
                Reply::Delayed(text, after) => {
                    Timer::after(after).await;
                    single(&id, text)
                }
                Reply::Crossed => answer("another", StatusCode::OK, jd_net::full("theirs")),
                Reply::Failure => answer(&id, StatusCode::INTERNAL_SERVER_ERROR, jd_net::empty()),
                Reply::DelayedFailure(after) => {
                    Timer::after(after).await;
                    answer(&id, StatusCode::INTERNAL_SERVER_ERROR, jd_net::empty())
                }
                Reply::CrossedNotRun => not_run("another", StatusCode::SERVICE_UNAVAILABLE),
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
                    // Yield so that the parts are sent before the error: without it they
                    // would be dropped with the connection.
                    let end = stream::once_future(async move {
                        future::yield_now().await;
                        cut.then(|| Err("broken off".into()))
                    });
                    let end = end.filter_map(|end| end);
                    let body = jd_net::stream(stream::iter(parts).chain(end));
                    answer(&id, StatusCode::OK, body)
                }
                Reply::Pausing(parts, silence) => {
                    let part = |p: &&'static str| Ok(Bytes::from_static(p.as_bytes()));
                    let first = stream::iter(parts.iter().take(1).map(part));
                    let rest = stream::once_future(async move {
                        Timer::after(silence).await;
                        Ok(Bytes::from(parts[1..].concat()))
                    });
                    answer(&id, StatusCode::OK, jd_net::stream(first.chain(rest)))
                }
                Reply::Resumable { .. } | Reply::CutThenSilent(_) => {
                    unreachable!("replaced by a stream above")
                }
                Reply::UntilReleased(rx) => {
                    // A closed channel releases the response as well.
                    let _ = rx.recv().await;
                    single(&id, "held")
                }
            };
            self.with_notices(res)
        })
    }
}

/// Counts a request as running until it is dropped.
struct Running {
    upstream: Arc<FakeUpstream>,
    before: usize,
}

impl Running {
    fn begin(upstream: &Arc<FakeUpstream>) -> Running {
        Running {
            upstream: Arc::clone(upstream),
            before: upstream.running.fetch_add(1, Ordering::Relaxed),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.upstream.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn not_run(id: &str, status: StatusCode) -> Response<Body> {
    let mut res = answer(id, status, jd_net::empty());
    res.headers_mut()
        .insert("not-run", HeaderValue::from_static("1"));
    res
}

/// A success that is no stream of events, and says so.
fn single(id: &str, text: &'static str) -> Response<Body> {
    let mut res = answer(id, StatusCode::OK, jd_net::full(text));
    let kind = HeaderValue::from_static("text/plain");
    res.headers_mut().insert(CONTENT_TYPE, kind);
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
