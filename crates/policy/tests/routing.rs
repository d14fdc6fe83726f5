//! Routing, admission and retries.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use jd_policy::AdmissionQueue;
use jd_policy::PeerLoadReport;
use jd_policy::PickRequest;
use jd_policy::PoolTable;
use jd_policy::QueueEntry;
use jd_policy::QueueEntryId;
use jd_policy::QueuePolicy;
use jd_policy::RetryBudget;
use jd_policy::RoutingPolicy;
use jd_policy::SlotDecision;
use jd_policy::Upstream;
use jd_types::AttemptOutcome;
use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Priority;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn table(count: u8) -> PoolTable {
    let upstream = |n| {
        let address = SocketAddr::from(([127, 0, 0, n], 1));
        Arc::new(Upstream::new(address, name("a"), MonoTime::ZERO))
    };
    PoolTable::new((1..=count).map(upstream).collect(), 8, &name("a"))
}

/// Counts how often each upstream is chosen in `picks` choices, one per millisecond.
fn pick_counts(table: &PoolTable, picks: u32, from: u64, affinity: Option<u64>) -> Vec<u32> {
    let mut counts = vec![0; table.upstreams().len()];
    let mut rng = Rng::with_seed(1);
    let zone = name("a");
    for n in 0..picks {
        let req = PickRequest {
            zone: &zone,
            affinity,
            exclude: &[],
        };
        let now = at(from) + ms(u64::from(n));
        if let Some(pick) = table.pick(RoutingPolicy::TwoChoices, now, &req, &mut rng) {
            counts[pick.key.index()] += 1;
        }
    }
    counts
}

// Guards against sending requests to an upstream that announced that it is leaving.
#[test]
fn a_leaving_upstream_receives_no_requests() {
    let table = table(4);
    table.upstreams()[2].mark_leaving();
    assert_eq!(pick_counts(&table, 400, 1_000, None)[2], 0);
    assert_eq!(pick_counts(&table, 400, 1_000, Some(7))[2], 0);
    assert_eq!(
        table.max_in_flight(),
        30,
        "three of four upstreams with 8 slots, plus a quarter"
    );
}

// One misleading signal can make all upstreams look broken. Ejecting all of them would
// leave no upstream, and ejecting all but one would overload that one.
#[test]
fn a_bad_signal_does_not_eject_the_pool() {
    let table = table(6);
    for u in &table.upstreams()[..5] {
        for _ in 0..3 {
            u.attempt_started();
            u.attempt_finished(at(1_000), ms(5), AttemptOutcome::Failed);
        }
        assert!(u.is_ejected(at(1_500)));
    }
    // The choices end at 1.9 s, while all five are still ejected.
    let counts = pick_counts(&table, 400, 1_500, None);
    assert!(counts.iter().all(|c| *c > 0), "{counts:?}");
}

// Guards against an upstream that fails every request and still receives its share.
#[test]
fn a_failing_upstream_is_ejected_and_tried_again() {
    let table = table(6);
    let failing = &table.upstreams()[0];
    for _ in 0..3 {
        failing.attempt_started();
        failing.attempt_finished(at(1_000), ms(5), AttemptOutcome::Failed);
    }
    assert_eq!(pick_counts(&table, 300, 1_100, None)[0], 0);
    assert!(
        pick_counts(&table, 300, 2_100, None)[0] > 0,
        "it is tried again after one second"
    );
}

// When ejection always took three consecutive failures, each of nine instances saw one
// failed connection in two seconds to an upstream that was down, and each of these made a
// request lose its time.
#[test]
fn an_upstream_that_opens_no_connection_is_ejected_at_once() {
    let table = table(6);
    let unreachable = &table.upstreams()[0];
    unreachable.attempt_started();
    unreachable.attempt_finished(at(1_000), ms(300), AttemptOutcome::Unreachable);
    assert_eq!(pick_counts(&table, 300, 1_100, None)[0], 0);
    assert!(pick_counts(&table, 300, 2_100, None)[0] > 0);
}

// Guards against gray failures: an upstream answers all requests, but takes ten times as
// long as the others.
#[test]
fn a_slow_upstream_receives_fewer_requests() {
    let table = table(6);
    for (i, u) in table.upstreams().iter().enumerate() {
        for _ in 0..40 {
            u.attempt_started();
            u.attempt_finished(
                at(1_000),
                ms(if i == 0 { 200 } else { 20 }),
                AttemptOutcome::Answered,
            );
        }
    }
    let counts = pick_counts(&table, 600, 1_100, None);
    assert!(counts[0] * 4 < counts[1], "{counts:?}");
}

