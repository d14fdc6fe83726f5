//! Callers that send requests over persistent connections and record the outcomes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use http::HeaderValue;
use http::Method;
use http::Request;
use jd_net::Body;
use jd_net::HttpPool;
use jd_net::HttpResponse;
use jd_net::SendError;
use jd_net::with_timeout;

use crate::Attempt;
use crate::Outcome;
use crate::RequestKind;
use crate::TakenUp;
use crate::config::HOST;
use crate::config::KEYS;
use crate::environment::Environment;
use crate::fake_upstream;
use crate::fake_upstream::EVENTS;
use crate::fake_upstream::HOT;
use crate::fake_upstream::crashing_body;
use crate::surroundings::LARGE_ID;
use crate::surroundings::large_body;
use crate::turns::Load;
use crate::versions;

/// The delay between two requests of a caller.
const THINK_TIME: Duration = Duration::from_millis(40);
/// Of the streams that a caller may break off, it usually breaks one in so many.
pub(crate) const LEAVES_ONE_IN: u8 = 4;
/// How often a caller takes a stream up that ends early.
const MAX_TAKE_UPS: usize = 2;
/// Of the requests that may have a large body, one in so many has one.
const UPLOADS_ONE_IN: u64 = 6;
/// The longest that a caller waits before it sends again, whatever `Retry-After` asks for.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// The first part of all prompts. The second parts of sound prompts have the next numbers.
const FIRST_PART: u64 = 1;
/// The number of second parts.
const SECOND_PARTS: u64 = 3;
/// The routes of crashing requests, selected by their numbers.
const CRASHING_ROUTES: [&str; 4] = ["tell", "draft", "look", "book"];

/// A caller that sends requests sequentially.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) env: Arc<Environment>,
    pub(crate) pool: HttpPool,
    /// The number of starts of each instance.
    pub(crate) starts: Arc<Vec<AtomicU32>>,
    pub(crate) stopped: Arc<AtomicBool>,
    pub(crate) rng: fastrand::Rng,
    /// True if the caller also sends the hot request.
    pub(crate) hot: bool,
    /// True if the caller breaks some streams off, and takes up those that end early.
    pub(crate) takes_up: bool,
    /// True if the caller's requests have prompts, whose parts they share.
    pub(crate) prompts: bool,
    /// Of the streams that it may break off, the caller breaks one in so many.
    pub(crate) leaves_one_in: u8,
    /// How long the caller waits for an answer to its end, if it leaves before the deadline.
    pub(crate) stay: Option<Duration>,
    pub(crate) load: Load,
}

impl Caller {
    /// Sends requests until `stopped` is set. The caller mostly stays with an instance, and
    /// switches to a random one after a request that was not served.
    pub(crate) async fn run(mut self) {
        let count = self.starts.len();
        let mut instance = self.rng.usize(..count);
        while !self.stopped.load(Ordering::Relaxed) {
            let pause = self.request(instance).await;
            if pause.is_some() || self.rng.u8(..10) == 0 {
                instance = self.rng.usize(..count);
            }
            Timer::after(pause.unwrap_or_default().min(MAX_PAUSE) + THINK_TIME).await;
        }
    }

    /// Sends a request of a random kind. Returns the time to wait if it was not served.
    async fn request(&mut self, instance: usize) -> Option<Duration> {
        let kind = match self.rng.u8(0..12) {
            0..2 if self.hot => RequestKind::Hot,
            0..4 => RequestKind::Idempotent,
            4..7 => RequestKind::NonIdempotent,
            7..9 => RequestKind::ResumableStream,
            9 | 10 => RequestKind::Stream,
            _ => {
                let newest = self.env.version();
                RequestKind::ConfigProbe(self.rng.u64(newest.saturating_sub(1).max(1)..=newest))
            }
        };
        self.send(instance, kind).await
    }

