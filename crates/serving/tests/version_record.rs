//! The software versions of services in the store, and the origins of streams that are written to it.

#![allow(clippy::expect_used, clippy::panic)]

use std::collections::HashSet;
use std::time::Duration;
use std::time::SystemTime;

use jd_serving::ListedVersion;
use jd_serving::OriginBatch;
use jd_serving::SaverRole;
use jd_serving::SoftwareVersion;
use jd_serving::StreamId;
use jd_serving::UnsavedOrigins;
use jd_serving::VersionRecord;
use jd_types::MonoTime;
use test_case::test_case;

const AGE: Duration = Duration::from_secs(40);

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn listed(versions: &[&str]) -> HashSet<ListedVersion> {
    let version = |v: &&str| {
        let software = SoftwareVersion::try_from(*v).expect("a version");
        ("pool".into(), software)
    };
    versions.iter().map(version).collect()
}

fn record(first: &[&str], seconds: u64) -> VersionRecord {
    let record = VersionRecord::updated(None, &listed(first), 1, at(seconds), false);
    record.expect("a record")
}

fn lately(record: &VersionRecord, seconds: u64) -> Vec<&str> {
    let lately = record.lately("pool", at(seconds), AGE);
    let mut lately: Vec<&str> = lately.map(SoftwareVersion::as_str).collect();
    lately.sort_unstable();
    lately
}

/// Guards against taking what was seen since a start for all versions that there were.
#[test_case(1, 0, false; "just written")]
#[test_case(1, 49, false; "within the tolerance of clocks")]
#[test_case(1, 50, true; "longer than a stream lasts")]
#[test_case(2, 50, false; "written before the store was restored")]
fn a_record_proves_only_the_time_that_it_covers(era: u64, seconds: u64, covers: bool) {
    let record = record(&["v1"], 0);
    assert_eq!(record.covers(era, at(seconds), AGE), covers);
}

/// Guards against doubting all versions in the first seconds of a system that has never run before.
#[test]
fn the_record_of_a_first_start_is_complete() {
    let first = VersionRecord::updated(None, &listed(&["v1"]), 1, at(0), true);
    assert!(first.expect("a record").covers(1, at(0), AGE));
}

/// Guards against forgetting a version that was replaced while no instance ran.
#[test]
fn a_version_that_went_unseen_counts_from_the_time_at_which_it_is_missed() {
    let before = record(&["v1"], 0);
    let after = VersionRecord::updated(Some(&before), &listed(&["v2"]), 1, at(500), false);
    let after = after.expect("a change");
    assert_eq!(lately(&after, 549), ["v1", "v2"]);
    assert_eq!(lately(&after, 550), ["v2"]);
    assert!(after.lists("pool", &SoftwareVersion::try_from("v2").expect("a version")));
    assert!(!after.lists("pool", &SoftwareVersion::try_from("v1").expect("a version")));
    assert!(after.covers(1, at(500), AGE));
}

/// Guards against a proof from before a restore, which lacks what was recorded after the copy.
#[test]
fn a_restored_store_begins_a_new_proof() {
    let before = record(&["v1"], 0);
    let after = VersionRecord::updated(Some(&before), &listed(&["v1"]), 2, at(500), false);
    let after = after.expect("a change");
    assert!(!after.covers(2, at(549), AGE));
    assert!(after.covers(2, at(550), AGE));
}

/// Guards against writes without a change, and against a record that grows with each release.
#[test]
fn the_record_is_written_only_for_changes_and_stays_small() {
    let mut known = record(&["v0"], 0);
    for n in 1..100 {
        let name = format!("v{n}");
        let next = listed(&[&name]);
        let written = VersionRecord::updated(Some(&known), &next, 1, at(n), false);
        known = written.expect("a change");
        assert_eq!(
            VersionRecord::updated(Some(&known), &next, 1, at(n), false),
            None
        );
    }
    assert!(known.services["pool"].len() <= 9);
    assert_eq!(lately(&known, 99).len(), 9);
}

fn id(n: usize) -> StreamId {
    StreamId::try_from(format!("s-{n}").as_str()).expect("an ID")
}

fn ms(ms: u64) -> MonoTime {
    MonoTime::from_millis(1_000_000 + ms)
}

fn numbers_of(batches: &[OriginBatch]) -> Vec<usize> {
    batches.iter().map(|b| b.streams.len()).collect()
}

/// Guards against a write for each stream: few records, however many streams begin.
#[test]
fn streams_of_an_interval_are_written_together() {
    let mut unsaved = UnsavedOrigins::default();
    let mut records = HashSet::new();
    let mut next = 0;
    for interval in 0..60 {
        for _ in 0..20 {
            unsaved.add(ms(interval * 700), 3, id(next), false);
            next += 1;
        }
        let due = unsaved.take_due(ms(interval * 700), |_| SaverRole::Writer);
        assert_eq!(due.len(), 1);
        assert!(due[0].streams.contains(&id(next - 1)));
        records.insert(due[0].number);
    }
    assert!(records.len() <= 9, "{} records", records.len());
    assert!(unsaved.is_empty());
}

/// Guards against streams that nobody writes because their writer ended first.
#[test]
fn a_standby_writes_what_the_writer_may_not_have_written() {
    let mut unsaved = UnsavedOrigins::default();
    unsaved.add(ms(0), 0, id(1), false);
    unsaved.add(ms(4_000), 0, id(2), false);
    unsaved.add(ms(4_000), 1, id(3), true);
    let handed_over = unsaved.take_due(ms(5_500), |_| SaverRole::Standby);
    assert_eq!(numbers_of(&handed_over), [1]);
    assert_eq!(handed_over[0].streams, [id(3)]);
    let left = unsaved.take_due(ms(5_500), |_| SaverRole::Writer);
    assert_eq!(numbers_of(&left), [1]);
    assert_eq!(left[0].streams, [id(2)]);
}

/// Guards against streams that are lost because the store did not take them, and against a write that
/// is larger than the store accepts.
#[test]
fn streams_that_could_not_be_written_are_written_later_in_bounded_writes() {
    let mut unsaved = UnsavedOrigins::default();
    for n in 0..40_000 {
        unsaved.add(ms(0), 0, id(n), false);
    }
    let mut written = 0;
    let mut writes = 0;
    while !unsaved.is_empty() {
        writes += 1;
        for batch in unsaved.take_due(ms(0), |_| SaverRole::Writer) {
            assert!(batch.streams.len() <= 2_048 + 256);
            match writes {
                1 => unsaved.take_back(ms(0), batch),
                _ => written += batch.streams.len(),
            }
        }
    }
    assert_eq!(written, 16_384);
}
