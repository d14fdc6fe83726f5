//! The updates that an instance sends to its followers.

use bytes::Bytes;
use jd_serving::StoreItem;
use jd_serving::StoreMirror;
use jd_serving::StoreRevision;

fn rev(revision: u64) -> StoreRevision {
    StoreRevision { era: 0, revision }
}

fn put(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Bytes::from(format!("{key} at {revision}")),
        revision: rev(revision),
        removed: false,
    }
}

fn removed(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        value: Bytes::new(),
        removed: true,
        ..put(key, revision)
    }
}

#[test]
fn a_follower_is_sent_only_the_missing_changes() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", 3), put("b", 5)], rev(6));
    mirror.apply(vec![put("a", 8), removed("b", 9)], rev(9));
    let update = mirror.updates_since(rev(6));
    assert!(!update.is_full);
    assert_eq!(update.items, [put("a", 8), removed("b", 9)]);
    assert_eq!(update.revision, rev(9));
    assert_eq!(mirror.updates_since(rev(8)).items, [removed("b", 9)]);
    assert!(mirror.updates_since(rev(9)).items.is_empty());
}

/// The instance that watches the store lost the change history and read everything again. It
/// cannot tell which records were removed in between, so that a follower that received only
/// changes would send requests to an upstream that is gone.
#[test]
fn a_follower_is_sent_everything_after_a_gap() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", 3), put("b", 5)], rev(6));
    mirror.replace(vec![put("a", 3)], rev(20));
    let update = mirror.updates_since(rev(6));
    assert!(update.is_full);
    assert_eq!(update.items, [put("a", 3)]);
}

#[test]
fn removals_are_not_kept_forever() {
    let mut mirror = StoreMirror::default();
    mirror.replace(Vec::new(), rev(1));
    for n in 0..2_000 {
        let key = format!("k{n}");
        let both = vec![put(&key, 2 + 2 * n), removed(&key, 3 + 2 * n)];
        mirror.apply(both, rev(3 + 2 * n));
    }
    assert!(mirror.updates_since(rev(2)).is_full);
    assert!(!mirror.updates_since(rev(3_900)).is_full);
}

/// The same changes arrive twice, by a faster and a slower path.
#[test]
fn the_copy_never_goes_back_to_an_earlier_revision() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", 9)], rev(10));
    assert!(!mirror.replace(vec![put("a", 3)], rev(4)));
    let late = vec![put("a", 5), put("b", 7)];
    assert!(mirror.apply(late, rev(11)).is_empty());
    assert_eq!(mirror.updates_since(rev(8)).items, [put("a", 9)]);
    assert_eq!(mirror.revision(), rev(11));
}
