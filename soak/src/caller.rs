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
use crate::Ended;
use crate::Kind;
use crate::config::HOST;
use crate::config::KEYS;
use crate::model::HOT;
use crate::model::bad_body;
use crate::world::World;

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
    pub(crate) world: Arc<World>,
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
            0..2 if self.hot => Kind::Hot,
            0..4 => Kind::Lookup,
            4..7 => Kind::Booking,
            7..9 => Kind::Draft,
            9 | 10 => Kind::Tale,
            _ => {
                let newest = self.world.version();
                Kind::Probe(self.rng.u64(newest.saturating_sub(1).max(1)..=newest))
            }
        };
        self.send(instance, kind).await
    }

    /// Sends a request of a kind.
    pub(crate) async fn send(&mut self, instance: usize, kind: Kind) -> Option<Duration> {
        let id = format!("{:016x}", self.rng.u64(..));
        let key = KEYS[self.rng.usize(..KEYS.len())];
        let start = self.starts[instance].load(Ordering::Relaxed);
        let sent = self.world.ledger.now();
        let address = self.world.callers_at(instance);
        let sending = self
            .pool
            .send(address, request(&id, kind, key), DEADLINE, false);
        let (ended, pause) = match sending.await {
            Some(Ok(res)) => read(res).await,
            Some(Err(SendError::NotSent)) => (Ended::NotSent, Some(THINKS)),
            Some(Err(SendError::Broken)) => (Ended::Broken, Some(THINKS)),
            None => (Ended::Silent, Some(THINKS)),
        };
        self.world.ledger.attempt(Attempt {
            id,
            kind,
            key,
            instance: (instance, start),
            sent,
            over: self.world.ledger.now(),
            ended,
        });
        pause
    }
}

fn request(id: &str, kind: Kind, key: &str) -> Request<Body> {
    let path = match kind {
        Kind::Lookup => "/look/x".into(),
        Kind::Booking => "/book/x".into(),
        Kind::Draft => "/draft/x".into(),
        Kind::Tale => "/tell/x".into(),
        Kind::Hot => "/look/hot".into(),
        Kind::Bad(number) => format!("/{}/bad", BAD_WAYS[number as usize % BAD_WAYS.len()]),
        Kind::Probe(version) => format!("/v{version}/x"),
    };
    let body = match kind {
        Kind::Hot => HOT.into(),
        Kind::Bad(number) => bad_body(number),
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

async fn read(mut res: HttpResponse) -> (Ended, Option<Duration>) {
    let status = res.status.as_u16();
    let signature = res.header("jacinthdeal-signature").map(String::from);
    let told = res.header("retry-after").and_then(|t| t.parse().ok());
    let pause = (!res.status.is_success()).then(|| {
        let told = told.and_then(|s| Duration::try_from_secs_f64(s).ok());
        told.unwrap_or(THINKS)
    });
    let mut body = String::new();
    let whole = loop {
        match with_timeout(DEADLINE, res.chunk()).await {
            Some(Ok(Some(part))) => body.push_str(&String::from_utf8_lossy(&part)),
            Some(Ok(None)) => break true,
            Some(Err(_)) | None => break false,
        }
    };
    let ended = Ended::Answer {
        status,
        signature,
        body,
        whole,
    };
    (ended, pause)
}
