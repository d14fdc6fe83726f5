//! Upstreams that start again under the identity that they had.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::JobKey;
use jd_serving::SnapshotKind;
use jd_serving::StageUpstream;
use jd_serving::StorageQuery;
use jd_serving::StorageReport;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use stage_simulation::SPEC;
use stage_simulation::Simulation;
use stage_simulation::name;
use stage_simulation::upstreams;

const CHAIN: [(&str, usize); 2] = [("first", 1), ("second", 4)];

/// The two upstreams of a service, the first of them with this start.
fn with_start(service: &str, start: u64) -> Vec<StageUpstream> {
    let mut both: Vec<StageUpstream> = upstreams(service, &[1, 2]).collect();
    for upstream in &mut both {
        upstream.start = UpstreamStart::at_millis(1_000);
    }
    both[0].start = UpstreamStart::at_millis(start);
    both
}

fn announce(sim: &mut Simulation, service: &str, upstreams: Vec<StageUpstream>) {
    let now = sim.now;
    sim.scheduler
        .set_upstreams(now, service, SPEC, upstreams.into_iter());
}

/// The store tells that an upstream of the first stage has started again.
fn start_again(sim: &mut Simulation, id: &str) {
    let mut after = with_start("first", 1_000);
    for upstream in after.iter_mut().filter(|u| u.id == id) {
        upstream.start = UpstreamStart::at_millis(9_000);
    }
    announce(sim, "first", after);
}

fn simulation() -> Simulation {
    let mut sim = Simulation::new(&["first", "second"], 10);
    for service in ["first", "second"] {
        announce(&mut sim, service, with_start(service, 1_000));
    }
    sim
}

fn took(sim: &Simulation, key: JobKey, since: MonoTime) -> Duration {
    let (ended, outcome) = sim.finished.get(&key).expect("ended");
    assert!(outcome.is_ok(), "{outcome:?}");
    ended.since(since)
}

/// An upstream goes dark in the middle of a call and starts again 50 ms later. Its
/// pieces waited until the call's patience ended, two calls' time, though the
/// store had named the new start long before.
#[test]
fn pieces_of_an_open_call_are_asked_for_again_once_the_new_start_is_known() {
    let mut sim = simulation();
    let began = sim.now;
    let key = sim
        .submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    let used = sim.calls[0].1.upstream.clone();
    sim.silent.insert(used.clone());
    sim.run(50);
    start_again(&mut sim, &used);
    sim.silent.remove(&used);
    sim.run(1_500);
    let late = took(&sim, key, began);
    assert!(late < Duration::from_millis(400), "{late:?}");
    assert_eq!(sim.calls.len(), 2);
}

/// Results lay at an upstream that starts again. They were missed only by the call
/// that was to read them, and made again after its answer: a call's time lost.
#[test]
fn results_of_an_earlier_start_are_made_again_without_a_call_for_them() {
    let mut sim = simulation();
    let key = sim.submit(sim.chain(1, &CHAIN, 5_000)).expect("taken");
    let hold = sim.submit(sim.chain(2, &[("second", 10)], 5_000));
    let more = sim.submit(sim.chain(3, &[("second", 10)], 5_000));
    assert!(hold.is_ok() && more.is_ok());
    // Both upstreams of the second stage are busy when the first one is done.
    sim.run(265);
    let maker = sim.calls[0].1.upstream.clone();
    sim.lose_results(&maker);
    start_again(&mut sim, &maker);
    sim.run(2_000);
    assert!(sim.finished.get(&key).is_some_and(|(_, o)| o.is_ok()));
    assert_eq!(
        sim.missing_inputs, 0,
        "no call named a result that was gone"
    );
}

/// A call's answer was on its way when its upstream ended. The results that it
/// names are not there any more, and must not be handed on.
#[test]
fn an_answer_of_an_earlier_start_counts_for_nothing() {
    let mut sim = simulation();
    let key = sim
        .submit(sim.chain(1, &[("first", 2)], 3_000))
        .expect("taken");
    let used = sim.calls[0].1.upstream.clone();
    sim.run(200);
    start_again(&mut sim, &used);
    sim.run(1_500);
    let (_, outcome) = sim.finished.get(&key).expect("ended");
    let results = outcome.as_ref().expect("done");
    let old = &sim.results_by_call[&sim.calls[0].1.key];
    assert!(results.iter().all(|r| !old.contains(r)), "{results:?}");
    assert_eq!(sim.calls.len(), 2);
}

/// An upstream failed and was left alone for a second. Its new start has done
/// nothing wrong, and half of the service stood idle until the time was over.
#[test]
fn a_new_start_is_not_left_alone_for_what_an_earlier_one_did() {
    let mut sim = simulation();
    sim.silent.insert("first-1".into());
    sim.silent.insert("first-2".into());
    for id in 0..2 {
        let job = sim.chain(id, &[("first", 10)], 9_000);
        sim.submit(job).expect("taken");
    }
    sim.run(1_250);
    sim.silent.clear();
    let before = sim.calls.len();
    announce(&mut sim, "first", with_start("first", 9_000));
    sim.run(50);
    let called = sim.calls[before..].iter().map(|(_, c)| &c.upstream);
    assert!(called.clone().any(|u| u == "first-1"), "{called:?}");
}

