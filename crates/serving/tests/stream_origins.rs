//! Which software version began a stream, and where the stream may resume.

#![allow(clippy::expect_used, clippy::panic)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_serving::InstanceEntry;
use jd_serving::KnownVersions;
use jd_serving::ResumeError;
use jd_serving::ServiceVersions;
use jd_serving::Shard;
use jd_serving::SoftwareVersion;
use jd_serving::StreamBeginning;
use jd_serving::StreamId;
use jd_serving::StreamIdError;
use jd_serving::StreamOrigin;
use jd_serving::StreamOrigins;
use jd_serving::Strength;
use jd_serving::UpstreamStart;
use jd_serving::VersionCertainty;
use jd_serving::VersionEvidence;
use jd_serving::judge_version;
use jd_serving::rank_owners;
use jd_serving::resume_at;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use test_case::test_case;

const LIFETIME: Duration = Duration::from_secs(30);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(name).expect("a version")
}

fn id(text: &str) -> StreamId {
    StreamId::try_from(text).expect("an ID")
}

fn origin(customer: &str, software: Option<&str>) -> StreamOrigin {
    StreamOrigin {
        service: "pool".into(),
        customer: Some(customer.into()),
        software: software.map(version),
        beginning: None,
    }
}

fn at(seconds: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_secs(1_000 + seconds)
}

/// Guards against a stream that goes on by chance, and against refusing one whose version is known
/// or can only be one.
#[test_case(Some(origin("a", Some("v1"))), &["v1", "v2"], Ok("v1"); "known beside another")]
#[test_case(Some(origin("a", Some("v1"))), &["v2"], Ok("v1"); "known and gone")]
#[test_case(Some(origin("a", None)), &["v1"], Err(ResumeError::UncertainOrigin); "uncertain")]
#[test_case(Some(origin("b", Some("v1"))), &["v1", "v2"], Err(ResumeError::ForeignStream); "foreign")]
#[test_case(Some(origin("b", Some("v2"))), &["v1", "all"], Ok("v1"); "foreign with one version")]
#[test_case(Some(origin("b", Some("v2"))), &["v1"], Err(ResumeError::ForeignStream); "foreign with one version seen")]
#[test_case(None, &["v1", "v2", "all"], Err(ResumeError::UnknownOrigin); "unknown")]
#[test_case(None, &["v1", "all"], Ok("v1"); "unknown with one version")]
#[test_case(None, &["v1"], Err(ResumeError::UnknownOrigin); "unknown with one version seen")]
#[test_case(None, &["v1", "all earlier"], Err(ResumeError::VersionsNotProven); "unknown with one version until an earlier proof")]
#[test_case(Some(origin("b", Some("v2"))), &["v1", "all earlier"], Err(ResumeError::VersionsNotProven); "foreign with one version until an earlier proof")]
#[test_case(Some(origin("a", Some("v1"))), &["v1", "all earlier"], Ok("v1"); "known with one version until an earlier proof")]
#[test_case(None, &["all"], Err(ResumeError::UnknownOrigin); "unknown without upstreams")]
fn a_stream_resumes_where_it_can_only_have_begun(
    origin: Option<StreamOrigin>,
    lately: &[&str],
    expected: Result<&str, ResumeError>,
) {
    let seen = lately.iter().copied().filter(|v| !v.starts_with("all"));
    let known = KnownVersions {
        versions: seen.map(version).collect(),
        complete_until: lately.iter().find_map(|v| match *v {
            "all" => Some(at(5)),
            "all earlier" => Some(at(4)),
            _ => None,
        }),
    };
    let decided = resume_at(origin.as_ref(), Some("a"), &known, at(5));
    assert_eq!(decided.map(SoftwareVersion::as_str), expected);
}

/// Guards against an origin that outlives its stream, or that another customer replaces.
#[test]
fn an_origin_lasts_as_long_as_its_stream_and_belongs_to_its_customer() {
    let mut origins = StreamOrigins::default();
    origins.record(at(0), id("s"), origin("a", Some("v1")), LIFETIME);
    origins.record(at(1), id("s"), origin("b", Some("v2")), LIFETIME);
    let known = origins.find(at(29), &id("s"));
    assert_eq!(known, Some(&origin("a", Some("v1"))));
    assert_eq!(origins.find(at(30), &id("s")), None);
    assert_eq!(origins.find(at(1), &id("t")), None);
}

/// Guards against taking one of two versions that are told of a stream for the right one.
#[test]
fn two_versions_of_one_stream_make_its_origin_uncertain() {
    let mut origins = StreamOrigins::default();
    for software in [Some("v1"), None, Some("v1")] {
        origins.record(at(0), id("s"), origin("a", software), LIFETIME);
    }
    assert_eq!(origins.find(at(0), &id("s")), Some(&origin("a", None)));
    origins.record(at(0), id("t"), origin("a", Some("v1")), LIFETIME);
    origins.record(at(0), id("t"), origin("a", Some("v2")), LIFETIME);
    assert_eq!(origins.find(at(0), &id("t")), Some(&origin("a", None)));
}

