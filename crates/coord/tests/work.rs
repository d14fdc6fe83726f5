//! Keys, deferred work, orders, upstreams and the life cycle.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jd_backing::KvError;
use jd_backing::Listed;
use jd_backing::ListedState;
use jd_coord::Answer;
use jd_coord::DrainTimes;
use jd_coord::EngineReport;
use jd_coord::FencingToken;
use jd_coord::IdempotencyKey;
use jd_coord::KeyDecision;
use jd_coord::Lifecycle;
use jd_coord::OrderDesk;
use jd_coord::Outbox;
use jd_coord::OutboxItem;
use jd_coord::RunAnswer;
use jd_coord::Runs;
use jd_coord::Settled;
use jd_coord::UpstreamList;
use jd_standins::FakeKv;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::RunState;
use test_case::test_case;

const ME: Incarnation = Incarnation::new(1);

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn request(number: u64) -> RequestId {
    RequestId { entry: ME, number }
}

fn whole(number: u64, bytes: usize) -> RunAnswer {
    RunAnswer::Whole(Answer {
        request: request(number),
        output: Bytes::from(vec![b'x'; bytes]),
    })
}

// A walker whose answer was lost asks again with the same key and must get the
// first answer, not a second permit.
#[test]
fn a_key_that_has_run_is_answered_from_memory() {
    let mut runs = Runs::new(ME);
    let key = IdempotencyKey::bound(runs.binding(at(1_000)), 1);
    let customer = name("walkers");
    assert_eq!(
        runs.decide(at(1_000), &customer, &key, request(1)),
        KeyDecision::Run
    );
    runs.ended(at(1_100), &customer, &key, request(1), &whole(1, 3));
    let again = runs.decide(at(1_200), &customer, &key, request(2));
    assert_eq!(again, KeyDecision::Replay(whole(1, 3)));
    assert_eq!(
        runs.decide(at(1_200), &name("rangers"), &key, request(3)),
        KeyDecision::Run
    );
}

// A refusal that said "not run" must leave the key free; one that said "may
// have run" must use it up for good.
#[test_case(RunState::NotRun, true)]
#[test_case(RunState::MayHaveRun, false)]
fn a_refused_key_is_free_only_if_it_has_not_run(run: RunState, free: bool) {
    let mut runs = Runs::new(ME);
    let key = IdempotencyKey::bound(runs.binding(at(0)), 1);
    let customer = name("walkers");
    runs.decide(at(0), &customer, &key, request(1));
    let refusal = Refusal {
        run,
        ..Refusal::not_run(RefusalKind::UpstreamFailed, "x")
    };
    runs.ended(
        at(1),
        &customer,
        &key,
        request(1),
        &RunAnswer::Refused(refusal),
    );
    assert_eq!(
        runs.decide(at(2), &customer, &key, request(2)) == KeyDecision::Run,
        free
    );
    assert!(!runs.has_never_run(at(2), &customer, &key));
}

// A lodgement runs twice because the instance made room and forgot the key.
// Answers may be dropped for room, keys may not while they would be accepted.
#[test]
fn room_is_made_by_dropping_answers_and_not_keys() {
    let mut runs = Runs::new(ME);
    let customer = name("walkers");
    let keys: Vec<IdempotencyKey> = (0..10)
        .map(|n| IdempotencyKey::bound(runs.binding(at(0)), n))
        .collect();
    for (n, key) in (0..).zip(&keys) {
        runs.decide(at(0), &customer, key, request(n));
        runs.ended(at(0), &customer, key, request(n), &whole(n, 1 << 20));
    }
    assert_eq!(runs.len(), 10);
    let first = runs.decide(at(1), &customer, &keys[0], request(99));
    assert_eq!(first, KeyDecision::Duplicate(request(0)));
}

