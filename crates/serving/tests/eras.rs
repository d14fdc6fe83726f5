//! A store that is restored from an older copy and assigns its revisions again in a higher era.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jd_serving::Freshness;
use jd_serving::Heartbeat;
use jd_serving::InstanceDirectory;
use jd_serving::InstanceEntry;
use jd_serving::Proof;
use jd_serving::SnapshotKind;
use jd_serving::StoreItem;
use jd_serving::StoreMirror;
use jd_serving::StoreRevision;
use jd_serving::Strength;
use jd_serving::UpstreamPath;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use test_case::test_case;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn rev(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era, revision }
}

fn put(key: &str, revision: StoreRevision) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Bytes::from(format!("{key} at {revision}")),
        revision,
        removed: false,
    }
}

#[test_case(rev(1, 100), rev(2, 3), true; "a lower revision of a higher era is later")]
#[test_case(rev(1, 100), rev(1, 99), false; "a lower one of the same era is not")]
#[test_case(rev(2, 3), rev(1, 100), false; "an answer of the earlier era comes late")]
#[test_case(rev(1, 100), rev(4, 1), true; "several restores since")]
fn a_full_read_is_applied_if_it_is_later(known: StoreRevision, read: StoreRevision, taken: bool) {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", known)], known);
    assert_eq!(mirror.replace(vec![put("b", read)], read), taken);
    assert_eq!(mirror.revision(), known.max(read));
}

/// A watch that began before the restore is answered after it, once the revisions have passed
/// its starting point. Changes written below that revision would be missing forever.
#[test]
fn changes_of_another_era_are_ignored() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", rev(1, 10))], rev(1, 10));
    assert!(
        mirror
            .apply(vec![put("b", rev(2, 12))], rev(2, 12))
            .is_empty()
    );
    assert_eq!(mirror.revision(), rev(1, 10));
    mirror.replace(vec![put("c", rev(2, 4))], rev(2, 12));
    assert!(
        mirror
            .apply(vec![put("b", rev(1, 20))], rev(1, 20))
            .is_empty()
    );
    let items: Vec<StoreItem> = mirror.updates_since(StoreRevision::ZERO).items;
    assert_eq!(items, [put("c", rev(2, 4))]);
}

/// A follower that has a high revision of the earlier era is sent everything, and one that is
/// in a later era already is sent nothing.
#[test]
fn a_follower_of_another_era_is_sent_everything_or_nothing() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", rev(2, 4))], rev(2, 5));
    let behind = mirror.updates_since(rev(1, 900));
    assert!(behind.is_full);
    assert_eq!(behind.items.len(), 1);
    let ahead = mirror.updates_since(rev(3, 1));
    assert!(!ahead.is_full);
    assert!(ahead.items.is_empty());
}

#[test_case(rev(2, 3), true; "the store is in a later era")]
#[test_case(rev(1, 101), true; "the store is ahead")]
#[test_case(rev(1, 99), false; "nothing is missing")]
#[test_case(rev(0, 900), false; "an answer of an earlier era")]
fn missing_changes_are_detected_by_era_and_revision(reported: StoreRevision, missing: bool) {
    let mut freshness = Freshness::default();
    freshness.record_applied(rev(1, 100));
    assert_eq!(freshness.record_confirmation(at(1_000), reported), missing);
}

/// A proof of an earlier era is not valid in the current one: changes made after the copy may
/// never have arrived here.
#[test]
fn proof_of_an_earlier_era_is_ignored() {
    let mut freshness = Freshness::default();
    freshness.record_applied(rev(2, 5));
    freshness.record_confirmation(at(1_000), rev(1, 4));
    freshness.adopt(Proof {
        asked_at: at(1_000),
        revision: rev(1, 4),
    });
    assert_eq!(freshness.proof(), None);
    freshness.record_confirmation(at(2_000), rev(2, 5));
    assert_eq!(freshness.age(at(2_100)), Some(Duration::from_millis(100)));
}

/// Changes missing in the earlier era are not proven to be present by reading the later one.
#[test]
fn changes_missing_in_an_earlier_era_are_no_longer_awaited() {
    let mut freshness = Freshness::default();
    freshness.record_applied(rev(1, 100));
    assert!(freshness.record_confirmation(at(1_000), rev(1, 120)));
    freshness.record_applied(rev(2, 60));
    assert!(!freshness.is_behind());
    assert_eq!(freshness.proof(), None);
}

fn instance(id: u64) -> InstanceEntry {
    InstanceEntry {
        incarnation: Incarnation::new(id),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 80)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 81)),
        zone: Name::try_from("a").expect("a name"),
        strength: Strength::default(),
        leaving: false,
    }
}

fn live(directory: &InstanceDirectory, now: u64) -> Vec<u64> {
    let live = directory.live(at(now));
    live.map(|e| e.incarnation.get()).collect()
}

/// An instance restarts after the restore, so that its entry has a lower revision than that of
/// its earlier incarnation.
#[test]
fn an_entry_of_a_later_era_replaces_an_earlier_one() {
    let mut directory = InstanceDirectory::default();
    directory.put(at(1_000), instance(1), rev(1, 100));
    directory.put(at(2_000), instance(2), rev(2, 7));
    assert_eq!(live(&directory, 2_000), [2]);
}

/// The copy contains the entry of an earlier incarnation, which the current one had removed.
/// The current one answers heartbeats.
#[test]
fn a_responsive_instance_is_not_replaced_by_a_restored_entry() {
    let healthy = Heartbeat {
        leaving: false,
        ready: true,
        store_loaded: true,
        upstream_path: UpstreamPath::Open,
    };
    let mut directory = InstanceDirectory::default();
    directory.put(at(1_000), instance(2), rev(1, 100));
    directory.record_heartbeat(at(2_000), Incarnation::new(2), healthy);
    directory.put(at(2_100), instance(1), rev(2, 7));
    assert_eq!(live(&directory, 2_100), [2]);
}

/// The instance is not monitored from here, as in a large fleet. It has three seconds to
/// rewrite the entry that the store lost.
#[test_case(true; "rewritten")]
#[test_case(false; "not rewritten")]
fn an_instance_missing_in_a_restored_store_stays_listed_for_a_while(again: bool) {
    let mut directory = InstanceDirectory::default();
    directory.put(at(1_000), instance(1), rev(1, 100));
    directory.set_monitored(at(1_000), &[]);
    directory.replace_listed(at(2_000), &[], SnapshotKind::Restored);
    directory.replace_listed(at(2_500), &[], SnapshotKind::Complete);
    directory.expire(at(4_999));
    assert_eq!(live(&directory, 4_999), [1]);
    if again {
        directory.put(at(4_999), instance(1), rev(2, 60));
    }
    directory.expire(at(5_000));
    assert_eq!(live(&directory, 5_000).is_empty(), !again);
}
