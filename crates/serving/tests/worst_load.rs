//! How work waits and is placed when load and loss are at their worst, replayed
//! in virtual time.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::time::Duration;

use jd_serving::EstimateBias;
use jd_serving::JobKey;
use jd_serving::StageJob;
use jd_types::MonoTime;
use stage_simulation::SPEC;
use stage_simulation::Simulation;
use stage_simulation::name;

/// All instances were killed; results of theirs fill both upstreams for another
/// two seconds, and nobody can give them up. The new owner counted none of them:
/// hundreds of pieces were worked on and then refused for want of room. The world
/// fails the test when more lies at an upstream than it has room for.
#[test]
fn results_of_the_dead_are_not_written_over() {
    let mut world = Simulation::new(&["first"], 100);
    for upstream in ["first-1", "first-2"] {
        let left = (upstream.into(), 1_500);
        world.lying.insert(format!("{upstream}/dead").into(), left);
    }
    let mut keys = Vec::new();
    for id in 0..12 {
        let job = world.chain(id, &[("first", 2)], 60_000);
        keys.push(world.submit(job).expect("taken"));
    }
    world.run(2_000);
    let asked = world.questions;
    world.lying.retain(|handle, _| !handle.ends_with("/dead"));
    world.run(2_000);
    assert!(keys.iter().all(|k| world.ended.contains_key(k)));
    assert!(asked >= 8, "asked {asked} times while the dead's lay there");
    world.run(5_000);
    let settled = world.questions;
    world.run(5_000);
    assert_eq!(world.questions, settled, "asked for good");
}

/// Upstreams that have no results of others are asked once each and never again.
#[test]
fn rooms_are_asked_for_only_while_in_doubt() {
    let mut world = Simulation::new(&["first"], 10);
    for id in 0..25 {
        let job = world.chain(id, &[("first", 1)], 60_000);
        world.submit(job).expect("taken");
        world.run(100);
    }
    assert_eq!(world.questions, 2);
    world.desk.take_over();
    world.run(1_000);
    assert_eq!(world.questions, 4);
}

/// The zone where a job's results are wanted, by its number.
fn zone_of(id: u64) -> &'static str {
    if id.is_multiple_of(2) { "a" } else { "b" }
}

/// Pieces that were made outside the zone that wants them, and all pieces.
fn far_pieces(world: &Simulation) -> (usize, usize) {
    let mut far = 0;
    let mut all = 0;
    for (_, call) in &world.calls {
        let zone = if call.upstream.ends_with("-1") {
            "a"
        } else {
            "b"
        };
        let ids = call.pieces.iter().map(|p| p.request_id.as_str());
        let numbers = ids.filter_map(|id| id.strip_prefix("request-")?.parse::<u64>().ok());
        for number in numbers {
            all += 1;
            far += usize::from(zone_of(number) != zone);
        }
    }
    (far, all)
}

/// A backlog of pieces for two zones. Taken in the order of their deadlines, half
/// of each call's results were made in the zone where nobody reads them, three
/// megabytes each, although the other zone's upstream was free as often.
#[test]
fn a_backlog_is_sorted_by_zone() {
    let mut world = Simulation::new(&["first"], 10);
    for id in 0..60 {
        let mut job = world.chain(id, &[("first", 2)], 60_000);
        job.zone = Some(name(zone_of(id)));
        world.submit(job).expect("taken");
    }
    world.run(5_000);
    assert_eq!(far_pieces(&world), (0, 120));
}

/// Pieces for the zone of a slow or lost upstream are not kept for it: what would
/// be late there goes to the other zone while it can still be in time.
#[test]
fn what_cannot_wait_goes_to_the_other_zone() {
    let mut world = Simulation::new(&["first"], 10);
    world.silent.insert("first-1".into());
    let mut keys: Vec<(JobKey, MonoTime)> = Vec::new();
    for id in 0..30 {
        let mut job = world.chain(id, &[("first", 1)], 2_500);
        job.zone = Some(name("a"));
        let objective = job.objective;
        keys.push((world.submit(job).expect("taken"), objective));
        world.run(60);
    }
    world.run(4_000);
    let late = keys.iter().filter(|(k, by)| world.ended[k].0 > *by);
    assert!(late.count() <= 2);
}

