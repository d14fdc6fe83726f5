//! How pieces of stages are gathered into calls, replayed in virtual time.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::time::Duration;

use jd_serving::Content;
use jd_serving::JobFailure;
use jd_serving::JobKey;
use jd_serving::JobStage;
use stage_simulation::SPEC;
use stage_simulation::Simulation;
use stage_simulation::name;
use stage_simulation::upstreams;

const CHAIN: [(&str, usize); 2] = [("first", 1), ("second", 4)];

fn whole(world: &Simulation, key: JobKey) -> usize {
    match world.ended.get(&key) {
        Some((_, Ok(results))) => results.len(),
        other => panic!("not done: {other:?}"),
    }
}

#[test]
fn a_lone_job_waits_for_nobody() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let key = world.submit(world.chain(1, &CHAIN, 3_000)).expect("taken");
    world.run(600);
    assert_eq!(whole(&world, key), 4);
}

/// The load that batching answers: far more pieces than calls. Bound to an
/// upstream as they come, each would make a call of its own and a queue of
/// seconds; bound when one is free, they share calls.
#[test]
fn calls_fill_as_load_grows() {
    let mut world = Simulation::new(&["first"], 10);
    for id in 0..200 {
        world
            .submit(world.chain(id, &[("first", 1)], 8_000))
            .expect("taken");
        world.run(20);
    }
    world.run(1_000);
    assert!(world.ended.values().all(|(_, outcome)| outcome.is_ok()));
    assert!(world.calls.len() < 40, "{} calls", world.calls.len());
}

/// Karrabin's first stage makes results of which fifteen have room. The world
/// fails the test when more lie at an upstream than it has room for.
#[test]
fn results_never_take_more_room_than_there_is() {
    let mut world = Simulation::new(&["first", "second"], 190);
    let mut keys = Vec::new();
    for id in 0..30 {
        keys.push(
            world
                .submit(world.chain(id, &CHAIN, 60_000))
                .expect("taken"),
        );
    }
    for _ in 0..100 {
        world.run(100);
        for (_, outcome) in world.ended.clone().into_values() {
            world.desk.release_results(outcome.unwrap_or_default());
        }
    }
    assert!(keys.iter().all(|k| world.ended.contains_key(k)));
}

/// With little room left each call held one to three pieces and took nearly as
/// long as a full one, so results lay longer and room got scarcer still: a
/// burst ended in seconds of refusals although engines were half idle.
#[test]
fn a_call_that_is_scant_for_want_of_room_waits() {
    let mut world = Simulation::new(&["first"], 190);
    for id in 0..8 {
        world
            .submit(world.chain(id, &[("first", 4)], 60_000))
            .expect("taken");
    }
    world.run(2_000);
    let scant = world.calls.iter().filter(|(_, c)| c.pieces.len() < 4);
    assert_eq!(scant.count(), 0);
}

/// An upstream ends with the results that it kept. The pieces that work on them
/// fail at once; asked for again they would fail for ever, and asked for
/// without their inputs they would be made from nothing.
#[test]
fn results_that_are_gone_are_made_again() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let key = world.submit(world.chain(1, &CHAIN, 5_000)).expect("taken");
    world.run(265);
    world.lose_results("first-1");
    world.lose_results("first-2");
    world.run(2_500);
    assert_eq!(whole(&world, key), 4);
}

/// A dark upstream keeps its pieces until patience ends; they go elsewhere
/// then, and it is left alone for a while instead of taking the next ones.
#[test]
fn pieces_of_a_silent_upstream_go_elsewhere() {
    let mut world = Simulation::new(&["first"], 10);
    world.silent.insert("first-1".into());
    let mut keys = Vec::new();
    for id in 0..4 {
        keys.push(
            world
                .submit(world.chain(id, &[("first", 2)], 5_000))
                .expect("taken"),
        );
        world.run(10);
    }
    world.run(2_500);
    for key in keys {
        assert_eq!(whole(&world, key), 2);
    }
    let asked = world.calls.iter().filter(|(_, c)| c.upstream == "first-1");
    assert!(asked.count() <= 2);
}

/// A burst of the least urgent kind must not make the most urgent late.
#[test]
fn a_burst_of_the_less_urgent_delays_the_more_urgent_little() {
    let mut world = Simulation::new(&["first"], 1);
    for id in 0..60 {
        let mut job = world.chain(id, &[("first", 1)], 2_000);
        job.priority = 2;
        world.submit(job).expect("taken");
    }
    let urgent = world
        .submit(world.chain(99, &[("first", 1)], 2_000))
        .expect("taken");
    let began = world.now;
    world.run(3_000);
    let (ended, _) = &world.ended[&urgent];
    let full = SPEC.call_time(SPEC.pieces);
    assert!(ended.since(began) <= full * 2 + Duration::from_millis(20));
}

