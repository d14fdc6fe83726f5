//! How long an instance relies on its copy of the store, on expired entries and on its retry
//! budget.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::Freshness;
use jd_serving::Proof;
use jd_serving::RetryBudget;
use jd_serving::RetryLimit;
use jd_serving::RetryShare;
use jd_serving::SnapshotKind;
use jd_serving::SoftwareVersion;
use jd_serving::StoreRevision;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamId;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn rev(revision: u64) -> StoreRevision {
    StoreRevision { era: 0, revision }
}

fn upstream(id: &str, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        software: SoftwareVersion::default(),
        id: UpstreamId::try_from(id).expect("an identity"),
        start: UpstreamStart::UNKNOWN,
        service: "pool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: Name::try_from("a").expect("a name"),
        slots: 4,
        leaving,
        cold_left: Duration::ZERO,
    }
}

fn ids(directory: &UpstreamDirectory) -> Vec<String> {
    let mut ids: Vec<String> = directory
        .entries()
        .map(|l| l.entry.id.to_string())
        .collect();
    ids.sort_unstable();
    ids
}

/// A credential is revoked while this instance is cut off. Its watch brings no events, which
/// proves nothing; only the age of the last answer counts.
#[test]
fn the_age_of_a_proof_counts_from_the_query() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(at(1_000)), None);
    freshness.record_applied(rev(7));
    assert!(!freshness.record_confirmation(at(1_000), rev(7)));
    assert_eq!(freshness.age(at(4_000)), Some(Duration::from_secs(3)));
}

/// The store is ahead of the watch. The missing change may be the revocation of a credential,
/// so the answer proves nothing until the change has arrived.
#[test]
fn a_proof_counts_once_missing_changes_have_arrived() {
    let mut freshness = Freshness::default();
    freshness.record_applied(rev(7));
    assert!(freshness.record_confirmation(at(1_000), rev(9)));
    assert!(freshness.is_behind());
    assert_eq!(freshness.age(at(1_100)), None);
    freshness.record_applied(rev(8));
    assert_eq!(freshness.age(at(1_100)), None);
    freshness.record_applied(rev(9));
    assert!(!freshness.is_behind());
    assert_eq!(freshness.age(at(1_100)), Some(Duration::from_millis(100)));
}

/// The store rejects this instance and serves others, which exchange heartbeats with it. Their
/// proof counts here only for the changes that have been applied here.
#[test]
fn the_proof_of_another_instance_counts_for_applied_changes() {
    let mut freshness = Freshness::default();
    freshness.record_applied(rev(7));
    let proof = |asked, revision| Proof {
        asked_at: at(asked),
        revision: rev(revision),
    };
    freshness.adopt(proof(1_000, 8));
    assert_eq!(freshness.age(at(1_100)), None);
    freshness.adopt(proof(1_000, 7));
    assert_eq!(freshness.age(at(1_100)), Some(Duration::from_millis(100)));
    freshness.adopt(proof(900, 7));
    assert_eq!(freshness.proof(), Some(proof(1_000, 7)));
}

#[test]
fn an_older_answer_does_not_make_proof_older() {
    let mut freshness = Freshness::default();
    freshness.record_applied(rev(7));
    freshness.record_confirmation(at(2_000), rev(7));
    freshness.record_confirmation(at(1_000), rev(6));
    assert_eq!(freshness.age(at(2_000)), Some(Duration::ZERO));
}

/// The store is unavailable for longer than leases last. Every entry expires although every
/// upstream is healthy, and each entry is rewritten within two seconds.
#[test]
fn entries_that_expired_with_the_store_stay_in_use_until_it_is_back() {
    let mut directory = UpstreamDirectory::default();
    directory.put(at(0), upstream("i-1", false));
    directory.put(at(0), upstream("i-2", false));
    directory.mark_store_unavailable();
    assert!(directory.mark_store_available(at(10_000)));
    assert!(!directory.replace(at(10_000), Vec::new(), SnapshotKind::Complete));
    assert_eq!(ids(&directory), ["i-1", "i-2"]);
    assert!(directory.put(at(0), upstream("i-1", false)));
    assert!(!directory.expire(at(11_900)));
    assert!(directory.expire(at(12_100)));
    assert_eq!(ids(&directory), ["i-1"]);
}

