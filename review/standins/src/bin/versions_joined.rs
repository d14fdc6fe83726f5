//! Case: the gateway processes start again after the engines of a service were replaced by those of
//! another software version.
//!
//! Three gateways, four engines of version v1, and clients with streams that may be resumed. Two
//! releases replace half of the engines each, one after the other, by engines of v2; the streams
//! begin between the two. An old engine's entry is removed, and it goes on serving the streams that
//! it has. Then all gateway processes are killed at once and started again (`kill`), or they are
//! stopped and started in turn (`roll`). The clients take up their streams as the pages say.
//!
//! With `stay` there is the first release alone, so that two engines of each version go on serving,
//! and the processes are stopped and started in turn.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::Network;
use review_standins::gateway::{Gateway, Signal};
use review_standins::http::request;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::streams::{Received, StreamEngine, receive};

const STREAMS: usize = 32;
const STREAMS_THAT_STAY: usize = 48;
/// The pause before each event of a stream.
const EVENT_GAP: Duration = Duration::from_millis(200);
/// The deadline of a request.
const DEADLINE: Duration = Duration::from_secs(20);
/// The pause between two engines of the release.
const RELEASE_GAP: Duration = Duration::from_millis(800);
/// How long the processes are down after the kill.
const DOWN: Duration = Duration::from_millis(1_300);
/// The pause between two instances that are stopped in turn, and how long one is down.
const ROLL_GAP: Duration = Duration::from_millis(2_000);
const ROLL_DOWN: Duration = Duration::from_millis(300);
/// How long a client waits before it takes up a stream.
const RETRY_PAUSE: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// So many streams have to be taken up at machines in touch for the rule to hold.
const TAKEN_UP: usize = 12;
/// More than this many streams of two versions break the rule.
const ALLOWED: usize = 2;

/// What happens to the gateway processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Kill,
    Roll,
    Stay,
}

impl Variant {
    /// The events of a stream: 9 s, or 16 s so that it outlasts a stop with grace.
    fn events(self) -> u64 {
        match self {
            Variant::Kill => 45,
            Variant::Roll | Variant::Stay => 80,
        }
    }

    fn streams(self) -> usize {
        match self {
            Variant::Kill | Variant::Roll => STREAMS,
            Variant::Stay => STREAMS_THAT_STAY,
        }
    }
}

/// One attempt of a client.
#[derive(Debug)]
struct Attempt {
    instance: usize,
    sent: Instant,
    received: Received,
}

/// When an instance was started last; none once it has got SIGTERM.
type Starts = Arc<Mutex<Vec<Option<Instant>>>>;

type Streams = Mutex<BTreeMap<usize, Vec<Attempt>>>;

