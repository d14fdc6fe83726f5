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

fn announce(world: &mut Simulation, service: &str, upstreams: Vec<StageUpstream>) {
    let now = world.now;
    world
        .desk
        .set_upstreams(now, service, SPEC, upstreams.into_iter());
}

/// The store tells that an upstream of the first stage has started again.
fn start_again(world: &mut Simulation, id: &str) {
    let mut after = with_start("first", 1_000);
    for upstream in after.iter_mut().filter(|u| u.id == id) {
        upstream.start = UpstreamStart::at_millis(9_000);
    }
    announce(world, "first", after);
}

fn world() -> Simulation {
    let mut world = Simulation::new(&["first", "second"], 10);
    for service in ["first", "second"] {
        announce(&mut world, service, with_start(service, 1_000));
    }
    world
}

fn took(world: &Simulation, key: JobKey, since: MonoTime) -> Duration {
    let (ended, outcome) = world.ended.get(&key).expect("ended");
    assert!(outcome.is_ok(), "{outcome:?}");
    ended.since(since)
}

/// An upstream goes dark in the middle of a call and starts again 50 ms later. Its
/// pieces waited until the call's patience ended, two calls' time, though the
/// store had named the new start long before.
#[test]
fn pieces_of_an_open_call_are_asked_for_again_once_the_new_start_is_known() {
    let mut world = world();
    let began = world.now;
    let key = world
        .submit(world.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    let used = world.calls[0].1.upstream.clone();
    world.silent.insert(used.clone());
    world.run(50);
    start_again(&mut world, &used);
    world.silent.remove(&used);
    world.run(1_500);
    let late = took(&world, key, began);
    assert!(late < Duration::from_millis(400), "{late:?}");
    assert_eq!(world.calls.len(), 2);
}

/// Results lay at an upstream that starts again. They were missed only by the call
/// that was to read them, and made again after its answer: a call's time lost.
#[test]
fn results_of_an_earlier_start_are_made_again_without_a_call_for_them() {
    let mut world = world();
    let key = world.submit(world.chain(1, &CHAIN, 5_000)).expect("taken");
    let hold = world.submit(world.chain(2, &[("second", 10)], 5_000));
    let more = world.submit(world.chain(3, &[("second", 10)], 5_000));
    assert!(hold.is_ok() && more.is_ok());
    // Both upstreams of the second stage are busy when the first one is done.
    world.run(265);
    let maker = world.calls[0].1.upstream.clone();
    world.lose_results(&maker);
    start_again(&mut world, &maker);
    world.run(2_000);
    assert!(world.ended.get(&key).is_some_and(|(_, o)| o.is_ok()));
    assert_eq!(world.gone, 0, "no call named a result that was gone");
}

/// A call's answer was on its way when its upstream ended. The results that it
/// names are not there any more, and must not be handed on.
#[test]
fn an_answer_of_an_earlier_start_counts_for_nothing() {
    let mut world = world();
    let key = world
        .submit(world.chain(1, &[("first", 2)], 3_000))
        .expect("taken");
    let used = world.calls[0].1.upstream.clone();
    world.run(200);
    start_again(&mut world, &used);
    world.run(1_500);
    let (_, outcome) = world.ended.get(&key).expect("ended");
    let results = outcome.as_ref().expect("done");
    let old = &world.made[&world.calls[0].1.key];
    assert!(results.iter().all(|r| !old.contains(r)), "{results:?}");
    assert_eq!(world.calls.len(), 2);
}

/// An upstream failed and was left alone for a second. Its new start has done
/// nothing wrong, and half of the service stood idle until the time was over.
#[test]
fn a_new_start_is_not_left_alone_for_what_an_earlier_one_did() {
    let mut world = world();
    world.silent.insert("first-1".into());
    world.silent.insert("first-2".into());
    for id in 0..2 {
        let job = world.chain(id, &[("first", 10)], 9_000);
        world.submit(job).expect("taken");
    }
    world.run(1_250);
    world.silent.clear();
    let before = world.calls.len();
    announce(&mut world, "first", with_start("first", 9_000));
    world.run(50);
    let called = world.calls[before..].iter().map(|(_, c)| &c.upstream);
    assert!(called.clone().any(|u| u == "first-1"), "{called:?}");
}

/// The upstream's own report tells of the new start before the store does. Then the
/// store's news of the earlier start arrives, late: it must not bring that back.
#[test]
fn a_report_may_tell_of_the_new_start_first() {
    let mut world = world();
    let key = world
        .submit(world.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    let call = world.calls[0].1.clone();
    world.run(20);
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
    let now = world.now;
    world.desk.record_storage_report(now, &asked, Some(report));
    announce(&mut world, "first", with_start("first", 1_000));
    world.run(600);
    assert_eq!(world.calls.len(), 2, "asked for again once");
    assert!(world.ended.contains_key(&key));
}

/// The same start is announced again, as each renewed entry does, and one from
/// before it arrives late. Neither is a new start: nothing is asked for twice.
#[test]
fn the_same_start_and_an_earlier_one_change_nothing() {
    let mut world = world();
    announce(&mut world, "first", with_start("first", 5_000));
    world
        .submit(world.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    world.run(100);
    announce(&mut world, "first", with_start("first", 5_000));
    world.run(10);
    announce(&mut world, "first", with_start("first", 1_000));
    world.run(600);
    assert_eq!(world.calls.len(), 1);
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
    assert!(!directory.put(MonoTime::ZERO, entry("i-3", UpstreamStart::UNKNOWN, 83)));
    assert!(directory.put(MonoTime::ZERO, entry("i-2", UpstreamStart::UNKNOWN, 82)));
    assert_eq!(directory.entries().count(), 1);
    assert_eq!(port_of(&directory, "i-1"), Some(81));
}

/// One entry with a start among many without: the many are those of a deployment
/// whose upstreams do not tell it, and must all hold.
#[test]
fn one_that_tells_its_start_does_not_cost_the_others_their_place() {
    let mut directory = UpstreamDirectory::default();
    let mut entries = vec![entry("i-0", UpstreamStart::at_millis(1_000), 80)];
    entries.extend((1..5).map(|n| entry(&format!("i-{n}"), UpstreamStart::UNKNOWN, 80 + n)));
    directory.replace(MonoTime::ZERO, entries, SnapshotKind::Complete);
    assert_eq!(directory.entries().count(), 5);
    assert!(directory.put(MonoTime::ZERO, entry("i-5", UpstreamStart::UNKNOWN, 85)));
}

/// An entry is written over while the store comes and goes. It does not count as
/// one that lapsed: what stands there now is not the upstream's.
#[test]
fn an_entry_written_over_is_left_out_at_once() {
    let mut directory = UpstreamDirectory::default();
    directory.put(MonoTime::ZERO, entry("i-1", UpstreamStart::UNKNOWN, 81));
    directory.mark_store_unavailable();
    assert!(directory.discard("i-1"));
    assert_eq!(directory.entries().count(), 0);
}
