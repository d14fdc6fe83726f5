//! Queueing and placement of pieces under overload and failures, in virtual time.

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

/// All instances were killed. Their results fill both upstreams for another two seconds, and cannot
/// be released. If the new owner does not count them, hundreds of pieces are processed and
/// then rejected for lack of storage. The simulation fails the test when results exceed the
/// storage.
#[test]
fn results_of_dead_instances_count_as_used_storage() {
    let mut sim = Simulation::new(&["first"], 100);
    for upstream in ["first-1", "first-2"] {
        let result = (upstream.into(), 1_500);
        sim.stored.insert(format!("{upstream}/dead").into(), result);
    }
    let mut keys = Vec::new();
    for id in 0..12 {
        let job = sim.chain(id, &[("first", 2)], 60_000);
        keys.push(sim.submit(job).expect("accepted"));
    }
    sim.run(2_000);
    let queries = sim.storage_queries;
    sim.stored.retain(|handle, _| !handle.ends_with("/dead"));
    sim.run(2_000);
    assert!(keys.iter().all(|k| sim.finished.contains_key(k)));
    assert!(
        queries >= 8,
        "{queries} queries while untracked results were stored"
    );
    sim.run(5_000);
    let settled = sim.storage_queries;
    sim.run(5_000);
    assert_eq!(
        sim.storage_queries, settled,
        "free storage is still queried"
    );
}

/// Upstreams without untracked results are queried once each, and not again.
#[test]
fn free_storage_is_queried_only_while_it_is_unknown() {
    let mut sim = Simulation::new(&["first"], 10);
    for id in 0..25 {
        let job = sim.chain(id, &[("first", 1)], 60_000);
        sim.submit(job).expect("accepted");
        sim.run(100);
    }
    assert_eq!(sim.storage_queries, 2);
    sim.scheduler.take_over();
    sim.run(1_000);
    assert_eq!(sim.storage_queries, 4);
}

/// The zone in which the results of a job are read, by its number.
fn zone_of(id: u64) -> &'static str {
    if id.is_multiple_of(2) { "a" } else { "b" }
}

/// The number of pieces that ran outside the zone in which their results are read, and of all
/// pieces.
fn cross_zone_pieces(sim: &Simulation) -> (usize, usize) {
    let mut crossing = 0;
    let mut all = 0;
    for (_, call) in &sim.calls {
        let zone = if call.upstream.ends_with("-1") {
            "a"
        } else {
            "b"
        };
        let ids = call.pieces.iter().map(|p| p.request_id.as_str());
        let numbers = ids.filter_map(|id| id.strip_prefix("request-")?.parse::<u64>().ok());
        for number in numbers {
            all += 1;
            crossing += usize::from(zone_of(number) != zone);
        }
    }
    (crossing, all)
}

/// A backlog of pieces for two zones. In the order of their deadlines, half of each call's results,
/// three megabytes each, would be produced in the zone where they are not read, although the
/// upstream of the other zone is available as often.
#[test]
fn a_backlog_is_sorted_by_zone() {
    let mut sim = Simulation::new(&["first"], 10);
    for id in 0..60 {
        let mut job = sim.chain(id, &[("first", 2)], 60_000);
        job.zone = Some(name(zone_of(id)));
        sim.submit(job).expect("accepted");
    }
    sim.run(5_000);
    assert_eq!(cross_zone_pieces(&sim), (0, 120));
}

/// Pieces that prefer the zone of a slow or lost upstream do not wait for it: those that would be
/// late there go to the other zone while they can still be on time.
#[test]
fn urgent_pieces_go_to_the_other_zone() {
    let mut sim = Simulation::new(&["first"], 10);
    sim.unresponsive.insert("first-1".into());
    let mut keys: Vec<(JobKey, MonoTime)> = Vec::new();
    for id in 0..30 {
        let mut job = sim.chain(id, &[("first", 1)], 2_500);
        job.zone = Some(name("a"));
        let objective = job.objective;
        keys.push((sim.submit(job).expect("accepted"), objective));
        sim.run(60);
    }
    sim.run(4_000);
    let late = keys.iter().filter(|(k, by)| sim.finished[k].0 > *by);
    assert!(late.count() <= 2);
}

