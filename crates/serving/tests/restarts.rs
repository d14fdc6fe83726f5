//! Upstreams that restart under the same identity.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::JobKey;
use jd_serving::SnapshotKind;
use jd_serving::SoftwareVersion;
use jd_serving::StageUpstream;
use jd_serving::StorageQuery;
use jd_serving::StorageReport;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::UpstreamId;
use stage_simulation::SPEC;
use stage_simulation::Simulation;
use stage_simulation::name;
use stage_simulation::upstreams;

const CHAIN: [(&str, usize); 2] = [("first", 1), ("second", 4)];

/// The two upstreams of a service; the first of them has the given start.
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

/// Announces through the store that an upstream of the first stage has restarted.
fn restart(sim: &mut Simulation, id: &str) {
    let mut announced = with_start("first", 1_000);
    for upstream in announced.iter_mut().filter(|u| u.id == id) {
        upstream.start = UpstreamStart::at_millis(9_000);
    }
    announce(sim, "first", announced);
}

fn simulation() -> Simulation {
    let mut sim = Simulation::new(&["first", "second"], 10);
    for service in ["first", "second"] {
        announce(&mut sim, service, with_start(service, 1_000));
    }
    sim
}

fn time_to_finish(sim: &Simulation, key: JobKey, since: MonoTime) -> Duration {
    let (finished_at, outcome) = sim.finished.get(&key).expect("ended");
    assert!(outcome.is_ok(), "{outcome:?}");
    finished_at.since(since)
}

/// An upstream stops during a call and restarts 50 ms later. If its pieces waited for the time-out
/// of the call, they would be delayed by two calls, although the store has long announced the
/// restart.
#[test]
fn pieces_of_an_open_call_are_sent_again_once_the_restart_is_known() {
    let mut sim = simulation();
    let started_at = sim.now;
    let key = sim
        .submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("accepted");
    let upstream = sim.calls[0].1.upstream.clone();
    sim.unresponsive.insert(upstream.clone());
    sim.run(50);
    restart(&mut sim, &upstream);
    sim.unresponsive.remove(&upstream);
    sim.run(1_500);
    let elapsed = time_to_finish(&sim, key, started_at);
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
    assert_eq!(sim.calls.len(), 2);
}

/// An upstream with stored results restarts. If the loss were noticed only by the call that needs
/// them, they would be produced again one call too late.
#[test]
fn results_of_an_earlier_start_are_produced_again_before_a_call_needs_them() {
    let mut sim = simulation();
    let key = sim.submit(sim.chain(1, &CHAIN, 5_000)).expect("accepted");
    let first_filler = sim.submit(sim.chain(2, &[("second", 10)], 5_000));
    let second_filler = sim.submit(sim.chain(3, &[("second", 10)], 5_000));
    assert!(first_filler.is_ok() && second_filler.is_ok());
    // Both upstreams of the second stage are busy when the first stage is done.
    sim.run(265);
    let producer = sim.calls[0].1.upstream.clone();
    sim.lose_results(&producer);
    restart(&mut sim, &producer);
    sim.run(2_000);
    assert!(sim.finished.get(&key).is_some_and(|(_, o)| o.is_ok()));
    assert_eq!(sim.missing_inputs, 0, "a call named a result that was gone");
}

/// The answer of a call was in transit when its upstream crashed. The results that it names are
/// gone and must not be used.
#[test]
fn an_answer_of_an_earlier_start_is_discarded() {
    let mut sim = simulation();
    let key = sim
        .submit(sim.chain(1, &[("first", 2)], 3_000))
        .expect("accepted");
    let upstream = sim.calls[0].1.upstream.clone();
    sim.run(200);
    restart(&mut sim, &upstream);
    sim.run(1_500);
    let (_, outcome) = sim.finished.get(&key).expect("ended");
    let results = outcome.as_ref().expect("done");
    let lost = &sim.results_by_call[&sim.calls[0].1.key];
    assert!(results.iter().all(|r| !lost.contains(r)), "{results:?}");
    assert_eq!(sim.calls.len(), 2);
}

/// An upstream failed, and is sent nothing for a second. If this also applied after its restart,
/// half of the service would be idle until the time has passed.
#[test]
fn a_restarted_upstream_is_not_blocked_for_earlier_failures() {
    let mut sim = simulation();
    sim.unresponsive.insert("first-1".into());
    sim.unresponsive.insert("first-2".into());
    for id in 0..2 {
        let job = sim.chain(id, &[("first", 10)], 9_000);
        sim.submit(job).expect("accepted");
    }
    sim.run(1_250);
    sim.unresponsive.clear();
    let before = sim.calls.len();
    announce(&mut sim, "first", with_start("first", 9_000));
    sim.run(50);
    let called = sim.calls[before..].iter().map(|(_, c)| &c.upstream);
    assert!(called.clone().any(|u| u == "first-1"), "{called:?}");
}

