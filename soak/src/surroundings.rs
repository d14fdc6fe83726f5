//! The surroundings of gateway processes for tests that send requests of their own.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream::unfold;
use jd_net::Body;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::HttpResponse;
use jd_net::lock;
use jd_net::with_timeout;

use crate::Crowd;
use crate::Fleet;
use crate::LinkMode;
use crate::Misbehaviour;
use crate::RequestKind;
use crate::UpstreamMode;
use crate::caller;
use crate::caller::Caller;
use crate::caller::LEAVES_ONE_IN;
use crate::environment::Environment;
use crate::run::Runner;
use crate::turns::Load;

/// How often an ordinary request is sent until it is served.
const MAX_TRIES: usize = 20;
/// The pause between two of them if the refusal names none.
const TRY_INTERVAL: Duration = Duration::from_millis(200);
/// The size of the parts in which a large body is sent, in bytes.
const PART_BYTES: usize = 64 << 10;
/// The beginning of the identities of requests with a large body.
pub(crate) const LARGE_ID: &str = "large-";

/// A store, upstreams, links and callers around gateway processes that are ready.
pub struct Surroundings {
    runner: Runner,
    executor: Arc<Executor<'static>>,
    stopped: Arc<AtomicBool>,
    callers: Vec<Task<()>>,
}

impl Surroundings {
    /// The largest body that the configuration allows, in bytes.
    pub const BODY_BYTES: usize = Load::LARGE.body_bytes;