/// Results fill the upstream that made them, and the upstream beside it is busy.
/// The next stage waited there for a fifth of its time, the room stayed taken,
/// and calls of the first stage waited for that: a burst that the upstreams could
/// serve was held up by the zone that it was to be served in.
#[test]
fn scarce_room_is_not_held_for_the_sake_of_a_zone() {
    let mut world = Simulation::new(&["first", "second"], 950);
    let busy = world.chain(1, &[("second", 1)], 60_000);
    let chain = world.chain(2, &[("first", 1), ("second", 1)], 60_000);
    world.submit(chain).expect("taken");
    world.run(250);
    let mut busy = busy;
    busy.zone = Some(first_zone(&world));
    world.submit(busy).expect("taken");
    world.run(60);
    let made = world.calls.iter().find(|(_, c)| c.service == "second");
    let (busy_since, _) = made.expect("the lone piece is worked on");
    let mut next = world.calls.iter().filter(|(_, c)| c.service == "second");
    let chained = next.next_back().expect("the chain goes on");
    assert!(chained.0.since(*busy_since) < Duration::from_millis(60));
    assert_eq!(world.calls.len(), 3);
}

/// The zone of the upstream that was called first.
fn first_zone(world: &Simulation) -> jd_types::Name {
    let (_, call) = &world.calls[0];
    name(if call.upstream.ends_with("-1") {
        "a"
    } else {
        "b"
    })
}

/// Both upstreams hang while less urgent work waits that could have been in time.
/// A step of priority puts it behind the more urgent, and made it count as in time
/// for that much longer: when they came back it went first, late, and made the
/// urgent late that came meanwhile.
#[test]
fn the_less_urgent_is_late_when_its_own_time_is_over() {
    let mut world = Simulation::new(&["first"], 1);
    let job = |world: &Simulation, id, objective, priority| StageJob {
        priority,
        ..world.chain(id, &[("first", 20)], objective)
    };
    world.silent.extend(["first-1".into(), "first-2".into()]);
    let hung = job(&world, 1, 900, 0);
    world.submit(hung).expect("taken");
    let less = job(&world, 2, 2_000, 3);
    world.submit(less).expect("taken");
    world.run(1_750);
    world.silent.clear();
    let urgent = job(&world, 3, 3_000, 0);
    world.submit(urgent).expect("taken");
    world.run(2_500);
    let order = |id: &str| {
        let of = world.calls.iter();
        let mut of = of.filter(|(_, c)| c.pieces.iter().all(|p| p.request_id == id));
        of.next().map(|(at, _)| *at)
    };
    let (urgent, less) = (order("request-3"), order("request-2"));
    assert!(urgent.expect("asked for") < less.expect("asked for"));
}

/// Tells of twenty jobs a second, for `seconds`, that each ended `off` ms after its
/// expected end.
fn learn(expectation: &mut EstimateBias, from: u64, seconds: u64, off: i64) {
    for n in 0..seconds * 20 {
        let now = from + n * 50;
        let expected = now.saturating_add_signed(-off);
        let (now, expected) = (MonoTime::from_millis(now), MonoTime::from_millis(expected));
        expectation.record(now, expected, 3, 1);
    }
}

/// A burst of chains of three stages. Every one was taken that was expected to be
/// in time. What expectations leave out at each stage, such as calls that leave
/// half full and results that wait for room, made 60 of 100 of these late by a
/// little: all of the work was done and little of it in time.
#[test]
fn what_expectations_leave_out_is_added_within_seconds() {
    let mut expectation = EstimateBias::default();
    learn(&mut expectation, 10_000, 3, 180);
    let correction = expectation.correction(MonoTime::from_millis(13_000), 3, 1);
    assert!(correction > Duration::from_millis(150), "{correction:?}");
    assert!(correction < Duration::from_millis(190), "{correction:?}");
    // Of another length or priority nothing was seen.
    let other = expectation.correction(MonoTime::from_millis(13_000), 1, 1);
    assert_eq!(other, Duration::ZERO);
}