/// An upstream that reported that it is leaving is gone. Waiting for its return would send
/// requests to its address, which another upstream may have by now.
#[test]
fn an_upstream_that_was_leaving_is_gone_at_once() {
    let mut directory = UpstreamDirectory::default();
    directory.put(at(0), upstream("i-1", true));
    directory.mark_store_unavailable();
    directory.mark_store_available(at(10_000));
    assert!(directory.remove(at(10_000), "i-1"));
    assert!(ids(&directory).is_empty());
}

#[test]
fn an_entry_removed_while_the_store_is_available_is_gone_at_once() {
    let mut directory = UpstreamDirectory::default();
    directory.put(at(0), upstream("i-1", false));
    assert!(directory.remove(at(1_000), "i-1"));
    assert!(ids(&directory).is_empty());
}

#[test]
fn a_heartbeat_is_no_change() {
    let mut directory = UpstreamDirectory::default();
    assert!(directory.put(at(0), upstream("i-1", false)));
    assert!(!directory.put(at(0), upstream("i-1", false)));
    assert!(directory.put(at(0), upstream("i-1", true)));
}

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// The share of an instance that has run for longer than the window.
fn share_of(instances: usize) -> RetryShare {
    RetryShare::Listed {
        instances,
        age: LIMIT.window,
    }
}

/// A service is down and every request fails at once. Eight instances without a limit on
/// retries would send it several times its load.
#[test]
fn all_instances_together_stay_well_within_the_limit() {
    let mut sent = 0;
    let mut budgets: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::default()).collect();
    for n in 0..800_u64 {
        let now = at(1_000 + n * 12);
        let budget = &mut budgets[n as usize % 8];
        budget.record_first_attempt(now, &LIMIT);
        sent += usize::from(budget.try_retry(now, &LIMIT, share_of(8)).is_some());
        sent += usize::from(budget.try_retry(now, &LIMIT, share_of(8)).is_some());
    }
    let allowed = 800.0 * LIMIT.ratio + LIMIT.slack;
    assert!(sent as f64 <= allowed * 0.6, "{sent} of {allowed}");
    assert!(sent > 0);
}

/// Instances start and stop: half of them know only half of the others, and each of these uses
/// twice its share of the slack.
#[test]
fn the_limit_holds_when_half_of_the_instances_are_unknown() {
    let mut sent = 0;
    for _ in 0..8 {
        let mut budget = RetryBudget::default();
        while budget.try_retry(at(1_000), &LIMIT, share_of(4)).is_some() {
            sent += 1;
        }
    }
    assert!(f64::from(sent) <= LIMIT.slack);
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.try_retry(at(1_000), &LIMIT, share_of(8)).is_some() {}
    assert_eq!(budget.try_retry(at(10_000), &LIMIT, share_of(8)), None);
    assert!(budget.try_retry(at(11_100), &LIMIT, share_of(8)).is_some());
}

/// Guards against a retry that was not sent giving a later one back, which the window then forgets.
#[test]
fn a_retry_that_was_not_sent_gives_back_itself_alone() {
    let mut budget = RetryBudget::default();
    let share = share_of(25);
    let unsent = budget.try_retry(at(1_000), &LIMIT, share).expect("a retry");
    for _ in 0..5 {
        budget.record_first_attempt(at(10_000), &LIMIT);
        budget.record_first_attempt(at(10_000), &LIMIT);
    }
    assert!(budget.try_retry(at(10_000), &LIMIT, share).is_some());
    assert_eq!(budget.try_retry(at(10_000), &LIMIT, share), None);
    budget.give_back(unsent);
    assert!(budget.try_retry(at(10_000), &LIMIT, share).is_some());
    assert_eq!(budget.try_retry(at(12_000), &LIMIT, share), None);
}