/// Once a burst has made everything late, serving the latest first makes the
/// next one late as well. What can still be in time goes first.
#[test]
fn what_can_be_in_time_goes_before_what_is_late() {
    let mut world = Simulation::new(&["first"], 1);
    for id in 0..100 {
        let mut late = world.chain(id, &[("first", 1)], 900);
        // Its caller waits long enough for it to be taken.
        late.deadline = world.now + Duration::from_secs(60);
        world.submit(late).expect("taken");
    }
    world.run(1_200);
    let fresh = world
        .submit(world.chain(999, &[("first", 1)], 1_200))
        .expect("taken");
    let objective = world.now + Duration::from_millis(1_200);
    world.run(4_000);
    let (ended, outcome) = &world.ended[&fresh];
    assert!(outcome.is_ok());
    assert!(*ended <= objective);
}

/// A burst of twice what the upstreams can do, for as long as several calls. In
/// the order of their deadlines all requests waited until they were just too
/// late, the most urgent among them: of two kinds that share the services, none
/// of either was in time. Now what the most urgent kind needs is kept free.
#[test]
fn a_burst_beyond_capacity_leaves_the_urgent_in_time() {
    let mut world = Simulation::new(&["first", "second"], 1);
    let mut urgent = Vec::new();
    for id in 0..150 {
        let mut job = world.chain(id, &CHAIN, 2_000);
        job.priority = if id % 3 == 0 { 0 } else { 2 };
        let objective = job.objective;
        // One that is refused at once is not held, and may come again.
        if let (Ok(key), 0) = (world.submit(job.clone()), job.priority) {
            urgent.push((key, objective));
        }
        world.run(50);
    }
    world.run(9_000);
    let in_time = urgent.iter().filter(|(key, objective)| {
        let (ended, outcome) = &world.ended[key];
        outcome.is_ok() && ended <= objective
    });
    assert_eq!((in_time.count(), urgent.len()), (50, 50));
}

