//! Which parts of prompts are found to crash upstreams.

mod replay;

use test_case::test_case;

use crate::replay::Replay;
use crate::replay::Run;
use crate::replay::fresh;
use crate::replay::part;

/// The part that crashes upstreams, and harmless ones.
const BAD: u64 = 0xbad;
const FIRST: u64 = 1;
const OTHER: u64 = 2;
/// The users' bound on the time after the fifth crash.
const KNOWN_WITHIN: u64 = 3_000;

/// Different requests share a part that crashes upstreams, up to five within a second, so that
/// most runs began before the crash before. The part is found in time, and the first part, which
/// sound requests share, is not.
#[test_case(1_200 ; "one after the other")]
#[test_case(180 ; "five within a second")]
#[test_case(110 ; "five within half a second")]
fn a_part_that_crashes_upstreams_is_found_in_time(gap: u64) {
    let mut replay = Replay::default();
    for n in 0..5 {
        let ms = 2_000 + n * gap;
        replay.crash(ms, &[fresh(&[FIRST, BAD]), fresh(&[FIRST, BAD])]);
        replay.sound("a", &[FIRST, OTHER], ms + 50);
    }
    let fifth = 2_000 + 4 * gap;
    replay.advance(fifth + KNOWN_WITHIN - 500);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
}

/// Zones lose power several times while the parts of everybody's prompts are at each upstream, some
/// of them just answered. Crashes of one moment count once, and sound runs in between clear them.
#[test]
fn the_parts_of_everybody_are_not_found_after_losses_of_power() {
    let mut replay = Replay::default();
    for loss in 0..6 {
        let ms = 2_000 + loss * 3_000;
        for upstream in 0..5 {
            replay.crash(
                ms + upstream * 4,
                &[fresh(&[FIRST, OTHER]), fresh(&[FIRST, 40 + loss])],
            );
        }
        replay.sound("a", &[FIRST, OTHER], ms + 1_500);
    }
    replay.advance(40_000);
    assert_eq!(replay.found, []);
}

/// A single loss of power ends five upstreams, and nothing runs after it.
#[test]
fn crashes_of_one_moment_find_no_part() {
    let mut replay = Replay::default();
    for upstream in 0..9 {
        replay.crash(2_000 + upstream * 8, &[fresh(&[FIRST, OTHER])]);
    }
    replay.advance(20_000);
    assert_eq!(replay.found, []);
}

/// A part was sound until now: runs that began before the first crash go on for seconds. They clear
/// it of nothing.
#[test]
fn sound_runs_that_began_before_a_crash_do_not_clear_it() {
    let mut replay = Replay::default();
    replay.sound("a", &[FIRST, BAD], 1_000);
    for n in 0..5 {
        let ms = 2_000 + n * 700;
        replay.crash(ms, &[fresh(&[FIRST, BAD])]);
        replay.sound("a", &[FIRST, BAD], 1_900);
        replay.sound("a", &[FIRST, OTHER], ms + 50);
    }
    replay.advance(2_000 + 4 * 700 + KNOWN_WITHIN - 500);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
}

/// Runs that wait at an upstream, and were sent before the crash before, were broken off by what
/// crashed it.
#[test]
fn a_part_whose_answers_had_not_begun_counts_one_crash_after_the_other() {
    let mut replay = Replay::default();
    let waiting = |sent_before| Run {
        answered_before: None,
        sent_before,
        ..fresh(&[OTHER])
    };
    for n in 0..6 {
        replay.crash(3_000 + n * 300, &[waiting(2_500)]);
    }
    replay.advance(9_000);
    assert_eq!(replay.found, []);
}

/// Two parts crash upstreams at the same time, in requests of their own, and both are found.
#[test]
fn two_parts_at_once_are_both_found() {
    let mut replay = Replay::default();
    for n in 0..8 {
        let ms = 2_000 + n * 400;
        let one = [FIRST, BAD + n % 2];
        replay.crash(ms, &[fresh(&one), fresh(&[FIRST, OTHER])]);
        replay.sound("a", &[FIRST, OTHER], ms + 60);
    }
    replay.advance(9_000);
    replay.held.sort_unstable();
    let mut both = [part("a", BAD).of_customer, part("a", BAD + 1).of_customer];
    both.sort_unstable();
    assert_eq!(replay.held, both);
}

