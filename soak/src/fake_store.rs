//! The HTTP interface of the fake store.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use event_listener::Event;
use futures_lite::FutureExt;
use futures_lite::future;
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

use crate::StoreMode;
use crate::store::Record;
use crate::store::Records;

/// The interval of checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;

/// The fake store behind its HTTP interface.
#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) records: Mutex<Records>,
    pub(crate) mode: Mutex<Option<StoreMode>>,
    changed: Event,
    writes: Mutex<u64>,
}

impl FakeStore {
    /// Writes a record for the operator or an upstream and returns its revision.
    pub(crate) fn put(&self, key: &str, value: &Value) -> u64 {
        let put = (key.to_string(), value.to_string().into_bytes(), 0);
        let written = lock(&self.records).write(&[], vec![put], &[]);
        self.changed.notify(usize::MAX);
        written.unwrap_or_default()
    }

    pub(crate) fn remove(&self, key: &str) {
        let removed = [key.to_string()];
        // The write expects no revisions, so it cannot fail.
        let _ = lock(&self.records).write(&[], Vec::new(), &removed);
        self.changed.notify(usize::MAX);
    }

    /// Restores the records from a copy.
    pub(crate) fn restore(&self, copy: Records) {
        lock(&self.records).restore(copy);
        self.changed.notify(usize::MAX);
    }

    /// Removes expired leases in an endless loop.
    pub(crate) async fn expire(self: Arc<Self>) {
        loop {
            Timer::after(EXPIRY_INTERVAL).await;
            if lock(&self.records).expire(Instant::now()) {
                self.changed.notify(usize::MAX);
            }
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let mode = *lock(&self.mode);
        match mode {
            Some(StoreMode::Refuses) => return status(StatusCode::SERVICE_UNAVAILABLE),
            Some(StoreMode::Hangs) => future::pending().await,
            Some(StoreMode::Slow(by)) => {
                Timer::after(by).await;
            }
            Some(StoreMode::LosesReplies) | None => {}
        }
        let (parts, body) = req.into_parts();
        let query = query(parts.uri.query().unwrap_or(""));
        let body = read_bounded(body, MAX_BODY_BYTES).await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let path = parts.uri.path();
        let renewed_lease = path.strip_prefix("/v1/kv-keep/");
        let (res, is_write) = match path {
            "/v1/kv-range" => (self.range(&query), false),
            "/v1/kv-watch" => (self.watch(&query).await, false),
            "/v1/kv-txn" => (self.write(&body), true),
            "/v1/kv-lease" => (self.lease(&body), true),
            _ => match renewed_lease.and_then(|l| l.parse().ok()) {
                Some(lease) => (self.renew(lease), false),
                None => (status(StatusCode::NOT_FOUND), false),
            },
        };
        if is_write && mode == Some(StoreMode::LosesReplies) {
            let lost = {
                let mut writes = lock(&self.writes);
                *writes += 1;
                writes.is_multiple_of(2)
            };
            if lost {
                future::pending::<()>().await;
            }
        }
        res
    }

    fn range(&self, query: &HashMap<String, String>) -> Response<Body> {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let records = lock(&self.records);
        let items = records.range(&text("prefix"), &text("after"));
        let items: Vec<Value> = items.iter().map(item).collect();
        json_body(&json!({
            "items": items, "more_pages": false, "store_revision": records.revision(),
        }))
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|t| t.parse::<u64>().ok());
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let era = lock(&self.records).era();
        loop {
            let changed = self.changed.listen();
            let (changes, revision) = {
                let records = lock(&self.records);
                (records.since(after, &prefix), records.revision())
            };
            let Some(changes) = changes.filter(|_| lock(&self.records).era() == era) else {
                return status(StatusCode::GONE);
            };
            if !changes.is_empty() || Instant::now() >= until {
                let events: Vec<Value> = changes.iter().map(item).collect();
                return json_body(&json!({ "events": events, "store_revision": revision }));
            }
            let late = async {
                Timer::at(until).await;
            };
            changed.or(late).await;
        }
    }

    fn write(&self, body: &Value) -> Response<Body> {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let expected: Vec<(String, u64)> = rows("expected")
            .iter()
            .map(|r| (text(&r["key"]), r["rev"].as_u64().unwrap_or(0)))
            .collect();
        let put = |r: &Value| {
            let value = STANDARD.decode(text(&r["value"])).unwrap_or_default();
            (text(&r["key"]), value, r["lease"].as_u64().unwrap_or(0))
        };
        let puts: Vec<(String, Vec<u8>, u64)> = rows("puts").iter().map(put).collect();
        let removed: Vec<String> = rows("delete").iter().map(text).collect();
        let mut records = lock(&self.records);
        if !puts.iter().all(|(_, _, lease)| records.has_lease(*lease)) {
            return status(StatusCode::NOT_FOUND);
        }
        let written = records.write(&expected, puts, &removed);
        drop(records);
        self.changed.notify(usize::MAX);
        match written {
            Ok(revision) => json_body(&json!({ "rev": revision })),
            Err(_) => status(StatusCode::PRECONDITION_FAILED),
        }
    }

    fn lease(&self, body: &Value) -> Response<Body> {
        let lifetime = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
        let lease = lock(&self.records).lease(Instant::now(), lifetime);
        json_body(&json!({ "lease": lease, "ttl_ms": lifetime.as_millis() as u64 }))
    }

    fn renew(&self, lease: u64) -> Response<Body> {
        match lock(&self.records).renew(Instant::now(), lease) {
            true => json_body(&json!({})),
            false => status(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for FakeStore {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let mut res = self.answer(req).await;
            let era = HeaderValue::from(lock(&self.records).era());
            res.headers_mut().insert("store-era", era);
            res
        })
    }
}

fn item(record: &Record) -> Value {
    match &record.value {
        Some(value) => json!({
            "key": record.key, "value": STANDARD.encode(value), "rev": record.revision,
            "created": record.created, "lease": record.lease,
        }),
        None => json!({ "key": record.key, "rev": record.revision, "removed": true }),
    }
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|p| p.split_once('='));
    pairs.map(|(k, v)| (k.into(), v.into())).collect()
}

pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(jd_net::empty());
    *res.status_mut() = status;
    res
}

pub(crate) fn json_body(body: &Value) -> Response<Body> {
    Response::new(jd_net::full(body.to_string()))
}
