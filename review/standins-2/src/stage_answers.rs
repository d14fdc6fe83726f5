//! A stage engine sends its answer a second time, late: where the answer to the next call on that
//! connection is expected.

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
use crate::json::Json;
use crate::site::Record;
use crate::site::Site;
use crate::site::Verdict;

const STAGE_ENGINES: usize = 5;
/// The engines that send answers twice: three fifths of them.
const FAULTY_ENGINES: usize = 3;
/// Every 34th answer of these, which is less than 3 in 100.
const EXTRA_EVERY: u64 = 34;
/// The disruption lasts 5 s, and comes again 1 s after its end.
const TROUBLE_MS: u64 = 5_000;
const TROUBLE_PERIOD_MS: u64 = 6_000;
const PIECES: usize = 22;
const CALL_MS: f64 = 240.0;
const PIECE_MS: f64 = 9.4;
const REQUESTS: u64 = 600;
/// Requests come in clumps, as users come. The stage engines have time for all of them.
const CLUMP: u64 = 15;
const CLUMP_INTERVAL: Duration = Duration::from_millis(1_600);

/// Which request and piece each stored result belongs to.
type Results = Arc<Mutex<BTreeMap<String, String>>>;

struct Shared {
    record: Arc<Record>,
    results: Results,
    calm: bool,
    answers: AtomicU64,
    extra: AtomicU64,
    foreign: Mutex<Vec<String>>,
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
        results: Results::default(),
        calm: site.calm,
        answers: AtomicU64::new(0),
        extra: AtomicU64::new(0),
        foreign: Mutex::default(),
        began_ms: AtomicU64::new(0),
    });
    for n in 0..STAGE_ENGINES {
        let addr = site.address(8080);
        let id = format!("i-stage-{n}");
        let (shared, own) = (Arc::clone(&shared), id.clone());
        let slot = Arc::new(Mutex::new(()));
        let serve =
            move |conn| stage_connection(&shared, conn, &own, addr, n < FAULTY_ENGINES, &slot);
        http::serve(addr, Arc::new(serve))?;
        let entry = Entry {
            id,
            service: "portal",
            addr,
            zone: "hall-a",
            slots: 1,
            born: 1_700_000_000_000 + n as u64,
        };
        entry.register(&site.store);
    }
    for n in 0..2 {
        let addr = site.address(8080);
        let id = format!("i-model-{n}");
        let (shared, own) = (Arc::clone(&shared), id.clone());
        http::serve(
            addr,
            Arc::new(move |conn| model_connection(&shared, conn, &own)),
        )?;
        let entry = Entry {
            id,
            service: "pool",
            addr,
            zone: "hall-a",
            slots: 64,
            born: 1_700_000_001_000 + n,
        };
        entry.register(&site.store);
    }
    site.gateway("hall-a", true)?;
    site.until_ready()?;
    thread::sleep(Duration::from_millis(1_500));
    shared.began_ms.store(site.record.ms(), Ordering::Relaxed);
    let to = site.gateways[0].callers;
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            if n % CLUMP == 0 {
                thread::sleep(CLUMP_INTERVAL);
            }
            let (record, served) = (Arc::clone(&site.record), Arc::clone(&served));
            thread::spawn(move || {
                let id = format!("{:016x}", 0xa000_0000_0000_0000 + n);
                let outcome = ask(to, &id, n).unwrap_or_else(|e| format!("no answer: {e}"));
                if outcome.starts_with("200 whole") {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                record.line(&format!("client {id} got {outcome}"));
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    site.record_logs(&["panicked"]);
    let served = served.load(Ordering::Relaxed);
    let extra = shared.extra.load(Ordering::Relaxed);
    let foreign = shared.foreign.lock().unwrap().clone();
    let counts = format!(
        "{served} of {REQUESTS} requests served; {} answers of the faulty engines while they were faulty, {extra} of them sent twice; {} requests and pieces were given foreign inputs",
        shared.answers.load(Ordering::Relaxed),
        foreign.len()
    );
    for line in &foreign {
        site.record.line(&format!("BROKEN {line}"));
    }
    Ok(match () {
        () if served < REQUESTS / 2 => Verdict::NotRun(counts),
        () if foreign.is_empty() => Verdict::Held(counts),
        () => Verdict::Broken(counts),
    })
}

fn ask(to: SocketAddr, id: &str, n: u64) -> io::Result<String> {
    let mut conn = Conn::connect(to)?;
    conn.stream
        .set_read_timeout(Some(Duration::from_secs(16)))?;
    let body = format!("draft {id}");
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token key-one\r\n\
         Jacinthdeal-Attempt-Id: {id}\r\nJacinthdeal-Deadline-Ms: 15000\r\n\
         Jacinthdeal-Model: m\r\nJacinthdeal-Tokens: 600,40\r\n\
         Jacinthdeal-Prefix-Hash: 5c1e07a2:400,{:x}:200\r\n\
         Jacinthdeal-Chunks: {PIECES}\r\nJacinthdeal-Chunk-Key: k{id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        0x1000 + n,
        body.len()
    );
    conn.send(head.as_bytes())?;
    Ok(match conn.response()? {
        Some(res) => {
            let whole = if res.complete { "whole" } else { "broken off" };
            format!("{} {whole}", res.status())
        }
        None => "a closed connection".into(),
    })
}

fn stage_connection(
    shared: &Shared,
    mut conn: Conn,
    id: &str,
    addr: SocketAddr,
    is_faulty: bool,
    slot: &Mutex<()>,
) {
    let mut late: Option<Vec<u8>> = None;
    while let Ok(Some(req)) = conn.request() {
        if let Some(second) = late.take() {
            shared.record.line(&format!(
                "{id} sends its last answer once more as {} {} arrives",
                req.method(),
                req.path()
            ));
            if conn.send(&second).is_err() {
                return;
            }
        }
        let mut is_run = false;
        let res = match req.path() {
            _ if let Some(res) = engine::misdirected(&req, id) => res,
            "/v1/stage-run" => {
                is_run = true;
                let _slot = slot.lock().unwrap();
                run_pieces(shared, &req, id, addr)
            }
            "/v1/stage-free" => {
                free(shared, &req);
                http::json("{}")
            }
            "/v1/report" => http::json(r#"{"queued":0,"busy":false,"free_mb":2.4}"#),
            _ => http::response("404 Not Found", &[], b""),
        };
        if conn.send(&res).is_err() {
            return;
        }
        if is_run && is_faulty && shared.is_troubled() {
            let count = shared.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if count % EXTRA_EVERY == 0 {
                shared.extra.fetch_add(1, Ordering::Relaxed);
                late = Some(res);
            }
        }
    }
}

/// Makes the pieces of a call, and checks their inputs.
fn run_pieces(shared: &Shared, req: &Message, id: &str, addr: SocketAddr) -> Vec<u8> {
    static NEXT: AtomicU64 = AtomicU64::new(0x91bd_3f06_e44a_0000);
    let call = Json::parse(&req.text()).unwrap_or(Json::Null);
    let items = call.get("items").list();
    thread::sleep(Duration::from_secs_f64(
        (CALL_MS + PIECE_MS * items.len() as f64) / 1e3,
    ));
    let mut owners: Vec<&str> = items.iter().map(|i| i.get("id").text()).collect();
    owners.dedup();
    shared
        .record
        .line(&format!("{id} made {} pieces of {owners:?}", items.len()));
    let mut results = shared.results.lock().unwrap();
    let handles: Vec<String> = items
        .iter()
        .map(|item| {
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{addr}/{number:x}");
            let owner = item.get("id").text().to_string();
            results.insert(handle.clone(), owner);
            format!(r#"{{"handle":"{handle}"}}"#)
        })
        .collect();
    let mut headers = vec![
        ("Content-Type", "application/json".to_string()),
        ("Jacinthdeal-Load", "0,0,1".to_string()),
    ];
    headers.extend(engine::echo(req));
    let body = format!(r#"{{"items":[{}]}}"#, handles.join(","));
    http::response("200 OK", &headers, body.as_bytes())
}

fn free(shared: &Shared, req: &Message) {
    let call = Json::parse(&req.text()).unwrap_or(Json::Null);
    let mut results = shared.results.lock().unwrap();
    for handle in call.get("handles").list() {
        results.remove(handle.text());
    }
}

fn model_connection(shared: &Shared, mut conn: Conn, id: &str) {
    while let Ok(Some(req)) = conn.request() {
        if let Some(res) = engine::misdirected(&req, id) {
            if conn.send(&res).is_err() {
                return;
            }
            continue;
        }
        let sent = match req.path() {
            "/v1/report" => conn.send(&engine::model_report(1_700_000_001_000)),
            _ => generate(shared, &mut conn, &req, id),
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Fetches the inputs of a request and answers with a stream of events.
fn generate(shared: &Shared, conn: &mut Conn, req: &Message, id: &str) -> io::Result<()> {
    let request = req
        .header("jacinthdeal-attempt-id")
        .unwrap_or("")
        .to_string();
    let inputs = req.header("jacinthdeal-inputs").unwrap_or("");
    let found: Vec<Option<String>> = {
        let results = shared.results.lock().unwrap();
        let handles = inputs.split(',').filter(|h| !h.is_empty());
        handles.map(|h| results.get(h.trim()).cloned()).collect()
    };
    let refusal = match () {
        () if found.is_empty() => Some("400 Bad Request"),
        () if found.contains(&None) => Some("409 Conflict"),
        () => None,
    };
    let mut headers = vec![("Jacinthdeal-Attempt-Id", request.clone())];
    if let Some(status) = refusal {
        headers.push(("Jacinthdeal-Not-Executed", "1".into()));
        shared
            .record
            .line(&format!("{id} refused {request} with {status}"));
        return conn.send(&http::response(status, &headers, b""));
    }
    let owners: Vec<String> = found.into_iter().flatten().collect();
    let foreign = owners.iter().filter(|o| **o != request).count();
    let mut others = owners.clone();
    others.sort();
    others.dedup();
    shared.record.line(&format!(
        "{id} runs {request} on {} inputs made for {others:?}",
        owners.len()
    ));
    if foreign > 0 {
        shared.foreign.lock().unwrap().push(format!(
            "MIXED: request {request} ran at {id} with {foreign} inputs that were made for {others:?}"
        ));
    }
    headers.push(engine::signature(req));
    headers.push(("Content-Type", "text/event-stream".into()));
    conn.send(&engine::chunked_head("200 OK", &headers))?;
    for n in 1..=5 {
        thread::sleep(Duration::from_millis(15));
        let event = format!("id: {n}\ndata: part {n} of {request}\n\n");
        conn.send(&engine::chunk(event.as_bytes()))?;
    }
    conn.send(engine::LAST_CHUNK)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"desk.example","prefix":"/draft/","type":"streaming","timeout_ms":15000,"slo_ms":2200,"priority":0,"service":"pool","max_attempts":1,"phases":[{"service":"portal","after":[],"length":6000}],"public":false,"sticky":true,"resumable":false,"inter_token_ms":500}],"services":[{"name":"pool","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":489173,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},{"name":"portal","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"segments":{"slots":1,"queue":2,"batch":22,"call_ms":240.0,"item_ms":9.4,"headroom_mb":2.4,"handle_s":4.0,"link_mbps":10000}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"bozi300","api_keys":["key-one"],"priority":1}]}"#;
