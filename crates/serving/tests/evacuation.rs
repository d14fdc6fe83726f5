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

/// An instance is cut off while a zone is taken back, and reads the whole store
/// afterwards. What is not listed any more is not evacuated any more.
#[test]
fn a_zone_that_is_no_longer_listed_is_taken_back() {
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

/// The store comes back from a copy that is older than an evacuation. The operator has
/// some seconds to write it again.
#[test]
fn a_copy_does_not_take_a_zone_back() {
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
fn an_evacuation_that_is_written_again_stays() {
    let at = MonoTime::from_millis;
    let mut zones = EvacuatedZones::default();
    zones.evacuate(zone("a"));
    zones.replace(at(1_000), [].into(), SnapshotKind::Restored);
    assert!(!zones.evacuate(zone("a")), "no news");
    assert!(!zones.expire(at(20_000)));
    assert!(zones.is_evacuated(&zone("a")));
}

/// The operator takes a zone back that the store had lost.
#[test]
fn a_zone_that_a_copy_lacks_can_be_taken_back() {
    let at = MonoTime::from_millis;
    let mut zones = EvacuatedZones::default();
    zones.evacuate(zone("a"));
    zones.replace(at(1_000), [].into(), SnapshotKind::Restored);
    assert!(zones.end_evacuation(at(2_000), &zone("a")));
    assert!(!zones.is_evacuated(&zone("a")));
}

/// The owner of a zone's upstreams loses them all at once, as the zone is evacuated. A
/// request whose first stage was done there waited for the second until its deadline,
/// though other zones could have done all of it.
#[test]
fn stages_that_nobody_is_left_for_are_asked_for_elsewhere_at_once() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let chain = world.chain(1, &[("first", 1), ("second", 4)], 3_000);
    let key = world.submit(chain).expect("taken");
    world.run(100);
    let now = world.now;
    for service in ["first", "second"] {
        world
            .desk
            .set_upstreams(now, service, SPEC, std::iter::empty());
    }
    world.run(300);
    let (_, outcome) = world.ended.get(&key).expect("ended");
    assert_eq!(*outcome, Err(JobFailure::Moved));
}