/// A part is the first of its prompts, and a harmless one is always beside it there, with sound runs
/// of its own. The first part is found.
#[test]
fn a_first_part_that_crashes_upstreams_is_found() {
    let mut replay = Replay::default();
    for n in 0..5 {
        let ms = 2_000 + n * 600;
        replay.crash(ms, &[fresh(&[BAD, OTHER])]);
        replay.sound("a", &[FIRST, OTHER], ms + 100);
    }
    replay.advance(7_500);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
}

/// A harmless part is at every crash beside the one that causes them and has no sound runs in
/// between; it had some before. The other one is found.
#[test]
fn of_two_parts_that_are_always_together_the_one_seen_sound_is_spared() {
    let mut replay = Replay::default();
    replay.sound("a", &[FIRST, OTHER], 1_000);
    for n in 0..5 {
        replay.crash(2_000 + n * 600, &[fresh(&[BAD, OTHER])]);
    }
    replay.advance(7_500);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
}

/// A customer whose requests crash upstreams names a part of another customer's prompts in them.
/// That customer is not refused, though its own runs are rare.
#[test]
fn crashes_of_one_customer_hold_no_part_of_another() {
    let mut replay = Replay::default();
    replay.sound("b", &[FIRST], 1_000);
    for n in 0..9 {
        replay.crash(2_000 + n * 500, &[fresh(&[OTHER, BAD + n])]);
    }
    replay.advance(12_000);
    assert_eq!(replay.held, [part("a", OTHER).of_customer]);
}

/// A part crashes upstreams in requests of several customers: it is found among all.
#[test]
fn a_part_that_crashes_upstreams_for_all_customers_is_found_for_all() {
    let mut replay = Replay::default();
    for n in 0..5 {
        let ms = 2_000 + n * 500;
        let run = Run {
            customer: ["a", "b", "c"][n as usize % 3],
            ..fresh(&[FIRST, BAD])
        };
        replay.crash(ms, &[run]);
        for customer in ["a", "b", "c"] {
            replay.sound(customer, &[FIRST, OTHER], ms + 60);
        }
    }
    replay.advance(4_000 + KNOWN_WITHIN - 500);
    assert_eq!(replay.held, [part("a", BAD).of_all]);
}

/// After a part was found for one customer, one crash of another customer with it suffices.
#[test]
fn one_crash_of_a_second_customer_holds_a_part_for_all() {
    let mut replay = Replay::default();
    for n in 0..4 {
        replay.crash(2_000 + n * 600, &[fresh(&[FIRST, BAD])]);
        replay.sound("a", &[FIRST, OTHER], 2_060 + n * 600);
    }
    replay.advance(7_000);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
    let other = Run {
        customer: "b",
        ..fresh(&[FIRST, BAD])
    };
    replay.crash(7_000, &[other]);
    replay.advance(7_600);
    assert_eq!(replay.held, [part("a", BAD).of_all]);
}

/// Thousands of different parts are at crashes. The evidence is bounded, and the part that causes
/// them is found.
#[test]
fn a_part_is_found_among_ten_thousand_different_ones() {
    let mut replay = Replay::default();
    for n in 0..5 {
        let ms = 2_000 + n * 600;
        let many: Vec<Vec<u64>> = (0..100)
            .map(|k| (0..20).map(|p| 10_000 + n * 2_000 + k * 20 + p).collect())
            .collect();
        let mut runs: Vec<Run<'_>> = many
            .iter()
            .map(|shared| Run {
                answered_before: None,
                ..fresh(shared)
            })
            .collect();
        runs.push(fresh(&[FIRST, BAD]));
        replay.crash(ms, &runs);
        replay.sound("a", &[FIRST, OTHER], ms + 60);
    }
    replay.advance(7_500);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
}

/// Two parts crash upstreams, at first both at the same ones. The second one explains all crashes of
/// the first but one, which does not release it.
#[test]
fn a_part_with_a_crash_of_its_own_is_not_released_for_another() {
    let mut replay = Replay::default();
    replay.sound("b", &[FIRST], 1_000);
    let (one, other) = (part("a", BAD).of_customer, part("a", BAD + 1).of_customer);
    replay.crash(2_000, &[fresh(&[BAD])]);
    replay.crash(2_600, &[fresh(&[BAD]), fresh(&[BAD + 1])]);
    replay.crash(3_200, &[fresh(&[BAD]), fresh(&[BAD + 1])]);
    replay.advance(5_000);
    assert_eq!(replay.held, [one]);
    for n in 0..3 {
        replay.crash(5_000 + n * 600, &[fresh(&[BAD + 1])]);
    }
    replay.advance(9_000);
    assert!(replay.held.contains(&other), "{:?}", replay.held);
    assert!(replay.held.contains(&one), "{:?}", replay.held);
}