/// Results fill the storage of an upstream, and the next stage's upstream in its zone is busy. If
/// the next stage waits for that upstream, a fifth of its time, the storage stays occupied and
/// calls of the first stage wait for it: the preference for a zone delays a burst that the
/// upstreams could serve.
#[test]
fn pieces_do_not_wait_for_a_zone_while_storage_is_low() {
    let mut sim = Simulation::new(&["first", "second"], 950);
    let busy = sim.chain(1, &[("second", 1)], 60_000);
    let chain = sim.chain(2, &[("first", 1), ("second", 1)], 60_000);
    sim.submit(chain).expect("accepted");
    sim.run(250);
    let mut busy = busy;
    busy.zone = Some(first_zone(&sim));
    sim.submit(busy).expect("accepted");
    sim.run(60);
    let made = sim.calls.iter().find(|(_, c)| c.service == "second");
    let (busy_from, _) = made.expect("the single piece is sent");
    let mut next = sim.calls.iter().filter(|(_, c)| c.service == "second");
    let chained = next.next_back().expect("the chain continues");
    assert!(chained.0.since(*busy_from) < Duration::from_millis(60));
    assert_eq!(sim.calls.len(), 3);
}

/// The zone of the upstream that got the first call.
fn first_zone(sim: &Simulation) -> jd_types::Name {
    let (_, call) = &sim.calls[0];
    name(if call.upstream.ends_with("-1") {
        "a"
    } else {
        "b"
    })
}

/// Both upstreams hang while a less urgent job waits that could have been on time. Its priority
/// ranks it later, but must not make it count as on time for that much longer: otherwise it would
/// go first when the upstreams recover, and make a more urgent job late that arrived in the
/// meantime.
#[test]
fn priority_does_not_extend_the_time_to_start() {
    let mut sim = Simulation::new(&["first"], 1);
    let job = |sim: &Simulation, id, objective, priority| StageJob {
        priority,
        ..sim.chain(id, &[("first", 20)], objective)
    };
    sim.unresponsive
        .extend(["first-1".into(), "first-2".into()]);
    let hung = job(&sim, 1, 900, 0);
    sim.submit(hung).expect("accepted");
    let less_urgent = job(&sim, 2, 2_000, 3);
    sim.submit(less_urgent).expect("accepted");
    sim.run(1_750);
    sim.unresponsive.clear();
    let urgent = job(&sim, 3, 3_000, 0);
    sim.submit(urgent).expect("accepted");
    sim.run(2_500);
    let sent_at = |id: &str| {
        let of = sim.calls.iter();
        let mut of = of.filter(|(_, c)| c.pieces.iter().all(|p| p.request_id == id));
        of.next().map(|(at, _)| *at)
    };
    let (urgent, less_urgent) = (sent_at("request-3"), sent_at("request-2"));
    assert!(urgent.expect("sent") < less_urgent.expect("sent"));
}

/// Records twenty jobs a second, for `seconds`, that each ended `delay_ms` after its expected end.
fn record_ends(bias: &mut EstimateBias, from: u64, seconds: u64, delay_ms: i64) {
    for n in 0..seconds * 20 {
        let now = from + n * 50;
        let expected = now.saturating_add_signed(-delay_ms);
        let (now, expected) = (MonoTime::from_millis(now), MonoTime::from_millis(expected));
        bias.record(now, expected, 3, 1);
    }
}

/// In a burst of chains of three stages, every job is accepted that is expected to be on time. The
/// estimates leave out delays at each stage, such as calls that are sent half full and results that
/// wait for storage. Uncorrected, 60 of 100 of these jobs were slightly late: all of the work was
/// done, and little of it on time.
#[test]
fn systematic_delays_are_added_to_estimates_within_seconds() {
    let mut bias = EstimateBias::default();
    record_ends(&mut bias, 10_000, 3, 180);
    let correction = bias.correction(MonoTime::from_millis(13_000), 3, 1);
    assert!(correction > Duration::from_millis(150), "{correction:?}");
    assert!(correction < Duration::from_millis(190), "{correction:?}");
    // There are no samples of another length or priority.
    let other = bias.correction(MonoTime::from_millis(13_000), 1, 1);
    assert_eq!(other, Duration::ZERO);
}

/// Jobs that end early do not make later estimates earlier, which would make those jobs late.
#[test]
fn early_ends_are_not_subtracted() {
    let mut bias = EstimateBias::default();
    record_ends(&mut bias, 10_000, 3, -300);
    let correction = bias.correction(MonoTime::from_millis(13_000), 3, 1);
    assert_eq!(correction, Duration::ZERO);
}

