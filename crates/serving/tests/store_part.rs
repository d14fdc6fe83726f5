//! What changes in the pages of the store that can be read.

use jd_serving::StoreItem;
use jd_serving::StorePart;
use jd_serving::StoreRevision;

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era, revision }
}

fn item(key: &str, era: u64, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: revision.to_string().into(),
        revision: at(era, revision),
        removed: false,
    }
}

/// The changes as texts: `+key` for a write, `-key` for a removal.
fn update(part: &mut StorePart, era: u64, read: &[(&str, u64)], revision: u64) -> Vec<String> {
    update_with(part, era, read, revision, false)
}

fn update_with(
    part: &mut StorePart,
    era: u64,
    read: &[(&str, u64)],
    revision: u64,
    is_whole: bool,
) -> Vec<String> {
    let read = read.iter().map(|(key, written)| item(key, era, *written));
    let changes = part.update(read.collect(), at(era, revision), is_whole);
    let shown = changes.iter().map(|i| match i.removed {
        true => format!("-{}", i.key),
        false => format!("+{}", i.key),
    });
    shown.collect()
}

/// Guards against requests to upstreams whose entries are gone, and against work for each reading.
#[test]
fn only_what_has_changed_is_told() {
    let mut part = StorePart::default();
    assert_eq!(
        update(&mut part, 0, &[("a", 1), ("b", 2), ("c", 3)], 5),
        ["+a", "+b", "+c"]
    );
    assert_eq!(
        update(&mut part, 0, &[("a", 1), ("b", 2), ("c", 3)], 6),
        [""; 0]
    );
    assert_eq!(update(&mut part, 0, &[("b", 7), ("c", 3)], 8), ["+b", "-a"]);
    assert_eq!(
        update(&mut part, 0, &[("a", 9), ("b", 7), ("c", 3)], 9),
        ["+a"]
    );
}

/// Guards against losing the records behind the page that cannot be read.
#[test]
fn records_behind_the_last_one_are_not_missing() {
    let known = ["a", "b", "c", "d"].map(|key| item(key, 0, 1));
    let mut part = StorePart::of(known.into_iter(), at(0, 4));
    assert_eq!(update(&mut part, 0, &[("a", 1), ("b", 1)], 5), [""; 0]);
    assert_eq!(update(&mut part, 0, &[("b", 1)], 6), ["-a"]);
    assert_eq!(update(&mut part, 0, &[], 7), [""; 0]);
    assert_eq!(update(&mut part, 0, &[("b", 1), ("d", 1)], 8), ["-c"]);
}

/// Guards against records that stay in use because nothing behind them could be read before.
#[test]
fn a_whole_reading_tells_what_is_missing_at_its_end() {
    let known = ["a", "b", "c"].map(|key| item(key, 0, 1));
    let mut part = StorePart::of(known.into_iter(), at(0, 4));
    assert_eq!(
        update_with(&mut part, 0, &[("a", 1)], 5, true),
        ["-b", "-c"]
    );
    assert_eq!(update_with(&mut part, 0, &[], 6, true), ["-a"]);
}

/// Guards against removing what a store that was restored from a copy lacks for a moment.
#[test]
fn nothing_is_missing_in_another_era() {
    let mut part = StorePart::default();
    update(&mut part, 0, &[("a", 8), ("b", 9)], 9);
    assert_eq!(update(&mut part, 1, &[("b", 2)], 3), ["+b"]);
}
