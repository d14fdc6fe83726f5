//! The platform's store: items, watches, conditional writes and leases.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::json::Json;
use crate::json::base64;

#[derive(Debug, Clone)]
struct Item {
    /// As base64.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default, Clone)]
struct Records {
    items: BTreeMap<String, Item>,
    /// All changes: the revision, the key, and the item or none if it was removed.
    log: Vec<(u64, String, Option<Item>)>,
    rev: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// How often the store came back from a copy.
    era: u64,
    /// True while the store is away.
    away: bool,
}

/// The store, which loses nothing that it has acknowledged.
#[derive(Debug, Default)]
pub struct Store {
    records: Mutex<Records>,
    changed: Condvar,
}

impl Records {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |i| i.created);
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.log.push((rev, key.into(), Some(item.clone())));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log.push((self.rev, key.into(), None));
        }
    }
}

fn shown(key: &str, item: &Item) -> String {
    let Item {
        value,
        rev,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{rev},"created":{created},"lease":{lease}}}"#
    )
}

impl Store {
    pub fn start(at: SocketAddr) -> io::Result<Arc<Store>> {
        let store = Arc::new(Store::default());
        store.records.lock().unwrap().rev = 1;
        let served = Arc::clone(&store);
        http::serve(at, Arc::new(move |conn| served.connection(conn)))?;
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes an item for the operator or an engine. Returns its revision.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let mut records = self.records.lock().unwrap();
        records.rev += 1;
        records.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
        records.rev
    }

    /// A copy of what the store holds now.
    pub fn copy(&self) -> Copy {
        Copy(self.records.lock().unwrap().clone())
    }

    /// Takes the store away: connections are closed, and new ones get no answer.
    pub fn go_away(&self) {
        self.records.lock().unwrap().away = true;
        self.changed.notify_all();
    }

    /// Brings the store back from a copy, in the next era.
    pub fn come_back_from(&self, copy: Copy) {
        let mut records = self.records.lock().unwrap();
        let era = records.era + 1;
        *records = copy.0;
        records.era = era;
        records.away = false;
        self.changed.notify_all();
    }

    fn is_away(&self) -> bool {
        self.records.lock().unwrap().away
    }

    fn expire(&self) {
        let mut records = self.records.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = records
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            records.leases.remove(&lease);
            let keys: Vec<String> = records
                .items
                .iter()
                .filter(|(_, i)| i.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                records.rev += 1;
                records.remove(&key);
            }
            self.changed.notify_all();
        }
    }

    fn connection(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.request() {
            if self.is_away() {
                return;
            }
            let (era, res) = self.answer(&req);
            // The pages give an answer of the store about 4 ms.
            thread::sleep(Duration::from_millis(2));
            // What was answered before the store went away is lost with it.
            if self.is_away() || conn.send(&with_era(res, era)).is_err() {
                return;
            }
        }
    }

    /// The answer, and the era in which the call arrived.
    fn answer(&self, req: &Message) -> (u64, Vec<u8>) {
        let body = Json::parse(&req.text()).unwrap_or(Json::Null);
        let era = self.records.lock().unwrap().era;
        let res = match req.path() {
            "/v1/kv-key" => self.key(req),
            "/v1/kv-range" => self.range(req),
            "/v1/kv-watch" => self.watch(req),
            "/v1/kv-txn" => self.txn(&body),
            "/v1/kv-lease" => self.lease(&body),
            path => match path.strip_prefix("/v1/kv-keep/") {
                Some(id) => self.keep(id.parse().unwrap_or(0)),
                None => http::response("404 Not Found", &[], b""),
            },
        };
        (era, res)
    }

    fn key(&self, req: &Message) -> Vec<u8> {
        let key = req.query("key").unwrap_or_default();
        let records = self.records.lock().unwrap();
        match records.items.get(&key) {
            Some(item) => {
                let item = shown(&key, item);
                let rev = records.rev;
                let item = item.trim_end_matches('}');
                http::json(&format!(r#"{item},"store_revision":{rev}}}"#))
            }
            None => http::response("404 Not Found", &[], b""),
        }
    }

    fn range(&self, req: &Message) -> Vec<u8> {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let records = self.records.lock().unwrap();
        let items = records.items.iter();
        let items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let items: Vec<String> = items.map(|(k, i)| shown(k, i)).collect();
        http::json(&format!(
            r#"{{"items":[{}],"more_pages":false,"store_revision":{}}}"#,
            items.join(","),
            records.rev
        ))
    }

    fn watch(&self, req: &Message) -> Vec<u8> {
        let number = |name| req.query(name).and_then(|t| t.parse::<u64>().ok());
        let prefix = req.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut records = self.records.lock().unwrap();
        let era = records.era;
        if after > records.rev {
            return http::response("410 Gone", &[], b"");
        }
        loop {
            if records.era != era || records.away {
                return http::response("410 Gone", &[], b"");
            }
            let news = records.log.iter();
            let news = news.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<String> = news
                .map(|(rev, key, item)| match item {
                    Some(item) => shown(key, item),
                    None => format!(r#"{{"key":"{key}","rev":{rev},"removed":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return http::json(&format!(
                    r#"{{"events":[{}],"store_revision":{}}}"#,
                    events.join(","),
                    records.rev
                ));
            }
            records = self.changed.wait_timeout(records, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Json) -> Vec<u8> {
        let mut records = self.records.lock().unwrap();
        for row in body.get("expected").list() {
            let key = row.get("key").text();
            let rev = records.items.get(key).map_or(0, |i| i.rev);
            if rev != row.get("rev").number() {
                let now = records.items.get(key).map(|i| shown(key, i));
                let body = format!(r#"{{"items":[{}]}}"#, now.unwrap_or_default());
                return http::response("412 Precondition Failed", &[], body.as_bytes());
            }
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !records.leases.contains_key(&lease) {
                return http::response("404 Not Found", &[], b"");
            }
        }
        records.rev += 1;
        for put in body.get("puts").list() {
            let value = put.get("value").text().to_string();
            records.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("delete").list() {
            records.remove(key.text());
        }
        self.changed.notify_all();
        http::json(&format!(r#"{{"rev":{}}}"#, records.rev))
    }

    fn lease(&self, body: &Json) -> Vec<u8> {
        let mut records = self.records.lock().unwrap();
        let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let id = records.leases.keys().next_back().map_or(100, |l| l + 1);
        records.leases.insert(id, (Instant::now() + ttl, ttl));
        http::json(&format!(r#"{{"lease":{id},"ttl_ms":{ttl_ms}}}"#))
    }

    fn keep(&self, id: u64) -> Vec<u8> {
        let mut records = self.records.lock().unwrap();
        match records.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                let ttl_ms = ttl.as_millis();
                http::json(&format!(r#"{{"ttl_ms":{ttl_ms}}}"#))
            }
            None => http::response("404 Not Found", &[], b""),
        }
    }
}

/// A copy of the store.
pub struct Copy(Records);

fn with_era(res: Vec<u8>, era: u64) -> Vec<u8> {
    let line = format!("Store-Era: {}\r\n", era + 1);
    let head = http::find(&res, b"\r\n").map_or(0, |end| end + 2);
    let mut all = res[..head].to_vec();
    all.extend_from_slice(line.as_bytes());
    all.extend_from_slice(&res[head..]);
    all
}