/// What ends early earns no credit: it would be taken for what is late next.
#[test]
fn ends_that_come_early_are_not_taken_off() {
    let mut expectation = EstimateBias::default();
    learn(&mut expectation, 10_000, 3, -300);
    let correction = expectation.correction(MonoTime::from_millis(13_000), 3, 1);
    assert_eq!(correction, Duration::ZERO);
}

/// An upstream hangs, and jobs end seconds after they were expected. Corrected by
/// that, none counted as in time, none brought a sample any more, and what could
/// have been in time was worked on last for as long as the load lasted.
#[test]
fn a_correction_that_lets_nothing_through_is_soon_forgotten() {
    let mut expectation = EstimateBias::default();
    learn(&mut expectation, 10_000, 5, 5_000);
    let at = |ms| expectation.correction(MonoTime::from_millis(ms), 3, 1);
    assert!(at(15_000) <= Duration::from_millis(400));
    assert!(at(18_000) < Duration::from_millis(50));
}

/// Upstreams hang for a while, so that everything ends far later than expected.
/// Corrected by that, nothing counted as in time any more, nothing brought another
/// sample, and requests were kept behind each other long after all was well.
#[test]
fn what_was_slow_is_forgotten() {
    let mut world = Simulation::new(&["first"], 1);
    for round in 0..2 {
        for upstream in ["first-1", "first-2"] {
            world.silent.insert(upstream.into());
        }
        for id in 0..20 {
            let job = world.chain(round * 100 + id, &[("first", 2)], 900);
            // Refused or late: the upstreams hang.
            let _ = world.submit(job);
            world.run(100);
        }
        world.silent.clear();
        world.run(6_000);
    }
    let job = world.chain(999, &[("first", 2)], 600);
    let objective = job.objective;
    let key = world.submit(job).expect("taken at once");
    world.run(1_000);
    assert!(world.ended[&key].0 <= objective);
}

/// Callers that are refused come back, and their objective counts from when they
/// first asked. Taken for new, each was served before somebody who could still have
/// been in time, and was late all the same.
#[test]
fn who_comes_back_is_not_served_before_who_can_be_in_time() {
    let mut world = Simulation::new(&["first"], 1);
    let mut refused = None;
    for id in 0..60 {
        let job = world.chain(id, &[("first", 2)], 900);
        refused = world.submit(job.clone()).err().map(|_| job).or(refused);
    }
    let mut again = refused.expect("more than there is time for");
    world.run(1_600);
    again.objective = world.now + Duration::from_millis(900);
    again.deadline = world.now + Duration::from_millis(3_600);
    for id in 200..202 {
        let filling = world.chain(id, &[("first", 10)], 60_000);
        world.submit(filling).expect("there is room now");
    }
    let back = world.submit(again).expect("there is room now");
    let new: Vec<JobKey> = (100..110)
        .map(|id| {
            let job = world.chain(id, &[("first", 2)], 2_000);
            world.submit(job).expect("there is room now")
        })
        .collect();
    world.run(3_000);
    let ended = |key: &JobKey| world.ended[key].0;
    let last = new.iter().map(ended).max().expect("new ones");
    assert!(ended(&back) >= last, "served before {last:?}");
    assert!(world.ended[&back].1.is_ok(), "served all the same");
}

/// The upstreams of a stage name a limit of one call a second, half of what they could do.
/// Pieces wait for a turn, and what the upstreams take is used.
#[test]
fn pieces_wait_for_the_turn_of_limited_upstreams() {
    let mut world = Simulation::new(&["first"], 10);
    let every = Duration::from_secs(1);
    for upstream in ["first-1", "first-2"] {
        world
            .limited
            .insert(upstream.into(), (every, MonoTime::ZERO));
    }
    for id in 0..400 {
        let job = world.chain(id, &[("first", 1)], 2_000);
        // Refused at once is as good as done here.
        let _ = world.submit(job);
        world.run(25);
    }
    let calls = world.calls.iter().filter(|(_, c)| c.upstream == "first-1");
    let at: Vec<MonoTime> = calls.map(|(at, _)| *at).collect();
    assert!(at.windows(2).all(|pair| pair[1].since(pair[0]) >= every));
    let done = world.ended.values().filter(|(_, outcome)| outcome.is_ok());
    let most = 2 * SPEC.pieces * 10;
    assert!(done.count() * 10 >= most * 8, "of {most}");
}