// A key comes back long after its entry was dropped; taken for new, it would
// run a second time.
#[test]
fn a_key_of_an_epoch_that_is_over_never_runs() {
    let mut runs = Runs::new(ME);
    let customer = name("walkers");
    let old = IdempotencyKey::bound(runs.binding(at(0)), 1);
    runs.decide(at(0), &customer, &old, request(1));
    runs.ended(at(1), &customer, &old, request(1), &whole(1, 1));
    let later = at(400_000);
    let new = IdempotencyKey::bound(runs.binding(later), 2);
    runs.decide(later, &customer, &new, request(2));
    runs.ended(later, &customer, &new, request(2), &whole(2, 1));
    assert_eq!(runs.len(), 1, "the old epoch is dropped");
    assert_eq!(
        runs.decide(later, &customer, &old, request(3)),
        KeyDecision::Expired
    );
    assert!(!runs.has_never_run(later, &customer, &old));
}

fn item(number: u64) -> OutboxItem {
    OutboxItem {
        request: request(number),
        customer: name("buyers"),
        pipeline: name("enquiry-receipt"),
        body: "hello".to_owned(),
    }
}

// A receipt vanishes or is acknowledged twice over because the answer to the
// write was lost. The same batch is offered again and found already there.
#[test]
fn a_batch_whose_answer_was_lost_is_settled_once() {
    let mut kv = FakeKv::default();
    kv.set_faults(jd_standins::KvFaults {
        lose_answers: 1,
        ..Default::default()
    });
    let mut outbox = Outbox::new(ME, 8);
    assert!(outbox.add(item(1), at(3_000)));
    let first = outbox.next_call().unwrap();
    assert_eq!(outbox.on_reply(kv.apply(at(0), &first)), []);
    let second = outbox.next_call().unwrap();
    assert_eq!(first, second);
    let settled = outbox.on_reply(kv.apply(at(100), &second));
    assert_eq!(settled, [(request(1), Settled::Durable)]);
    assert_eq!(kv.writes(), 1);
}

// A caller is told that its receipt is safe while the store is down, or waits
// for ever. It must be told in time, and whether it may still be done.
#[test_case(KvError::Unavailable, Settled::Dropped)]
#[test_case(KvError::Lost, Settled::Unknown)]
fn an_outage_settles_items_in_time_and_truthfully(error: KvError, expected: Settled) {
    let mut outbox = Outbox::new(ME, 8);
    outbox.add(item(1), at(3_000));
    outbox.next_call().unwrap();
    assert_eq!(outbox.on_reply(Err(error)), []);
    assert_eq!(outbox.expired(at(2_000)), []);
    assert_eq!(outbox.expired(at(3_000)), [(request(1), expected)]);
    assert!(outbox.is_empty());
}

// The number of writes must not follow the number of requests.
#[test]
fn many_items_share_one_write_and_a_full_box_says_so() {
    let mut kv = FakeKv::default();
    let mut outbox = Outbox::new(ME, 100);
    let taken = (0..150).filter(|n| outbox.add(item(*n), at(3_000))).count();
    assert_eq!(taken, 100);
    let call = outbox.next_call().unwrap();
    assert!(outbox.next_call().is_none(), "one batch at a time");
    assert_eq!(outbox.on_reply(kv.apply(at(0), &call)).len(), 100);
    assert_eq!(kv.writes(), 1);
}

fn engine(n: u8, version: u32, loading: Option<u32>) -> EngineReport {
    let address = SocketAddr::from(([127, 0, 0, n], 1));
    EngineReport {
        address,
        model: name("jd-large"),
        version,
        loading,
    }
}

// A holder that was paused gives its old order to an engine that ignores the
// token. Whoever holds the duty must see the wrong load and order again.
#[test]
fn an_old_order_that_was_carried_out_is_corrected() {
    let wanted = BTreeMap::from([(name("jd-large"), 3)]);
    let mut desk = OrderDesk::new(4);
    let token = FencingToken(9);
    let stable: Vec<EngineReport> = (1..=8).map(|n| engine(n, 3, None)).collect();
    assert_eq!(desk.plan(at(0), token, &wanted, &stable), []);
    let mut changed = stable.clone();
    changed[2] = engine(3, 3, Some(2));
    let orders = desk.plan(at(500), token, &wanted, &changed);
    assert_eq!(orders.len(), 1);
    assert_eq!(
        (orders[0].address, orders[0].version),
        (changed[2].address, 3)
    );
    changed[2] = engine(3, 2, None);
    let again = desk.plan(at(20_000), token, &wanted, &changed);
    assert_eq!(
        again.len(),
        1,
        "it went back to version 2 and is ordered again"
    );
}

