//! What an instance that watches the store tells those that follow it.

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
fn a_follower_is_sent_only_what_it_lacks() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", 3), put("b", 5)], rev(6));
    mirror.apply(vec![put("a", 8), removed("b", 9)], rev(9));
    let news = mirror.updates_since(rev(6));
    assert!(!news.is_full);
    assert_eq!(news.items, [put("a", 8), removed("b", 9)]);
    assert_eq!(news.revision, rev(9));
    assert_eq!(mirror.updates_since(rev(8)).items, [removed("b", 9)]);
    assert!(mirror.updates_since(rev(9)).items.is_empty());
}

/// The instance that watches had its history taken away and read everything
/// again. What was removed in between it cannot tell, so a follower that only
/// heard of changes would send requests to an upstream that is gone.
#[test]
fn a_follower_from_before_a_gap_is_sent_everything() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", 3), put("b", 5)], rev(6));
    mirror.replace(vec![put("a", 3)], rev(20));
    let news = mirror.updates_since(rev(6));
    assert!(news.is_full);
    assert_eq!(news.items, [put("a", 3)]);
}

#[test]
fn removals_are_not_remembered_for_good() {
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

/// Two ways lead to the same news, and the slower one brings it again.
#[test]
fn what_is_known_never_goes_back() {
    let mut mirror = StoreMirror::default();
    mirror.replace(vec![put("a", 9)], rev(10));
    assert!(!mirror.replace(vec![put("a", 3)], rev(4)));
    let late = vec![put("a", 5), put("b", 7)];
    assert!(mirror.apply(late, rev(11)).is_empty());
    assert_eq!(mirror.updates_since(rev(8)).items, [put("a", 9)]);
    assert_eq!(mirror.revision(), rev(11));
}
