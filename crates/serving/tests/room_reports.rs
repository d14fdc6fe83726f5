//! Room for results at upstreams that tell it only in large units.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_world;

use std::collections::HashSet;
use std::time::Duration;

use jd_serving::JobKey;
use stage_world::World;

/// Gives up the results of jobs that ended a second ago, as later work does that has
/// read them.
fn give_up_read(world: &mut World, given: &mut HashSet<JobKey>) {
    let now = world.now;
    let ended = world.ended.iter().filter(|(key, _)| !given.contains(key));
    let ended = ended.filter(|(_, (at, _))| now.since(*at) >= Duration::from_secs(1));
    let read: Vec<_> = ended
        .filter_map(|(key, (_, outcome))| Some((*key, outcome.clone().ok()?)))
        .collect();
    for (key, handles) in read {
        given.insert(key);
        world.desk.release(handles);
    }
}

/// All instances lost power. Results of theirs fill the upstreams, which tell their room
/// in units larger than all of it: an upstream without room and an empty one say the
/// same. The new owner believed them empty, and each refusal too: the same pieces were
/// refused again and again for three seconds, a third of all that were asked for.
#[test]
fn refusals_tell_of_room_where_reports_cannot() {
    let mut world = World::new(&["first"], 50);
    (world.room_unit, world.refuses) = (4_000, true);
    // Forty results of the dead at each of the two; they go one by one.
    for n in 0..80 {
        let upstream = if n % 2 == 0 { "first-1" } else { "first-2" };
        let handle = format!("{upstream}/dead-{n}");
        world.lying.insert(handle.into(), (upstream.into(), 50));
    }
    let mut keys = Vec::new();
    let mut given = HashSet::new();
    for n in 0..80 {
        for id in [2 * n, 2 * n + 1] {
            let job = world.chain(id, &[("first", 2)], 40_000);
            keys.push(world.submit(job).expect("taken"));
        }
        let gone = format!("/dead-{n}");
        world.lying.retain(|handle, _| !handle.ends_with(&gone));
        world.run(50);
        give_up_read(&mut world, &mut given);
    }
    let early: usize = world.calls.iter().map(|(_, c)| c.pieces.len()).sum();
    let refused = world.refused;
    for _ in 0..300 {
        world.run(50);
        give_up_read(&mut world, &mut given);
    }
    assert!(keys.iter().all(|k| world.ended[k].1.is_ok()));
    assert!(refused * 10 <= early, "{refused} of {early} refused");
    // Nor does it wait until all of the dead's results are gone.
    let made = early - refused;
    assert!(made >= 100, "{made} while the dead's lay there");
}