    /// Starts `instances` processes of `fleet` on loopback addresses that begin with `network`, and
    /// waits until they are ready.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        fleet: Arc<dyn Fleet>,
        network: [u8; 3],
        instances: usize,
    ) -> io::Result<Surroundings> {
        let env = Environment::start(executor, network, instances, false, Load::LARGE)?;
        let runner = Runner {
            executor: Arc::clone(executor),
            env: Arc::new(env),
            fleet,
            pool: HttpPool::new(Arc::clone(executor), Clock::start()),
            starts: Arc::new((0..instances).map(|_| AtomicU32::new(0)).collect()),
            held: Vec::new(),
            broken_bounds: Mutex::default(),
            callers: Mutex::default(),
        };
        for n in 0..instances {
            runner.start(n);
        }
        for n in 0..instances {
            runner.until_ready(n).await?;
        }
        Ok(Surroundings {
            runner,
            executor: Arc::clone(executor),
            stopped: Arc::default(),
            callers: Vec::new(),
        })
    }

    /// The address of an instance for callers.
    fn callers_at(&self, instance: usize) -> SocketAddr {
        self.runner.env.callers_at(instance)
    }

    /// Starts clients of an instance that misbehave.
    pub fn crowd(&self, instance: usize, misbehaviour: Misbehaviour, count: usize) -> Crowd {
        let server = self.callers_at(instance);
        let limit = Surroundings::BODY_BYTES;
        Crowd::start(&self.executor, server, misbehaviour, count, limit, false)
    }

    /// Starts clients of an instance that misbehave at the address for readiness, or at that for
    /// locate requests.
    pub fn crowd_at_services(
        &self,
        instance: usize,
        misbehaviour: Misbehaviour,
        count: usize,
    ) -> [Crowd; 2] {
        let env = &self.runner.env;
        let services = [env.ready_at(instance), env.locate_at(instance)];
        let limit = Surroundings::BODY_BYTES;
        services.map(|a| Crowd::start(&self.executor, a, misbehaviour, count, limit, false))
    }

    /// Returns once an instance says that it is ready.
    pub async fn until_ready(&self, instance: usize) -> io::Result<()> {
        self.runner.until_ready(instance).await
    }

    /// Has the upstreams of a crowd's requests take these and never answer.
    pub fn hang_upstreams_of_crowds(&self) {
        self.set_upstreams(&["model"], Some(UpstreamMode::Hangs));
    }

    /// Sets the fault of all upstreams that run requests; none ends it.
    pub fn set_upstreams_of_requests(&self, mode: Option<UpstreamMode>) {
        self.set_upstreams(&["model", "desk"], mode);
    }

    fn set_upstreams(&self, services: &[&str], mode: Option<UpstreamMode>) {
        let upstreams = self.runner.env.upstreams.iter();
        for upstream in upstreams.filter(|u| services.contains(&u.service)) {
            *lock(&upstream.handler.fake().mode) = mode;
        }
    }

    /// Sends `count` small requests of a kind to an instance at a time, and returns once each has ended.
    pub async fn send_together(&self, instance: usize, kind: RequestKind, count: usize) {
        let pool = HttpPool::new(Arc::clone(&self.executor), Clock::start());
        let requests = (0..count).map(|n| {
            let id = format!("together-{n}");
            let mut req = caller::request(&id, kind, "key-0", None, Load::LARGE);
            *req.body_mut() = jd_net::full(id);
            let (pool, server) = (pool.clone(), self.callers_at(instance));
            self.executor.spawn(async move {
                let timeout = Load::LARGE.single_deadline;
                let sent = pool.send(server, req, timeout, true).await;
                if let Some(Ok(mut res)) = sent {
                    while let Some(Ok(Some(_))) = with_timeout(timeout, res.chunk()).await {}
                }
            })
        });
        let requests: Vec<Task<()>> = requests.collect();
        for request in requests {
            request.await;
        }
    }

    /// Cuts an instance off from all upstreams.
    pub fn cut_from_upstreams(&self, instance: usize) {
        self.runner.env.instance_links[instance].set(Some(LinkMode::Refuses));
    }

    /// Starts ordinary callers of all instances.
    pub fn start_callers(&mut self, count: u64) {
        for n in 0..count {
            let caller = self.caller(n, Arc::clone(&self.stopped));
            self.callers.push(self.executor.spawn(caller.run()));
        }
    }

    /// Returns once the ordinary callers have ended their requests.
    pub async fn stop_callers(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.await;
        }
    }

    /// True if an instance serves an ordinary request of a caller, who repeats it when it is refused.
    pub async fn serves(&self, instance: usize) -> bool {
        for n in 0..MAX_TRIES {
            let mut caller = self.caller(u64::MAX - n as u64, Arc::default());
            let Some(pause) = caller.send(instance, RequestKind::Idempotent).await else {
                return true;
            };
            Timer::after(pause.max(TRY_INTERVAL)).await;
        }
        false
    }

    /// The status of the first response that an instance gives to an ordinary request, whether it names
    /// when to come back, and whether an upstream ran the request; none without a response.
    pub async fn outcome_of_request(&self, instance: usize) -> Option<(u16, bool, bool)> {
        for n in 0..MAX_TRIES {
            let id = format!("ordinary-{n}");
            let body = jd_net::full(id.clone());
            let outcome = self.outcome(instance, &id, body).await;
            if outcome.is_some() {
                return outcome;
            }
            Timer::after(TRY_INTERVAL).await;
        }
        None
    }

    /// True if an instance serves a request with the largest body, which its caller sends in parts
    /// with a pause before each, and repeats when it is refused.
    pub async fn serves_large_body(&self, instance: usize, pause: Duration) -> bool {
        for n in 0..MAX_TRIES {
            if self.is_large_body_served(instance, n, pause).await {
                return true;
            }
            Timer::after(TRY_INTERVAL).await;
        }
        false
    }

    /// The same for one request with the largest body.
    pub async fn outcome_of_large_body(&self, instance: usize) -> Option<(u16, bool, bool)> {
        let id = format!("{LARGE_ID}outcome");
        self.outcome(instance, &id, large_body(Duration::ZERO))
            .await
    }

    async fn outcome(&self, instance: usize, id: &str, body: Body) -> Option<(u16, bool, bool)> {
        let response = self.send_body(instance, id, body).await;
        let requests = lock(&self.runner.env.recorder.upstream_requests);
        let has_run = requests.iter().any(|r| r.id == id && r.executed);
        response.map(|(res, _)| {
            let names_time = res.header("retry-after").is_some();
            (res.status.as_u16(), names_time, has_run)
        })
    }

    async fn is_large_body_served(&self, instance: usize, n: usize, pause: Duration) -> bool {
        let id = format!("{LARGE_ID}{n}");
        let response = self.send_body(instance, &id, large_body(pause)).await;
        response.is_some_and(|(res, body)| {
            res.status.is_success() && body == format!("answer to {id}").as_bytes()
        })
    }

    async fn send_body(
        &self,
        instance: usize,
        id: &str,
        body: Body,
    ) -> Option<(HttpResponse, Vec<u8>)> {
        let mut req = caller::request(id, RequestKind::Idempotent, "key-0", None, Load::LARGE);
        *req.body_mut() = body;
        let pool = HttpPool::new(Arc::clone(&self.executor), Clock::start());
        let timeout = Load::LARGE.single_deadline;
        let sent = pool.send(self.callers_at(instance), req, timeout, false);
        let mut res = sent.await?.ok()?;
        let mut body = Vec::new();
        while let Some(Ok(Some(part))) = with_timeout(timeout, res.chunk()).await {
            body.extend_from_slice(&part);
        }
        Some((res, body))
    }

    fn caller(&self, seed: u64, stopped: Arc<AtomicBool>) -> Caller {
        Caller {
            env: Arc::clone(&self.runner.env),
            pool: HttpPool::new(Arc::clone(&self.executor), Clock::start()),
            starts: Arc::clone(&self.runner.starts),
            stopped,
            rng: fastrand::Rng::with_seed(seed),
            hot: false,
            takes_up: false,
            prompts: false,
            leaves_one_in: LEAVES_ONE_IN,
            stay: None,
            load: Load::LARGE,
        }
    }
}

/// A body of the largest size, in parts with a pause before each.
pub(crate) fn large_body(pause: Duration) -> Body {
    let parts = unfold(0, move |sent| async move {
        if sent == Surroundings::BODY_BYTES {
            return None;
        }
        Timer::after(pause).await;
        let end = (sent + PART_BYTES).min(Surroundings::BODY_BYTES);
        let part: Vec<u8> = (sent..end).map(large_byte).collect();
        Some((Ok(Bytes::from(part)), end))
    });
    jd_net::stream(parts)
}

/// The byte of a large body at this position. Its period divides no size of a buffer.
fn large_byte(position: usize) -> u8 {
    b'a' + (position % 23) as u8
}

/// True for the identity of a request with a large body.
pub(crate) fn is_large_id(id: &str) -> bool {
    id.starts_with(LARGE_ID)
}

/// True unless a request with a large body has another one than its caller sent.
pub(crate) fn is_large_body(id: &str, body: &[u8]) -> bool {
    !id.starts_with(LARGE_ID)
        || body.len() == Surroundings::BODY_BYTES
            && body.iter().zip(0..).all(|(byte, n)| *byte == large_byte(n))
}
