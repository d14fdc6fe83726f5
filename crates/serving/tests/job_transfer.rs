//! Begun jobs that an owner of a shard hands over to the next one.

#![allow(clippy::expect_used, clippy::panic)]

mod stage_simulation;

use std::time::Duration;

use jd_serving::JobFailure;
use jd_serving::StageJob;
use jd_serving::StageScheduler;
use jd_serving::StoredResult;
use jd_types::Incarnation;
use jd_types::MonoTime;
use stage_simulation::SPEC;
use stage_simulation::Simulation;
use stage_simulation::upstreams;
use test_case::test_case;

const CHAIN: [(&str, usize); 2] = [("first", 1), ("second", 4)];
const EARLIER: Incarnation = Incarnation::new(1);
const SERVICES: [&str; 2] = ["first", "second"];

fn next_owner() -> StageScheduler {
    let mut scheduler = StageScheduler::default();
    for service in SERVICES {
        scheduler.set_upstreams(MonoTime::ZERO, service, SPEC, upstreams(service, &[1, 2]));
    }
    scheduler
}

/// The owner has run the first stages of three jobs, and is replaced while their second stages wait
/// or run. Returns the simulation and the jobs.
fn replaced_owner() -> (Simulation, Vec<StageJob>) {
    let mut sim = Simulation::new(&SERVICES, 10);
    let jobs: Vec<StageJob> = (1..=3).map(|id| sim.chain(id, &CHAIN, 5_000)).collect();
    for job in &jobs {
        sim.submit(job.clone()).expect("accepted");
    }
    sim.run(300);
    sim.scheduler.begin_transfer();
    (sim, jobs)
}

/// Hands everything over that is due, and returns the results that passed on.
fn transfer(sim: &mut Simulation, accepted: bool) -> Vec<StoredResult> {
    let mut results = Vec::new();
    while let Some(transfer) = sim.scheduler.next_transfer() {
        results.extend(transfer.results.clone());
        sim.scheduler.finish_transfer(transfer, accepted);
    }
    results
}

fn calls(sim: &Simulation, service: &str) -> usize {
    let calls = sim.calls.iter().filter(|(_, c)| c.service == service);
    calls.count()
}

/// Guards against two owners that call the same upstreams at a time, each with its own count of calls
/// and results.
#[test]
fn a_replaced_owner_makes_no_more_calls_and_hands_all_jobs_over() {
    let (mut sim, jobs) = replaced_owner();
    let calls = sim.calls.len();
    for _ in 0..40 {
        transfer(&mut sim, true);
        sim.run(25);
    }
    assert_eq!(sim.calls.len(), calls);
    let done = sim.finished.values().filter(|(_, o)| o.is_ok()).count();
    let moved = sim.finished.values();
    let moved = moved.filter(|(_, o)| *o == Err(JobFailure::Moved)).count();
    assert_eq!(done + moved, jobs.len());
    assert!(moved > 0, "no job was handed over");
}

/// Guards against a job that is handed over while a piece of it is at an upstream: the next owner
/// would run that piece a second time.
#[test]
fn a_job_is_handed_over_once_none_of_its_pieces_is_at_an_upstream() {
    let mut sim = Simulation::new(&SERVICES, 10);
    sim.submit(sim.chain(1, &CHAIN, 5_000)).expect("accepted");
    sim.run(50);
    sim.scheduler.begin_transfer();
    assert_eq!(sim.scheduler.next_transfer(), None);
    sim.run(250);
    let transfer = sim.scheduler.next_transfer().expect("a transfer");
    assert_eq!(transfer.results.len(), 1);
    assert_eq!(sim.scheduler.next_transfer(), None, "on its way");
}

/// Guards against work that is done again, and against results that nobody releases, when a shard
/// passes from owner to owner.
#[test]
fn the_next_owner_continues_a_job_with_its_results() {
    let (mut sim, jobs) = replaced_owner();
    let mut results = Vec::new();
    for _ in 0..40 {
        results.extend(transfer(&mut sim, true));
        sim.run(25);
    }
    let first_calls = calls(&sim, "first");
    let released = |sim: &Simulation| results.iter().all(|r| !sim.stored.contains_key(&r.handle));
    assert!(!released(&sim), "released by the earlier owner");
    let now = sim.now;
    sim.replace_scheduler(next_owner());
    sim.scheduler.accept_transfer(now, EARLIER, results.clone());
    let mut keys = Vec::new();
    for job in &jobs {
        if results.iter().any(|r| r.request_id == job.request_id) {
            keys.push(sim.submit(job.clone()).expect("accepted"));
        }
    }
    assert!(!keys.is_empty());
    sim.run(2_000);
    assert!(keys.iter().all(|k| sim.finished[k].1.is_ok()));
    assert_eq!((calls(&sim, "first"), sim.missing_inputs), (first_calls, 0));
    assert!(released(&sim), "not released");
}

/// Guards against results that are neither used nor released: the next owner did not take them, or
/// nobody submits their job again.
#[test_case(false; "not taken")]
#[test_case(true; "not claimed")]
fn results_of_a_job_that_does_not_continue_are_released(accepted: bool) {
    let (mut sim, _) = replaced_owner();
    let mut results = Vec::new();
    for _ in 0..40 {
        results.extend(transfer(&mut sim, accepted));
        sim.run(25);
    }
    assert!(!results.is_empty());
    if accepted {
        let mut next = next_owner();
        next.accept_transfer(sim.now, EARLIER, results.clone());
        sim.replace_scheduler(next);
        assert!(sim.scheduler.has_pending_work());
        sim.run(1_600);
        assert!(!sim.scheduler.has_pending_work());
    }
    sim.run(25);
    assert!(results.iter().all(|r| !sim.stored.contains_key(&r.handle)));
}

/// Guards against refusing a begun job for a wait that it has behind it.
#[test]
fn a_job_that_was_handed_over_is_accepted_late() {
    let (mut sim, jobs) = replaced_owner();
    let mut results = Vec::new();
    for _ in 0..40 {
        results.extend(transfer(&mut sim, true));
        sim.run(25);
    }
    let begun = jobs.into_iter();
    let mut begun = begun.filter(|j| results.iter().any(|r| r.request_id == j.request_id));
    let mut job = begun.next().expect("a begun job");
    let now = sim.now;
    sim.replace_scheduler(next_owner());
    for id in 10..60 {
        let filler = sim.chain(id, &CHAIN, 30_000);
        sim.submit(filler).expect("accepted");
    }
    job.objective = now;
    job.deadline = now + Duration::from_secs(2);
    let mut another = job.clone();
    another.request_id = "another".into();
    sim.scheduler.accept_transfer(now, EARLIER, results);
    assert!(sim.submit(another).is_err());
    assert!(sim.submit(job).is_ok());
}

/// Guards against an instance that owns the shard again and makes no calls.
#[test]
fn an_owner_that_is_first_again_works_its_jobs_off() {
    let (mut sim, jobs) = replaced_owner();
    sim.scheduler.end_transfer();
    sim.scheduler.take_over();
    sim.run(3_000);
    let done = sim.finished.values().filter(|(_, o)| o.is_ok()).count();
    let moved = jobs.len() - done;
    assert!(done >= 1 && moved <= 2, "{done} of {}", jobs.len());
}
