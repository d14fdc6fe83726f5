//! A fake upstream that answers requests with a single body or a stream of events.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::StreamExt;
use futures_lite::future;
use futures_lite::stream::unfold;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::ClientAddress;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::lock;
use jd_net::read_bounded;
use serde_json::json;

use crate::CrashCause;
use crate::Notice;
use crate::Recorder;
use crate::UpstreamMode;
use crate::UpstreamRequest;
use crate::config::TENANT;
use crate::early_ends;
use crate::endless;
use crate::environment;
use crate::fake_stage_upstream::Results;
use crate::fake_store::json_body;
use crate::fake_store::status;
use crate::recorder::Work;
use crate::silences::Silence;
use crate::surroundings::is_large_body;
use crate::surroundings::is_large_id;
use crate::turns::Load;

/// The number of events in a stream.
pub(crate) const EVENTS: u64 = 8;
/// The execution time of a request that is not answered by a stream.
const EXECUTION_TIME: Duration = Duration::from_millis(15);
/// The event within which a truncated stream is cut off.
const TRUNCATED_EVENT: u64 = 3;

/// The body of the hot request, which is the same at each attempt.
pub(crate) const HOT: &str = "hot";
/// The prefix of the bodies of crashing requests.
const CRASHING_PREFIX: &str = "bad-";

/// Crashing requests from this number on have their whole answer before the crash.
const ANSWERED_FROM_CRASHING: u64 = 8;
/// The identity of the first part that crashes upstreams; others follow it.
const FIRST_CRASHING_PART: u64 = 0xbad0;

/// The body of the crashing request with this number.
pub(crate) fn crashing_body(number: u64) -> String {
    format!("{CRASHING_PREFIX}{number}")
}

/// The identity of the part of prompts with this number that crashes upstreams.
pub(crate) fn crashing_part(number: u64) -> u64 {
    FIRST_CRASHING_PART + number
}

/// What crashes an upstream in a request with this body and these parts of its prompt.
fn crash_cause(body: &[u8], parts: &str) -> Option<CrashCause> {
    let text = std::str::from_utf8(body).ok()?;
    if let Some(number) = text.strip_prefix(CRASHING_PREFIX) {
        return number.parse().ok().map(CrashCause::Request);
    }
    let ids = parts.split(',').filter_map(|p| p.split(':').next());
    let mut numbers = ids.filter_map(|id| u64::from_str_radix(id, 16).ok());
    let part = numbers.find(|n| (FIRST_CRASHING_PART..FIRST_CRASHING_PART + 16).contains(n));
    part.map(|n| CrashCause::Part(n - FIRST_CRASHING_PART))
}

/// A fake upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) id: Mutex<String>,
    /// The time of the start, in milliseconds since 1970.
    pub(crate) started_ms: AtomicU64,
    /// The version of its software.
    pub(crate) software: Mutex<&'static str>,
    pub(crate) mode: Mutex<Option<UpstreamMode>>,
    /// The announced rate limit, in requests per second.
    pub(crate) limit: Mutex<Option<u32>>,
    /// True once the entry in the store is marked as draining.
    pub(crate) draining: AtomicBool,
    /// True once answers announce that the upstream is leaving.
    pub(crate) announces_leaving: AtomicBool,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) results: Arc<Results>,
    pub(crate) event_interval: Duration,
    /// True if the upstream falls silent for a while in some answers.
    pub(crate) silences: bool,
    /// Receives the identity of an upstream that executed a crashing request.
    pub(crate) ended: Sender<String>,
}

/// The state of a stream.
struct StreamState {
    id: String,
    software: &'static str,
    next: u64,
    first: u64,
    truncated: bool,
    interval: Duration,
    silence: Option<Silence>,
    _work: Work,
}

impl FakeUpstream {
    pub(crate) fn id(&self) -> String {
        lock(&self.id).clone()
    }

