//! The HTTP interface of the fake store.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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
use percent_encoding::percent_decode_str;
use serde_json::Value;
use serde_json::json;

use crate::StoreMode;
use crate::store::Record;
use crate::store::Records;

/// The interval of checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// The bytes of values after which a page ends, as the platform's do.
const PAGE_BYTES: usize = 1 << 20;
/// The maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;

/// How a page is answered that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenPage {
    /// With a rejection of the query.
    Rejected,
    /// With a refusal for now.
    Refused,
    /// With bytes that are no list.
    Garbled,
}

/// The fake store behind its HTTP interface. It decodes queries strictly, and answers 400 to those
/// that it cannot decode.
#[derive(Debug)]
pub struct FakeStore {
    pub(crate) records: Mutex<Records>,
    pub(crate) mode: Mutex<Option<StoreMode>>,
    /// The most items of a page.
    page_items: AtomicUsize,
    /// The pages after this key cannot be read.
    broken_pages: Mutex<Option<(String, BrokenPage)>>,
    changed: Event,
    writes: Mutex<u64>,
}

impl FakeStore {
    /// Creates a store whose pages have at most `page_items` items.
    pub fn new(page_items: usize) -> FakeStore {
        FakeStore {
            records: Mutex::default(),
            mode: Mutex::default(),
            page_items: AtomicUsize::new(page_items),
            broken_pages: Mutex::default(),
            changed: Event::new(),
            writes: Mutex::default(),
        }
    }

    /// Writes a record for the operator or an upstream and returns its revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.put_bytes(key, value.to_string().into_bytes())
    }

    /// Writes a record with any value and returns its revision.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) -> u64 {
        let written = lock(&self.records).write(&[], vec![(key.into(), value, 0)], &[]);
        self.changed.notify(usize::MAX);
        written.unwrap_or_default()
    }

    /// Writes a record that is answered as these bytes in place of a valid item.
    pub fn put_item(&self, key: &str, item: Vec<u8>) {
        lock(&self.records).write_item(key, item);
        self.changed.notify(usize::MAX);
    }

    /// Sets the most items of a page.
    pub(crate) fn set_page_items(&self, count: usize) {
        self.page_items.store(count, Ordering::Relaxed);
    }

    /// Answers reads of pages that begin after this key or a greater one in this way, or normally again.
    pub fn break_pages(&self, after: Option<(&str, BrokenPage)>) {
        *lock(&self.broken_pages) = after.map(|(key, how)| (key.into(), how));
    }

    /// Discards the history of changes together with one that no watch has returned.
    pub fn forget_history(&self) {
        let mut records = lock(&self.records);
        // The write expects no revisions, so it cannot fail.
        let _ = records.write(&[], Vec::new(), &[]);
        records.compact();
        drop(records);
        self.changed.notify(usize::MAX);
    }

    /// Removes a record.
    pub fn remove(&self, key: &str) {
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
        let Some(query) = decode_query(parts.uri.query().unwrap_or("")) else {
            return status(StatusCode::BAD_REQUEST);
        };
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
        let broken = lock(&self.broken_pages).clone();
        match broken.filter(|(key, _)| text("after") >= *key) {
            Some((_, BrokenPage::Rejected)) => return status(StatusCode::BAD_REQUEST),
            Some((_, BrokenPage::Refused)) => return status(StatusCode::SERVICE_UNAVAILABLE),
            Some((_, BrokenPage::Garbled)) => return Response::new(jd_net::full("{\"items\":[")),
            None => {}
        }
        let records = lock(&self.records);
        let mut found = records.range(&text("prefix"), &text("after"));
        let mut bytes = 0;
        let fits = |r: &&Record| {
            let is_within = bytes < PAGE_BYTES;
            bytes += r.raw_item.as_ref().or(r.value.as_ref()).map_or(0, Vec::len);
            is_within
        };
        let fitting = found.iter().take_while(fits).count();
        let count = fitting.min(self.page_items.load(Ordering::Relaxed));
        let more_pages = found.len() > count;
        found.truncate(count);
        let rest = json!({ "more_pages": more_pages, "store_revision": records.revision() });
        list_body("items", &found, &rest)
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
                return list_body("events", &changes, &json!({ "store_revision": revision }));
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

/// An object with a list of records and the fields of `rest`.
fn list_body(list: &str, records: &[Record], rest: &Value) -> Response<Body> {
    let mut body = format!("{{\"{list}\":[").into_bytes();
    for (n, record) in records.iter().enumerate() {
        body.extend_from_slice(if n > 0 { b"," } else { b"" });
        match &record.raw_item {
            Some(item) => body.extend_from_slice(item),
            None => body.extend_from_slice(item(record).to_string().as_bytes()),
        }
    }
    body.extend_from_slice(b"],");
    // The fields of an object, without its opening brace.
    body.extend_from_slice(&rest.to_string().as_bytes()[1..]);
    Response::new(jd_net::full(body))
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

/// The fields of a query; none if it holds an escape that is not one, or text that is not UTF-8.
fn decode_query(text: &str) -> Option<HashMap<String, String>> {
    let pairs = text.split('&').filter_map(|p| p.split_once('='));
    pairs
        .map(|(k, v)| Some((k.into(), decode_component(v)?)))
        .collect()
}

fn decode_component(text: &str) -> Option<String> {
    let escapes = text.split('%').skip(1);
    let is_escape = |t: &str| t.len() >= 2 && t.bytes().take(2).all(|b| b.is_ascii_hexdigit());
    if !escapes.into_iter().all(is_escape) {
        return None;
    }
    // Forms stand for a blank by a plus sign.
    let text = text.replace('+', " ");
    let decoded = percent_decode_str(&text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}

pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(jd_net::empty());
    *res.status_mut() = status;
    res
}

pub(crate) fn json_body(body: &Value) -> Response<Body> {
    Response::new(jd_net::full(body.to_string()))
}
