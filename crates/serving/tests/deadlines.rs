//! Requests that cannot be done before their deadlines.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::time::Duration;

use jd_serving::JobFailure;
use stage_simulation::Simulation;

const CHAIN: [(&str, usize); 2] = [("first", 1), ("second", 4)];

/// A caller hung at a dead instance, and asks again when it has little time left. Its
/// objective counts anew and would be met, its deadline cannot be: it was taken in, held
/// until its deadline, and its stages were done for nobody.
#[test]
fn what_cannot_end_before_its_deadline_is_refused_when_it_comes() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let mut job = world.chain(1, &CHAIN, 3_000);
    job.deadline = world.now + Duration::from_millis(400);
    let refused = world.submit(job);
    assert!(
        matches!(refused, Err(JobFailure::WouldMiss(_))),
        "{refused:?}"
    );
    assert!(world.calls.is_empty());
}

/// The same with time enough, in which it is done.
#[test]
fn what_can_end_before_its_deadline_is_taken() {
    let mut world = Simulation::new(&["first", "second"], 10);
    let mut job = world.chain(1, &CHAIN, 3_000);
    job.deadline = world.now + Duration::from_millis(900);
    let key = world.submit(job).expect("taken");
    world.run(900);
    assert!(world.ended[&key].1.is_ok());
}

/// A request could be done when it came, and then more urgent ones come for longer than
/// its caller waits. Once even the shortest calls end too late for it, its caller is
/// told, and no upstream works for it.
#[test]
fn what_can_no_longer_end_before_its_deadline_is_refused_at_once() {
    let mut world = Simulation::new(&["first"], 1);
    for id in 1..5 {
        let urgent = world.chain(id, &[("first", 10)], 3_000);
        world.submit(urgent).expect("taken");
    }
    let mut job = world.chain(1_000, &[("first", 1)], 1_500);
    job.priority = 9;
    job.deadline = world.now + Duration::from_millis(2_000);
    let deadline = job.deadline;
    let key = world.submit(job).expect("taken");
    for id in 5..400 {
        let urgent = world.chain(id, &[("first", 10)], 3_000);
        // Some find too much before them.
        let _taken = world.submit(urgent);
        world.run(10);
    }
    let (ended, outcome) = &world.ended[&key];
    assert_eq!(*outcome, Err(JobFailure::TooLate));
    let early = deadline.since(*ended);
    assert!(
        early >= Duration::from_millis(240),
        "{early:?} before its deadline"
    );
    let calls = world.calls.iter().flat_map(|(_, c)| &c.pieces);
    assert!(calls.into_iter().all(|p| p.request_id != "request-1000"));
}
