//! Case: an engine gives one of its rejections a second time, late.
//!
//! Three gateways, three engines of one service, and clients that book. For a while one engine in
//! three gives a small share of its answers a second time, at the point where the next response on
//! the connection is expected. Each answer names the request that it belongs to.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::Network;
use review_standins::client::Connection;
use review_standins::engine::{Engine, Garble, Runs};
use review_standins::gateway::Gateway;
use review_standins::http::request;
use review_standins::record::Record;
use review_standins::store::Store;

const CLIENTS: usize = 40;
const CALM: Duration = Duration::from_secs(4);
const TROUBLE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(3);
/// One answer in 33: a share of .03.
const ONE_IN: u64 = 33;

fn main() -> ExitCode {
    let root = std::env::current_dir().expect("the repository");
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder for settings and logs"));
    let out = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::default());
    let verdict = run(&root, &folder, trouble, &record);
    let code = match verdict {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(why) => {
            record.add(format!("could not run: {why}"));
            eprintln!("could not run: {why}");
            2
        }
    };
    record.write(&out);
    ExitCode::from(code)
}

fn run(
    root: &std::path::Path,
    folder: &std::path::Path,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<usize, String> {
    let network = Network::of_this_process();
    let store_address = network.free(1);
    let store = Store::start(store_address);
    let runs = Arc::new(Runs::default());
    let zones = ["hall-a", "hall-b", "hall-c"];
    let engines: Vec<Arc<Engine>> = (0..3)
        .map(|n| {
            let address = network.free(200 + n);
            let load = (6, 4, Duration::from_millis(30));
            Engine::start(&format!("i-{n:08x}"), address, load, &runs, record)
        })
        .collect();
    for (engine, zone) in engines.iter().zip(zones) {
        store.put(&format!("servers/{}", engine.id), &engine.entry("agent-desk", zone));
    }
    store.put("op/config", &config());
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|n| Gateway::prepare(root, folder, network, 10 + n, zones[usize::from(n)], store_address))
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !gateways.iter().all(|g| g.wait_ready(Duration::from_secs(10))) {
        return Err("a gateway did not become ready".into());
    }
    // Instances learn of each other.
    std::thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let until = began + CALM + TROUBLE + AFTER;
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = gateways[n % gateways.len()].front;
            let (record, answers) = (Arc::clone(record), Arc::clone(&answers));
            std::thread::spawn(move || book(n, front, until, &record, &answers))
        })
        .collect();
    std::thread::sleep(CALM);
    if trouble {
        record.add(format!("engine {} begins to give answers twice", engines[0].id));
        engines[0].set_garble(Garble { one_in: ONE_IN });
    }
    std::thread::sleep(TROUBLE);
    engines[0].set_garble(Garble::default());
    record.add("engines are sound from here on");
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".into());
    }
    drop(gateways);
    std::thread::sleep(Duration::from_millis(200));
    Ok(judge(&runs, &answers.lock().expect("the answers"), record))
}

/// Sends bookings one after the other, each with an id of its own.
fn book(
    n: usize,
    front: std::net::SocketAddr,
    until: Instant,
    record: &Record,
    answers: &Mutex<BTreeMap<String, u16>>,
) {
    let mut connection: Option<Connection> = None;
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        let id = format!("{n:04x}{sent:012x}");
        let headers = [
            ("Host", "viewings.example"),
            ("Jacinthdeal-Attempt-Id", id.as_str()),
            ("Jacinthdeal-Deadline-Ms", "1500"),
            ("Authorization", "Token key-of-agency"),
        ];
        let booking = request("POST", "/book/viewing", &headers, b"a viewing");
        record.add(format!("client {n} sends {id}"));
        if connection.is_none() {
            connection = Connection::open(front);
        }
        let answer = connection.as_mut().and_then(|c| c.call(&booking, Duration::from_millis(1_500)));
        let status = answer.as_ref().map_or(0, |a| a.status());
        record.add(format!("client {n} has {status} for {id}"));
        answers.lock().expect("the answers").insert(id, status);
        let closes = answer.as_ref().is_none_or(|a| a.header("connection") == Some("close"));
        if closes {
            connection = None;
        }
        let wait = answer.as_ref().and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0).clamp(0.005, 0.5)));
    }
}

/// Counts what breaks TWICE or REFUSED.
fn judge(runs: &Runs, answers: &BTreeMap<String, u16>, record: &Record) -> usize {
    let (mut twice, mut refused) = (0, 0);
    let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
    for (id, status) in answers {
        *by_status.entry(*status).or_default() += 1;
        let of_request = runs.of(id);
        let engines: Vec<&str> = of_request.iter().map(|r| r.engine.as_str()).collect();
        if engines.len() > 1 {
            twice += 1;
            record.add(format!("TWICE: {id} ran at {}", engines.join(" and ")));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !engines.is_empty() {
            refused += 1;
            record.add(format!("REFUSED: {id} was answered {status} and ran at {}", engines.join(", ")));
        }
    }
    record.add(format!("{} bookings, by answer {by_status:?}", answers.len()));
    record.add(format!("{twice} ran twice, {refused} were refused and ran"));
    println!("{} bookings by answer {by_status:?}: {twice} ran twice, {refused} were refused and ran", answers.len());
    twice + refused
}

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"viewing-book\",\"host\":\"viewings.example\",\
     \"prefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeout_ms\":800,\"slo_ms\":150,\
     \"priority\":2,\"service\":\"agent-desk\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"agent-desk\",\"max_conns\":110,\"health_path\":\"/healthz\"}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"agency\",\"api_keys\":[\"key-of-agency\"]}]}"
        .into()
}