/// An upstream hangs, and jobs end seconds later than expected. With a correction as large as that,
/// no job would count as on time, none would bring a new sample, and jobs that could be on time
/// would be served last for as long as the load lasts.
#[test]
fn a_correction_that_blocks_all_jobs_decays_soon() {
    let mut bias = EstimateBias::default();
    record_ends(&mut bias, 10_000, 5, 5_000);
    let at = |ms| bias.correction(MonoTime::from_millis(ms), 3, 1);
    assert!(at(15_000) <= Duration::from_millis(400));
    assert!(at(18_000) < Duration::from_millis(50));
}

/// Upstreams hang for a while, so that all jobs end far later than expected. If the correction did
/// not decay, no job would count as on time or bring a new sample, and requests would be delayed
/// long after the upstreams have recovered.
#[test]
fn estimates_recover_after_upstreams_hung() {
    let mut sim = Simulation::new(&["first"], 1);
    for round in 0..2 {
        for upstream in ["first-1", "first-2"] {
            sim.unresponsive.insert(upstream.into());
        }
        for id in 0..20 {
            let job = sim.chain(round * 100 + id, &[("first", 2)], 900);
            // Refused or late, because the upstreams hang.
            let _ = sim.submit(job);
            sim.run(100);
        }
        sim.unresponsive.clear();
        sim.run(6_000);
    }
    let job = sim.chain(999, &[("first", 2)], 600);
    let objective = job.objective;
    let key = sim.submit(job).expect("accepted at once");
    sim.run(1_000);
    assert!(sim.finished[&key].0 <= objective);
}

/// Refused callers retry, and their objective counts from their first attempt. If retries were
/// treated as new requests, each would be served before one that could still be on time, and be
/// late all the same.
#[test]
fn retries_are_not_served_before_jobs_that_can_be_on_time() {
    let mut sim = Simulation::new(&["first"], 1);
    let mut refused = None;
    for id in 0..60 {
        let job = sim.chain(id, &[("first", 2)], 900);
        refused = sim.submit(job.clone()).err().map(|_| job).or(refused);
    }
    let mut retry = refused.expect("a job beyond capacity");
    sim.run(1_600);
    retry.objective = sim.now + Duration::from_millis(900);
    retry.deadline = sim.now + Duration::from_millis(3_600);
    for id in 200..202 {
        let filler = sim.chain(id, &[("first", 10)], 60_000);
        sim.submit(filler).expect("capacity is free");
    }
    let retried = sim.submit(retry).expect("capacity is free");
    let new: Vec<JobKey> = (100..110)
        .map(|id| {
            let job = sim.chain(id, &[("first", 2)], 2_000);
            sim.submit(job).expect("capacity is free")
        })
        .collect();
    sim.run(3_000);
    let finished_at = |key: &JobKey| sim.finished[key].0;
    let last = new.iter().map(finished_at).max().expect("new jobs");
    assert!(finished_at(&retried) >= last, "served before {last:?}");
    assert!(sim.finished[&retried].1.is_ok(), "not served");
}

/// The upstreams of a stage announce a rate limit of one call a second, half of their capacity.
/// Pieces wait until an upstream accepts calls, and the rate limit is used up.
#[test]
fn pieces_wait_for_rate_limited_upstreams() {
    let mut sim = Simulation::new(&["first"], 10);
    let interval = Duration::from_secs(1);
    for upstream in ["first-1", "first-2"] {
        sim.rate_limited
            .insert(upstream.into(), (interval, MonoTime::ZERO));
    }
    for id in 0..400 {
        let job = sim.chain(id, &[("first", 1)], 2_000);
        // Some jobs are refused at once, which does not matter here.
        let _ = sim.submit(job);
        sim.run(25);
    }
    let calls = sim.calls.iter().filter(|(_, c)| c.upstream == "first-1");
    let at: Vec<MonoTime> = calls.map(|(at, _)| *at).collect();
    assert!(at.windows(2).all(|pair| pair[1].since(pair[0]) >= interval));
    let done = sim.finished.values().filter(|(_, outcome)| outcome.is_ok());
    let capacity = 2 * SPEC.pieces * 10;
    assert!(done.count() * 10 >= capacity * 8, "of {capacity}");
}
