//! Requests that cannot end before their deadlines.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::time::Duration;

use jd_serving::JobFailure;
use jd_serving::StageJob;
use stage_simulation::Simulation;

const CHAIN: [(&str, usize); 2] = [("first", 1), ("second", 4)];

/// A caller waited for a dead instance, and retries with little time left. Its objective counts
/// from the retry and could be met, but its deadline cannot. If the job were accepted, it would
/// wait until its deadline, and its stages would be run in vain.
#[test]
fn a_job_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let mut job = sim.chain(1, &CHAIN, 3_000);
    job.deadline = sim.now + Duration::from_millis(400);
    let refused = sim.submit(job);
    assert!(
        matches!(refused, Err(JobFailure::WouldMiss(_))),
        "{refused:?}"
    );
    assert!(sim.calls.is_empty());
}

/// The same with enough time, so that the job is done.
#[test]
fn a_job_that_can_meet_its_deadline_is_accepted() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let mut job = sim.chain(1, &CHAIN, 3_000);
    job.deadline = sim.now + Duration::from_millis(900);
    let key = sim.submit(job).expect("accepted");
    sim.run(900);
    assert!(sim.finished[&key].1.is_ok());
}

/// A request could be served on arrival, but then more urgent ones keep coming for longer than its
/// caller waits. It is refused as soon as even the shortest calls would end too late, and no
/// upstream processes its pieces.
#[test]
fn a_queued_job_that_can_no_longer_meet_its_deadline_is_refused_at_once() {
    let mut sim = Simulation::new(&["first"], 1);
    for id in 1..5 {
        let urgent = sim.chain(id, &[("first", 10)], 3_000);
        sim.submit(urgent).expect("accepted");
    }
    let mut job = sim.chain(1_000, &[("first", 1)], 1_500);
    job.priority = 9;
    job.deadline = sim.now + Duration::from_millis(2_000);
    let deadline = job.deadline;
    let key = sim.submit(job).expect("accepted");
    for id in 5..400 {
        let urgent = sim.chain(id, &[("first", 10)], 3_000);
        // Some are refused because of the backlog.
        let _accepted = sim.submit(urgent);
        sim.run(10);
    }
    let (finished_at, outcome) = &sim.finished[&key];
    assert_eq!(*outcome, Err(JobFailure::TooLate));
    let early = deadline.since(*finished_at);
    assert!(
        early >= Duration::from_millis(240),
        "{early:?} before its deadline"
    );
    let calls = sim.calls.iter().flat_map(|(_, c)| &c.pieces);
    assert!(calls.into_iter().all(|p| p.request_id != "request-1000"));
}

/// Guards against refusing the stages of a request that was sent before, because it would have to
/// wait: its caller has waited already, and would get nothing.
#[test]
fn a_job_that_runs_again_is_refused_only_if_it_would_end_after_its_deadline() {
    let mut sim = Simulation::new(&["first"], 1);
    for id in 0..60 {
        let mut job = sim.chain(id, &[("first", 4)], 60_000);
        job.priority = 1;
        sim.submit(job).expect("a job that may wait");
    }
    let backlog = sim.scheduler.backlog(sim.now);
    let late = |sim: &Simulation, deadline: Duration, runs_again| {
        let mut job = sim.chain(100, &[("first", 4)], 0);
        job.priority = 2;
        job.deadline = sim.now + deadline;
        StageJob { runs_again, ..job }
    };
    let refused = |r: Result<_, JobFailure>| matches!(r, Err(JobFailure::WouldMiss(_)));
    let job = late(&sim, backlog * 2, false);
    assert!(refused(sim.submit(job)));
    let job = late(&sim, backlog / 2, true);
    assert!(refused(sim.submit(job)));
    let job = late(&sim, backlog * 2, true);
    assert!(sim.submit(job).is_ok());
}
