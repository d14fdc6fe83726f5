//! Zones that the operator evacuates.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_world;

use jd_serving::EvacuatedZones;
use jd_serving::JobFailure;
use jd_types::MonoTime;
use jd_types::Name;
use stage_world::SPEC;
use stage_world::World;

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
    assert!(zones.replace(MonoTime::from_millis(50), [zone("b")].into()));
    assert!(!zones.is_evacuated(&zone("a")));
    assert!(zones.is_evacuated(&zone("b")));
    assert_eq!(
        zones.taken_back_at(&zone("a")),
        Some(MonoTime::from_millis(50))
    );
    assert_eq!(zones.taken_back_at(&zone("b")), None);
}

/// The owner of a zone's upstreams loses them all at once, as the zone is evacuated. A
/// request whose first stage was done there waited for the second until its deadline,
/// though other zones could have done all of it.
#[test]
fn stages_that_nobody_is_left_for_are_asked_for_elsewhere_at_once() {
    let mut world = World::new(&["first", "second"], 10);
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