    /// Sends a request of this kind, and takes its stream up if that ends early. Returns the time
    /// to wait if it was not served.
    pub(crate) async fn send(&mut self, instance: usize, kind: RequestKind) -> Option<Duration> {
        let (mut pause, mut attempt) = self.attempt(instance, kind, None).await;
        for _ in 0..MAX_TAKE_UPS {
            let resumes = self.takes_up && kind == RequestKind::ResumableStream;
            let taken_up = self.taken_up(&attempt).filter(|_| resumes);
            self.env.recorder.attempt(attempt);
            let Some(taken_up) = taken_up else {
                return pause;
            };
            let waited = pause.unwrap_or_default().min(MAX_PAUSE);
            Timer::after(waited.max(self.load.take_up_pause)).await;
            let instance = self.rng.usize(..self.starts.len());
            (pause, attempt) = self.attempt(instance, kind, Some(taken_up)).await;
        }
        self.env.recorder.attempt(attempt);
        pause
    }

    /// The stream of an attempt that has brought events and not ended, or that the attempt could
    /// not take up.
    pub(crate) fn taken_up(&self, attempt: &Attempt) -> Option<TakenUp> {
        let before = attempt.takes_up.as_ref();
        let (last, software) = match &attempt.outcome {
            Outcome::Response {
                complete: true,
                status,
                ..
            } if *status < 300 => return None,
            Outcome::Response { body, .. } => versions::last_event(body)
                .or_else(|| before.map(|b| (b.after, b.software.clone())))?,
            _ => before.map(|b| (b.after, b.software.clone()))?,
        };
        if last >= EVENTS {
            return None;
        }
        let origin = before.map_or(&attempt.id, |b| &b.origin);
        Some(TakenUp {
            origin: origin.clone(),
            after: last,
            serving: self.env.serving(&software),
            software,
        })
    }

    pub(crate) async fn attempt(
        &mut self,
        instance: usize,
        kind: RequestKind,
        takes_up: Option<TakenUp>,
    ) -> (Option<Duration>, Attempt) {
        let number = self.rng.u64(..);
        let uploads = self.load.uploads && kind == RequestKind::Idempotent;
        let uploads = uploads && number.is_multiple_of(UPLOADS_ONE_IN);
        let id = match uploads {
            true => format!("{LARGE_ID}{number:x}"),
            false => format!("{number:016x}"),
        };
        let key = KEYS[self.rng.usize(..KEYS.len())];
        let start = self.starts[instance].load(Ordering::Relaxed);
        let sent = self.env.recorder.now();
        let deadline = self.load.deadline_of(kind);
        let address = self.env.callers_at(instance);
        let mut req = request(&id, kind, key, takes_up.as_ref(), self.load);
        if self.prompts {
            add_prompt(&mut req, &id, kind);
        }
        if uploads {
            *req.body_mut() = large_body(Duration::ZERO);
        }
        let sending = self.pool.send(address, req, deadline, false);
        // Some callers leave after an event.
        let leaves = self.takes_up
            && kind == RequestKind::ResumableStream
            && self.rng.u8(..self.leaves_one_in) == 0;
        let most_bytes = if leaves { 1 } else { usize::MAX };
        let receiving = async {
            match sending.await {
                Some(Ok(res)) => read(res, most_bytes, deadline).await,
                Some(Err(SendError::NotSent)) => (Outcome::NotSent, Some(THINK_TIME)),
                Some(Err(SendError::Broken)) => (Outcome::ConnectionLost, Some(THINK_TIME)),
                Some(Err(SendError::InvalidStatus { status })) => {
                    let outcome = Outcome::Response {
                        status,
                        signature: None,
                        body: String::new(),
                        complete: false,
                    };
                    (outcome, Some(THINK_TIME))
                }
                None => (Outcome::TimedOut, Some(THINK_TIME)),
            }
        };
        let received = match self.stay {
            Some(stay) => with_timeout(stay, receiving).await,
            None => Some(receiving.await),
        };
        let has_left = received.is_none();
        let (outcome, pause) = received.unwrap_or((Outcome::TimedOut, None));
        let is_cut = matches!(
            &outcome,
            Outcome::Response {
                complete: false,
                ..
            }
        );
        let attempt = Attempt {
            id,
            kind,
            key,
            instance: (instance, start),
            sent,
            ended: self.env.recorder.now(),
            outcome,
            takes_up,
            abandoned: has_left || leaves && is_cut,
        };
        (pause, attempt)
    }
}