fn main() -> ExitCode {
    let root = std::env::current_dir().expect("the repository");
    let folder = PathBuf::from(
        std::env::args()
            .nth(1)
            .expect("the folder for settings and logs"),
    );
    let out = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let variant = match std::env::args().nth(3).as_deref() {
        Some("roll") => Variant::Roll,
        Some("stay") => Variant::Stay,
        _ => Variant::Kill,
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::default());
    let code = match run(&root, &folder, variant, trouble, &record) {
        Ok(true) => 0,
        Ok(false) => 1,
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
    root: &Path,
    folder: &Path,
    variant: Variant,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<bool, String> {
    let network = Network::of_this_process();
    let store_address = network.free(1);
    let store = Store::start(store_address);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let zone_of = |number: usize| zones[number % zones.len()];
    let engine = |number: u8, version| {
        let address = network.free(200 + number);
        let events = (variant.events(), EVENT_GAP);
        StreamEngine::start(&format!("i-{number:08x}"), address, version, events, record)
    };
    let old: Vec<Arc<StreamEngine>> = (0..4).map(|n| engine(n, "v1")).collect();
    for (n, engine) in old.iter().enumerate() {
        store.put(
            &format!("servers/{}", engine.id),
            &engine.entry("pool", zone_of(n)),
        );
    }
    // The new engine starts first; the old one's entry is removed, and it goes on serving.
    let replace = |n: usize| {
        let new = engine(10 + n as u8, "v2");
        store.put(
            &format!("servers/{}", new.id),
            &new.entry("pool", zone_of(n)),
        );
        store.remove(&format!("servers/{}", old[n].id));
        record.add(format!(
            "engine {} (v2) replaces {} (v1)",
            new.id, old[n].id
        ));
        std::thread::sleep(RELEASE_GAP);
    };
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
    record.add("the first release begins");
    (0..2).for_each(replace);
    std::thread::sleep(Duration::from_secs(3));

    let fronts: Vec<SocketAddr> = gateways.iter().map(|g| g.front).collect();
    let streams: Arc<Streams> = Arc::default();
    let clients: Vec<_> = (0..variant.streams())
        .map(|n| {
            let (fronts, record, streams) =
                (fronts.clone(), Arc::clone(record), Arc::clone(&streams));
            std::thread::spawn(move || stream(n, &fronts, &record, &streams))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));

    if variant != Variant::Stay {
        record.add("the second release begins");
        (2..4).for_each(replace);
    }
    let starts: Starts = Arc::new(Mutex::new(vec![Some(Instant::now()); gateways.len()]));
    match variant {
        _ if !trouble => {}
        Variant::Kill => {
            Gateway::kill_all(&mut gateways);
            record.add("all gateway processes are killed");
            std::thread::sleep(DOWN);
            for gateway in &mut gateways {
                gateway.start();
            }
            record.add("all gateway processes are started again");
        }
        Variant::Roll | Variant::Stay => roll(&mut gateways, &starts, record),
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".into());
    }
    let streams = streams.lock().expect("the streams");
    if variant == Variant::Stay {
        let starts = starts.lock().expect("the starts").clone();
        let begun = begin_new(&fronts, record);
        return Ok(judge_taken_up(&streams, &starts, begun, record));
    }
    Ok(judge(&streams, record) <= ALLOWED)
}

/// Stops the processes in turn by SIGTERM, and starts each again when it has ended.
fn roll(gateways: &mut [Gateway], starts: &Starts, record: &Record) {
    let began = Instant::now();
    let mut stopped = 0;
    let mut started = vec![false; gateways.len()];
    while !started.iter().all(|s| *s) {
        if stopped < gateways.len() && began.elapsed() >= ROLL_GAP * stopped as u32 {
            gateways[stopped].signal(Signal::Term);
            starts.lock().expect("the starts")[stopped] = None;
            record.add(format!("instance {stopped} gets SIGTERM"));
            stopped += 1;
        }
        for n in (0..stopped).filter(|n| !started[*n]).collect::<Vec<_>>() {
            if !gateways[n].is_running() {
                record.add(format!("instance {n} has ended"));
                std::thread::sleep(ROLL_DOWN);
                gateways[n].start();
                starts.lock().expect("the starts")[n] = Some(Instant::now());
                record.add(format!("instance {n} is started again"));
                started[n] = true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Asks for a stream, and takes it up once if it breaks off, after a pause, at an instance that can
/// be connected to.
fn stream(n: usize, fronts: &[SocketAddr], record: &Record, streams: &Streams) {
    let until = Instant::now() + DEADLINE;
    let first = format!("{:016x}", 0x9c41_0000 + n);
    let mut tries: Vec<Attempt> = Vec::new();
    let mut last: Option<u64> = None;
    for attempt in 0..2_usize {
        if attempt > 0 {
            std::thread::sleep(RETRY_PAUSE);
        }
        let id = format!("{:016x}", 0x9c41_0000 + n + 0x1000 * attempt);
        let left = until
            .saturating_duration_since(Instant::now())
            .as_millis()
            .to_string();
        let last_text = last.map(|l| l.to_string());
        let prefix = format!("5c1e07{n:02x}:600,91bd{n:04x}:40");
        let mut headers = vec![
            ("Host", "briefs.example"),
            ("Jacinthdeal-Attempt-Id", id.as_str()),
            ("Jacinthdeal-Deadline-Ms", left.as_str()),
            ("Jacinthdeal-Model", "m"),
            ("Jacinthdeal-Tokens", "640,45"),
            ("Jacinthdeal-Prefix-Hash", prefix.as_str()),
            ("Authorization", "Token key-of-agency"),
        ];
        if let Some(last) = &last_text {
            headers.push(("Last-Event-Id", last));
            headers.push(("Resumes", &first));
        }
        let asked = request("POST", "/brief/x", &headers, b"a vendor");
        let mut front = n + attempt;
        let received = loop {
            let (instance, sent) = (front % fronts.len(), Instant::now());
            if sent >= until {
                break None;
            }
            match receive(fronts[instance], &asked, until, usize::MAX) {
                Some(received) => {
                    break Some(Attempt {
                        instance,
                        sent,
                        received,
                    });
                }
                None => {
                    front += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        };
        let Some(tried) = received else {
            record.add(format!("client {n} could not connect for {id}"));
            break;
        };
        let received = &tried.received;
        let seen = received.events.first().zip(received.events.last());
        let seen = seen.map_or("no event".into(), |((a, v), (b, w))| {
            format!("events {a} ({v}) to {b} ({w})")
        });
        record.add(format!(
            "client {n} asked instance {} with {id}, Last-Event-Id {last:?}: {}, {seen}, whole {}",
            tried.instance, received.status, received.whole
        ));
        last = received.events.last().map(|(id, _)| *id).or(last);
        let ends = received.whole || received.events.is_empty();
        tries.push(tried);
        if ends {
            break;
        }
    }
    streams.lock().expect("the streams").insert(n, tries);
}

/// Counts the streams that hold events of two software versions, over all tries.
fn judge(streams: &BTreeMap<usize, Vec<Attempt>>, record: &Record) -> usize {
    let mut mixed = 0;
    let mut whole = 0;
    for (n, tries) in streams {
        let events = tries.iter().flat_map(|t| &t.received.events);
        let versions: BTreeSet<&str> = events.map(|(_, version)| version.as_str()).collect();
        whole += usize::from(tries.last().is_some_and(|t| t.received.whole));
        if versions.len() > 1 {
            mixed += 1;
            record.add(format!(
                "ORDER: the stream of client {n} holds events of {versions:?}"
            ));
        }
    }
    let summary = format!(
        "{} streams, {whole} whole; {mixed} hold events of two versions",
        streams.len()
    );
    record.add(&summary);
    println!("{summary}");
    mixed
}

/// Asks each instance for new streams; returns how many were asked for and how many began.
fn begin_new(fronts: &[SocketAddr], record: &Record) -> (usize, usize) {
    let mut begun = 0;
    let asked = 24;
    for n in 0..asked {
        let id = format!("{:016x}", 0xa000_0000_u64 + n as u64);
        let prefix = format!("5c1e08{n:02x}:600,91be{n:04x}:40");
        let headers = [
            ("Host", "briefs.example"),
            ("Jacinthdeal-Attempt-Id", id.as_str()),
            ("Jacinthdeal-Deadline-Ms", "20000"),
            ("Jacinthdeal-Model", "m"),
            ("Jacinthdeal-Tokens", "640,45"),
            ("Jacinthdeal-Prefix-Hash", prefix.as_str()),
            ("Authorization", "Token key-of-agency"),
        ];
        let asked = request("POST", "/brief/x", &headers, b"a vendor");
        let until = Instant::now() + Duration::from_secs(2);
        let received = receive(fronts[n % fronts.len()], &asked, until, 1);
        let began = received
            .as_ref()
            .is_some_and(|r| r.status == 200 && !r.events.is_empty());
        record.add(format!("new stream {id}: began {began}"));
        begun += usize::from(began);
    }
    (asked, begun)
}

/// True if of the streams that were taken up at machines in touch at least half as large a share
/// went on as of new ones began, or fewer than twelve were.
fn judge_taken_up(
    streams: &BTreeMap<usize, Vec<Attempt>>,
    starts: &[Option<Instant>],
    (asked, begun): (usize, usize),
    record: &Record,
) -> bool {
    let again = streams.values().filter_map(|tries| tries.get(1));
    let in_touch = |a: &&Attempt| starts[a.instance].is_some_and(|at| a.sent >= at + CONTACT);
    let taken_up: Vec<&Attempt> = again.filter(in_touch).collect();
    let goes_on = |a: &&&Attempt| a.received.status == 200 && !a.received.events.is_empty();
    let went_on = taken_up.iter().filter(goes_on).count();
    let summary = format!(
        "{} streams taken up at machines in touch, {went_on} went on; {asked} new ones, {begun} began",
        taken_up.len()
    );
    let holds = taken_up.len() < TAKEN_UP || 2 * went_on * asked >= begun * taken_up.len();
    record.add(format!(
        "{summary}; LOST {}",
        if holds { "holds" } else { "is broken" }
    ));
    println!("{summary}");
    holds
}

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"valuation-brief\",\"host\":\"briefs.example\",\
     \"prefix\":\"/brief/\",\"type\":\"streaming\",\"resumable\":true,\"timeout_ms\":20000,\"slo_ms\":2700,\
     \"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\"sticky\":true,\"inter_token_ms\":500}],\
     \"services\":[{\"name\":\"pool\",\"max_conns\":370,\"health_path\":\"/healthz\"}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"agency\",\"api_keys\":[\"key-of-agency\"]}]}"
        .into()
}
