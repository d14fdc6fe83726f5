//! The software versions of services in the store, and the origins of streams that are written to it.

#![allow(clippy::expect_used, clippy::panic)]

use std::collections::HashSet;
use std::time::Duration;
use std::time::SystemTime;

use jd_serving::ListedVersion;
use jd_serving::SoftwareVersion;
use jd_serving::VersionRecord;
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
