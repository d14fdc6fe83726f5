//! Which answers are kept in memory, over orders of events.

#![allow(clippy::unwrap_used, clippy::panic)]

use jd_policy::AnswerBudget;
use jd_policy::AnswerEnd;
use jd_policy::AnswerGrant;
use jd_policy::AnswerKey;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::strategy::Just;

const KB: usize = 1 << 10;
const SMALL: usize = 64 * KB;
const CAPACITY: usize = 1_600 * KB;
/// What large answers may use of it.
const LARGE: usize = CAPACITY / 4 * 3;

/// Adds an answer that holds `bytes`.
fn answer(budget: &mut AnswerBudget, bytes: usize) -> AnswerKey {
    let key = budget.begin();
    assert_eq!(budget.take(key, bytes), AnswerGrant::Granted);
    key
}

/// Guards against answers that never end and take the memory of sound small ones.
#[test]
fn large_answers_leave_memory_for_small_ones() {
    let mut budget = AnswerBudget::new(CAPACITY);
    let endless = answer(&mut budget, LARGE);
    let grant = budget.take(endless, KB);
    assert_eq!(grant, AnswerGrant::Refused(AnswerEnd::Largest));
    answer(&mut budget, SMALL);
}

/// Guards against sound answers that end because larger ones hold the memory.
#[test]
fn the_largest_unfinished_answer_gives_its_memory_back() {
    let mut budget = AnswerBudget::new(CAPACITY);
    let largest = answer(&mut budget, 600 * KB);
    let other = answer(&mut budget, 500 * KB);
    let asking = answer(&mut budget, 50 * KB);
    let grant = budget.take(asking, 100 * KB);
    assert_eq!(grant, AnswerGrant::Wait(vec![largest]));
    // It is told once, and nothing is granted before it has returned its memory.
    let grant = budget.take(asking, 100 * KB);
    assert_eq!(grant, AnswerGrant::Wait(Vec::new()));
    let refused = AnswerGrant::Refused(AnswerEnd::Largest);
    assert_eq!(budget.take(largest, 1), refused);
    budget.abandon(largest);
    assert_eq!(budget.take(asking, 100 * KB), AnswerGrant::Granted);
    assert_eq!(budget.take(other, KB), AnswerGrant::Granted);
}

/// Guards against answers that are complete, and whose runs would be lost.
#[test]
fn finished_answers_keep_their_memory() {
    let mut budget = AnswerBudget::new(CAPACITY);
    let first = answer(&mut budget, LARGE - 100 * KB);
    let held = budget.finish(first);
    let second = answer(&mut budget, 100 * KB);
    // Not the fault of its upstream.
    let refused = AnswerGrant::Refused(AnswerEnd::NoRoom);
    assert_eq!(budget.take(second, KB), refused);
    budget.give_back(held);
    assert_eq!(budget.take(second, KB), AnswerGrant::Granted);
}

/// Guards against small answers without room that count against their upstreams.
#[test]
fn a_small_answer_without_room_is_not_the_largest() {
    let mut budget = AnswerBudget::new(CAPACITY);
    for _ in 0..CAPACITY / SMALL {
        answer(&mut budget, SMALL);
    }
    let small = budget.begin();
    let refused = AnswerGrant::Refused(AnswerEnd::NoRoom);
    assert_eq!(budget.take(small, KB), refused);
}

/// Guards against memory of events that have ended, and that nothing returns.
#[test]
fn what_is_passed_on_returns_its_memory() {
    let mut budget = AnswerBudget::new(CAPACITY);
    let stream = answer(&mut budget, LARGE);
    budget.shrink(stream, 2 * KB);
    assert_eq!(budget.used(), 2 * KB);
    answer(&mut budget, LARGE - 2 * KB);
}

/// What happens to one of the answers.
#[derive(Debug, Clone, Copy)]
enum Event {
    Begin,
    Take(usize, usize),
    Shrink(usize, usize),
    Finish(usize),
    Abandon(usize),
    GiveBack(usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = proptest::prop_oneof![
        Just(Event::Begin),
        (0..8_usize, 1..=400 * KB).prop_map(|(n, bytes)| Event::Take(n, bytes)),
        (0..8_usize, 0..=400 * KB).prop_map(|(n, bytes)| Event::Shrink(n, bytes)),
        (0..8_usize).prop_map(Event::Finish),
        (0..8_usize).prop_map(Event::Abandon),
        (0..8_usize).prop_map(Event::GiveBack),
    ];
    prop::collection::vec(event, 0..300)
}

proptest! {
    /// Guards against memory that is granted beyond the capacity, lost, or waited for although no
    /// answer returns any, in any order of events.
    #[test]
    fn memory_is_never_exceeded_and_never_lost(events in events()) {
        let mut budget = AnswerBudget::new(CAPACITY);
        let mut unfinished: Vec<(AnswerKey, usize)> = Vec::new();
        let mut revoked: Vec<AnswerKey> = Vec::new();
        let mut finished: Vec<usize> = Vec::new();
        for event in events {
            let count = unfinished.len();
            match event {
                Event::Begin => unfinished.push((budget.begin(), 0)),
                Event::GiveBack(n) if !finished.is_empty() => {
                    budget.give_back(finished.swap_remove(n % finished.len()));
                }
                _ if count == 0 => {}
                Event::Take(n, bytes) => {
                    let (key, taken) = unfinished[n % count];
                    match budget.take(key, bytes) {
                        AnswerGrant::Granted => unfinished[n % count].1 += bytes,
                        AnswerGrant::Wait(told) => {
                            for told in &told {
                                let told = unfinished.iter().find(|u| u.0 == *told);
                                assert!(told.unwrap().1 > taken + bytes);
                            }
                            revoked.extend(told);
                            assert!(!revoked.is_empty());
                        }
                        AnswerGrant::Refused(_) => {}
                    }
                }
                Event::Shrink(n, bytes) => {
                    let (key, taken) = &mut unfinished[n % count];
                    budget.shrink(*key, bytes);
                    *taken = bytes.min(*taken);
                }
                Event::Finish(n) => {
                    let (key, taken) = unfinished.swap_remove(n % count);
                    revoked.retain(|r| *r != key);
                    assert_eq!(budget.finish(key), taken);
                    finished.push(taken);
                }
                Event::Abandon(n) => {
                    let (key, _) = unfinished.swap_remove(n % count);
                    revoked.retain(|r| *r != key);
                    budget.abandon(key);
                }
                Event::GiveBack(_) => {}
            }
            let held: usize = unfinished.iter().map(|u| u.1).chain(finished.iter().copied()).sum();
            assert_eq!(budget.used(), held);
            assert!(held <= budget.capacity());
        }
    }
}