    /// Adds the upstream's current notices to an answer.
    pub(crate) fn with_notices(&self, mut res: Response<Body>) -> Response<Body> {
        if self.announces_leaving.load(Ordering::Relaxed) {
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
        if parts.uri.path() == "/v1/report" {
            let born = self.started_ms.load(Ordering::Relaxed);
            return json_body(&json!({ "born": born }));
        }
        let expected = parts.headers.get("jacinthdeal-expect-instance");
        let is_expected = expected.is_none_or(|e| e.as_bytes() == me.as_bytes());
        if parts.uri.path().starts_with("/v1/stage-") && !is_expected {
            // A call for pieces by an entry of another writer.
            return status(StatusCode::MISDIRECTED_REQUEST);
        }
        let client = parts.extensions.get::<ClientAddress>();
        let sender = client.and_then(|c| environment::instance_at(c.0));
        let header = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok());
        let id = header("jacinthdeal-attempt-id").unwrap_or("").to_string();
        let body = read_bounded(body, Load::LARGE.body_bytes)
            .await
            .unwrap_or_default();
        let parts_listed = header("jacinthdeal-prefix-hash").unwrap_or("");
        let crashing = crash_cause(&body, parts_listed);
        if !is_large_body(&id, &body) {
            return status(StatusCode::BAD_REQUEST);
        }
        let path = parts.uri.path();
        let inputs = header("jacinthdeal-inputs").unwrap_or("");
        let fault = match () {
            () if parts.headers.contains_key(AUTHORIZATION) => {
                Some("contains the caller's credential")
            }
            () if !matches!(crashing, Some(CrashCause::Request(_)))
                && body != HOT
                && body != id.as_bytes()
                && !is_large_id(&id) =>
            {
                Some("has a body that its caller did not send")
            }
            () if !path.starts_with("/v") && header("jacinthdeal-tenant") != Some(TENANT) => {
                Some("names another customer or none")
            }
            () if header("jacinthdeal-deadline-ms").is_none() => Some("has no deadline"),
            () if expected.is_none() => Some("names no upstream"),
            () if !self.results.belong_to(inputs, &id) => {
                Some("uses stage results of another request")
            }
            () => None,
        };
        let mode = *lock(&self.mode);
        let backoff = mode.and_then(UpstreamMode::backoff);
        let lacks_inputs = path.starts_with("/draft/") && !self.results.are_held(inputs);
        let refused = match () {
            () if !is_expected => Some(StatusCode::MISDIRECTED_REQUEST),
            () if mode == Some(UpstreamMode::Sheds) => Some(StatusCode::SERVICE_UNAVAILABLE),
            () if backoff.is_some() => Some(StatusCode::SERVICE_UNAVAILABLE),
            () if lacks_inputs => Some(StatusCode::CONFLICT),
            () => None,
        };
        let work = self.recorder.request(UpstreamRequest {
            id: id.clone(),
            upstream: me.clone(),
            sender,
            at: self.recorder.now(),
            executed: refused.is_none(),
            hung: mode == Some(UpstreamMode::Hangs),
            ended: None,
            deadline: header("jacinthdeal-deadline-ms")
                .and_then(|t| t.parse().ok())
                .map(Duration::from_millis),
            crash_cause: crashing,
            fault,
            notice: Notice {
                leaving: self.announces_leaving.load(Ordering::Relaxed),
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
        if crashing.is_some() {
            // Fails only after the end of the soak.
            let _ = self.ended.try_send(me.clone());
        }
        let streams = path.starts_with("/draft/") || path.starts_with("/tell/");
        let after = header("last-event-id").and_then(|t| t.parse().ok());
        let after = after.unwrap_or(0);
        let execute = self.execute(mode, &id, streams, after, crashing, work);
        let res = match execute.await {
            // A body of unknown length ends with its connection in HTTP/1.0.
            res if parts.version == Version::HTTP_10 => res.map(|b| without_length(b, streams)),
            res => res,
        };
        signed(res, mode, &id, &me)
    }

    async fn execute(
        &self,
        mode: Option<UpstreamMode>,
        id: &str,
        streams: bool,
        after: u64,
        crash_cause: Option<CrashCause>,
        work: Work,
    ) -> Response<Body> {
        let crashing = crash_cause.is_some();
        let answers = matches!(
            crash_cause,
            Some(CrashCause::Request(ANSWERED_FROM_CRASHING..))
        );
        let silence = Silence::of(id, &self.id()).filter(|_| self.silences);
        if let (Some(silence), None) = (silence, mode) {
            silence.before_head().await;
        }
        match mode {
            _ if crashing && !streams && !answers => future::pending().await,
            Some(UpstreamMode::Hangs) => future::pending().await,
            Some(UpstreamMode::Fails) => status(StatusCode::INTERNAL_SERVER_ERROR),
            Some(UpstreamMode::Nonsense(code)) => {
                let mut res = Response::new(jd_net::full(plain_answer(id)));
                *res.status_mut() = StatusCode::from_u16(code).unwrap_or_default();
                res
            }
            Some(UpstreamMode::Endless(millis)) => Response::new(endless::body(millis, Some(work))),
            Some(UpstreamMode::EndsEarly) if streams => {
                let software = *lock(&self.software);
                Response::new(early_ends::body(id, &self.id(), software, after))
            }
            _ if streams => Response::new(jd_net::stream(unfold(
                StreamState {
                    id: id.into(),
                    software: *lock(&self.software),
                    next: after + 1,
                    first: after + 1,
                    truncated: mode == Some(UpstreamMode::Truncates),
                    interval: self.event_interval,
                    silence: silence.filter(|_| mode.is_none()),
                    _work: work,
                },
                next_event,
            ))),
            Some(UpstreamMode::Truncates) => {
                let cut: Vec<Result<Bytes, jd_net::BodyError>> =
                    vec![Ok(Bytes::from_static(b"answ")), Err("torn".into())];
                Response::new(jd_net::stream(futures_lite::stream::iter(cut)))
            }
            _ => {
                Timer::after(EXECUTION_TIME).await;
                Response::new(match silence {
                    Some(silence) => silence.body(plain_answer(id), work),
                    None => jd_net::full(plain_answer(id)),
                })
            }
        }
    }
}

/// The same body without a known length. One that is torn goes silent if it is not a stream of
/// events, since nothing but a reset would show that it is not whole.
fn without_length(body: Body, streams: bool) -> Body {
    let chunks = body.into_data_stream();
    jd_net::stream(chunks.then(move |chunk| async move {
        match chunk {
            Err(_) if !streams => future::pending().await,
            chunk => chunk,
        }
    }))
}

/// The body of an answer that is not a stream.
pub(crate) fn plain_answer(id: &str) -> String {
    format!("answer to {id}")
}

/// The text of an event in a stream, as an upstream of a software version writes it.
pub(crate) fn event(id: &str, number: u64, software: &str) -> String {
    format!("id: {number}\ndata: {id} {number} {software}\n\n")
}

async fn next_event(rest: StreamState) -> Option<(Result<Bytes, jd_net::BodyError>, StreamState)> {
    if rest.next > EVENTS {
        return None;
    }
    let silent = |s: Silence| s.before_event(rest.next, rest.first);
    let silence = rest.silence.map_or(Duration::ZERO, silent);
    Timer::after(rest.interval + silence).await;
    if rest.truncated && rest.next > TRUNCATED_EVENT {
        return Some((Err("torn".into()), rest));
    }
    let mut text = event(&rest.id, rest.next, rest.software);
    if rest.truncated && rest.next == TRUNCATED_EVENT {
        text.truncate(text.len() / 2);
    }
    let next = rest.next + 1;
    Some((Ok(Bytes::from(text)), StreamState { next, ..rest }))
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

/// Sets the backoff of a refusal in `Retry-After`.
pub(crate) fn set_backoff(res: &mut Response<Body>, backoff: Option<Duration>) {
    if let Some(wait) = backoff.filter(|_| res.status() == StatusCode::SERVICE_UNAVAILABLE) {
        set(res, "retry-after", &wait.as_secs().to_string());
    }
}

fn set(res: &mut Response<Body>, name: &'static str, value: &str) {
    // All values here are short ASCII texts, so they are valid header values.
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
