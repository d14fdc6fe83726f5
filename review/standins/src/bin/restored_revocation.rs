//! Case: the store comes back from a copy while an instance is restarted.
//!
//! Three gateways, two engines and a client whose key the operator takes away. Later than
//! `revoke_ms` after the acknowledgement, one instance is restarted as planned, and the store comes
//! back from a copy that is older than the revocation. The operator writes its configuration again
//! 1.5 s later. The other two instances have the newest configuration all the while.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::Network;
use review_standins::client;
use review_standins::engine::{Engine, Runs};
use review_standins::gateway::{Gateway, Signal};
use review_standins::http::request;
use review_standins::record::Record;
use review_standins::store::Store;

/// `revoke_ms` of the site.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the store is away before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(300);
/// How long after that the operator writes its configuration again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_500);
const INTERVAL: Duration = Duration::from_millis(40);

/// A request of the client whose key is taken away.
struct Sent {
    id: String,
    instance: usize,
    at: Instant,
    status: u16,
}

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
    let runs = Arc::new(Runs::default());
    let zones = ["hall-a", "hall-b", "hall-c"];
    for n in 0..2_u8 {
        let load = (6, 24, Duration::from_millis(30));
        let engine = Engine::start(
            &format!("i-{n:08x}"),
            network.free(200 + n),
            load,
            &runs,
            record,
        );
        let entry = engine.entry("agent-desk", zones[usize::from(n)]);
        store.put(&format!("servers/{}", engine.id), &entry);
    }
    store.put("op/config", &config(1, true));
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

    let ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..gateways.len())
        .map(|n| {
            let front = gateways[n].front;
            let (record, ended, sent) = (Arc::clone(record), Arc::clone(&ended), Arc::clone(&sent));
            std::thread::spawn(move || ask(n, front, &ended, &record, &sent))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));

    let copy = store.copy();
    let copied = Instant::now();
    record.add("the copy of the store is made; version 1 is in force, with key-b");
    std::thread::sleep(Duration::from_millis(300));
    store.put("op/config", &config(2, false));
    let acknowledged = Instant::now();
    record.add("version 2 is acknowledged; it takes key-b away");

    std::thread::sleep(Duration::from_millis(2_600));
    record.add("instance 2 gets SIGTERM");
    gateways[2].signal(Signal::Term);
    if !gateways[2].wait_ended(Duration::from_secs(9)) {
        return Err("instance 2 did not end within its grace period".into());
    }
    record.add("instance 2 has ended");
    std::thread::sleep(
        (REVOKE + Duration::from_millis(700)).saturating_sub(acknowledged.elapsed()),
    );
    if trouble {
        store.set_away(true);
        record.add("the store is away");
        std::thread::sleep(AWAY);
        store.restore(copy);
        store.set_away(false);
        let age = copied.elapsed().as_secs_f64();
        record.add(format!(
            "the store is back from a copy that is {age:.1} s old"
        ));
    } else {
        std::thread::sleep(AWAY);
    }
    gateways[2].start();
    record.add("instance 2 is started again");
    std::thread::sleep(WRITTEN_AGAIN);
    if trouble {
        store.put("op/config", &config(2, false));
        record.add("the operator has written version 2 again");
    }
    std::thread::sleep(Duration::from_secs(4));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".into());
    }
    drop(gateways);
    Ok(judge(
        &runs,
        &sent.lock().expect("the requests"),
        acknowledged,
        record,
    ))
}

/// Sends requests with key-b to one instance.
fn ask(n: usize, front: SocketAddr, ended: &AtomicBool, record: &Record, sent: &Mutex<Vec<Sent>>) {
    let mut count = 0;
    while !ended.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{n:04x}{count:012x}");
        let headers = [
            ("Host", "enquiries.example"),
            ("Jacinthdeal-Attempt-Id", id.as_str()),
            ("Jacinthdeal-Deadline-Ms", "1500"),
            ("Authorization", "Token key-b"),
            ("Connection", "close"),
        ];
        let enquiry = request("GET", "/ack/receipt", &headers, b"");
        let at = Instant::now();
        record.add(format!("client sends {id} with key-b to instance {n}"));
        let answer = client::call(front, &enquiry, Duration::from_millis(1_500));
        let status = answer.map_or(0, |a| a.status());
        record.add(format!("client has {status} for {id}"));
        sent.lock().expect("the requests").push(Sent {
            id,
            instance: n,
            at,
            status,
        });
        std::thread::sleep(INTERVAL);
    }
}

/// Counts the requests with key-b that were sent later than `revoke_ms` after the
/// acknowledgement, and ran.
fn judge(runs: &Runs, sent: &[Sent], acknowledged: Instant, record: &Record) -> usize {
    let late = sent.iter().filter(|s| s.at > acknowledged + REVOKE);
    let broken: Vec<&Sent> = late.filter(|s| !runs.of(&s.id).is_empty()).collect();
    for s in &broken {
        let after = s.at.duration_since(acknowledged).as_secs_f64();
        record.add(format!(
            "CONFIG: {} was sent to instance {} {after:.3} s after the acknowledgement, ran, and was answered {}",
            s.id, s.instance, s.status
        ));
    }
    let summary = format!(
        "{} requests with key-b; {} ran though sent over 5 s after its end",
        sent.len(),
        broken.len()
    );
    record.add(&summary);
    println!("{summary}");
    broken.len()
}

fn config(version: u64, with_key_b: bool) -> String {
    let keys = if with_key_b {
        "\"key-a\",\"key-b\""
    } else {
        "\"key-a\""
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"enquiry-ack\",\"host\":\"enquiries.example\",\
         \"prefix\":\"/ack/\",\"type\":\"idempotent\",\"timeout_ms\":800,\"slo_ms\":150,\
         \"priority\":2,\"service\":\"agent-desk\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"agent-desk\",\"max_conns\":110,\"health_path\":\"/healthz\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"agency\",\"api_keys\":[{keys}]}}]}}"
    )
}