/// Held until its deadline and refused then, a request has cost its caller all
/// of its time. What would end too late is refused when it comes, with when
/// there will be room.
#[test]
fn what_would_end_too_late_is_refused_at_once() {
    let mut world = Simulation::new(&["first"], 1);
    let mut refused = 0;
    for id in 0..200 {
        match world.submit(world.chain(id, &[("first", 1)], 900)) {
            Ok(_) => {}
            Err(JobFailure::WouldMiss(wait)) => {
                refused += 1;
                // Of 3.6 s that its caller waits 30 in 100, less its own call.
                assert!(wait > Duration::from_millis(800));
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(refused > 0);
    world.run(5_000);
    assert!(
        world.ended.values().all(|(_, o)| o.is_ok()),
        "no promise broken"
    );
}

/// A stronger instance starts and fills the batches from then on. The one before
/// it went on with a backlog of seconds: both sent calls to the same upstreams,
/// which refused them, and results were gone before they were read.
#[test]
fn an_owner_that_is_replaced_hands_over_what_it_has_not_begun() {
    let mut world = Simulation::new(&["first", "second"], 1);
    let mut keys = Vec::new();
    for id in 0..40 {
        let mut job = world.chain(id, &CHAIN, 2_000);
        job.deadline = world.now + Duration::from_secs(60);
        keys.push(world.submit(job).expect("taken"));
    }
    world.run(100);
    world.desk.hand_over();
    world.run(6_000);
    let (moved, done): (Vec<JobKey>, Vec<JobKey>) = keys
        .into_iter()
        .partition(|k| world.ended[k].1 == Err(JobFailure::Moved));
    // Each of two upstreams was asked for the first piece that came.
    assert_eq!((moved.len(), done.len()), (38, 2));
    assert!(done.iter().all(|k| world.ended[k].1.is_ok()));
    assert!(moved.iter().all(|k| world.ended[k].0 <= world.now));
}

/// Guards against requests that wait for good at an owner which was replaced, since it looks
/// only at desks where something waits.
#[test]
fn what_is_handed_over_is_told_though_nothing_waits_any_more() {
    let mut world = Simulation::new(&["first"], 1);
    for id in 0..3 {
        let job = world.chain(id, &[("first", 1)], 2_000);
        world.submit(job).expect("taken");
    }
    world.desk.hand_over();
    assert!(world.desk.has_pending_work());
    assert_eq!(world.desk.take_finished().len(), 1);
    assert!(!world.desk.has_pending_work());
}

/// A request whose stages wait is found to end upstreams. Its pieces were still asked for,
/// by the owner that fills calls for all instances; the others' are done.
#[test]
fn stages_of_a_quarantined_request_are_given_up() {
    let mut world = Simulation::new(&["first", "second"], 1);
    let bad = world.submit(world.chain(1, &CHAIN, 5_000)).expect("taken");
    let good = world.submit(world.chain(2, &CHAIN, 5_000)).expect("taken");
    world.run(100);
    let (known, content) = (world.now, Content::from_number(1));
    let left = Duration::from_secs(600);
    world
        .desk
        .fail_quarantined(|c| (c == content).then_some(left));
    world.run(3_000);
    assert_eq!(world.ended[&bad].1, Err(JobFailure::Quarantined(left)));
    assert!(world.ended[&good].1.is_ok());
    let later = world.calls.iter().filter(|(at, _)| *at > known);
    let mut pieces = later.flat_map(|(_, call)| &call.pieces);
    assert!(pieces.all(|p| p.content != content));
}

/// A caller leaves: nothing of its request is worked on any more, and its
/// results make room.
#[test]
fn a_cancelled_job_leaves_nothing_behind() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let key = world.submit(world.chain(1, &CHAIN, 5_000)).expect("taken");
    world.run(300);
    world.desk.cancel(key);
    world.run(2_000);
    assert!(world.lying.is_empty());
    assert!(!world.desk.has_pending_work());
    assert_eq!(world.calls.len(), 2);
}

/// Every piece reads all of its inputs. In another zone than these, one stage
/// of one request moved a megabyte between zones.
#[test]
fn a_stage_is_done_where_its_inputs_lie() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let mut job = world.chain(1, &CHAIN, 5_000);
    job.zone = Some(name("b"));
    world.submit(job).expect("taken");
    world.run(1_500);
    let zones: Vec<bool> = world
        .calls
        .iter()
        .map(|(_, c)| c.upstream.ends_with("-1"))
        .collect();
    assert_eq!(zones.len(), 2);
    assert_eq!(zones[0], zones[1]);
}

#[test]
fn a_stage_without_upstreams_is_refused() {
    let mut world = Simulation::new(&["first"], 10);
    assert_eq!(
        world.submit(world.chain(1, &CHAIN, 5_000)),
        Err(JobFailure::NoUpstream)
    );
}

/// An upstream leaves while it works on a call: what it has made still counts,
/// and nothing new reaches it.
#[test]
fn an_upstream_that_left_gets_nothing_new() {
    let mut world = Simulation::new(&["first"], 10);
    let key = world
        .submit(world.chain(1, &[("first", 2)], 5_000))
        .expect("taken");
    world.run(50);
    let used = world.calls[0].1.upstream.clone();
    let left = if used == "first-1" { 2 } else { 1 };
    world
        .desk
        .set_upstreams(world.now, "first", SPEC, upstreams("first", &[left]));
    world.run(500);
    assert_eq!(whole(&world, key), 2);
    world
        .submit(world.chain(2, &[("first", 2)], 5_000))
        .expect("taken");
    world.run(500);
    assert_ne!(world.calls[1].1.upstream, used);
}

/// A tag has one large result that only the model reads, beside a chain of three
/// stages. Made at once it lay there for as long as the chain waited, and large
/// results of others had no room.
#[test]
fn a_lone_stage_is_not_done_long_before_the_chain_beside_it() {
    let mut world = Simulation::new(&["lone", "first", "second", "third"], 10);
    let mut job = world.chain(1, &[("first", 1), ("second", 2), ("third", 2)], 5_000);
    let lone = JobStage {
        service: "lone".into(),
        after: Vec::new(),
        pieces: 1,
        result_bytes: 10,
    };
    job.stages.push(lone);
    let key = world.submit(job).expect("taken");
    world.run(2_000);
    assert_eq!(whole(&world, key), 3);
    let services: Vec<&str> = world
        .calls
        .iter()
        .map(|(_, c)| c.service.as_str())
        .collect();
    let place = |service| services.iter().position(|s| *s == service);
    assert!(place("lone") > place("first"));
    assert!(place("lone") < place("third"));
    // The chain takes 560 ms longer, of which the lone stage waits 60 in 100.
    let began = |service| place(service).map(|n| world.calls[n].0);
    let first = began("first").expect("asked for");
    let lone = began("lone").expect("asked for");
    assert!(lone.since(first) >= Duration::from_millis(300));
}

/// A deployment's results may be larger than the room planned for. Never sent,
/// the request would wait for its whole deadline in vain.
#[test]
fn a_result_larger_than_the_planned_room_is_tried_alone() {
    let mut world = Simulation::new(&["first"], 1_990);
    let key = world
        .submit(world.chain(1, &[("first", 1)], 3_000))
        .expect("taken");
    world.run(600);
    assert_eq!(whole(&world, key), 1);
}
