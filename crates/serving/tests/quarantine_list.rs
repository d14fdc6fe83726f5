//! What is held against requests, for how long, and who is heard of it.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jd_serving::CompletedRun;
use jd_serving::Content;
use jd_serving::Finding;
use jd_serving::QuarantineList;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::RecentRuns;
use jd_types::MonoTime;

/// A request that ends upstreams, and another.
const BAD: u64 = 1;
const OTHER: u64 = 2;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

fn good(service: &str, content: u64, ms: u64) -> CompletedRun {
    CompletedRun {
        service: service.into(),
        content: Content::from_number(content),
        at: at(ms),
    }
}

/// Three ends, the last of them at that time.
fn finding(content: u64, last: u64) -> Finding {
    Finding {
        content: Content::from_number(content),
        crashes: 3,
        longest_run: Duration::from_millis(80),
        last_crash: at(last),
    }
}

/// A quarantine has lapsed, and the ends that it was for are still known. Some other
/// upstream ended, all was looked at again, and the request was held for ten minutes more
/// though nobody had sent it.
#[test]
fn a_quarantine_that_has_lapsed_is_not_renewed_for_the_same_ends() {
    let mut list = QuarantineList::default();
    let found = finding(BAD, 10_000);
    let next = list.next_state(at(11_000), &found, QuarantinePhase::Quarantined);
    let next = next.expect("it is held");
    list.merge(at(11_000), found.content, next, Duration::from_secs(600));
    let later = at(620_000);
    let renewed = list.next_state(later, &found, QuarantinePhase::Quarantined);
    assert_eq!(renewed, None);
    let again = finding(BAD, 619_000);
    let renewed = list.next_state(later, &again, QuarantinePhase::Quarantined);
    assert_eq!(
        renewed,
        Some(QuarantineState::first(QuarantinePhase::Quarantined))
    );
}

/// An operator releases a request whose ends are still known. It was held again at the next
/// look, a quarter of a second later; now only an end after the release holds it again.
#[test]
fn what_an_operator_has_released_is_not_held_for_the_ends_before() {
    let mut list = QuarantineList::default();
    let found = finding(OTHER, 10_000);
    let left = Duration::from_secs(500);
    let released = QuarantineState::first(QuarantinePhase::Released);
    list.merge(at(60_000), found.content, released, left);
    let held = list.next_state(at(60_250), &found, QuarantinePhase::Quarantined);
    assert_eq!(held, None);
    let again = finding(OTHER, 70_000);
    let held = list.next_state(at(70_300), &again, QuarantinePhase::Quarantined);
    assert_eq!(held.map(|s| s.round), Some(2));
}

/// A phase comes by the store and by instances, in any order and more than once. All
/// come to hold the same, and nobody goes back to what was taken back.
#[test]
fn a_release_goes_before_the_quarantine_that_arrives_after_it() {
    let content = Content::from_number(OTHER);
    let mut list = QuarantineList::default();
    let left = Duration::from_secs(600);
    let quarantined = QuarantineState::first(QuarantinePhase::Quarantined);
    let released = QuarantineState::first(QuarantinePhase::Released);
    assert!(list.merge(at(0), content, quarantined, left));
    assert!(list.quarantine_remaining(at(1), content).is_some());
    assert!(list.merge(at(2), content, released, left));
    assert!(!list.merge(at(3), content, quarantined, left));
    assert_eq!(list.quarantine_remaining(at(4), content), None);
    let again = QuarantineState {
        round: 2,
        phase: QuarantinePhase::Suspected,
    };
    assert!(list.merge(at(5), content, again, left));
    assert_eq!(list.get(at(6), content).map(|h| h.state), Some(again));
}

/// The store's changes were lost, and with them that it gave a phase up. Read whole it is
/// found not to have it, so that it is written again.
#[test]
fn what_the_store_gave_up_unseen_is_known_to_be_missing() {
    let [kept, gone] = [BAD, OTHER].map(Content::from_number);
    let mut list = QuarantineList::default();
    let quarantined = QuarantineState::first(QuarantinePhase::Quarantined);
    for content in [kept, gone] {
        list.merge(at(0), content, quarantined, Duration::from_secs(600));
        list.set_stored(content, Some(quarantined));
    }
    list.replace_stored(&[kept]);
    let stored = |c| list.get(at(1), c).and_then(|h| h.stored);
    assert_eq!((stored(kept), stored(gone)), (Some(quarantined), None));
}

/// What is held lapses, and no message can make it last longer than all others.
#[test]
fn what_is_held_lapses() {
    let content = Content::from_number(BAD);
    let mut list = QuarantineList::default();
    let quarantined = QuarantineState::first(QuarantinePhase::Quarantined);
    list.merge(at(0), content, quarantined, Duration::from_secs(1_000_000));
    assert!(list.quarantine_remaining(at(599_000), content).is_some());
    assert_eq!(list.quarantine_remaining(at(600_001), content), None);
}

/// Suspicions come by the thousand; what is quarantined is not pushed out by them.
#[test]
fn suspicions_do_not_push_a_quarantine_out() {
    let content = Content::from_number(BAD);
    let mut list = QuarantineList::default();
    let left = Duration::from_secs(600);
    list.merge(
        at(0),
        content,
        QuarantineState::first(QuarantinePhase::Quarantined),
        left,
    );
    for n in 10..10_000 {
        let other = Content::from_number(n);
        list.merge(
            at(n),
            other,
            QuarantineState::first(QuarantinePhase::Suspected),
            left,
        );
    }
    assert!(list.quarantine_remaining(at(10_000), content).is_some());
    assert!(list.entries(at(10_000)).count() <= 128);
}

/// An instance remembers what ran well lately, and not for ever.
#[test]
fn a_run_that_ended_well_speaks_for_half_a_minute() {
    let mut recent = RecentRuns::default();
    let content = Content::from_number(OTHER);
    recent.record(at(1_000), "pool", content);
    assert_eq!(
        recent.runs_of(at(20_000), content),
        [good("pool", OTHER, 1_000)]
    );
    assert!(recent.runs_of(at(32_000), content).is_empty());
    let bad = Content::from_number(BAD);
    assert!(recent.runs_of(at(2_000), bad).is_empty());
}
