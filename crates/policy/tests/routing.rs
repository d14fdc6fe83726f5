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

fn hall(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn table(count: u8) -> PoolTable {
    let upstream = |n| {
        let address = SocketAddr::from(([127, 0, 0, n], 1));
        Arc::new(Upstream::new(address, hall("a"), MonoTime::ZERO))
    };
    PoolTable::new((1..=count).map(upstream).collect(), 8, &hall("a"))
}

/// How often each upstream is chosen out of `picks`, each ending at once after
/// what `took` says for it.
fn spread(table: &PoolTable, picks: u32, from: u64, affinity: Option<u64>) -> Vec<u32> {
    let mut counts = vec![0; table.upstreams().len()];
    let mut rng = Rng::with_seed(1);
    let near = hall("a");
    for n in 0..picks {
        let req = PickRequest {
            zone: &near,
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

// Work goes on arriving at an upstream that said it is leaving.
#[test]
fn a_leaving_upstream_gets_nothing_new() {
    let table = table(4);
    table.upstreams()[2].mark_leaving();
    assert_eq!(spread(&table, 400, 1_000, None)[2], 0);
    assert_eq!(spread(&table, 400, 1_000, Some(7))[2], 0);
    assert_eq!(
        table.max_in_flight(),
        30,
        "three of four with 8 slots, and a quarter more"
    );
}

// One bad signal makes every upstream look broken; ejecting them all serves
// nobody, and ejecting all but one overloads that one.
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
    // Until 1.9 s, while all five are still ejected.
    let counts = spread(&table, 400, 1_500, None);
    assert!(counts.iter().all(|c| *c > 0), "{counts:?}");
}

// One upstream fails everything it gets, and gets its part all the same.
#[test]
fn a_failing_upstream_is_ejected_and_comes_back() {
    let table = table(6);
    let bad = &table.upstreams()[0];
    for _ in 0..3 {
        bad.attempt_started();
        bad.attempt_finished(at(1_000), ms(5), AttemptOutcome::Failed);
    }
    assert_eq!(spread(&table, 300, 1_100, None)[0], 0);
    assert!(
        spread(&table, 300, 2_100, None)[0] > 0,
        "it is tried again after a second"
    );
}

// A dark upstream opens no connection. Of three failures in a row that it took to
// leave it alone an instance of nine saw one in two seconds, and each cost a
// request its time.
#[test]
fn an_upstream_that_opens_no_connection_is_ejected_at_once() {
    let table = table(6);
    let dark = &table.upstreams()[0];
    dark.attempt_started();
    dark.attempt_finished(at(1_000), ms(300), AttemptOutcome::Unreachable);
    assert_eq!(spread(&table, 300, 1_100, None)[0], 0);
    assert!(spread(&table, 300, 2_100, None)[0] > 0);
}

// A grey failure: an upstream answers everything, ten times as slowly.
#[test]
fn a_slow_upstream_gets_less() {
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
    let counts = spread(&table, 600, 1_100, None);
    assert!(counts[0] * 4 < counts[1], "{counts:?}");
}

// An upstream looked idle in everybody's report, and everybody sent it all.
#[test]
fn an_old_report_counts_less_than_a_fresh_one() {
    let upstream = Upstream::new(([127, 0, 0, 1], 1).into(), hall("a"), MonoTime::ZERO);
    upstream.set_peer_load(PeerLoadReport {
        in_flight: 16,
        received: at(1_000),
    });
    let score = |now| upstream.score(now, 8, ms(10));
    assert!(score(at(1_000)) > score(at(2_000)));
    assert!(score(at(2_000)) > score(at(9_000)));
}

// Engines lose what they have cached because prefixes move about.
#[test]
fn a_prefix_stays_with_its_upstream_until_that_leaves() {
    let table = table(8);
    let counts = spread(&table, 100, 1_000, Some(42));
    let owner = counts.iter().position(|c| *c == 100).unwrap();
    table.upstreams()[owner].mark_leaving();
    let after = spread(&table, 100, 2_000, Some(42));
    assert_eq!(after[owner], 0);
    assert!(
        after.contains(&100),
        "all of it moves to one other: {after:?}"
    );
}

// One popular prefix overloads one engine while the others are idle.
#[test]
fn a_popular_prefix_spreads_when_its_owner_is_busy() {
    let table = table(8);
    let owner = spread(&table, 1, 1_000, Some(42))
        .iter()
        .position(|c| *c == 1)
        .unwrap();
    (0..10).for_each(|_| table.upstreams()[owner].attempt_started());
    assert_eq!(spread(&table, 100, 2_000, Some(42))[owner], 0);
}

fn ticket(id: u64, customer: u32, weight: u32, latest: u64) -> QueueEntry {
    QueueEntry {
        id: QueueEntryId(id),
        customer: CustomerKey::from_index(customer),
        weight,
        priority: Priority::Normal,
        latest_start: at(latest),
    }
}

// A large customer's burst fills the queue and a small one's walker waits
// behind all of it.
#[test]
fn a_burst_delays_only_its_own_sender() {
    let mut gate = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 1_000);
    for n in 0..50 {
        gate.request_slot(at(0), ticket(n, 0, 1, 60_000), ms(10));
    }
    assert_eq!(
        gate.request_slot(at(0), ticket(100, 1, 1, 60_000), ms(10)),
        SlotDecision::Queued
    );
    gate.release_slot();
    let first = gate.pop_ready();
    gate.release_slot();
    let second = gate.pop_ready();
    assert!(
        [first, second].contains(&Some(QueueEntryId(100))),
        "{first:?} {second:?}"
    );
}

// Everybody waits longer than their deadlines allow and all upstreams work for
// nothing. What would start too late is refused on arrival, at once.
#[test]
fn a_queue_longer_than_the_deadlines_refuses() {
    let mut gate = AdmissionQueue::new(QueuePolicy::WeightedFair, 2, 1_000);
    let offers: Vec<SlotDecision> = (0..200)
        .map(|n| gate.request_slot(at(0), ticket(n, n as u32, 1, 500), ms(100)))
        .collect();
    let queued = offers
        .iter()
        .filter(|o| **o == SlotDecision::Queued)
        .count();
    assert!((8..=10).contains(&queued), "{queued} wait");
    assert!(matches!(offers[199], SlotDecision::WouldMiss(after) if after > ms(400)));
}

// A refusal is held back until the deadline although nothing can help any more.
#[test]
fn a_ticket_past_its_latest_start_leaves_at_once() {
    let mut gate = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 10);
    gate.request_slot(at(0), ticket(1, 0, 1, 100), ms(10));
    gate.request_slot(at(0), ticket(2, 0, 1, 100), ms(10));
    assert_eq!(gate.pop_expired(at(100)), None);
    assert_eq!(gate.pop_expired(at(101)), Some(QueueEntryId(2)));
    gate.release_slot();
    assert_eq!(gate.pop_ready(), None);
}

// A pool slows down, everybody tries again, and it stays down.
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