/// Guards against memory that grows with the number of streams.
#[test]
fn the_oldest_origins_are_dropped_when_there_are_too_many() {
    let mut origins = StreamOrigins::default();
    for n in 0..40_000 {
        let stream = id(&format!("s-{n}"));
        origins.record(at(0), stream, origin("a", Some("v1")), LIFETIME);
    }
    assert!(origins.len() <= 16_384, "{} are kept", origins.len());
    assert!(origins.find(at(0), &id("s-0")).is_none());
    assert!(origins.find(at(0), &id("s-39999")).is_some());
    origins.record(at(31), id("late"), origin("a", Some("v1")), LIFETIME);
    assert_eq!(origins.len(), 1);
}

/// Guards against forgetting a version while streams that it began can still be resumed.
#[test]
fn a_version_counts_for_a_while_after_its_upstreams_have_gone() {
    let service = CompactString::from("pool");
    let mut versions = ServiceVersions::default();
    let mut list = |seconds, listed: &[&str]| {
        let listed: Vec<SoftwareVersion> = listed.iter().copied().map(version).collect();
        versions.record(at(seconds), listed.iter().map(|v| (&service, v)));
        let lately = versions.lately(at(seconds), "pool", Duration::from_secs(120));
        let mut lately: Vec<String> = lately.map(|v| v.as_str().into()).collect();
        lately.sort();
        lately
    };
    assert_eq!(list(0, &["v1", "v1"]), ["v1"]);
    assert_eq!(list(10, &["v1", "v2"]), ["v1", "v2"]);
    assert_eq!(list(20, &["v2"]), ["v1", "v2"]);
    assert_eq!(list(130, &["v2"]), ["v1", "v2"]);
    assert_eq!(list(141, &["v2"]), ["v2"]);
    for n in 0..100 {
        list(200 + n, &[&format!("v{n}")]);
    }
    assert_eq!(list(300, &["v2"]).len(), 9);
}

/// Guards against IDs that are kept by several instances and may be of any size or content.
#[test_case("9c41d07be2a35f68", Ok(()); "usual")]
#[test_case(" 9c41 ", Ok(()); "with blanks around it")]
#[test_case("", Err(StreamIdError::Empty); "empty")]
#[test_case("a b", Err(StreamIdError::BadCharacter); "with a blank in it")]
#[test_case("\u{7f}", Err(StreamIdError::BadCharacter); "with a control character")]
#[test_case(&"x".repeat(65), Err(StreamIdError::TooLong); "too long")]
fn ids_of_streams_are_checked(text: &str, expected: Result<(), StreamIdError>) {
    assert_eq!(StreamId::try_from(text).map(|_| ()), expected);
}

/// Guards against an instance that exchanges origins with all others of a large fleet.
#[test_case(985)]
#[test_case(1_970)]
fn few_instances_keep_origins_in_a_large_fleet(count: u64) {
    let entry = |n: u64| InstanceEntry {
        incarnation: Incarnation::new(n + 1),
        caller_address: SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 80)),
        peer_address: SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 81)),
        zone: Name::try_from("a").expect("a name"),
        strength: Strength::from_step(u32::from(n < 50)),
        leaving: false,
    };
    let fleet: Vec<InstanceEntry> = (0..count).map(entry).collect();
    let keepers = (0..8).flat_map(|part| {
        let shard = Shard {
            zone: None,
            part,
            parts: 8,
        };
        rank_owners(&shard, fleet.iter(), 3)
    });
    let distinct: HashSet<SocketAddr> = keepers.map(|e| e.peer_address).collect();
    assert!(distinct.len() <= 24, "{}", distinct.len());
}

/// Guards against taking the entry of an earlier start for that of the process that answered, and
/// against doubting streams whose version a later proof has shown.
#[test_case(0, None, None, None; "no start is told")]
#[test_case(1, Some((1, "v1")), Some(1_500), None; "listed and proven later")]
#[test_case(1, None, Some(1_500), None; "gone and proven later")]
#[test_case(1, Some((1, "v1")), Some(1_499), Some(VersionCertainty::UntilProof(MonoTime::from_millis(1_500))); "proven too early")]
#[test_case(1, Some((1, "v1")), None, Some(VersionCertainty::UntilProof(MonoTime::from_millis(1_500))); "never proven")]
#[test_case(1, Some((2, "v2")), Some(9_000), Some(VersionCertainty::Uncertain); "started again as another version")]
#[test_case(1, Some((2, "v1")), None, None; "started again as the same version")]
fn the_version_that_began_a_stream_is_certain_once_proven(
    start_ms: u64,
    listed: Option<(u64, &str)>,
    proven_ms: Option<u64>,
    doubt: Option<VersionCertainty>,
) {
    let start = |ms| match ms {
        0 => UpstreamStart::UNKNOWN,
        ms => UpstreamStart::at_millis(ms),
    };
    let beginning = StreamBeginning {
        upstream: "u".into(),
        start: start(start_ms),
        sent_at: MonoTime::from_millis(1_000),
    };
    let listed = listed.map(|(ms, software)| (start(ms), version(software)));
    let evidence = VersionEvidence {
        listed: listed.as_ref().map(|(start, software)| (*start, software)),
        proven_at: proven_ms.map(MonoTime::from_millis),
    };
    let judged = judge_version(&beginning, &version("v1"), evidence);
    assert_eq!(judged, doubt.unwrap_or(VersionCertainty::Certain));
}