/// A part is released because another one explains all of its crashes, and then crashes an upstream
/// by itself: one crash suffices to hold it again, without a wait.
#[test]
fn one_crash_holds_a_released_part_again() {
    let mut replay = Replay::default();
    replay.sound("b", &[FIRST], 1_000);
    let one = part("a", BAD).of_customer;
    for n in 0..4 {
        replay.crash(2_000 + n * 600, &[fresh(&[BAD]), fresh(&[BAD + 1])]);
    }
    replay.advance(5_000);
    let first = replay.held.clone();
    assert_eq!(first.len(), 1);
    let (first, other) = match first[0] == one {
        true => (BAD, BAD + 1),
        false => (BAD + 1, BAD),
    };
    for n in 0..3 {
        replay.crash(5_000 + n * 600, &[fresh(&[other])]);
    }
    replay.advance(9_000);
    assert_eq!(replay.held, [part("a", other).of_customer]);
    replay.crash(9_000, &[fresh(&[first])]);
    replay.advance(9_400);
    let again = part("a", first).of_customer;
    assert!(replay.held.contains(&again), "{:?}", replay.held);
}

/// Upstreams crash with everything that they begin to answer, as after a bad release, and all prompts
/// have the same first part. It makes no difference and is not held, and neither are the others.
#[test]
fn a_part_that_all_runs_have_is_not_found() {
    let mut replay = Replay::default();
    replay.sound("a", &[FIRST, OTHER], 1_000);
    for n in 0..20 {
        let ms = 2_000 + n * 150;
        replay.crash(ms, &[fresh(&[FIRST, 100 + n]), fresh(&[FIRST, 200 + n])]);
    }
    replay.advance(9_000);
    assert_eq!(replay.found, []);
}

/// Upstreams live for a fraction of a second, so that nothing is sound meanwhile: two parts crash them.
/// The first part of their prompts, which sound runs had before, is at all of these crashes. The two
/// parts are found, and it is not.
#[test]
fn parts_never_seen_sound_are_found_before_a_part_of_many_prompts() {
    let mut replay = Replay::default();
    replay.sound("a", &[FIRST, OTHER], 1_000);
    replay.sound("a", &[OTHER], 1_100);
    for n in 0..8 {
        let one = [FIRST, BAD + n % 2];
        replay.crash(2_000 + n * 150, &[fresh(&one), fresh(&[FIRST, 300 + n])]);
    }
    replay.advance(9_000);
    replay.held.sort_unstable();
    let mut both = [part("a", BAD).of_customer, part("a", BAD + 1).of_customer];
    both.sort_unstable();
    assert_eq!(replay.held, both);
}

/// A part was sound until now and crashes upstreams. A request that is sent again and again is broken
/// off at three of these crashes, at each of them at another point of its answer: the part is found.
#[test]
fn a_request_that_others_broke_off_is_not_found_before_a_part_that_was_sound() {
    let mut replay = Replay::default();
    replay.sound("a", &[FIRST, BAD], 1_000);
    for n in 0..6 {
        let ms = 2_000 + n * 500;
        let again = Run {
            request: Some(777),
            answered_before: Some(40 + n * 100),
            ..fresh(&[FIRST, OTHER])
        };
        match n % 2 {
            0 => replay.crash(ms, &[fresh(&[FIRST, BAD]), again]),
            _ => replay.crash(ms, &[fresh(&[FIRST, BAD])]),
        }
        replay.sound("b", &[FIRST, OTHER], ms + 50);
    }
    replay.advance(4_000 + KNOWN_WITHIN - 500);
    assert_eq!(replay.held, [part("a", BAD).of_customer]);
}

/// Guards against a request that crashes a fourth upstream because a part that only its own prompt has
/// was always there with it.
#[test]
fn a_request_is_found_after_three_crashes_though_a_part_is_always_with_it() {
    let mut replay = Replay::default();
    replay.sound("b", &[1], 500);
    for n in 0..3 {
        let bad = Run {
            request: Some(7),
            ..fresh(&[1, 5])
        };
        replay.crash(1_000 + n * 800, &[bad]);
    }
    replay.advance(4_500);
    assert_eq!(replay.held, [jd_serving::Content::from_number(7)]);
}