// A new version takes every engine out of service at once, or more than the
// store of weights bears.
#[test]
fn loads_are_paced_and_three_quarters_go_on_serving() {
    let wanted = BTreeMap::from([(name("jd-large"), 2)]);
    let mut engines: Vec<EngineReport> = (1..=8).map(|n| engine(n, 1, None)).collect();
    let mut desk = OrderDesk::new(3);
    for round in 0..40 {
        let now = at(round * 500);
        for o in desk.plan(now, FencingToken(1), &wanted, &engines) {
            let e = engines.iter_mut().find(|e| e.address == o.address).unwrap();
            e.loading = Some(o.version);
        }
        let away = engines.iter().filter(|e| e.loading.is_some()).count();
        assert!(away <= 2, "{away} of 8 engines are loading");
        let done = engines.iter_mut().find(|e| e.loading.is_some());
        if let Some(e) = done {
            e.version = e.loading.take().unwrap();
        }
    }
    assert!(engines.iter().all(|e| e.version == 2));
}

fn listed(n: u8, state: ListedState) -> Listed {
    let address = SocketAddr::from(([127, 0, 0, n], 1));
    Listed {
        address,
        pool: Some(name("engines")),
        hall: name("a"),
        state,
    }
}

fn live(count: u8) -> Vec<Listed> {
    (1..=count).map(|n| listed(n, ListedState::Live)).collect()
}

// An upstream says that it is leaving, the lagging list goes on saying "live",
// and it is given new work again.
#[test]
fn a_hint_of_leaving_stands_against_a_lagging_list() {
    let mut list = UpstreamList::default();
    list.read(at(0), &live(3));
    let address = live(1)[0].address;
    assert!(list.hint(at(100), address));
    list.read(at(2_000), &live(3));
    assert!(list.entries()[0].leaving, "the list lags");
    let mut leaving = live(3);
    leaving[0].state = ListedState::Leaving;
    list.read(at(5_000), &leaving);
    list.read(at(8_000), &live(3));
    assert!(
        !list.entries()[0].leaving,
        "it left and came back as another life"
    );
    assert_eq!(list.entries()[0].since, at(8_000));
}

// The list is wrong for a moment and half of a pool is gone.
#[test]
fn a_list_that_loses_most_at_once_is_not_believed_at_once() {
    let mut list = UpstreamList::default();
    list.read(at(0), &live(8));
    list.read(at(1_000), &live(2));
    list.read(at(10_000), &live(2));
    assert_eq!(
        list.entries().len(),
        8,
        "six missing at once are not believed"
    );
    list.read(at(11_000), &live(8));
    list.read(at(12_000), &live(7));
    list.read(at(18_000), &live(7));
    assert_eq!(list.entries().len(), 7, "one missing for 6 s is gone");
}

const TIMES: DrainTimes = DrainTimes {
    lifetime: Duration::from_secs(5),
    stale_after: Duration::from_secs(3),
};

// A stop cuts a long stream, or an answer given just before it leads nowhere.
#[test]
fn a_stop_waits_for_answers_given_and_for_work_in_flight() {
    let serving = Lifecycle::begin().configured();
    let withdrawn = serving.stop(at(0), TIMES);
    let still = withdrawn.tick(at(7_900), 0);
    assert!(
        still.takes_work(),
        "an answer given elsewhere may still name it"
    );
    let draining = still.tick(at(8_000), 1);
    assert!(!draining.takes_work());
    let held = draining.tick(at(1_000_000), 1);
    assert_eq!(
        held.state(),
        jd_types::MemberState::Draining,
        "no timer cuts work off"
    );
    assert_eq!(
        held.tick(at(1_000_001), 0).state(),
        jd_types::MemberState::Stopped
    );
}

// A second signal must not cut requests short either.
#[test]
fn a_second_stop_skips_the_wait_and_not_the_work() {
    let hurried = Lifecycle::begin()
        .configured()
        .stop(at(0), TIMES)
        .stop(at(1), TIMES);
    assert!(!hurried.takes_work());
    assert_eq!(
        hurried.tick(at(2), 3).state(),
        jd_types::MemberState::Draining
    );
}
