//! Engines that fail part of their requests answer 503 after they have run them, without
//! `Jacinthdeal-Not-Executed`. The client, which gets a promise that the request has not run, sends it
//! again as the pages say.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::engine;
use crate::engine::Entry;
use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::site::Record;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: u64 = 7;
/// One engine of seven (0.143) fails two of five requests (0.4).
const FAULTY_ENGINES: u64 = 1;
const FAILS_OF: u64 = 5;
const FAILS: u64 = 2;
/// The disruption lasts 6 s, and comes again 4 s after its end.
const TROUBLE_MS: u64 = 6_000;
const TROUBLE_PERIOD_MS: u64 = 10_000;
const BOOKINGS: u64 = 800;
const BOOKING_INTERVAL: Duration = Duration::from_millis(40);

struct Shared {
    record: Arc<Record>,
    calm: bool,
    answers: AtomicU64,
    began_ms: AtomicU64,
    /// How often each client attempt has run.
    runs: Mutex<BTreeMap<String, u32>>,
    /// How often each booking has run, over the attempts of its client.
    booked: Mutex<BTreeMap<String, u32>>,
    failed: AtomicU64,
}

impl Shared {
    fn is_troubled(&self) -> bool {
        let since = self
            .record
            .ms()
            .saturating_sub(self.began_ms.load(Ordering::Relaxed));
        !self.calm && since % TROUBLE_PERIOD_MS < TROUBLE_MS
    }
}

pub fn run(case: &Path) -> io::Result<Verdict> {
    let mut site = Site::start(case)?;
    site.store.write("op/config", CONFIG);
    let shared = Arc::new(Shared {
        record: Arc::clone(&site.record),
        calm: site.calm,
        answers: AtomicU64::new(0),
        began_ms: AtomicU64::new(0),
        runs: Mutex::default(),
        booked: Mutex::default(),
        failed: AtomicU64::new(0),
    });
    for n in 0..ENGINES {
        let addr = site.address(8080);
        let id = format!("i-desk-{n}");
        let (shared, own) = (Arc::clone(&shared), id.clone());
        let serve = move |conn| desk(&shared, conn, &own, n < FAULTY_ENGINES);
        http::serve(addr, Arc::new(serve))?;
        let entry = Entry {
            id,
            service: "desk",
            addr,
            zone: "hall-a",
            slots: 6,
            born: 1_700_000_000_000 + n,
        };
        entry.register(&site.store);
    }
    site.gateway("hall-a", true)?;
    site.until_ready()?;
    thread::sleep(Duration::from_millis(1_500));
    shared.began_ms.store(site.record.ms(), Ordering::Relaxed);
    let to = site.gateways[0].callers;
    let broken = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..BOOKINGS)
        .map(|n| {
            thread::sleep(BOOKING_INTERVAL);
            let shared = Arc::clone(&shared);
            let (broken, served) = (Arc::clone(&broken), Arc::clone(&served));
            thread::spawn(move || {
                // Another attempt follows only a promise that the first one has not run.
                for attempt in 0..2 {
                    let id = format!("{:016x}", 0xa000_0000_0000_0000 + 16 * n + attempt);
                    let status = book(to, &id, n).unwrap_or(0);
                    let ran = shared.runs.lock().unwrap().get(&id).copied().unwrap_or(0);
                    let shown = format!("client {id}, booking {n}: {status}, ran {ran} times");
                    if matches!(status, 408 | 421 | 429 | 503) {
                        if ran > 0 {
                            broken.fetch_add(1, Ordering::Relaxed);
                            shared.record.line(&format!("BROKEN REFUSED: {shown}"));
                        } else {
                            shared.record.line(&shown);
                        }
                        thread::sleep(Duration::from_millis(60));
                        continue;
                    }
                    shared.record.line(&shown);
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    break;
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    site.record_logs(&["panicked"]);
    let twice = shared
        .booked
        .lock()
        .unwrap()
        .values()
        .filter(|n| **n > 1)
        .count();
    let broken = broken.load(Ordering::Relaxed);
    let served = served.load(Ordering::Relaxed);
    let text = format!(
        "{served} of {BOOKINGS} bookings served; {} answers of the faulty engine while it was faulty, {} of them failures; {broken} attempts were answered as not run although they had run; {twice} bookings were made twice",
        shared.answers.load(Ordering::Relaxed),
        shared.failed.load(Ordering::Relaxed)
    );
    Ok(match () {
        () if served < BOOKINGS / 2 => Verdict::NotRun(text),
        () if broken == 0 => Verdict::Held(text),
        () => Verdict::Broken(text),
    })
}

/// Sends an attempt at a booking. Returns the status, or 0 if the connection ends without an answer.
fn book(to: SocketAddr, id: &str, n: u64) -> io::Result<u16> {
    let mut conn = Conn::connect(to)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let body = format!("booking {n}");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token key-one\r\n\
         Jacinthdeal-Attempt-Id: {id}\r\nJacinthdeal-Deadline-Ms: 1500\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    conn.send(head.as_bytes())?;
    Ok(conn.response()?.map_or(0, |r| r.status()))
}

fn desk(shared: &Shared, mut conn: Conn, id: &str, is_faulty: bool) {
    while let Ok(Some(req)) = conn.request() {
        let res = match engine::misdirected(&req, id) {
            Some(res) => res,
            None if req.path() == "/v1/report" => engine::model_report(0),
            None => make(shared, &req, id, is_faulty),
        };
        if conn.send(&res).is_err() {
            return;
        }
    }
}

/// Makes a booking.
fn make(shared: &Shared, req: &Message, id: &str, is_faulty: bool) -> Vec<u8> {
    let request = req
        .header("jacinthdeal-attempt-id")
        .unwrap_or("")
        .to_string();
    let booking = req.text();
    *shared
        .runs
        .lock()
        .unwrap()
        .entry(request.clone())
        .or_default() += 1;
    *shared
        .booked
        .lock()
        .unwrap()
        .entry(booking.clone())
        .or_default() += 1;
    thread::sleep(Duration::from_millis(20));
    let mut headers: Vec<(&str, String)> = engine::echo(req).into_iter().collect();
    let mut fails = false;
    if is_faulty && shared.is_troubled() {
        let count = shared.answers.fetch_add(1, Ordering::Relaxed);
        fails = count % FAILS_OF < FAILS;
    }
    if fails {
        shared.failed.fetch_add(1, Ordering::Relaxed);
        shared
            .record
            .line(&format!("{id} ran {request}, {booking}, and answers 503"));
        return http::response("503 Service Unavailable", &headers, b"failed");
    }
    shared
        .record
        .line(&format!("{id} ran {request}, {booking}"));
    headers.push(engine::signature(req));
    http::response("200 OK", &headers, b"booked")
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host":"desk.example","prefix":"/book/","type":"non_idempotent","timeout_ms":800,"slo_ms":150,"priority":2,"service":"desk","max_attempts":1,"phases":[],"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"bozi300","api_keys":["key-one"],"priority":1}]}"#;
