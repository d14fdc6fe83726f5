//! What a change, a question and a request cost as the fleet grows, by counting.

#![allow(clippy::expect_used)]

use std::time::Duration;

use bytes::Bytes;
use jd_serving::Reading;
use jd_serving::StoreItem;
use jd_serving::StoreMirror;
use jd_serving::StoreRevision;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;
use test_case::test_case;

fn rev(revision: u64) -> StoreRevision {
    StoreRevision { era: 0, revision }
}

fn record(n: u64, revision: u64) -> StoreItem {
    StoreItem {
        key: format!("entries/u{n}").into(),
        value: Bytes::from_static(b"{}"),
        revision: rev(revision),
        removed: false,
    }
}

fn removal(n: u64, revision: u64) -> StoreItem {
    StoreItem {
        value: Bytes::new(),
        removed: true,
        ..record(n, revision)
    }
}

fn upstream(n: u64, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("u{n}").into(),
        start: UpstreamStart::at_millis(1_000),
        service: "draft".into(),
        address: format!("10.0.{}.{}:80", n / 250, n % 250)
            .parse()
            .expect("an address"),
        zone: Name::try_from("a").expect("a name"),
        slots: 4,
        leaving,
        cold_left: Duration::ZERO,
    }
}

fn mirror_of(records: u64) -> StoreMirror {
    let mut mirror = StoreMirror::default();
    let all = (0..records).map(|n| record(n, n + 1)).collect();
    mirror.replace(all, rev(records));
    mirror
}

/// Guards against relays that look through all records for each follower at each change.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn news_for_a_follower_look_at_what_changed_only(records: u64) {
    let mut mirror = mirror_of(records);
    let changes = vec![
        record(7, records + 1),
        removal(8, records + 2),
        record(9, records + 3),
    ];
    mirror.apply(changes, rev(records + 3));
    let before = mirror.visited();
    for _ in 0..95 {
        assert_eq!(mirror.since(rev(records)).items.len(), 3);
    }
    let visited = mirror.visited() - before;
    assert!(visited <= 95 * 6, "{visited} visited");
}

/// Guards against followers that are all sent everything because many upstreams left at once.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn a_sixth_of_all_records_may_go_at_once_without_a_whole_reading(records: u64) {
    let mut mirror = mirror_of(records);
    let gone = records / 6;
    let removals = (0..gone).map(|n| removal(n, records + n + 1)).collect();
    mirror.apply(removals, rev(records + gone));
    let news = mirror.since(rev(records));
    assert!(!news.whole);
    assert_eq!(news.items.len() as u64, gone);
}

/// Guards against a look at all upstreams for each entry that is written in a release.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn an_entry_that_changes_costs_what_it_touches(upstreams: u64) {
    let now = MonoTime::from_micros(1);
    let mut directory = UpstreamDirectory::default();
    let all = (0..upstreams).map(|n| upstream(n, false)).collect();
    directory.replace(now, all, Reading::Complete);
    let before = directory.visited();
    for n in 0..100 {
        assert!(directory.put(now, upstream(n, true)));
        assert!(directory.remove(now, &format!("u{n}")));
        assert!(!directory.expire(now));
    }
    let visited = directory.visited() - before;
    assert!(visited <= 100, "{visited} visited");
}

/// Guards against a whole reading that compares each entry with each other.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn a_whole_reading_looks_at_each_entry_twice(upstreams: u64) {
    let now = MonoTime::from_micros(1);
    let mut directory = UpstreamDirectory::default();
    let all = || (0..upstreams).map(|n| upstream(n, false)).collect();
    directory.replace(now, all(), Reading::Complete);
    let before = directory.visited();
    assert!(!directory.replace(now, all(), Reading::Complete));
    let visited = directory.visited() - before;
    assert!(visited <= 2 * upstreams, "{visited} visited");
}
