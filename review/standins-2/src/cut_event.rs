//! An engine stops in the middle of the first event of a stream. Its body ends with a last chunk, as
//! where a program fails and its HTTP library ends the body.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
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

const ENGINES: u64 = 5;
/// The engines that break answers off: two fifths of them.
const FAULTY_ENGINES: u64 = 2;
/// Every 50th answer of these.
const CUT_EVERY: u64 = 50;
/// The disruption lasts 5 s, and comes again 1 s after its end.
const TROUBLE_MS: u64 = 5_000;
const TROUBLE_PERIOD_MS: u64 = 6_000;
const EVENTS: usize = 5;
const REQUESTS: u64 = 600;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

struct Shared {
    record: Arc<Record>,
    calm: bool,
    answers: AtomicU64,
    cut: AtomicU64,
    began_ms: AtomicU64,
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
        cut: AtomicU64::new(0),
        began_ms: AtomicU64::new(0),
    });
    for n in 0..ENGINES {
        let addr = site.address(8080);
        let id = format!("i-model-{n}");
        let born = 1_700_000_000_000 + n;
        let (shared, own) = (Arc::clone(&shared), id.clone());
        let serve = move |conn| model(&shared, conn, &own, born, n < FAULTY_ENGINES);
        http::serve(addr, Arc::new(serve))?;
        let entry = Entry {
            id,
            service: "pool",
            addr,
            zone: "hall-a",
            slots: 64,
            born,
        };
        entry.register(&site.store);
    }
    site.gateway("hall-a", true)?;
    site.until_ready()?;
    thread::sleep(Duration::from_millis(1_500));
    shared.began_ms.store(site.record.ms(), Ordering::Relaxed);
    let to = site.gateways[0].callers;
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            thread::sleep(REQUEST_INTERVAL);
            let (record, counts) = (Arc::clone(&site.record), Arc::clone(&counts));
            thread::spawn(move || {
                let id = format!("{:016x}", 0xa000_0000_0000_0000 + n);
                let (line, place) = match ask(to, &id, n) {
                    Ok(Some(res)) => judge(&id, &res),
                    Ok(None) => (format!("client {id}: connection closed"), None),
                    Err(e) => (format!("client {id}: {e}"), None),
                };
                record.line(&line);
                if let Some(place) = place {
                    counts[place].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    site.record_logs(&["panicked"]);
    let [whole, early] = [0, 1].map(|n| counts[n].load(Ordering::Relaxed));
    let text = format!(
        "{whole} of {REQUESTS} streams whole; {} answers of the faulty engines while they were faulty, {} of them broken off in the first event; {early} streams ended as complete before their last event",
        shared.answers.load(Ordering::Relaxed),
        shared.cut.load(Ordering::Relaxed)
    );
    Ok(match () {
        () if whole < REQUESTS / 2 => Verdict::NotRun(text),
        () if early == 0 => Verdict::Held(text),
        () => Verdict::Broken(text),
    })
}

/// What a client got: 0 for a whole stream, 1 for one that looks complete and is not.
fn judge(id: &str, res: &Message) -> (String, Option<usize>) {
    let text = res.text();
    let events = text.matches("\n\n").count();
    let last = format!("data: part {EVENTS} of {id}\n\n");
    let status = res.status();
    let shown = format!(
        "client {id} got {status}, complete {}, {events} events",
        res.complete
    );
    match (status, res.complete) {
        (200, true) if events == EVENTS && text.ends_with(&last) => (shown, Some(0)),
        (200, true) => {
            let broken = format!("BROKEN ORDER: {shown}, and its body is {text:?}");
            (broken, Some(1))
        }
        _ => (shown, None),
    }
}

fn ask(to: SocketAddr, id: &str, n: u64) -> io::Result<Option<Message>> {
    let mut conn = Conn::connect(to)?;
    conn.stream
        .set_read_timeout(Some(Duration::from_secs(16)))?;
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token key-one\r\n\
         Jacinthdeal-Attempt-Id: {id}\r\nJacinthdeal-Deadline-Ms: 15000\r\n\
         Jacinthdeal-Model: m\r\nJacinthdeal-Tokens: 600,40\r\n\
         Jacinthdeal-Prefix-Hash: {:x}:600\r\n\
         Content-Length: 5\r\n\r\ndraft",
        (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    );
    conn.send(head.as_bytes())?;
    conn.response()
}

fn model(shared: &Shared, mut conn: Conn, id: &str, born: u64, is_faulty: bool) {
    while let Ok(Some(req)) = conn.request() {
        let sent = match engine::misdirected(&req, id) {
            Some(res) => conn.send(&res),
            None if req.path() == "/v1/report" => conn.send(&engine::model_report(born)),
            None => generate(shared, &mut conn, &req, id, is_faulty),
        };
        if sent.is_err() {
            return;
        }
    }
}

fn generate(
    shared: &Shared,
    conn: &mut Conn,
    req: &Message,
    id: &str,
    is_faulty: bool,
) -> io::Result<()> {
    let request = req
        .header("jacinthdeal-attempt-id")
        .unwrap_or("")
        .to_string();
    let first = req
        .header("last-event-id")
        .and_then(|t| t.parse::<usize>().ok());
    let first = first.map_or(1, |last| last + 1);
    let mut is_cut = false;
    if is_faulty && shared.is_troubled() {
        let count = shared.answers.fetch_add(1, Ordering::Relaxed) + 1;
        is_cut = count % CUT_EVERY == 0;
    }
    let mut headers = vec![("Content-Type", "text/event-stream".to_string())];
    headers.push(engine::signature(req));
    headers.extend(engine::echo(req));
    conn.send(&engine::chunked_head("200 OK", &headers))?;
    for n in first..=EVENTS {
        thread::sleep(Duration::from_millis(10));
        let event = format!("id: {n}\ndata: part {n} of {request}\n\n");
        if is_cut {
            shared.cut.fetch_add(1, Ordering::Relaxed);
            let part = &event.as_bytes()[..event.len() / 2];
            shared.record.line(&format!(
                "{id} breaks {request} off inside event {n}, after {:?}",
                String::from_utf8_lossy(part)
            ));
            conn.send(&engine::chunk(part))?;
            break;
        }
        conn.send(&engine::chunk(event.as_bytes()))?;
    }
    conn.send(engine::LAST_CHUNK)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"desk.example","prefix":"/draft/","type":"streaming","timeout_ms":15000,"slo_ms":2200,"priority":0,"service":"pool","max_attempts":2,"phases":[],"public":false,"sticky":true,"resumable":true,"inter_token_ms":500}],"services":[{"name":"pool","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":489173,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"bozi300","api_keys":["key-one"],"priority":1}]}"#;