/// The upstream's own report announces the restart before the store does. A late entry of the
/// earlier start from the store must not revert this.
#[test]
fn a_storage_report_may_announce_the_restart_first() {
    let mut sim = simulation();
    let key = sim
        .submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("accepted");
    let call = sim.calls[0].1.clone();
    sim.run(20);
    let query = StorageQuery {
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
        .record_storage_report(now, &query, Some(report));
    announce(&mut sim, "first", with_start("first", 1_000));
    sim.run(600);
    assert_eq!(sim.calls.len(), 2, "sent again once");
    assert!(sim.finished.contains_key(&key));
}

/// The same start is announced again, as with each renewed entry, and an earlier one arrives late.
/// Neither is a restart, so no piece is sent twice.
#[test]
fn the_same_start_and_an_earlier_one_change_nothing() {
    let mut sim = simulation();
    announce(&mut sim, "first", with_start("first", 5_000));
    sim.submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("accepted");
    sim.run(100);
    announce(&mut sim, "first", with_start("first", 5_000));
    sim.run(10);
    announce(&mut sim, "first", with_start("first", 1_000));
    sim.run(600);
    assert_eq!(sim.calls.len(), 1);
}

fn entry(id: &str, start: UpstreamStart, port: u16) -> UpstreamEntry {
    UpstreamEntry {
        software: SoftwareVersion::default(),
        id: UpstreamId::try_from(id).expect("an identity"),
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
    let found = entries.find(|l| l.entry.id.as_str() == id)?;
    Some(found.entry.address.port())
}

/// A write of an earlier start takes effect seconds after it was sent, when the upstream has
/// restarted at another address. If it were accepted, requests would go to the old address.
#[test]
fn an_entry_of_an_earlier_start_does_not_replace_a_later_one() {
    let mut directory = UpstreamDirectory::default();
    let start = UpstreamStart::at_millis;
    assert!(directory.put(MonoTime::ZERO, entry("i-1", start(2_000), 81)));
    assert!(!directory.put(MonoTime::ZERO, entry("i-1", start(1_000), 80)));
    assert_eq!(port_of(&directory, "i-1"), Some(81));
    assert!(directory.put(MonoTime::ZERO, entry("i-1", start(3_000), 82)));
    assert_eq!(port_of(&directory, "i-1"), Some(82));
}

/// Where upstreams announce their start, an entry without one comes from another writer. It is
/// ignored, even if it overwrites a valid entry; the other entries stay valid.
#[test]
fn an_entry_without_a_start_is_ignored_where_others_have_one() {
    let mut directory = UpstreamDirectory::default();
    let start = UpstreamStart::at_millis;
    directory.put(MonoTime::ZERO, entry("i-1", start(1_000), 81));
    directory.put(MonoTime::ZERO, entry("i-2", start(1_000), 82));
    assert!(!directory.put(MonoTime::ZERO, entry("i-3", UpstreamStart::UNKNOWN, 83)));
    assert!(directory.put(MonoTime::ZERO, entry("i-2", UpstreamStart::UNKNOWN, 82)));
    assert_eq!(directory.entries().count(), 1);
    assert_eq!(port_of(&directory, "i-1"), Some(81));
}

/// One entry with a start among many without one: the deployment's upstreams do not announce their
/// start, and all of the entries are valid.
#[test]
fn a_single_entry_with_a_start_does_not_invalidate_the_others() {
    let mut directory = UpstreamDirectory::default();
    let mut entries = vec![entry("i-0", UpstreamStart::at_millis(1_000), 80)];
    entries.extend((1..5).map(|n| entry(&format!("i-{n}"), UpstreamStart::UNKNOWN, 80 + n)));
    directory.replace(MonoTime::ZERO, entries, SnapshotKind::Complete);
    assert_eq!(directory.entries().count(), 5);
    assert!(directory.put(MonoTime::ZERO, entry("i-5", UpstreamStart::UNKNOWN, 85)));
}

/// An entry is overwritten while the store is intermittently unavailable. It does not count as
/// lapsed, because the value there now is not the upstream's.
#[test]
fn an_overwritten_entry_is_left_out_at_once() {
    let mut directory = UpstreamDirectory::default();
    directory.put(MonoTime::ZERO, entry("i-1", UpstreamStart::UNKNOWN, 81));
    directory.mark_store_unavailable();
    assert!(directory.discard("i-1"));
    assert_eq!(directory.entries().count(), 0);
}
