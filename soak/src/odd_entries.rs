//! Entries of other writers in the store, and upstreams that answer early or with statuses that are none.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::Fault;
use crate::LinkMode;
use crate::Step;
use crate::UpstreamMode;
use crate::environment::Environment;
use crate::plan;

/// The prefixes under which other writers leave entries.
const PREFIXES: [&str; 8] = [
    "",
    "servers/",
    "servers/i-",
    "op/",
    "op/evacuate/",
    "jacinthdeal/instance/",
    "jacinthdeal/quarantine/",
    "jacinthdeal/origin/07/",
];
/// What makes their names odd.
const NAMES: [&str; 16] = [
    "%#", "%7A", "% ", "&b=", "+", "#x", "a b", "é", "\u{1}", "z\nodd", "a,b", "\"", "a/b?c",
    "%zz", "\u{7f}", "漢",
];
/// The ends of names under which an entry has the address of another upstream. No header carries most of
/// them.
const NAMES_OF_OTHERS: [&str; 6] = ["\u{1}", "z\nodd", "\u{7f}", "\t", "a b", "é"];
/// The upstreams that answer requests.
const UPSTREAMS: std::ops::Range<usize> = 0..6;
/// The bytes of a request from which its upstream, when it answers early, ends its side of the connection
/// in order before it resets it. The end of an answer to a smaller one looks like that of a sound one.
const CLOSES_FROM_BYTES: usize = 1 << 20;

/// Entries of other writers while instances run and while all are killed, beside other faults, and
/// upstreams that answer early or with statuses that are none.
pub(crate) fn draw(rng: &mut fastrand::Rng, planned_only: bool) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |at_ms: u64, fault| {
        let at = Duration::from_millis(at_ms);
        steps.push(Step { at, fault });
    };
    for _ in 0..rng.usize(3..=8) {
        add(rng.u64(300..7_000), Fault::OddEntry(rng.u64(..)));
    }
    for _ in 0..rng.usize(1..=2) {
        let (at, down) = (rng.u64(1_500..7_500), rng.u64(400..900));
        add(at, Fault::KillAll(Duration::from_millis(down)));
        for _ in 0..rng.usize(1..=3) {
            add(at + rng.u64(50..down), Fault::OddEntry(rng.u64(..)));
        }
    }
    for _ in 0..rng.usize(1..=4) {
        let span = Duration::from_millis(rng.u64(800..3_000));
        let target = rng.usize(UPSTREAMS);
        let fault = match rng.bool() {
            true => Fault::Upstream(target, UpstreamMode::Nonsense(rng.u16(600..1_000)), span),
            false => Fault::UpstreamLink(target, LinkMode::AnswersEarly, span),
        };
        add(rng.u64(500..6_000), fault);
    }
    let count = rng.usize(1..=4);
    let faults = std::iter::repeat_with(|| plan::draw_fault(rng));
    let faults = faults.filter(|f| f.is_planned() || !planned_only);
    let faults: Vec<Fault> = faults.take(count).collect();
    for fault in faults {
        add(rng.u64(1_000..8_000), fault);
    }
    steps
}

/// The most items of a page of the store in the plan of a seed.
pub(crate) fn page_items(seed: u64) -> usize {
    1 + (seed % 4) as usize
}

impl Environment {
    /// Leaves an entry of another writer, which stands until the end.
    pub(crate) fn leave_odd_entry(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let prefix = PREFIXES[rng.usize(..PREFIXES.len())];
        let name = NAMES[rng.usize(..NAMES.len())];
        let key = format!("{prefix}{}{name}", rng.u32(..));
        match rng.u8(0..4) {
            // The address of an upstream of another service, under a name that is not its own.
            0 => {
                let of = &self.upstreams[rng.usize(..self.upstreams.len())];
                let others = ["desk", "model", "rank"].into_iter();
                let others: Vec<&str> = others.filter(|s| *s != of.service).collect();
                let service = others[rng.usize(..others.len())];
                let entry = sound_entry(service, of.link.address(), &mut rng);
                let name = NAMES_OF_OTHERS[rng.usize(..NAMES_OF_OTHERS.len())];
                self.store
                    .put(&format!("servers/{}{name}", rng.u32(..)), &entry);
            }
            1 => self.store.put_item(&key, odd_item(&key, &mut rng)),
            _ => {
                self.store.put_bytes(&key, odd_value(&mut rng));
            }
        }
    }
}

/// An entry with all fields of an upstream, some of them odd.
fn sound_entry(service: &str, address: SocketAddr, rng: &mut fastrand::Rng) -> Value {
    let slots = if rng.bool() { 16 } else { u32::MAX };
    let cold_left_ms = if rng.bool() { 0.0 } else { 1e18 };
    let born = if rng.u8(..4) > 0 { 1 } else { u64::MAX };
    json!({
        "service": service, "addr": address, "zone": "hall-a", "version": "v1", "slots": slots,
        "state": "ready", "cold_left_ms": cold_left_ms, "seq": rng.u64(..), "born": born,
    })
}

fn odd_value(rng: &mut fastrand::Rng) -> Vec<u8> {
    match rng.u8(0..5) {
        0 => b"{}".to_vec(),
        1 => b"[".repeat(rng.usize(1..200_000)),
        2 => (0..rng.usize(..2_000)).map(|_| rng.u8(..)).collect(),
        3 => b"{\"slots\":1e400,\"addr\":\"10.0.0.1:65536\",\"seq\":18446744073709551616}".to_vec(),
        _ => vec![b'x'; rng.usize(..600_000)],
    }
}

/// An item of the list that no decoder of items accepts.
fn odd_item(key: &str, rng: &mut fastrand::Rng) -> Vec<u8> {
    let depth = rng.usize(1..50_000);
    let key = json!(key).to_string();
    let with_value = |value: &[u8]| {
        let parts: [&[u8]; 4] = [
            b"{\"rev\":3,\"key\":",
            key.as_bytes(),
            b",\"value\":",
            value,
        ];
        [&parts.concat()[..], b"}"].concat()
    };
    match rng.u8(0..5) {
        0 => [b"[".repeat(depth), b"]".repeat(depth)].concat(),
        1 => with_value(b"1e400"),
        2 => with_value(&[b"[".repeat(depth), b"]".repeat(depth)].concat()),
        3 => with_value(b"\"\xff\x01\\x\""),
        _ => b"null".to_vec(),
    }
}

/// What an upstream that answers early sends to a request that begins with these bytes: a part of an
/// answer without a length, and whether it then ends its side in order. None if no request begins here.
pub(crate) fn early_answer(bytes: &[u8]) -> Option<(Vec<u8>, bool)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let header = |name: &str| {
        head.lines()
            .find_map(|l| l.strip_prefix(name))
            .map(str::trim)
    };
    let id = header("jacinthdeal-attempt-id:")?;
    let length: usize = header("content-length:")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let answer = format!(
        "HTTP/1.1 200 OK\r\njacinthdeal-attempt-id: {id}\r\njacinthdeal-signature: {id}.early\r\n\r\nans"
    );
    Some((answer.into_bytes(), length >= CLOSES_FROM_BYTES))
}