/// The upstream's own report tells of the new start before the store does. Then the
/// store's news of the earlier start arrives, late: it must not bring that back.
#[test]
fn a_report_may_tell_of_the_new_start_first() {
    let mut sim = simulation();
    let key = sim
        .submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    let call = sim.calls[0].1.clone();
    sim.run(20);
    let asked = StorageQuery {
        service: "first".into(),
        upstream: call.upstream.clone(),
        start: call.start,
        address: call.address,
    };
    let report = StorageReport {
        free_bytes: SPEC.room_bytes,
        start: UpstreamStart::at_millis(9_000),
    };
    let now = sim.now;
    sim.scheduler
        .record_storage_report(now, &asked, Some(report));
    announce(&mut sim, "first", with_start("first", 1_000));
    sim.run(600);
    assert_eq!(sim.calls.len(), 2, "asked for again once");
    assert!(sim.finished.contains_key(&key));
}

/// The same start is announced again, as each renewed entry does, and one from
/// before it arrives late. Neither is a new start: nothing is asked for twice.
#[test]
fn the_same_start_and_an_earlier_one_change_nothing() {
    let mut sim = simulation();
    announce(&mut sim, "first", with_start("first", 5_000));
    sim.submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    sim.run(100);
    announce(&mut sim, "first", with_start("first", 5_000));
    sim.run(10);
    announce(&mut sim, "first", with_start("first", 1_000));
    sim.run(600);
    assert_eq!(sim.calls.len(), 1);
}

fn entry(id: &str, start: UpstreamStart, port: u16) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        start,
        service: "pool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: name("a"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

fn port_of(directory: &UpstreamDirectory, id: &str) -> Option<u16> {
    let mut entries = directory.entries();
    let found = entries.find(|l| l.entry.id == id)?;
    Some(found.entry.address.port())
}

/// A write of an earlier start is done seconds after it was sent, when the upstream
/// has started again elsewhere. Taken in, requests went to the old address.
#[test]
fn an_entry_of_an_earlier_start_does_not_take_the_place_of_a_later_one() {
    let mut directory = UpstreamDirectory::default();
    let start = UpstreamStart::at_millis;
    assert!(directory.put(MonoTime::ZERO, entry("i-1", start(2_000), 81)));
    assert!(!directory.put(MonoTime::ZERO, entry("i-1", start(1_000), 80)));
    assert_eq!(port_of(&directory, "i-1"), Some(81));
    assert!(directory.put(MonoTime::ZERO, entry("i-1", start(3_000), 82)));
    assert_eq!(port_of(&directory, "i-1"), Some(82));
}

/// Where upstreams tell their start, an entry without one is another writer's. It
/// names no upstream, also written over a good one; the others hold.
#[test]
fn an_entry_without_a_start_names_no_upstream_where_others_tell_theirs() {
    let mut directory = UpstreamDirectory::default();
    let start = UpstreamStart::at_millis;
    directory.put(MonoTime::ZERO, entry("i-1", start(1_000), 81));
    directory.put(MonoTime::ZERO, entry("i-2", start(1_000), 82));
    assert!(!directory.put(MonoTime::ZERO, entry("i-3", UpstreamStart::UNTOLD, 83)));
    assert!(directory.put(MonoTime::ZERO, entry("i-2", UpstreamStart::UNTOLD, 82)));
    assert_eq!(directory.entries().count(), 1);
    assert_eq!(port_of(&directory, "i-1"), Some(81));
}

/// One entry with a start among many without: the many are those of a deployment
/// whose upstreams do not tell it, and must all hold.
#[test]
fn one_that_tells_its_start_does_not_cost_the_others_their_place() {
    let mut directory = UpstreamDirectory::default();
    let mut entries = vec![entry("i-0", UpstreamStart::at_millis(1_000), 80)];
    entries.extend((1..5).map(|n| entry(&format!("i-{n}"), UpstreamStart::UNTOLD, 80 + n)));
    directory.replace(MonoTime::ZERO, entries, SnapshotKind::Complete);
    assert_eq!(directory.entries().count(), 5);
    assert!(directory.put(MonoTime::ZERO, entry("i-5", UpstreamStart::UNTOLD, 85)));
}

/// An entry is written over while the store comes and goes. It does not count as
/// one that lapsed: what stands there now is not the upstream's.
#[test]
fn an_entry_written_over_is_left_out_at_once() {
    let mut directory = UpstreamDirectory::default();
    directory.put(MonoTime::ZERO, entry("i-1", UpstreamStart::UNTOLD, 81));
    directory.store_away();
    assert!(directory.leave_out("i-1"));
    assert_eq!(directory.entries().count(), 0);
}
