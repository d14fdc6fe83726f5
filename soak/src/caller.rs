//! Callers: they send requests, keep connections, and write down what comes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
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
use crate::config::HOST;
use crate::config::KEYS;
use crate::environment::Environment;
use crate::fake_upstream::HOT;
use crate::fake_upstream::bad_body;

/// How long a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Between two requests of a caller.
const THINKS: Duration = Duration::from_millis(40);
/// The longest that a caller waits because it was told to.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// The ways that bad requests take, by their numbers.
const BAD_WAYS: [&str; 4] = ["tell", "draft", "look", "book"];

/// A caller that sends one request after the other.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) environment: Arc<Environment>,
    pub(crate) pool: HttpPool,
    /// How often each instance was started.
    pub(crate) starts: Arc<Vec<AtomicU32>>,
    pub(crate) stopped: Arc<AtomicBool>,
    pub(crate) rng: fastrand::Rng,
    /// True if it also sends the hot request.
    pub(crate) hot: bool,
}

impl Caller {
    /// Sends requests until told to stop. It stays with an instance for a while
    /// and leaves it at once where that refuses or fails it.
    pub(crate) async fn run(mut self) {
        let count = self.starts.len();
        let mut instance = self.rng.usize(..count);
        while !self.stopped.load(Ordering::Relaxed) {
            let pause = self.request(instance).await;
            if pause.is_some() || self.rng.u8(..10) == 0 {
                instance = self.rng.usize(..count);
            }
            Timer::after(pause.unwrap_or_default().min(LONGEST_PAUSE) + THINKS).await;
        }
    }

    /// Sends one request; if it was not served, how long to wait.
    async fn request(&mut self, instance: usize) -> Option<Duration> {
        let kind = match self.rng.u8(0..12) {
            0..2 if self.hot => RequestKind::Hot,
            0..4 => RequestKind::Idempotent,
            4..7 => RequestKind::NonIdempotent,
            7..9 => RequestKind::ResumableStream,
            9 | 10 => RequestKind::Stream,
            _ => {
                let newest = self.environment.version();
                RequestKind::ConfigProbe(self.rng.u64(newest.saturating_sub(1).max(1)..=newest))
            }
        };
        self.send(instance, kind).await
    }

    /// Sends a request of a kind.
    pub(crate) async fn send(&mut self, instance: usize, kind: RequestKind) -> Option<Duration> {
        let id = format!("{:016x}", self.rng.u64(..));
        let key = KEYS[self.rng.usize(..KEYS.len())];
        let start = self.starts[instance].load(Ordering::Relaxed);
        let sent = self.environment.recorder.now();
        let address = self.environment.callers_at(instance);
        let sending = self
            .pool
            .send(address, request(&id, kind, key), DEADLINE, false);
        let (outcome, pause) = match sending.await {
            Some(Ok(res)) => read(res).await,
            Some(Err(SendError::NotSent)) => (Outcome::NotSent, Some(THINKS)),
            Some(Err(SendError::Broken)) => (Outcome::ConnectionLost, Some(THINKS)),
            None => (Outcome::TimedOut, Some(THINKS)),
        };
        self.environment.recorder.attempt(Attempt {
            id,
            kind,
            key,
            instance: (instance, start),
            sent,
            ended: self.environment.recorder.now(),
            outcome,
        });
        pause
    }
}

fn request(id: &str, kind: RequestKind, key: &str) -> Request<Body> {
    let path = match kind {
        RequestKind::Idempotent => "/look/x".into(),
        RequestKind::NonIdempotent => "/book/x".into(),
        RequestKind::ResumableStream => "/draft/x".into(),
        RequestKind::Stream => "/tell/x".into(),
        RequestKind::Hot => "/look/hot".into(),
        RequestKind::Crashing(number) => {
            format!("/{}/bad", BAD_WAYS[number as usize % BAD_WAYS.len()])
        }
        RequestKind::ConfigProbe(version) => format!("/v{version}/x"),
    };
    let body = match kind {
        RequestKind::Hot => HOT.into(),
        RequestKind::Crashing(number) => bad_body(number),
        _ => id.to_string(),
    };
    let mut req = Request::new(jd_net::full(body));
    *req.method_mut() = Method::POST;
    // Paths of a soak are plain text, so each is one.
    *req.uri_mut() = path.parse().unwrap_or_default();
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("host", HOST),
        ("jacinthdeal-attempt-id", id),
        ("jacinthdeal-deadline-ms", deadline.as_str()),
        ("authorization", &format!("Token {key}")),
        ("jacinthdeal-chunks", "2"),
        ("jacinthdeal-chunk-key", id),
        // What only the system may set: it must not reach an upstream.
        ("jacinthdeal-tenant", "somebody-else"),
    ];
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            req.headers_mut().insert(name, value);
        }
    }
    req
}

async fn read(mut res: HttpResponse) -> (Outcome, Option<Duration>) {
    let status = res.status.as_u16();
    let signature = res.header("jacinthdeal-signature").map(String::from);
    let told = res.header("retry-after").and_then(|t| t.parse().ok());
    let pause = (!res.status.is_success()).then(|| {
        let told = told.and_then(|s| Duration::try_from_secs_f64(s).ok());
        told.unwrap_or(THINKS)
    });
    let mut body = String::new();
    let complete = loop {
        match with_timeout(DEADLINE, res.chunk()).await {
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
