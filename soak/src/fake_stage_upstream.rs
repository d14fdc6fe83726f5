//! A stand-in of an upstream that works on pieces of stages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
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
use crate::fake_upstream::FakeUpstream;
use crate::fake_upstream::set_backoff;
use crate::store_api::json_body;
use crate::store_api::status;

/// What a call takes.
const CALL: Duration = Duration::from_millis(30);

/// The results of all stages: which request each belongs to.
#[derive(Debug, Default)]
pub(crate) struct Results {
    made: Mutex<HashMap<String, String>>,
}

impl Results {
    /// True if all of these results, if any, belong to the request.
    pub(crate) fn are_of(&self, handles: &str, id: &str) -> bool {
        let made = lock(&self.made);
        let mut handles = handles.split(',').filter(|h| !h.is_empty());
        handles.all(|h| made.get(h).is_none_or(|owner| owner == id))
    }

    /// True if there are results and none of them is gone.
    pub(crate) fn are_there(&self, handles: &str) -> bool {
        let made = lock(&self.made);
        let mut handles = handles.split(',');
        handles.all(|h| made.contains_key(h))
    }

    fn make(&self, at: SocketAddr, id: &str) -> String {
        let handle = format!("{at}/{:016x}", fastrand::u64(..));
        lock(&self.made).insert(handle.clone(), id.into());
        handle
    }

    /// The upstream at this address ended with all that it held.
    pub(crate) fn lose(&self, at: SocketAddr) {
        let prefix = format!("{at}/");
        lock(&self.made).retain(|handle, _| !handle.starts_with(&prefix));
    }

    fn free(&self, handles: &[Value]) {
        let mut made = lock(&self.made);
        for handle in handles.iter().filter_map(Value::as_str) {
            made.remove(handle);
        }
    }
}

/// A stand-in of an upstream that works on pieces of stages.
#[derive(Debug)]
pub(crate) struct FakeStageUpstream {
    pub(crate) engine: FakeUpstream,
    pub(crate) address: SocketAddr,
}

impl FakeStageUpstream {
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let expected = req.headers().get("jacinthdeal-expect-instance").cloned();
        let path = req.uri().path().to_string();
        let body = read_bounded(req.into_body(), 1 << 20).await;
        let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        if path == "/v1/stage-free" {
            self.engine.results.free(&rows("handles"));
            return json_body(&json!({}));
        }
        if expected.is_none_or(|e| e.as_bytes() != self.engine.id().as_bytes()) {
            return status(StatusCode::MISDIRECTED_REQUEST);
        }
        let mode = *lock(&self.engine.mode);
        match mode {
            Some(UpstreamMode::Sheds | UpstreamMode::Fails | UpstreamMode::RequestsBackoff(_)) => {
                let mut res = status(StatusCode::SERVICE_UNAVAILABLE);
                set_backoff(&mut res, mode.and_then(UpstreamMode::backoff));
                return res;
            }
            Some(UpstreamMode::Hangs) => futures_lite::future::pending().await,
            _ => {}
        }
        Timer::after(CALL).await;
        let made = rows("items").into_iter().map(|item| {
            let id = item["id"].as_str().unwrap_or_default();
            json!({ "handle": self.engine.results.make(self.address, id) })
        });
        let made: Vec<Value> = made.collect();
        json_body(&json!({ "items": made }))
    }
}

impl Handler for FakeStageUpstream {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let res = self.answer(req).await;
            self.engine.with_notices(res)
        })
    }
}
