//! Which bodies are kept in memory, over orders of events.

#![allow(clippy::unwrap_used, clippy::panic)]

use jd_policy::BODY_STALL_TIME;
use jd_policy::BodyBudget;
use jd_policy::BodyGrant;
use jd_policy::BodyKey;
use jd_types::MonoTime;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::strategy::Just;

const KB: usize = 1 << 10;
const CAPACITY: usize = 1_024 * KB;
/// What a large body takes at a time.
const PART: usize = 64 * KB;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

/// Fills the part of a budget that large bodies may use, with bodies of two parts each that begin 1 ms
/// apart.
fn filled() -> (BodyBudget, Vec<BodyKey>) {
    let mut budget = BodyBudget::new(CAPACITY);
    let mut keys = Vec::new();
    for n in 0..6 {
        let key = budget.begin(at(n));
        for _ in 0..2 {
            assert_eq!(budget.take(key, PART, at(n)), BodyGrant::Granted);
            budget.received(key, PART, at(n));
        }
        keys.push(key);
    }
    (budget, keys)
}

fn stalled_at() -> MonoTime {
    at(10) + BODY_STALL_TIME
}

/// Guards against large bodies that take the memory of small ones.
#[test]
fn large_bodies_leave_memory_for_small_ones() {
    let (mut budget, _) = filled();
    let large = budget.begin(at(6));
    assert_eq!(budget.take(large, PART + 1, at(6)), BodyGrant::Refused);
    for _ in 0..CAPACITY / 4 / PART {
        let small = budget.begin(at(6));
        assert_eq!(budget.take(small, PART, at(6)), BodyGrant::Granted);
    }
    assert_eq!(budget.used(), CAPACITY);
    let small = budget.begin(at(6));
    assert_eq!(budget.take(small, 1, at(6)), BodyGrant::Refused);
}

/// Guards against bodies that arrive and lose their memory to others.
#[test]
fn bodies_that_make_progress_keep_their_memory() {
    let (mut budget, keys) = filled();
    for key in keys {
        budget.received(key, 16 * KB, stalled_at());
    }
    let other = budget.begin(stalled_at());
    assert_eq!(
        budget.take(other, 2 * PART, stalled_at()),
        BodyGrant::Refused
    );
}

/// Guards against bodies that stall and keep all others out, also if they drip.
#[test]
fn the_body_that_has_stalled_longest_gives_its_memory_back() {
    let (mut budget, keys) = filled();
    budget.received(keys[0], 16 * KB, at(20));
    for ms in 100..1_000 {
        budget.received(keys[1], 1, at(ms));
    }
    let other = budget.begin(stalled_at());
    let grant = budget.take(other, 2 * PART, stalled_at());
    assert_eq!(grant, BodyGrant::Wait(vec![keys[1]]));
    // It is told once, and the memory is not granted before it is given back.
    let grant = budget.take(other, 2 * PART, stalled_at());
    assert_eq!(grant, BodyGrant::Wait(Vec::new()));
    assert_eq!(budget.take(keys[1], PART, stalled_at()), BodyGrant::Refused);
    budget.give_back(2 * PART);
    budget.end(keys[1]);
    assert_eq!(
        budget.take(other, 2 * PART, stalled_at()),
        BodyGrant::Granted
    );
}

/// Guards against several bodies that wait for the memory of one.
#[test]
fn memory_that_is_given_back_serves_one_body() {
    let (mut budget, keys) = filled();
    let others = [0, 1].map(|_| budget.begin(stalled_at()));
    let grants = others.map(|key| budget.take(key, 2 * PART, stalled_at()));
    assert_eq!(grants[0], BodyGrant::Wait(vec![keys[0]]));
    // The first one has not taken the memory, so that nothing more has to be told yet.
    assert_eq!(grants[1], BodyGrant::Wait(Vec::new()));
    budget.give_back(2 * PART);
    budget.end(keys[0]);
    assert_eq!(
        budget.take(others[0], 2 * PART, stalled_at()),
        BodyGrant::Granted
    );
    let grant = budget.take(others[1], 2 * PART, stalled_at());
    assert_eq!(grant, BodyGrant::Wait(vec![keys[1]]));
}

/// Guards against complete bodies, whose requests may run, that are told to give their memory back.
#[test]
fn complete_bodies_keep_their_memory() {
    let (mut budget, keys) = filled();
    for key in keys {
        budget.end(key);
    }
    let other = budget.begin(stalled_at());
    assert_eq!(
        budget.take(other, 2 * PART, stalled_at()),
        BodyGrant::Refused
    );
    budget.give_back(2 * PART);
    assert_eq!(
        budget.take(other, 2 * PART, stalled_at()),
        BodyGrant::Granted
    );
}

/// What happens to one of the bodies.
#[derive(Debug, Clone, Copy)]
enum Event {
    Begin,
    Take(usize, usize),
    Receive(usize, usize),
    End(usize),
    GiveBack(usize),
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = proptest::prop_oneof![
        Just(Event::Begin),
        (0..8_usize, 1..=PART).prop_map(|(n, bytes)| Event::Take(n, bytes)),
        (0..8_usize, 1..PART).prop_map(|(n, bytes)| Event::Receive(n, bytes)),
        (0..8_usize).prop_map(Event::End),
        (0..8_usize).prop_map(Event::GiveBack),
        (0..2_000_u64).prop_map(Event::Pass),
    ];
    prop::collection::vec(event, 0..300)
}

proptest! {
    /// Guards against memory that is granted beyond the capacity, or lost, in any order of events.
    #[test]
    fn memory_is_never_exceeded_and_never_lost(events in events()) {
        let mut budget = BodyBudget::new(8 * PART);
        let mut now = at(0);
        let mut unfinished: Vec<(BodyKey, usize)> = Vec::new();
        let mut complete: Vec<usize> = Vec::new();
        for event in events {
            let count = unfinished.len();
            match event {
                Event::Begin => unfinished.push((budget.begin(now), 0)),
                Event::Pass(ms) => now = now + std::time::Duration::from_millis(ms),
                Event::GiveBack(n) if !complete.is_empty() => {
                    budget.give_back(complete.swap_remove(n % complete.len()));
                }
                _ if count == 0 => {}
                Event::Take(n, bytes) => {
                    let (key, taken) = &mut unfinished[n % count];
                    if budget.take(*key, bytes, now) == BodyGrant::Granted {
                        *taken += bytes;
                    }
                }
                Event::Receive(n, bytes) => budget.received(unfinished[n % count].0, bytes, now),
                Event::End(n) => {
                    let (key, taken) = unfinished.swap_remove(n % count);
                    budget.end(key);
                    complete.push(taken);
                }
                Event::GiveBack(_) => {}
            }
            let held: usize = unfinished.iter().map(|u| u.1).chain(complete.iter().copied()).sum();
            assert_eq!(budget.used(), held);
            assert!(held <= budget.capacity());
        }
    }
}
