//! Batching of pieces of stages into calls, in virtual time.

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

fn result_count(sim: &Simulation, key: JobKey) -> usize {
    match sim.finished.get(&key) {
        Some((_, Ok(results))) => results.len(),
        other => panic!("not done: {other:?}"),
    }
}

#[test]
fn a_single_job_is_sent_at_once() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let key = sim.submit(sim.chain(1, &CHAIN, 3_000)).expect("accepted");
    sim.run(600);
    assert_eq!(result_count(&sim, key), 4);
}

/// If pieces were assigned to an upstream on arrival, each would need a call of its own, and calls
/// would queue for seconds. Assigned when an upstream is available, they share calls.
#[test]
fn calls_fill_as_load_grows() {
    let mut sim = Simulation::new(&["first"], 10);
    for id in 0..200 {
        sim.submit(sim.chain(id, &[("first", 1)], 8_000))
            .expect("accepted");
        sim.run(20);
    }
    sim.run(1_000);
    assert!(sim.finished.values().all(|(_, outcome)| outcome.is_ok()));
    assert!(sim.calls.len() < 40, "{} calls", sim.calls.len());
}

/// Fifteen results of karrabin's first stage fill the storage of an upstream. The simulation fails
/// the test when results exceed the storage.
#[test]
fn results_never_exceed_the_storage() {
    let mut sim = Simulation::new(&["first", "second"], 190);
    let mut keys = Vec::new();
    for id in 0..30 {
        keys.push(sim.submit(sim.chain(id, &CHAIN, 60_000)).expect("accepted"));
    }
    for _ in 0..100 {
        sim.run(100);
        for (_, outcome) in sim.finished.clone().into_values() {
            sim.scheduler.release_results(outcome.unwrap_or_default());
        }
    }
    assert!(keys.iter().all(|k| sim.finished.contains_key(k)));
}

/// With little free storage, each call held one to three pieces and took nearly as long as a full
/// one. Results were stored longer and storage got scarcer still: after a burst, requests were
/// refused for seconds although engines were half idle.
#[test]
fn a_small_call_waits_for_storage() {
    let mut sim = Simulation::new(&["first"], 190);
    for id in 0..8 {
        sim.submit(sim.chain(id, &[("first", 4)], 60_000))
            .expect("accepted");
    }
    sim.run(2_000);
    let scant = sim.calls.iter().filter(|(_, c)| c.pieces.len() < 4);
    assert_eq!(scant.count(), 0);
}

/// An upstream crashes and its results are lost. Pieces that need them fail at once. Sent again
/// with the same inputs, they would fail forever; sent without, they would run on no input.
#[test]
fn lost_results_are_produced_again() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let key = sim.submit(sim.chain(1, &CHAIN, 5_000)).expect("accepted");
    sim.run(265);
    sim.lose_results("first-1");
    sim.lose_results("first-2");
    sim.run(2_500);
    assert_eq!(result_count(&sim, key), 4);
}

/// An unresponsive upstream keeps its pieces until the time-out. They are then sent to another
/// upstream, and this one gets no new pieces for a while.
#[test]
fn pieces_of_an_unresponsive_upstream_are_sent_to_another() {
    let mut sim = Simulation::new(&["first"], 10);
    sim.unresponsive.insert("first-1".into());
    let mut keys = Vec::new();
    for id in 0..4 {
        keys.push(
            sim.submit(sim.chain(id, &[("first", 2)], 5_000))
                .expect("accepted"),
        );
        sim.run(10);
    }
    sim.run(2_500);
    for key in keys {
        assert_eq!(result_count(&sim, key), 2);
    }
    let asked = sim.calls.iter().filter(|(_, c)| c.upstream == "first-1");
    assert!(asked.count() <= 2);
}

/// A burst of the least urgent requests must not make the most urgent one late.
#[test]
fn a_burst_of_less_urgent_jobs_hardly_delays_an_urgent_one() {
    let mut sim = Simulation::new(&["first"], 1);
    for id in 0..60 {
        let mut job = sim.chain(id, &[("first", 1)], 2_000);
        job.priority = 2;
        sim.submit(job).expect("accepted");
    }
    let urgent = sim
        .submit(sim.chain(99, &[("first", 1)], 2_000))
        .expect("accepted");
    let began = sim.now;
    sim.run(3_000);
    let (ended, _) = &sim.finished[&urgent];
    let full = SPEC.call_time(SPEC.pieces);
    assert!(ended.since(began) <= full * 2 + Duration::from_millis(20));
}

