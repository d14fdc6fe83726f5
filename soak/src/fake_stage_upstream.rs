//! A fake upstream that processes pieces of stages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_io::Timer;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::lock;
use jd_net::read_bounded;
use serde_json::Value;
use serde_json::json;

use crate::UpstreamMode;
use crate::endless;
use crate::fake_store::json_body;
use crate::fake_store::status;
use crate::fake_upstream::FakeUpstream;
use crate::fake_upstream::set_backoff;
use crate::turns::Load;

/// The held results of all stages, with the request that owns each of them.
#[derive(Debug, Default)]
pub(crate) struct Results {
    owners: Mutex<HashMap<String, String>>,
}

impl Results {
    /// True if none of these results is known to belong to another request.
    pub(crate) fn belong_to(&self, handles: &str, id: &str) -> bool {
        let owners = lock(&self.owners);
        let mut handles = handles.split(',').filter(|h| !h.is_empty());
        handles.all(|h| owners.get(h).is_none_or(|owner| owner == id))
    }

    /// True if all of these results are still held. False for an empty list.
    pub(crate) fn are_held(&self, handles: &str) -> bool {
        let owners = lock(&self.owners);
        let mut handles = handles.split(',');
        handles.all(|h| owners.contains_key(h))
    }

    fn make(&self, at: SocketAddr, id: &str) -> String {
        let handle = format!("{at}/{:016x}", fastrand::u64(..));
        lock(&self.owners).insert(handle.clone(), id.into());
        handle
    }

    /// The number of results of the upstream at this address.
    fn count(&self, at: SocketAddr) -> usize {
        let prefix = format!("{at}/");
        let owners = lock(&self.owners);
        owners.keys().filter(|h| h.starts_with(&prefix)).count()
    }

    /// Drops the results of the upstream at this address after its end.
    pub(crate) fn drop_all(&self, at: SocketAddr) {
        let prefix = format!("{at}/");
        lock(&self.owners).retain(|handle, _| !handle.starts_with(&prefix));
    }

    fn free(&self, handles: &[Value]) {
        let mut owners = lock(&self.owners);
        for handle in handles.iter().filter_map(Value::as_str) {
            owners.remove(handle);
        }
    }
}

/// A fake upstream that processes pieces of stages.
#[derive(Debug)]
pub(crate) struct FakeStageUpstream {
    pub(crate) fake: FakeUpstream,
    pub(crate) address: SocketAddr,
    pub(crate) load: Load,
    pub(crate) calls: AtomicUsize,
}

/// Counts a call until it ends.
struct CallGuard<'a>(&'a AtomicUsize);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl FakeStageUpstream {
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let expected = req.headers().get("jacinthdeal-expect-instance").cloned();
        let path = req.uri().path().to_string();
        let body = read_bounded(req.into_body(), 1 << 20).await;
        let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        if path == "/v1/stage-free" {
            self.fake.results.free(&rows("handles"));
            return json_body(&json!({}));
        }
        if path == "/v1/report" {
            let stored = self.fake.results.count(self.address);
            let free = self
                .load
                .megabytes(self.load.results.saturating_sub(stored));
            return json_body(&json!({ "queued": 0, "busy": false, "free_mb": free }));
        }
        if expected.is_none_or(|e| e.as_bytes() != self.fake.id().as_bytes()) {
            return status(StatusCode::MISDIRECTED_REQUEST);
        }
        let mode = *lock(&self.fake.mode);
        match mode {
            Some(UpstreamMode::Sheds | UpstreamMode::Fails | UpstreamMode::RequestsBackoff(_)) => {
                let mut res = status(StatusCode::SERVICE_UNAVAILABLE);
                set_backoff(&mut res, mode.and_then(UpstreamMode::backoff));
                return res;
            }
            Some(UpstreamMode::Endless(millis)) => {
                return Response::new(endless::body(millis, None));
            }
            Some(UpstreamMode::Hangs) => futures_lite::future::pending().await,
            _ => {}
        }
        let calls = self.calls.fetch_add(1, Ordering::Relaxed);
        let _call = CallGuard(&self.calls);
        if calls >= self.load.calls {
            return not_executed();
        }
        Timer::after(self.load.call).await;
        let items = rows("items").into_iter().map(|item| {
            let id = item["id"].as_str().unwrap_or_default();
            match self.fake.results.count(self.address) < self.load.results {
                true => json!({ "handle": self.fake.results.make(self.address, id) }),
                false => json!({ "reason": "room" }),
            }
        });
        let items: Vec<Value> = items.collect();
        json_body(&json!({ "items": items }))
    }
}

/// The refusal of a call for which there is no place.
fn not_executed() -> Response<Body> {
    let mut res = status(StatusCode::SERVICE_UNAVAILABLE);
    let name = HeaderName::from_static("jacinthdeal-not-executed");
    res.headers_mut()
        .insert(name, HeaderValue::from_static("1"));
    res
}

impl Handler for FakeStageUpstream {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let res = self.answer(req).await;
            self.fake.with_notices(res)
        })
    }
}
