//! Ages that instances tell each other, in a process that has just started.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_net::Clock;
use jd_serving::Freshness;
use jd_serving::Proof;
use jd_serving::StoreRevision;

/// Guards against a revoked credential that works longer at an instance which has just started:
/// the proof that another instance passed on looked no older than the process itself.
#[test]
fn an_old_proof_stays_old_in_a_process_that_has_just_started() {
    let clock = Clock::start();
    let now = clock.now();
    let age = Duration::from_secs(5);
    let revision = StoreRevision {
        era: 0,
        revision: 1,
    };
    let mut freshness = Freshness::default();
    freshness.record_applied(revision);
    freshness.adopt(Proof {
        asked_at: now.before(age),
        revision,
    });
    assert_eq!(freshness.age(now), Some(age));
}

/// Guards against other ages that instances tell each other and that are cut short: the largest
/// that a message can hold.
#[test]
fn ages_of_messages_are_not_cut_short() {
    let now = Clock::start().now();
    let oldest = Duration::from_millis(u64::from(u32::MAX));
    assert_eq!(now.since(now.before(oldest)), oldest);
}