// Guards against all instances sending their requests to the one upstream that their
// reports show as idle.
#[test]
fn an_old_report_counts_less_than_a_fresh_one() {
    let upstream = Upstream::new(([127, 0, 0, 1], 1).into(), name("a"), MonoTime::ZERO);
    upstream.set_peer_load(PeerLoadReport {
        in_flight: 16,
        received: at(1_000),
    });
    let score = |now| upstream.score(now, 8, ms(10));
    assert!(score(at(1_000)) > score(at(2_000)));
    assert!(score(at(2_000)) > score(at(9_000)));
}

// Guards against prefixes moving between engines, which loses their caches.
#[test]
fn a_prefix_stays_with_its_upstream_until_that_leaves() {
    let table = table(8);
    let counts = pick_counts(&table, 100, 1_000, Some(42));
    let owner = counts.iter().position(|c| *c == 100).unwrap();
    table.upstreams()[owner].mark_leaving();
    let after = pick_counts(&table, 100, 2_000, Some(42));
    assert_eq!(after[owner], 0);
    assert!(
        after.contains(&100),
        "all requests move to one other upstream: {after:?}"
    );
}

// Guards against one popular prefix overloading an engine while the others are idle.
#[test]
fn a_popular_prefix_spreads_when_its_owner_is_busy() {
    let table = table(8);
    let owner = pick_counts(&table, 1, 1_000, Some(42))
        .iter()
        .position(|c| *c == 1)
        .unwrap();
    (0..10).for_each(|_| table.upstreams()[owner].attempt_started());
    assert_eq!(pick_counts(&table, 100, 2_000, Some(42))[owner], 0);
}

fn entry(id: u64, customer: u32, weight: u32, latest: u64) -> QueueEntry {
    QueueEntry {
        id: QueueEntryId(id),
        customer: CustomerKey::from_index(customer),
        weight,
        priority: Priority::Normal,
        latest_start: at(latest),
    }
}

// Guards against a burst of a large customer that fills the queue, so that the request of
// a small customer waits behind the whole burst.
#[test]
fn a_burst_delays_only_the_customer_that_sent_it() {
    let mut queue = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 1_000);
    for n in 0..50 {
        queue.request_slot(at(0), entry(n, 0, 1, 60_000), ms(10));
    }
    assert_eq!(
        queue.request_slot(at(0), entry(100, 1, 1, 60_000), ms(10)),
        SlotDecision::Queued
    );
    queue.release_slot();
    let first = queue.pop_ready();
    queue.release_slot();
    let second = queue.pop_ready();
    assert!(
        [first, second].contains(&Some(QueueEntryId(100))),
        "{first:?} {second:?}"
    );
}

// Guards against a queue in which all requests wait longer than their deadlines allow and
// the work of all upstreams is wasted. Such entries are rejected on arrival.
#[test]
fn entries_that_would_start_too_late_are_rejected() {
    let mut queue = AdmissionQueue::new(QueuePolicy::WeightedFair, 2, 1_000);
    let decisions: Vec<SlotDecision> = (0..200)
        .map(|n| queue.request_slot(at(0), entry(n, n as u32, 1, 500), ms(100)))
        .collect();
    let queued = decisions
        .iter()
        .filter(|d| **d == SlotDecision::Queued)
        .count();
    assert!((8..=10).contains(&queued), "{queued} queued");
    assert!(matches!(decisions[199], SlotDecision::WouldMiss(after) if after > ms(400)));
}

// Guards against rejecting a request only at its deadline although it could no longer meet
// it.
#[test]
fn an_entry_past_its_latest_start_leaves_the_queue_at_once() {
    let mut queue = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 10);
    queue.request_slot(at(0), entry(1, 0, 1, 100), ms(10));
    queue.request_slot(at(0), entry(2, 0, 1, 100), ms(10));
    assert_eq!(queue.pop_expired(at(100)), None);
    assert_eq!(queue.pop_expired(at(101)), Some(QueueEntryId(2)));
    queue.release_slot();
    assert_eq!(queue.pop_ready(), None);
}

// Guards against retry storms: a pool slows down, all callers retry, and the pool stays
// overloaded.
#[test]
fn retries_stay_within_their_budget() {
    let budget = RetryBudget::new(10, 5);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!(
        (100..=105).contains(&retries),
        "{retries} retries for 1000 requests"
    );
}
