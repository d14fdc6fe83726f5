//! A stand-in of an upstream that answers requests, whole or as a stream.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use futures_lite::stream::unfold;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::lock;
use jd_net::read_bounded;

use crate::Notice;
use crate::Recorder;
use crate::UpstreamMode;
use crate::UpstreamRequest;
use crate::config::TENANT;
use crate::fake_stage_upstream::Results;
use crate::store_api::status;

/// Events of a stream.
pub(crate) const EVENTS: u64 = 8;
/// Between two events.
const EVENT_EVERY: Duration = Duration::from_millis(30);
/// What a request with one answer takes.
const WORK: Duration = Duration::from_millis(15);
/// The event in the middle of which a torn stream ends.
const TORN_AT: u64 = 3;

/// The body of the request that many send.
pub(crate) const HOT: &str = "hot";
/// What the bodies of requests that end upstreams begin with.
const BAD: &str = "bad-";

/// The body of the bad request of that number.
pub(crate) fn bad_body(number: u64) -> String {
    format!("{BAD}{number}")
}

fn bad_number(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix(BAD)?.parse().ok()
}

/// A stand-in of an upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) id: Mutex<String>,
    /// When it started, in milliseconds since 1970.
    pub(crate) born: AtomicU64,
    pub(crate) mode: Mutex<Option<UpstreamMode>>,
    /// The limit that it names, in requests a second.
    pub(crate) limit: Mutex<Option<u32>>,
    /// True once its entry says that it leaves.
    pub(crate) draining: AtomicBool,
    /// True once its answers say so.
    pub(crate) says_leaving: AtomicBool,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) results: Arc<Results>,
    /// Takes the identity of an upstream that ends with a request.
    pub(crate) ended: Sender<String>,
}

/// What a stream still has to send.
struct Rest {
    id: String,
    next: u64,
    torn: bool,
}

impl FakeUpstream {
    pub(crate) fn id(&self) -> String {
        lock(&self.id).clone()
    }

