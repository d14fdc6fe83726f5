//! A drill of the store, in which a machine is added. Its process reads the configuration of the copy,
//! in which a revoked key still is.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::engine;
use crate::engine::Entry;
use crate::http;
use crate::http::Conn;
use crate::site::Record;
use crate::site::Site;
use crate::site::Verdict;

/// The bound of the pages.
const REVOKE_MS: u64 = 5_000;
/// From the acknowledgement of the revocation until the store goes away.
const REVOKED_BEFORE: Duration = Duration::from_millis(4_000);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// When the added process starts in that time.
const ADDED_AFTER: Duration = Duration::from_millis(700);
/// How soon after the return of the store the operator and the engines have written again what they
/// wrote since the copy: in half of the two seconds in which entries are back that expired with it.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_000);

/// Requests that ran: the key is named by the client's id, and the time when it was sent.
type Runs = Arc<Mutex<Vec<String>>>;

pub fn run(case: &Path) -> io::Result<Verdict> {
    let mut site = Site::start(case)?;
    site.store
        .write("op/config", &config(7, r#""key-kept","key-gone""#));
    let runs = Runs::default();
    for n in 0..3 {
        let addr = site.address(8080);
        let id = format!("i-desk-{n}");
        let (runs, own, record) = (Arc::clone(&runs), id.clone(), Arc::clone(&site.record));
        http::serve(addr, Arc::new(move |conn| desk(&record, &runs, conn, &own)))?;
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
    for n in 0..3 {
        site.gateway(["hall-a", "hall-b", "hall-c"][n], true)?;
    }
    site.until_ready()?;
    thread::sleep(Duration::from_millis(1_500));
    let record = Arc::clone(&site.record);
    let to = site.gateways[0].callers;
    for (n, key) in ["key-kept", "key-gone"].into_iter().enumerate() {
        let status = ask(to, &format!("b{n:015x}"), key)?;
        record.line(&format!(
            "before the revocation, {key} got {status} at gateway 1"
        ));
        if status != 200 {
            return Ok(Verdict::NotRun(format!("{key} is not served at first")));
        }
    }
    let copy = site.store.copy();
    record.line("copy of the store taken");
    thread::sleep(Duration::from_millis(500));
    let revoked = config(9, r#""key-kept""#);
    site.store.write("op/config", &revoked);
    let acked = record.ms();
    record.line("version 9, which takes key-gone away, is acknowledged");
    thread::sleep(REVOKED_BEFORE);
    let status = ask(to, "c000000000000000", "key-gone")?;
    record.line(&format!(
        "key-gone got {status} at gateway 1, 4 s after its revocation"
    ));
    if status != 401 {
        return Ok(Verdict::NotRun(
            "key-gone is not refused before the drill".into(),
        ));
    }
    if !site.calm {
        site.store.go_away();
        record.line("the store goes away");
    }
    thread::sleep(ADDED_AFTER);
    site.gateway("hall-a", false)?;
    let to = site.gateways[3].callers;
    thread::sleep(AWAY.saturating_sub(ADDED_AFTER));
    if !site.calm {
        site.store.come_back_from(copy);
        record.line("the store is back from the copy, in the next era");
    }
    let back = record.ms();
    for n in 0..3 {
        let id = format!("f{n:015x}");
        let status = ask(site.gateways[n].callers, &id, "key-gone").unwrap_or(0);
        record.line(&format!(
            "key-gone got {status} at gateway {}, which runs since the start",
            n + 1
        ));
    }
    let mut written_again = site.calm;
    let mut sent = 0;
    let mut accepted = Vec::new();
    while record.ms() < back + 4_000 {
        if !written_again && record.ms() >= back + WRITTEN_AGAIN.as_millis() as u64 {
            site.store.write("op/config", &revoked);
            written_again = true;
            record.line("the operator has written version 9 again");
        }
        let at = record.ms();
        // Asked only when the bound has passed since the acknowledgement.
        if at > acked + REVOKE_MS {
            let id = format!("d{sent:015x}");
            sent += 1;
            let status = ask(to, &id, "key-gone").unwrap_or(0);
            let after = at - acked;
            record.line(&format!(
                "request {id} with key-gone to gateway 4, sent {after} ms after the revocation, got {status}"
            ));
            if runs.lock().unwrap().contains(&id) {
                accepted.push(after);
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
    let kept = ask(to, "e000000000000000", "key-kept")?;
    record.line(&format!("at the end, key-kept got {kept} at gateway 4"));
    site.record_logs(&["configuration in force", "later configuration", "restored"]);
    let text = format!(
        "{} of {sent} requests with the revoked key ran, sent {:?} to {:?} ms after its revocation was acknowledged; the bound is {REVOKE_MS} ms",
        accepted.len(),
        accepted.first(),
        accepted.last()
    );
    Ok(match () {
        () if kept != 200 => Verdict::NotRun("key-kept is not served at the end".into()),
        () if accepted.is_empty() => Verdict::Held(text),
        () => Verdict::Broken(text),
    })
}

/// Sends a booking. Returns the status, or 0 if the connection ends without an answer.
fn ask(to: SocketAddr, id: &str, key: &str) -> io::Result<u16> {
    let mut conn = Conn::connect(to)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token {key}\r\n\
         Jacinthdeal-Attempt-Id: {id}\r\nJacinthdeal-Deadline-Ms: 1500\r\n\
         Content-Length: 4\r\n\r\nbook"
    );
    conn.send(head.as_bytes())?;
    Ok(conn.response()?.map_or(0, |r| r.status()))
}

fn desk(record: &Record, runs: &Runs, mut conn: Conn, id: &str) {
    while let Ok(Some(req)) = conn.request() {
        let res = match engine::misdirected(&req, id) {
            Some(res) => res,
            None if req.path() == "/v1/report" => engine::model_report(0),
            None => {
                let request = req.header("jacinthdeal-attempt-id").unwrap_or("");
                let tenant = req.header("jacinthdeal-tenant").unwrap_or("");
                record.line(&format!("{id} runs {request} of {tenant}"));
                runs.lock().unwrap().push(request.to_string());
                thread::sleep(Duration::from_millis(10));
                let mut headers = vec![engine::signature(&req)];
                headers.extend(engine::echo(&req));
                http::response("200 OK", &headers, b"booked")
            }
        };
        if conn.send(&res).is_err() {
            return;
        }
    }
}

fn config(version: u64, keys: &str) -> String {
    CONFIG
        .replace("VERSION", &version.to_string())
        .replace("KEYS", keys)
}

const CONFIG: &str = r#"{"version":VERSION,"routes":[{"name":"r-book","host":"desk.example","prefix":"/book/","type":"non_idempotent","timeout_ms":800,"slo_ms":150,"priority":2,"service":"desk","max_attempts":1,"phases":[],"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"bozi300","api_keys":[KEYS],"priority":1}]}"#;