pub(crate) fn request(
    id: &str,
    kind: RequestKind,
    key: &str,
    takes_up: Option<&TakenUp>,
    load: Load,
) -> Request<Body> {
    let path = match kind {
        RequestKind::Idempotent => "/look/x".into(),
        RequestKind::NonIdempotent => "/book/x".into(),
        RequestKind::ResumableStream => "/draft/x".into(),
        RequestKind::Stream => "/tell/x".into(),
        RequestKind::Hot => "/look/hot".into(),
        RequestKind::Crashing(number) | RequestKind::CrashingPart(number) => {
            format!(
                "/{}/bad",
                CRASHING_ROUTES[number as usize % CRASHING_ROUTES.len()]
            )
        }
        RequestKind::ConfigProbe(version) => format!("/v{version}/x"),
    };
    let body = match kind {
        RequestKind::Hot => HOT.into(),
        RequestKind::Crashing(number) => crashing_body(number),
        _ => id.to_string(),
    };
    let mut req = Request::new(jd_net::full(body));
    *req.method_mut() = Method::POST;
    // The paths of a soak are plain text and always parse.
    *req.uri_mut() = path.parse().unwrap_or_default();
    let deadline = load.deadline_of(kind).as_millis().to_string();
    let pieces = load.pieces.to_string();
    let headers = [
        ("host", HOST),
        ("jacinthdeal-attempt-id", id),
        ("jacinthdeal-deadline-ms", deadline.as_str()),
        ("authorization", &format!("Token {key}")),
        ("jacinthdeal-chunks", pieces.as_str()),
        ("jacinthdeal-chunk-key", id),
        // Only instances may set this header, so the value must not reach an upstream.
        ("jacinthdeal-tenant", "somebody-else"),
    ];
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            req.headers_mut().insert(name, value);
        }
    }
    if let Some(TakenUp { origin, after, .. }) = takes_up {
        let after = HeaderValue::from(*after);
        req.headers_mut().insert("last-event-id", after);
        if let Ok(origin) = origin.parse() {
            req.headers_mut().insert("resumes", origin);
        }
    }
    req
}

/// Adds the headers of a prompt. All prompts share the first part, and each shares the second one
/// with some others; only the last one belongs to the request.
fn add_prompt(req: &mut Request<Body>, id: &str, kind: RequestKind) {
    let own = u64::from_str_radix(id, 16).unwrap_or_default();
    let second = match kind {
        RequestKind::CrashingPart(number) => fake_upstream::crashing_part(number),
        _ => FIRST_PART + 1 + own % SECOND_PARTS,
    };
    let list = format!("{FIRST_PART:x}:40,{second:x}:30,{own:x}:9");
    let headers = [
        ("jacinthdeal-model", "m"),
        ("jacinthdeal-tokens", "79,8"),
        ("jacinthdeal-prefix-hash", list.as_str()),
    ];
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            req.headers_mut().insert(name, value);
        }
    }
}

/// Reads a response, and closes its connection once `most_bytes` of the body have arrived.
pub(crate) async fn read(
    mut res: HttpResponse,
    most_bytes: usize,
    deadline: Duration,
) -> (Outcome, Option<Duration>) {
    let status = res.status.as_u16();
    let signature = res.header("jacinthdeal-signature").map(String::from);
    let retry_after = res.header("retry-after").and_then(|t| t.parse().ok());
    let pause = (!res.status.is_success()).then(|| {
        let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
        retry_after.unwrap_or(THINK_TIME)
    });
    let mut body = String::new();
    let complete = loop {
        if res.status.is_success() && body.len() >= most_bytes {
            break false;
        }
        match with_timeout(deadline, res.chunk()).await {
            Some(Ok(Some(part))) => body.push_str(&String::from_utf8_lossy(&part)),
            Some(Ok(None)) => break true,
            Some(Err(_)) | None => break false,
        }
    };
    let outcome = Outcome::Response {
        status,
        signature,
        body,
        complete,
    };
    (outcome, pause)
}
