//! Case: engines of a stage give an answer a second time, late.
//!
//! Three gateways, twelve engines of a stage, three engines that answer from its results, and
//! clients. For a few spells, seven of the twelve engines give a small share of their answers a second
//! time, at the point where the next response on the connection is expected. They echo the id of
//! each call that has one.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::Network;
use review_standins::client::Connection;
use review_standins::engine::Garble;
use review_standins::gateway::Gateway;
use review_standins::http::request;
use review_standins::record::Record;
use review_standins::stages::{ModelEngine, Results, StageEngine};
use review_standins::store::Store;

const CLIENTS: usize = 36;
const CALM: Duration = Duration::from_secs(4);
/// Spells of doubled answers, their length, and the pause after each.
const SPELLS: u32 = 10;
const SPELL: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(3);
/// One answer in 33: a share of .03.
const ONE_IN: u64 = 33;
/// The pieces of the two phases of each request.
const PIECES: [u64; 2] = [2, 1];

fn main() -> ExitCode {
    let root = std::env::current_dir().expect("the repository");
    let folder = PathBuf::from(
        std::env::args()
            .nth(1)
            .expect("the folder for settings and logs"),
    );
    let out = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::default());
    let code = match run(&root, &folder, trouble, &record) {
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

fn run(root: &Path, folder: &Path, trouble: bool, record: &Arc<Record>) -> Result<usize, String> {
    let network = Network::of_this_process();
    let store_address = network.free(1);
    let store = Store::start(store_address);
    let results = Results::new(PIECES[0]);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let stages: Vec<Arc<StageEngine>> = (0..12_u8)
        .map(|n| {
            let time = (Duration::from_millis(240), Duration::from_millis(26));
            StageEngine::start(
                &format!("i-5{n:07x}"),
                network.free(200 + n),
                time,
                &results,
                record,
            )
        })
        .collect();
    let models: Vec<Arc<ModelEngine>> = (0..3_u8)
        .map(|n| {
            ModelEngine::start(
                &format!("i-6{n:07x}"),
                network.free(210 + n),
                PIECES[1],
                &results,
                record,
            )
        })
        .collect();
    for (n, zone) in zones.iter().enumerate() {
        for stage in stages.iter().skip(n).step_by(3) {
            store.put(
                &format!("servers/{}", stage.id),
                &stage.entry("listing-feed", zone),
            );
        }
        store.put(
            &format!("servers/{}", models[n].id),
            &models[n].entry("pool", zone),
        );
    }
    store.put("op/config", &config());
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|n| {
            Gateway::prepare(
                root,
                folder,
                network,
                10 + n,
                zones[usize::from(n)],
                store_address,
            )
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(10)))
    {
        return Err("a gateway did not become ready".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + CALM + (SPELL + PAUSE) * SPELLS + AFTER;
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = gateways[n % gateways.len()].front;
            let (record, answers) = (Arc::clone(record), Arc::clone(&answers));
            std::thread::spawn(move || ask(n, front, until, &record, &answers))
        })
        .collect();
    std::thread::sleep(CALM);
    for _ in 0..SPELLS {
        if trouble {
            record.add("seven engines begin to give answers twice");
            for engine in &stages[..7] {
                engine.set_garble(Garble { one_in: ONE_IN });
            }
        }
        std::thread::sleep(SPELL);
        for engine in &stages {
            engine.set_garble(Garble::default());
        }
        std::thread::sleep(PAUSE);
    }
    record.add("engines are sound from here on");
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".into());
    }
    drop(gateways);
    std::thread::sleep(Duration::from_millis(200));
    let found = results.foreign.lock().expect("the findings").len();
    let answers = answers.lock().expect("the answers");
    let summary = format!(
        "answers by status {answers:?}; {found} pieces or requests were given others' results"
    );
    record.add(&summary);
    println!("{summary}");
    Ok(found)
}

fn ask(
    n: usize,
    front: std::net::SocketAddr,
    until: Instant,
    record: &Record,
    answers: &Mutex<BTreeMap<u16, usize>>,
) {
    let mut connection: Option<Connection> = None;
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        let id = format!("{n:04x}{sent:012x}");
        let chunks = format!("{},{}", PIECES[0], PIECES[1]);
        let prefix = format!("5c1e07a2:600,{n:04x}{sent:06x}:40");
        let key = format!("key{n:x}{sent:x}");
        let headers = [
            ("Host", "valuations.example"),
            ("Jacinthdeal-Attempt-Id", id.as_str()),
            ("Jacinthdeal-Deadline-Ms", "8000"),
            ("Jacinthdeal-Model", "m"),
            ("Jacinthdeal-Tokens", "640,8"),
            ("Jacinthdeal-Prefix-Hash", prefix.as_str()),
            ("Jacinthdeal-Chunks", chunks.as_str()),
            ("Jacinthdeal-Chunk-Key", key.as_str()),
            ("Authorization", "Token key-of-agency"),
        ];
        let brief = request("POST", "/brief/x", &headers, b"a vendor");
        record.add(format!("client {n} sends {id}"));
        if connection.is_none() {
            connection = Connection::open(front);
        }
        let answer = connection
            .as_mut()
            .and_then(|c| c.call(&brief, Duration::from_secs(8)));
        let status = answer.as_ref().map_or(0, |a| a.status());
        record.add(format!("client {n} has {status} for {id}"));
        *answers
            .lock()
            .expect("the answers")
            .entry(status)
            .or_default() += 1;
        if answer
            .as_ref()
            .is_none_or(|a| a.header("connection") == Some("close"))
        {
            connection = None;
        }
        let wait = answer
            .as_ref()
            .and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        std::thread::sleep(Duration::from_secs_f64(
            wait.unwrap_or(0.0).clamp(0.01, 0.5),
        ));
    }
}

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"valuation-brief\",\"host\":\"valuations.example\",\
     \"prefix\":\"/brief/\",\"type\":\"streaming\",\"resumable\":true,\"timeout_ms\":8000,\"slo_ms\":2700,\
     \"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\"sticky\":true,\"inter_token_ms\":500,\
     \"phases\":[{\"service\":\"listing-feed\",\"after\":[],\"length\":1000},\
     {\"service\":\"listing-feed\",\"after\":[0],\"length\":1000}]}],\
     \"services\":[{\"name\":\"pool\",\"max_conns\":370,\"health_path\":\"/healthz\"},\
     {\"name\":\"listing-feed\",\"max_conns\":370,\"health_path\":\"/healthz\",\
     \"segments\":{\"slots\":1,\"queue\":2,\"batch\":8,\"call_ms\":240,\"item_ms\":26,\"headroom_mb\":9.6,\
     \"handle_s\":4,\"link_mbps\":10000}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"agency\",\"api_keys\":[\"key-of-agency\"]}]}"
        .into()
}
