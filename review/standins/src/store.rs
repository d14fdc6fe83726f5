//! The platform's metadata store: keys with revisions, leases, watches, and the drill in which it
//! comes back from a copy.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Message, response};
use crate::json::{self, Value, decode_base64, encode_base64, quoted};

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// What the store holds.
#[derive(Debug, Clone)]
pub struct Records {
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item as written, or none if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// The first revision of which the history is complete.
    since: u64,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    era: u64,
}

impl Records {
    fn change(&mut self, puts: Vec<(String, Vec<u8>, u64)>, removed: &[String]) -> u64 {
        let is_change = !puts.is_empty() || removed.iter().any(|k| self.items.contains_key(k));
        if !is_change {
            return self.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        for key in removed {
            if self.items.remove(key).is_some() {
                self.history.push((revision, key.clone(), None));
            }
        }
        for (key, value, lease) in puts {
            let created = self.items.get(&key).map_or(revision, |i| i.created);
            let item = Item {
                value,
                revision,
                created,
                lease,
            };
            self.items.insert(key.clone(), item.clone());
            self.history.push((revision, key, Some(item)));
        }
        revision
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let mut ended: Vec<u64> = Vec::new();
        self.leases.retain(|id, (renewed, lifetime)| {
            let lives = now.duration_since(*renewed) < *lifetime;
            if !lives {
                ended.push(*id);
            }
            lives
        });
        let of_ended = |item: &Item| item.lease != 0 && ended.contains(&item.lease);
        let keys = self
            .items
            .iter()
            .filter(|(_, i)| of_ended(i))
            .map(|(k, _)| k.clone());
        let keys: Vec<String> = keys.collect();
        self.change(Vec::new(), &keys);
    }
}

#[derive(Debug)]
pub struct Store {
    records: Mutex<Records>,
    changed: Condvar,
    /// True while the store refuses all calls.
    away: Mutex<bool>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            records: Mutex::new(Records {
                items: BTreeMap::new(),
                history: Vec::new(),
                since: 0,
                revision: 0,
                leases: HashMap::new(),
                next_lease: 1,
                era: 1,
            }),
            changed: Condvar::new(),
            away: Mutex::new(false),
        });
        let served = Arc::clone(&store);
        http::serve(address, move |stream| {
            http::answer_all(stream, |request| Some(served.answer(&request)));
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().expect("the records")
    }

    /// Removes a key for an engine that has left.
    pub fn remove(&self, key: &str) {
        self.lock().change(Vec::new(), &[key.to_string()]);
        self.changed.notify_all();
    }

    /// A write of the operator or of an engine; returning is its acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let put = (key.to_string(), value.as_bytes().to_vec(), 0);
        let revision = self.lock().change(vec![put], &[]);
        self.changed.notify_all();
        revision
    }

    pub fn copy(&self) -> Records {
        self.lock().clone()
    }

    pub fn set_away(&self, away: bool) {
        *self.away.lock().expect("the mode") = away;
    }

    /// Comes back from a copy: revisions go back, the leases since are gone, the era rises.
    pub fn restore(&self, copy: Records) {
        let mut records = self.lock();
        let era = records.era + 1;
        let now = Instant::now();
        *records = copy;
        records.era = era;
        // The history before the copy is not kept: a watch from a revision that the restored
        // store does not have gets 410.
        records.history.clear();
        records.since = records.revision;
        for (renewed, _) in records.leases.values_mut() {
            *renewed = now;
        }
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> Message {
        if *self.away.lock().expect("the mode") {
            return response(503, &[], "");
        }
        // Answers of the pages' store take 4 ms.
        std::thread::sleep(Duration::from_millis(4));
        let era_before = self.lock().era;
        let path = request.path().to_string();
        let mut answer = match (request.method(), path.as_str()) {
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request, era_before),
            ("POST", "/v1/kv-txn") => self.write(&json::parse(&request.body)),
            ("POST", "/v1/kv-lease") => self.lease(&json::parse(&request.body)),
            ("POST", other) if other.starts_with("/v1/kv-keep/") => {
                let id = other["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                let mut records = self.lock();
                records.expire();
                match records.leases.get_mut(&id) {
                    Some((renewed, lifetime)) => {
                        *renewed = Instant::now();
                        let body =
                            format!("{{\"lease\":{id},\"ttl_ms\":{}}}", lifetime.as_millis());
                        ok(body)
                    }
                    None => response(404, &[], ""),
                }
            }
            ("DELETE", other) if other.starts_with("/v1/kv-lease-end/") => {
                let id: u64 = other["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut records = self.lock();
                if let Some((_, lifetime)) = records.leases.get_mut(&id) {
                    *lifetime = Duration::ZERO;
                }
                records.expire();
                ok("{}".into())
            }
            _ => response(404, &[], ""),
        };
        let era = self.lock().era.to_string();
        answer.headers.push(("Store-Era".into(), era));
        answer
    }

    fn key(&self, request: &Message) -> Message {
        let key = decoded(request.query("key").unwrap_or(""));
        let records = self.lock();
        match records.items.get(&key) {
            Some(item) => ok(shown(&key, Some(item), item.revision)),
            None => response(404, &[], ""),
        }
    }

    fn range(&self, request: &Message) -> Message {
        let prefix = decoded(request.query("prefix").unwrap_or(""));
        let after = decoded(request.query("after").unwrap_or(""));
        let mut records = self.lock();
        records.expire();
        let items = records
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let items: Vec<String> = items.map(|(k, i)| shown(k, Some(i), i.revision)).collect();
        let (items, revision) = (items.join(","), records.revision);
        ok(format!(
            "{{\"items\":[{items}],\"more_pages\":false,\"store_revision\":{revision}}}"
        ))
    }

    fn watch(&self, request: &Message, era: u64) -> Message {
        let number = |name| {
            request
                .query(name)
                .and_then(|t| t.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let prefix = decoded(request.query("prefix").unwrap_or(""));
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut records = self.lock();
        loop {
            records.expire();
            if records.era != era || after < records.since || after > records.revision {
                return response(410, &[], "");
            }
            let news = records
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
            let news: Vec<String> = news.map(|(r, k, i)| shown(k, i.as_ref(), *r)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let (news, revision) = (news.join(","), records.revision);
                return ok(format!(
                    "{{\"events\":[{news}],\"store_revision\":{revision}}}"
                ));
            }
            let wait = left.min(Duration::from_millis(100));
            records = self
                .changed
                .wait_timeout(records, wait)
                .expect("the records")
                .0;
        }
    }

    fn write(&self, body: &Option<Value>) -> Message {
        let Some(body) = body else {
            return response(400, &[], "");
        };
        let mut records = self.lock();
        records.expire();
        let mut states: Vec<String> = Vec::new();
        let mut holds = true;
        for row in body.get("expected").list() {
            let (key, wanted) = (row.get("key").text(), row.get("rev").number());
            let item = records.items.get(key);
            holds &= item.map_or(0, |i| i.revision) == wanted;
            states.extend(item.map(|i| shown(key, Some(i), i.revision)));
        }
        if !holds {
            let body = format!("{{\"items\":[{}]}}", states.join(","));
            return response(412, &[("Content-Type", "application/json")], body);
        }
        let put = |row: &Value| {
            let value = decode_base64(row.get("value").text());
            (
                row.get("key").text().to_string(),
                value,
                row.get("lease").number(),
            )
        };
        let puts: Vec<(String, Vec<u8>, u64)> = body.get("puts").list().iter().map(put).collect();
        let removed = body
            .get("delete")
            .list()
            .iter()
            .map(|k| k.text().to_string());
        let removed: Vec<String> = removed.collect();
        let own = |key: &String| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().map(|(k, _, _)| k).chain(&removed).any(own) {
            return response(403, &[], "");
        }
        let has_lease = |lease: &u64| *lease == 0 || records.leases.contains_key(lease);
        if !puts.iter().all(|(_, _, lease)| has_lease(lease)) {
            return response(404, &[], "");
        }
        let revision = records.change(puts, &removed);
        drop(records);
        self.changed.notify_all();
        ok(format!("{{\"rev\":{revision}}}"))
    }

    fn lease(&self, body: &Option<Value>) -> Message {
        let ttl = body.as_ref().map_or(0, |b| b.get("ttl_ms").number());
        let ttl = ttl.clamp(1_000, 600_000);
        let mut records = self.lock();
        let id = records.next_lease;
        records.next_lease += 1;
        records
            .leases
            .insert(id, (Instant::now(), Duration::from_millis(ttl)));
        ok(format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
    }
}

fn ok(body: String) -> Message {
    response(200, &[("Content-Type", "application/json")], body)
}

fn shown(key: &str, item: Option<&Item>, revision: u64) -> String {
    let key = quoted(key);
    match item {
        Some(item) => format!(
            "{{\"key\":{key},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
            encode_base64(&item.value),
            item.revision,
            item.created,
            item.lease
        ),
        None => format!("{{\"key\":{key},\"rev\":{revision},\"removed\":true}}"),
    }
}

fn decoded(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let hex: Vec<u8> = bytes.by_ref().take(2).collect();
                let hex = std::str::from_utf8(&hex).unwrap_or("");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
