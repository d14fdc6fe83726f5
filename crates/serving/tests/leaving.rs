//! Upstreams that report in an answer that they are leaving.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::SnapshotKind;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamId;
use test_case::test_case;

const UNKNOWN_START: UpstreamStart = UpstreamStart::UNKNOWN;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn started(ms: u64) -> UpstreamStart {
    UpstreamStart::at_millis(ms)
}

fn entry(start: UpstreamStart) -> UpstreamEntry {
    UpstreamEntry {
        software: SoftwareVersion::default(),
        id: UpstreamId::try_from("u").expect("an identity"),
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

/// Whether the upstream is in use, if it is known.
fn is_used(directory: &UpstreamDirectory) -> Option<bool> {
    directory.entries().next().map(|l| !l.entry.leaving)
}

#[test]
fn an_upstream_that_reports_it_is_leaving_is_no_longer_used() {
    let mut directory = listed(UNKNOWN_START);
    assert!(directory.mark_leaving(at(10), "u", UNKNOWN_START));
    assert!(
        !directory.mark_leaving(at(20), "u", UNKNOWN_START),
        "unchanged"
    );
    assert_eq!(is_used(&directory), Some(false));
}

/// The store is unavailable or behind, and an entry that it still holds says that the upstream
/// is ready.
#[test]
fn an_earlier_entry_does_not_revoke_a_departure() {
    let mut directory = listed(UNKNOWN_START);
    directory.mark_leaving(at(10), "u", UNKNOWN_START);
    directory.put(at(20), entry(UNKNOWN_START));
    assert_eq!(is_used(&directory), Some(false));
    directory.replace(at(30), vec![entry(UNKNOWN_START)], SnapshotKind::Complete);
    assert_eq!(is_used(&directory), Some(false));
}

/// The entry was removed, or had not been read yet, and is read afterwards.
#[test_case(true; "removed")]
#[test_case(false; "not read yet")]
fn a_departure_outlasts_the_entry(removed: bool) {
    let mut directory = UpstreamDirectory::default();
    if removed {
        directory.put(at(0), entry(UNKNOWN_START));
    }
    directory.mark_leaving(at(10), "u", UNKNOWN_START);
    directory.remove(at(20), "u");
    directory.expire(at(5_000));
    directory.put(at(6_000), entry(UNKNOWN_START));
    assert_eq!(is_used(&directory), Some(false));
}

#[test]
fn a_departure_is_kept_as_long_as_the_entry() {
    let mut directory = listed(UNKNOWN_START);
    directory.mark_leaving(at(10), "u", UNKNOWN_START);
    for minute in 1..10 {
        directory.expire(at(minute * 60_000));
    }
    directory.put(at(600_000), entry(UNKNOWN_START));
    assert_eq!(is_used(&directory), Some(false));
}

/// An upstream restarts under its identity, and an answer of its earlier start arrives late.
#[test_case(1, 2, true; "of the earlier start")]
#[test_case(2, 2, false; "of this start")]
fn a_departure_applies_to_the_start_that_reported_it(reported: u64, listed_start: u64, used: bool) {
    let mut before = listed(started(listed_start));
    before.mark_leaving(at(10), "u", started(reported));
    assert_eq!(is_used(&before), Some(used));
    let mut after = listed(started(1));
    after.mark_leaving(at(10), "u", started(reported));
    after.put(at(20), entry(started(listed_start)));
    assert_eq!(is_used(&after), Some(used));
}

/// The store is restored from a copy in which the upstream is ready. Its departure was known
/// from its entry, from the removal of its entry, or from an answer.
#[test_case(Departure::Entry; "by its entry")]
#[test_case(Departure::Removal; "by the removal of its entry")]
#[test_case(Departure::Answer; "in an answer")]
fn a_restored_store_does_not_revoke_a_departure(departure: Departure) {
    let mut directory = listed(UNKNOWN_START);
    departure.report(&mut directory);
    directory.replace(
        at(5_000),
        vec![entry(UNKNOWN_START)],
        SnapshotKind::Restored,
    );
    assert_eq!(is_used(&directory), Some(false));
}

/// An upstream that was cut off from the store was marked as leaving there, and rewrites its
/// entry. Only a departure that it reported in an answer remains in force.
#[test_case(Departure::Entry, true; "by its entry")]
#[test_case(Departure::Removal, true; "by the removal of its entry")]
#[test_case(Departure::Answer, false; "in an answer")]
fn a_later_entry_revokes_departures_known_from_entries(departure: Departure, used: bool) {
    for restored in [false, true] {
        let mut directory = listed(UNKNOWN_START);
        departure.report(&mut directory);
        if restored {
            directory.replace(
                at(5_000),
                vec![entry(UNKNOWN_START)],
                SnapshotKind::Restored,
            );
        }
        directory.put(at(6_000), entry(UNKNOWN_START));
        assert_eq!(is_used(&directory), Some(used), "restored: {restored}");
    }
}

/// Upstreams that a restored store lacks rewrite their entries within two seconds.
#[test]
fn an_upstream_missing_in_a_restored_store_stays_in_use_for_a_while() {
    let mut directory = listed(UNKNOWN_START);
    assert!(!directory.replace(at(5_000), Vec::new(), SnapshotKind::Restored));
    assert_eq!(is_used(&directory), Some(true));
    assert!(!directory.expire(at(6_999)));
    assert!(directory.expire(at(7_000)));
    assert_eq!(is_used(&directory), None);
}

/// Another upstream answers at the address. An upstream that has moved or restarted meanwhile
/// is at the address in its entry.
#[test_case(80, 1, false; "at its address")]
#[test_case(81, 1, true; "it has moved")]
#[test_case(80, 0, true; "it has restarted")]
fn an_upstream_whose_address_was_reused_is_no_longer_used(port: u16, start: u64, used: bool) {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let mut directory = listed(started(1));
    let changed = directory.mark_address_reused(at(10), "u", started(start), address);
    assert_eq!(changed, !used);
    assert_eq!(is_used(&directory), Some(used));
    directory.put(at(20), entry(started(1)));
    assert_eq!(is_used(&directory), Some(true));
}

/// How the departure of an upstream became known.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Entry,
    Removal,
    Answer,
}

impl Departure {
    fn report(self, directory: &mut UpstreamDirectory) {
        let now = at(10);
        match self {
            Departure::Entry => {
                let leaving = true;
                let entry = entry(UNKNOWN_START);
                directory.put(now, UpstreamEntry { leaving, ..entry })
            }
            Departure::Removal => directory.remove(now, "u"),
            Departure::Answer => directory.mark_leaving(now, "u", UNKNOWN_START),
        };
    }
}