    /// An answer of it, with what it says of what may be sent to it next.
    pub(crate) fn with_notices(&self, mut res: Response<Body>) -> Response<Body> {
        if self.says_leaving.load(Ordering::Relaxed) {
            set(&mut res, "server-leaving", "1");
        }
        if let Some(limit) = *lock(&self.limit) {
            set(&mut res, "server-limit", &limit.to_string());
        }
        res
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let me = self.id();
        let (parts, body) = req.into_parts();
        let header = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok());
        let id = header("jacinthdeal-attempt-id").unwrap_or("").to_string();
        let body = read_bounded(body, 1 << 16).await.unwrap_or_default();
        let bad = bad_number(&body);
        let path = parts.uri.path();
        let inputs = header("jacinthdeal-inputs").unwrap_or("");
        let fault = match () {
            () if parts.headers.contains_key(AUTHORIZATION) => Some("was shown the credential"),
            () if bad.is_none() && body != HOT && body != id.as_bytes() => Some("has another body"),
            () if !path.starts_with("/v") && header("jacinthdeal-tenant") != Some(TENANT) => {
                Some("has another customer")
            }
            () if header("jacinthdeal-deadline-ms").is_none() => Some("has no deadline"),
            () if !self.results.are_of(inputs, &id) => Some("works on another's results"),
            () => None,
        };
        let mode = *lock(&self.mode);
        let backoff = mode.and_then(UpstreamMode::backoff);
        let expected = header("jacinthdeal-expect-instance").is_some_and(|e| e == me);
        let lacks_inputs = path.starts_with("/draft/") && !self.results.are_there(inputs);
        let refused = match () {
            () if !expected => Some(StatusCode::MISDIRECTED_REQUEST),
            () if mode == Some(UpstreamMode::Sheds) => Some(StatusCode::SERVICE_UNAVAILABLE),
            () if backoff.is_some() => Some(StatusCode::SERVICE_UNAVAILABLE),
            () if lacks_inputs => Some(StatusCode::CONFLICT),
            () => None,
        };
        self.recorder.run(UpstreamRequest {
            id: id.clone(),
            upstream: me.clone(),
            at: self.recorder.now(),
            executed: refused.is_none(),
            crash_number: bad,
            fault,
            notice: Notice {
                leaving: self.says_leaving.load(Ordering::Relaxed),
                backoff: backoff.filter(|_| refused == Some(StatusCode::SERVICE_UNAVAILABLE)),
            },
        });
        if let Some(refused) = refused {
            let mut res = status(refused);
            set(&mut res, "jacinthdeal-attempt-id", &id);
            set(&mut res, "jacinthdeal-not-executed", "1");
            set_backoff(&mut res, backoff);
            return res;
        }
        if bad.is_some() {
            // Fails only once the soak is over.
            let _ = self.ended.try_send(me.clone());
        }
        let streams = path.starts_with("/draft/") || path.starts_with("/tell/");
        let after = header("last-event-id").and_then(|t| t.parse().ok());
        let work = self.work(mode, &id, streams, after.unwrap_or(0), bad.is_some());
        let res = work.await;
        signed(res, mode, &id, &me)
    }

    async fn work(
        &self,
        mode: Option<UpstreamMode>,
        id: &str,
        streams: bool,
        after: u64,
        bad: bool,
    ) -> Response<Body> {
        match mode {
            _ if bad && !streams => future::pending().await,
            Some(UpstreamMode::Hangs) => future::pending().await,
            Some(UpstreamMode::Fails) => status(StatusCode::INTERNAL_SERVER_ERROR),
            _ if streams => Response::new(jd_net::stream(unfold(
                Rest {
                    id: id.into(),
                    next: after + 1,
                    torn: mode == Some(UpstreamMode::Truncates),
                },
                next_event,
            ))),
            Some(UpstreamMode::Truncates) => {
                let cut: Vec<Result<Bytes, jd_net::BodyError>> =
                    vec![Ok(Bytes::from_static(b"answ")), Err("torn".into())];
                Response::new(jd_net::stream(futures_lite::stream::iter(cut)))
            }
            _ => {
                Timer::after(WORK).await;
                Response::new(jd_net::full(plain_answer(id)))
            }
        }
    }
}

/// The answer to a request with one answer.
pub(crate) fn plain_answer(id: &str) -> String {
    format!("answer to {id}")
}

/// An event of a stream.
pub(crate) fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

async fn next_event(rest: Rest) -> Option<(Result<Bytes, jd_net::BodyError>, Rest)> {
    if rest.next > EVENTS {
        return None;
    }
    Timer::after(EVENT_EVERY).await;
    if rest.torn && rest.next > TORN_AT {
        return Some((Err("torn".into()), rest));
    }
    let mut text = event(&rest.id, rest.next);
    if rest.torn && rest.next == TORN_AT {
        text.truncate(text.len() / 2);
    }
    let next = rest.next + 1;
    Some((Ok(Bytes::from(text)), Rest { next, ..rest }))
}

fn signed(
    mut res: Response<Body>,
    mode: Option<UpstreamMode>,
    id: &str,
    me: &str,
) -> Response<Body> {
    let named = match mode {
        Some(UpstreamMode::Misattributes) => "another",
        _ => id,
    };
    set(&mut res, "jacinthdeal-attempt-id", named);
    set(&mut res, "jacinthdeal-signature", &format!("{named}.{me}"));
    res
}

/// Has a refusal say for how long its upstream wants nothing more.
pub(crate) fn set_backoff(res: &mut Response<Body>, backoff: Option<Duration>) {
    if let Some(wait) = backoff.filter(|_| res.status() == StatusCode::SERVICE_UNAVAILABLE) {
        set(res, "retry-after", &wait.as_secs().to_string());
    }
}

fn set(res: &mut Response<Body>, name: &'static str, value: &str) {
    // Identities of a soak are hexadecimal, so each is a header's value.
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

impl Handler for FakeUpstream {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let res = self.answer(req).await;
            self.with_notices(res)
        })
    }
}
