//! Division of the upstreams of stages into shards, and the choice of a shard for a request.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::InstanceEntry;
use jd_serving::Shard;
use jd_serving::ShardMap;
use jd_serving::Strength;
use jd_serving::rank_owners;
use jd_types::Incarnation;
use jd_types::Name;
use test_case::test_case;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a name")
}

/// The upstreams of one service, `counts` of them in each zone.
fn map(counts: &[(&str, usize)]) -> ShardMap {
    let zones: Vec<Name> = counts
        .iter()
        .flat_map(|(zone, n)| vec![name(zone); *n])
        .collect();
    ShardMap::new(zones.iter().map(|zone| ("rank", zone)))
}

fn zones(map: &ShardMap) -> Vec<Option<Name>> {
    map.shards().map(|s| s.zone.clone()).collect()
}

fn idle(_: &Shard) -> Option<Duration> {
    Some(Duration::ZERO)
}

#[test]
fn a_few_upstreams_form_one_shard() {
    assert_eq!(zones(&map(&[("a", 2), ("b", 2), ("c", 1)])), [None]);
}

#[test]
fn many_upstreams_are_divided_by_zone() {
    let shards = map(&[("a", 6), ("b", 6), ("c", 5)]);
    assert_eq!(
        zones(&shards),
        [Some(name("a")), Some(name("b")), Some(name("c"))]
    );
}

#[test]
fn a_zone_with_very_many_upstreams_has_several_shards() {
    let shards = map(&[("a", 30), ("b", 6)]);
    assert_eq!(shards.shards().count(), 4);
}

#[test]
fn every_upstream_is_in_one_shard() {
    let shards = map(&[("a", 30), ("b", 7)]);
    let all: Vec<(Name, usize)> = (0..30)
        .map(|n| (name("a"), n))
        .chain((0..7).map(|n| (name("b"), n)))
        .collect();
    let mut covered: Vec<&(Name, usize)> = shards
        .shards()
        .flat_map(|s| s.select_upstreams(all.iter(), |u| &u.0))
        .collect();
    covered.sort();
    let mut expected: Vec<&(Name, usize)> = all.iter().collect();
    expected.sort();
    assert_eq!(covered, expected);
}

#[test]
fn stages_run_where_their_results_are_read() {
    let shards = map(&[("a", 6), ("b", 6), ("c", 5)]);
    for hash in 0..100 {
        let zone = name("b");
        let chosen = shards.choose(hash, &["rank"], Some(&zone), 1_000, idle);
        assert_eq!(chosen.and_then(|s| s.zone), Some(zone));
    }
}

/// All upstreams of a zone are removed. Requests whose prompts are kept there must not be refused
/// while other zones run the same stages.
#[test]
fn a_zone_without_upstreams_is_skipped() {
    let shards = map(&[("a", 8), ("c", 8)]);
    let chosen = shards.choose(7, &["rank"], Some(&name("b")), 1_000, idle);
    assert!(chosen.is_some());
    assert_eq!(shards.choose(7, &["encode"], None, 0, idle), None);
}

/// One session attracts a third of all requests, and the zone of its upstream has a queue of two
/// seconds while the others are idle. If all instances sent all requests to another zone on that
/// report, the queue would only move there.
#[test]
fn a_popular_zone_moves_the_share_that_balances_the_queues() {
    let shards = map(&[("a", 6), ("b", 6), ("c", 5)]);
    let busy = |s: &Shard| match s.zone.as_ref().map(Name::as_str) {
        Some("a") => Some(Duration::from_secs(2)),
        _ => Some(Duration::ZERO),
    };
    let zone = name("a");
    let moved = (0..1_000).filter(|hash| {
        let chosen = shards.choose(*hash, &["rank"], Some(&zone), 36_000, busy);
        chosen.and_then(|s| s.zone) != Some(zone.clone())
    });
    let moved = moved.count();
    assert!((400..600).contains(&moved), "{moved} of 1000 moved");
}

/// A wait of two seconds does not justify that megabytes cross zones.
#[test]
fn large_results_stay_in_their_zone() {
    let shards = map(&[("a", 6), ("b", 6), ("c", 5)]);
    let busy = |s: &Shard| match s.zone.as_ref().map(Name::as_str) {
        Some("a") => Some(Duration::from_secs(2)),
        _ => Some(Duration::ZERO),
    };
    for hash in 0..100 {
        let zone = name("a");
        let chosen = shards.choose(hash, &["rank"], Some(&zone), 8_000_000, busy);
        assert_eq!(chosen.and_then(|s| s.zone), Some(zone));
    }
}

/// The part of the shards after a change that have the same upstreams and the same owner as before,
/// in a fleet of nine equal instances in three zones.
fn kept(before: &[(&str, &str, usize)], after: &[(&str, &str, usize)]) -> f64 {
    let (before, after) = (map_of(before), map_of(after));
    let instances: Vec<InstanceEntry> = (0..9_u8).map(instance).collect();
    let owner = |s: &Shard| rank_owners(s, instances.iter(), 1)[0].incarnation;
    let kept = after.shards();
    let kept = kept.filter(|s| before.shards().any(|b| b == *s && owner(b) == owner(s)));
    kept.count() as f64 / after.count() as f64
}

/// The upstreams of services, each given with the number of its upstreams in a zone.
fn map_of(counts: &[(&str, &str, usize)]) -> ShardMap {
    let all: Vec<(&str, Name)> = counts
        .iter()
        .flat_map(|(service, zone, n)| vec![(*service, name(zone)); *n])
        .collect();
    ShardMap::new(all.iter().map(|(service, zone)| (*service, zone)))
}

fn instance(n: u8) -> InstanceEntry {
    let address = SocketAddr::from(([10, 0, 0, n], 80));
    InstanceEntry {
        incarnation: Incarnation::new(u64::from(n)),
        caller_address: address,
        peer_address: address,
        zone: name(["a", "b", "c"][usize::from(n) % 3]),
        strength: Strength::default(),
        leaving: false,
    }
}

const SMALL: [(&str, &str, usize); 3] = [("rank", "a", 2), ("rank", "b", 2), ("rank", "c", 1)];
const LARGE: [(&str, &str, usize); 3] = [("rank", "a", 6), ("rank", "b", 6), ("rank", "c", 5)];

/// Guards against owners that change, and jobs that are handed over, with a configuration or with
/// upstreams that come and go.
#[test_case(&SMALL, &SMALL; "nothing")]
#[test_case(&SMALL, &[("rank", "a", 1), ("rank", "b", 2), ("rank", "c", 1)]; "an upstream less")]
#[test_case(&SMALL, &[("rank", "a", 4), ("rank", "b", 4), ("rank", "c", 4)]; "many upstreams more")]
#[test_case(&SMALL, &[SMALL[0], SMALL[1], SMALL[2], ("sort", "a", 2)]; "a service more")]
#[test_case(&LARGE, &LARGE; "nothing, by zone")]
#[test_case(&LARGE, &[("rank", "a", 5), ("rank", "b", 6), ("rank", "c", 5)]; "an upstream less, by zone")]
#[test_case(&LARGE, &[LARGE[0], LARGE[1], LARGE[2], ("sort", "a", 2)]; "a service more, by zone")]
#[test_case(&LARGE, &[LARGE[0], LARGE[1], ("rank", "c", 12)]; "many upstreams more, by zone")]
fn shards_and_their_owners_stay(before: &[(&str, &str, usize)], after: &[(&str, &str, usize)]) {
    assert!((kept(before, after) - 1.0).abs() < f64::EPSILON);
}
