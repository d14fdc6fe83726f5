//! Upstreams that say in an answer that they leave.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::SnapshotKind;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;
use test_case::test_case;

const UNTOLD: UpstreamStart = UpstreamStart::UNKNOWN;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn started(ms: u64) -> UpstreamStart {
    UpstreamStart::at_millis(ms)
}

fn entry(start: UpstreamStart) -> UpstreamEntry {
    UpstreamEntry {
        id: "u".into(),
        start,
        service: "pool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: Name::try_from("a").expect("a name"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

fn listed(start: UpstreamStart) -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    directory.put(at(0), entry(start));
    directory
}

/// Whether the upstream is in use; none if it is not known at all.
fn is_used(directory: &UpstreamDirectory) -> Option<bool> {
    directory.entries().next().map(|l| !l.entry.leaving)
}

#[test]
fn an_upstream_that_says_it_leaves_is_used_no_more() {
    let mut directory = listed(UNTOLD);
    assert!(directory.mark_leaving(at(10), "u", UNTOLD));
    assert!(!directory.mark_leaving(at(20), "u", UNTOLD), "no news");
    assert_eq!(is_used(&directory), Some(false));
}

/// The store is away or behind, and an entry that it still holds says that the upstream is ready.
#[test]
fn an_entry_of_before_does_not_take_the_word_back() {
    let mut directory = listed(UNTOLD);
    directory.mark_leaving(at(10), "u", UNTOLD);
    directory.put(at(20), entry(UNTOLD));
    assert_eq!(is_used(&directory), Some(false));
    directory.replace(at(30), vec![entry(UNTOLD)], SnapshotKind::Complete);
    assert_eq!(is_used(&directory), Some(false));
}

/// Its entry was removed, or had not been read yet, and is read afterwards.
#[test_case(true; "removed")]
#[test_case(false; "not read yet")]
fn the_word_outlasts_the_entry(removed: bool) {
    let mut directory = UpstreamDirectory::default();
    if removed {
        directory.put(at(0), entry(UNTOLD));
    }
    directory.mark_leaving(at(10), "u", UNTOLD);
    directory.remove(at(20), "u");
    directory.expire(at(5_000));
    directory.put(at(6_000), entry(UNTOLD));
    assert_eq!(is_used(&directory), Some(false));
}

#[test]
fn the_word_is_kept_as_long_as_the_entry() {
    let mut directory = listed(UNTOLD);
    directory.mark_leaving(at(10), "u", UNTOLD);
    for minute in 1..10 {
        directory.expire(at(minute * 60_000));
    }
    directory.put(at(600_000), entry(UNTOLD));
    assert_eq!(is_used(&directory), Some(false));
}

/// An upstream starts again under its identity, and an answer of its earlier start comes late.
#[test_case(1, 2, true; "of the earlier start")]
#[test_case(2, 2, false; "of this start")]
fn the_word_binds_the_start_that_gave_it(said: u64, listed_start: u64, used: bool) {
    let mut before = listed(started(listed_start));
    before.mark_leaving(at(10), "u", started(said));
    assert_eq!(is_used(&before), Some(used));
    let mut after = listed(started(1));
    after.mark_leaving(at(10), "u", started(said));
    after.put(at(20), entry(started(listed_start)));
    assert_eq!(is_used(&after), Some(used));
}

/// The store came back from a copy in which the upstream is ready. It had said in its entry that it
/// leaves, or its entry was removed, or it had said so in an answer.
#[test_case(Word::Entry; "by its entry")]
#[test_case(Word::Removal; "by the removal of its entry")]
#[test_case(Word::Answer; "in an answer")]
fn a_copy_does_not_take_the_word_back(word: Word) {
    let mut directory = listed(UNTOLD);
    word.give(&mut directory);
    directory.replace(at(5_000), vec![entry(UNTOLD)], SnapshotKind::Restored);
    assert_eq!(is_used(&directory), Some(false));
}

/// An upstream was cut off from the store, which took its entry for one that leaves, and writes it
/// again. In an answer it would have said so itself.
#[test_case(Word::Entry, true; "by its entry")]
#[test_case(Word::Removal, true; "by the removal of its entry")]
#[test_case(Word::Answer, false; "in an answer")]
fn an_entry_that_is_written_later_takes_back_what_entries_said(word: Word, used: bool) {
    for restored in [false, true] {
        let mut directory = listed(UNTOLD);
        word.give(&mut directory);
        if restored {
            directory.replace(at(5_000), vec![entry(UNTOLD)], SnapshotKind::Restored);
        }
        directory.put(at(6_000), entry(UNTOLD));
        assert_eq!(is_used(&directory), Some(used), "restored: {restored}");
    }
}

/// Upstreams that are missing in a copy write their entries again within two seconds.
#[test]
fn an_upstream_that_a_copy_lacks_stays_in_use_until_it_had_time_to_come_back() {
    let mut directory = listed(UNTOLD);
    assert!(!directory.replace(at(5_000), Vec::new(), SnapshotKind::Restored));
    assert_eq!(is_used(&directory), Some(true));
    assert!(!directory.expire(at(6_999)));
    assert!(directory.expire(at(7_000)));
    assert_eq!(is_used(&directory), None);
}

/// Another upstream answers at the address. An upstream that has moved meanwhile, or started again, is
/// where its entry says.
#[test_case(80, 1, false; "at its address")]
#[test_case(81, 1, true; "it has moved")]
#[test_case(80, 0, true; "it has started again")]
fn an_upstream_whose_address_another_has_is_used_no_more(port: u16, start: u64, used: bool) {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let mut directory = listed(started(1));
    let news = directory.mark_address_reused(at(10), "u", started(start), address);
    assert_eq!(news, !used);
    assert_eq!(is_used(&directory), Some(used));
    directory.put(at(20), entry(started(1)));
    assert_eq!(is_used(&directory), Some(true));
}

/// How an upstream's leaving came to be known.
#[derive(Debug, Clone, Copy)]
enum Word {
    Entry,
    Removal,
    Answer,
}

impl Word {
    fn give(self, directory: &mut UpstreamDirectory) {
        let now = at(10);
        match self {
            Word::Entry => {
                let leaving = true;
                let entry = entry(UNTOLD);
                directory.put(now, UpstreamEntry { leaving, ..entry })
            }
            Word::Removal => directory.remove(now, "u"),
            Word::Answer => directory.mark_leaving(now, "u", UNTOLD),
        };
    }
}