/// After a burst has made all jobs late, serving the latest ones first would make the next one late
/// as well. Jobs that can still be on time go first.
#[test]
fn jobs_that_can_be_on_time_precede_late_ones() {
    let mut sim = Simulation::new(&["first"], 1);
    for id in 0..100 {
        let mut late = sim.chain(id, &[("first", 1)], 900);
        // Its caller waits long enough for the job to be accepted.
        late.deadline = sim.now + Duration::from_secs(60);
        sim.submit(late).expect("accepted");
    }
    sim.run(1_200);
    let fresh = sim
        .submit(sim.chain(999, &[("first", 1)], 1_200))
        .expect("accepted");
    let objective = sim.now + Duration::from_millis(1_200);
    sim.run(4_000);
    let (ended, outcome) = &sim.finished[&fresh];
    assert!(outcome.is_ok());
    assert!(*ended <= objective);
}

/// In a burst of twice the upstreams' capacity, for the duration of several calls, all requests
/// waited until they were just too late when served in the order of their deadlines: of two kinds
/// that share the services, none was on time. Capacity for the most urgent kind is kept free.
#[test]
fn urgent_jobs_are_on_time_in_a_burst_beyond_capacity() {
    let mut sim = Simulation::new(&["first", "second"], 1);
    let mut urgent = Vec::new();
    for id in 0..150 {
        let mut job = sim.chain(id, &CHAIN, 2_000);
        job.priority = if id % 3 == 0 { 0 } else { 2 };
        let objective = job.objective;
        // A job that is refused at once does not wait, and may be retried.
        if let (Ok(key), 0) = (sim.submit(job.clone()), job.priority) {
            urgent.push((key, objective));
        }
        sim.run(50);
    }
    sim.run(9_000);
    let in_time = urgent.iter().filter(|(key, objective)| {
        let (ended, outcome) = &sim.finished[key];
        outcome.is_ok() && ended <= objective
    });
    assert_eq!((in_time.count(), urgent.len()), (50, 50));
}

