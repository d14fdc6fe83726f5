//! Zones that the operator evacuates.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use jd_serving::EvacuatedZones;
use jd_serving::JobFailure;
use jd_serving::SnapshotKind;
use jd_types::MonoTime;
use jd_types::Name;
use stage_simulation::SPEC;
use stage_simulation::Simulation;

fn zone(name: &str) -> Name {
    Name::try_from(name).expect("a name")
}

/// An instance is disconnected while the evacuation of a zone ends, and reads a full snapshot of
/// the store afterwards. A zone that is no longer listed is no longer evacuated.
#[test]
fn a_zone_that_is_no_longer_listed_is_no_longer_evacuated() {
    let mut zones = EvacuatedZones::default();
    assert!(zones.evacuate(zone("a")));
    assert!(!zones.evacuate(zone("a")));
    let read = [zone("b")].into();
    assert!(zones.replace(MonoTime::from_millis(50), read, SnapshotKind::Complete));
    assert!(!zones.is_evacuated(&zone("a")));
    assert!(zones.is_evacuated(&zone("b")));
    assert_eq!(
        zones.evacuation_ended_at(&zone("a")),
        Some(MonoTime::from_millis(50))
    );
    assert_eq!(zones.evacuation_ended_at(&zone("b")), None);
}

/// The store is restored from a copy that is older than an evacuation. The evacuation stays in
/// force for some seconds, in which the operator can write it again.
#[test]
fn a_restored_copy_does_not_end_an_evacuation() {
    let at = MonoTime::from_millis;
    let mut zones = EvacuatedZones::default();
    zones.evacuate(zone("a"));
    zones.evacuate(zone("b"));
    assert!(!zones.replace(at(1_000), [zone("b")].into(), SnapshotKind::Restored));
    assert!(!zones.replace(at(2_000), [zone("b")].into(), SnapshotKind::Complete));
    assert!(
        zones.is_evacuated(&zone("a")),
        "lost, and not written again yet"
    );
    assert!(!zones.expire(at(10_999)));
    assert!(zones.expire(at(11_000)));
    assert!(!zones.is_evacuated(&zone("a")));
}

#[test]
fn an_evacuation_that_is_written_again_persists() {
    let at = MonoTime::from_millis;
    let mut zones = EvacuatedZones::default();
    zones.evacuate(zone("a"));
    zones.replace(at(1_000), [].into(), SnapshotKind::Restored);
    assert!(!zones.evacuate(zone("a")), "not a change");
    assert!(!zones.expire(at(20_000)));
    assert!(zones.is_evacuated(&zone("a")));
}

/// The operator ends an evacuation that the store had lost.
#[test]
fn an_evacuation_that_a_copy_lacks_can_be_ended() {
    let at = MonoTime::from_millis;
    let mut zones = EvacuatedZones::default();
    zones.evacuate(zone("a"));
    zones.replace(at(1_000), [].into(), SnapshotKind::Restored);
    assert!(zones.end_evacuation(at(2_000), &zone("a")));
    assert!(!zones.is_evacuated(&zone("a")));
}

/// The owner of a zone's upstreams loses all of them at once because the zone is evacuated. A
/// request whose first stage was done there would wait for the second until its deadline, although
/// other zones could run all of its stages.
#[test]
fn stages_without_upstreams_are_moved_to_another_shard_at_once() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let chain = sim.chain(1, &[("first", 1), ("second", 4)], 3_000);
    let key = sim.submit(chain).expect("accepted");
    sim.run(100);
    let now = sim.now;
    for service in ["first", "second"] {
        sim.scheduler
            .set_upstreams(now, service, SPEC, std::iter::empty());
    }
    sim.run(300);
    let (_, outcome) = sim.finished.get(&key).expect("ended");
    assert_eq!(*outcome, Err(JobFailure::Moved));
}