/// A request that is refused only at its deadline has cost its caller all of its time. A request
/// that would end too late is refused on arrival, with the time until a retry may succeed.
#[test]
fn jobs_that_would_end_too_late_are_refused_at_once() {
    let mut sim = Simulation::new(&["first"], 1);
    let mut refused = 0;
    for id in 0..200 {
        match sim.submit(sim.chain(id, &[("first", 1)], 900)) {
            Ok(_) => {}
            Err(JobFailure::WouldMiss(wait)) => {
                refused += 1;
                // 30 percent of the 3.6 s that its caller waits, less its own call.
                assert!(wait > Duration::from_millis(800));
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(refused > 0);
    sim.run(5_000);
    assert!(
        sim.finished.values().all(|(_, o)| o.is_ok()),
        "an accepted job failed"
    );
}

/// A stronger instance starts and becomes the owner. If the previous owner goes on with a backlog
/// of seconds, both send calls to the same upstreams, which reject them as full, and results are
/// gone before they are read.
#[test]
fn a_replaced_owner_hands_over_unstarted_jobs() {
    let mut sim = Simulation::new(&["first", "second"], 1);
    let mut keys = Vec::new();
    for id in 0..40 {
        let mut job = sim.chain(id, &CHAIN, 2_000);
        job.deadline = sim.now + Duration::from_secs(60);
        keys.push(sim.submit(job).expect("accepted"));
    }
    sim.run(100);
    sim.scheduler.hand_over();
    sim.run(6_000);
    let (moved, done): (Vec<JobKey>, Vec<JobKey>) = keys
        .into_iter()
        .partition(|k| sim.finished[k].1 == Err(JobFailure::Moved));
    // Each of the two upstreams was sent the first piece that arrived.
    assert_eq!((moved.len(), done.len()), (38, 2));
    assert!(done.iter().all(|k| sim.finished[k].1.is_ok()));
    assert!(moved.iter().all(|k| sim.finished[k].0 <= sim.now));
}

/// The gateway processes only schedulers with pending work. If a replaced owner does not report
/// handed-over jobs as pending work, their requests wait forever.
#[test]
fn handed_over_jobs_count_as_pending_work() {
    let mut sim = Simulation::new(&["first"], 1);
    for id in 0..3 {
        let job = sim.chain(id, &[("first", 1)], 2_000);
        sim.submit(job).expect("accepted");
    }
    sim.scheduler.hand_over();
    assert!(sim.scheduler.has_pending_work());
    assert_eq!(sim.scheduler.take_finished().len(), 1);
    assert!(!sim.scheduler.has_pending_work());
}

/// A request is found to crash upstreams while its stages wait. The owner must not send any more of
/// its pieces, and those of other requests are done.
#[test]
fn stages_of_a_quarantined_request_are_dropped() {
    let mut sim = Simulation::new(&["first", "second"], 1);
    let bad = sim.submit(sim.chain(1, &CHAIN, 5_000)).expect("accepted");
    let good = sim.submit(sim.chain(2, &CHAIN, 5_000)).expect("accepted");
    sim.run(100);
    let (known, content) = (sim.now, Content::from_number(1));
    let left = Duration::from_secs(600);
    sim.scheduler
        .fail_quarantined(|c| (c == content).then_some(left));
    sim.run(3_000);
    assert_eq!(sim.finished[&bad].1, Err(JobFailure::Quarantined(left)));
    assert!(sim.finished[&good].1.is_ok());
    let later = sim.calls.iter().filter(|(at, _)| *at > known);
    let mut pieces = later.flat_map(|(_, call)| &call.pieces);
    assert!(pieces.all(|p| p.content != content));
}

/// After its caller has left, no pieces of a job are sent any more, and its results are released.
#[test]
fn a_cancelled_job_leaves_nothing_behind() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let key = sim.submit(sim.chain(1, &CHAIN, 5_000)).expect("accepted");
    sim.run(300);
    sim.scheduler.cancel(key);
    sim.run(2_000);
    assert!(sim.stored.is_empty());
    assert!(!sim.scheduler.has_pending_work());
    assert_eq!(sim.calls.len(), 2);
}

/// Every piece reads all of its inputs. One stage of one request that ran in another zone than its
/// inputs moved a megabyte between zones.
#[test]
fn a_stage_runs_in_the_zone_of_its_inputs() {
    let mut sim = Simulation::new(&["first", "second"], 10);
    let mut job = sim.chain(1, &CHAIN, 5_000);
    job.zone = Some(name("b"));
    sim.submit(job).expect("accepted");
    sim.run(1_500);
    let zones: Vec<bool> = sim
        .calls
        .iter()
        .map(|(_, c)| c.upstream.ends_with("-1"))
        .collect();
    assert_eq!(zones.len(), 2);
    assert_eq!(zones[0], zones[1]);
}

#[test]
fn a_stage_without_upstreams_is_refused() {
    let mut sim = Simulation::new(&["first"], 10);
    assert_eq!(
        sim.submit(sim.chain(1, &CHAIN, 5_000)),
        Err(JobFailure::NoUpstream)
    );
}

/// An upstream is removed while it processes a call. Its results still count, and it gets no new
/// calls.
#[test]
fn a_removed_upstream_gets_no_new_calls() {
    let mut sim = Simulation::new(&["first"], 10);
    let key = sim
        .submit(sim.chain(1, &[("first", 2)], 5_000))
        .expect("accepted");
    sim.run(50);
    let used = sim.calls[0].1.upstream.clone();
    let left = if used == "first-1" { 2 } else { 1 };
    sim.scheduler
        .set_upstreams(sim.now, "first", SPEC, upstreams("first", &[left]));
    sim.run(500);
    assert_eq!(result_count(&sim, key), 2);
    sim.submit(sim.chain(2, &[("first", 2)], 5_000))
        .expect("accepted");
    sim.run(500);
    assert_ne!(sim.calls[1].1.upstream, used);
}

/// A request has a single stage with one large result that only the model reads, in parallel to a
/// chain of three stages. If the stage ran at once, its result would be stored for as long as the
/// chain runs, and large results of other requests would have no space.
#[test]
fn a_single_stage_does_not_end_long_before_a_parallel_chain() {
    let mut sim = Simulation::new(&["lone", "first", "second", "third"], 10);
    let mut job = sim.chain(1, &[("first", 1), ("second", 2), ("third", 2)], 5_000);
    let lone = JobStage {
        service: "lone".into(),
        after: Vec::new(),
        pieces: 1,
        result_bytes: 10,
    };
    job.stages.push(lone);
    let key = sim.submit(job).expect("accepted");
    sim.run(2_000);
    assert_eq!(result_count(&sim, key), 3);
    let services: Vec<&str> = sim.calls.iter().map(|(_, c)| c.service.as_str()).collect();
    let place = |service| services.iter().position(|s| *s == service);
    assert!(place("lone") > place("first"));
    assert!(place("lone") < place("third"));
    // The chain takes 560 ms longer, and the single stage waits 60 percent of that.
    let began = |service| place(service).map(|n| sim.calls[n].0);
    let first = began("first").expect("sent");
    let lone = began("lone").expect("sent");
    assert!(lone.since(first) >= Duration::from_millis(300));
}

/// A deployment may have results that are larger than the usable storage. If the piece were never
/// sent, the request would wait until its deadline in vain.
#[test]
fn a_result_larger_than_the_usable_storage_is_tried_alone() {
    let mut sim = Simulation::new(&["first"], 1_990);
    let key = sim
        .submit(sim.chain(1, &[("first", 1)], 3_000))
        .expect("accepted");
    sim.run(600);
    assert_eq!(result_count(&sim, key), 1);
}
