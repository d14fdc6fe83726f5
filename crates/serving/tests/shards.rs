//! How the upstreams of stages are divided, and which part a request goes to.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_serving::Shard;
use jd_serving::ShardMap;
use jd_types::Name;

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
fn a_few_upstreams_have_one_owner() {
    assert_eq!(zones(&map(&[("a", 2), ("b", 2), ("c", 1)])), [None]);
}

#[test]
fn many_upstreams_are_divided_by_zone() {
    let divided = map(&[("a", 6), ("b", 6), ("c", 5)]);
    assert_eq!(
        zones(&divided),
        [Some(name("a")), Some(name("b")), Some(name("c"))]
    );
}

#[test]
fn a_zone_with_very_many_upstreams_has_several_owners() {
    let divided = map(&[("a", 30), ("b", 6)]);
    assert_eq!(divided.shards().count(), 4);
}

#[test]
fn every_upstream_is_in_one_shard() {
    let divided = map(&[("a", 30), ("b", 7)]);
    let all: Vec<(Name, usize)> = (0..30)
        .map(|n| (name("a"), n))
        .chain((0..7).map(|n| (name("b"), n)))
        .collect();
    let mut had: Vec<&(Name, usize)> = divided
        .shards()
        .flat_map(|s| s.select_upstreams(all.iter(), |u| &u.0))
        .collect();
    had.sort();
    let mut expected: Vec<&(Name, usize)> = all.iter().collect();
    expected.sort();
    assert_eq!(had, expected);
}

#[test]
fn stages_run_where_their_results_are_read() {
    let divided = map(&[("a", 6), ("b", 6), ("c", 5)]);
    for place in 0..100 {
        let zone = name("b");
        let chosen = divided.choose(place, &["rank"], Some(&zone), 1_000, idle);
        assert_eq!(chosen.and_then(|s| s.zone), Some(zone));
    }
}

/// All upstreams of a zone are taken away. Requests whose prompts lie there
/// were refused although other zones do the same stages.
#[test]
fn a_zone_without_upstreams_is_passed_over() {
    let divided = map(&[("a", 8), ("c", 8)]);
    let chosen = divided.choose(7, &["rank"], Some(&name("b")), 1_000, idle);
    assert!(chosen.is_some());
    assert_eq!(divided.choose(7, &["encode"], None, 0, idle), None);
}

/// One session draws a third of all requests, and the zone of its upstream has
/// a queue of two seconds while the others are idle. If all instances sent
/// everything elsewhere on hearing that, the queue would only change places.
#[test]
fn a_popular_zone_hands_over_what_evens_the_queues_out() {
    let divided = map(&[("a", 6), ("b", 6), ("c", 5)]);
    let busy = |s: &Shard| match s.zone.as_ref().map(Name::as_str) {
        Some("a") => Some(Duration::from_secs(2)),
        _ => Some(Duration::ZERO),
    };
    let zone = name("a");
    let moved = (0..1_000).filter(|place| {
        let chosen = divided.choose(*place, &["rank"], Some(&zone), 36_000, busy);
        chosen.and_then(|s| s.zone) != Some(zone.clone())
    });
    let moved = moved.count();
    assert!((400..600).contains(&moved), "{moved} of 1000 moved");
}

/// Two seconds of waiting do not outweigh megabytes that cross zones.
#[test]
fn large_results_stay_in_their_zone() {
    let divided = map(&[("a", 6), ("b", 6), ("c", 5)]);
    let busy = |s: &Shard| match s.zone.as_ref().map(Name::as_str) {
        Some("a") => Some(Duration::from_secs(2)),
        _ => Some(Duration::ZERO),
    };
    for place in 0..100 {
        let zone = name("a");
        let chosen = divided.choose(place, &["rank"], Some(&zone), 8_000_000, busy);
        assert_eq!(chosen.and_then(|s| s.zone), Some(zone));
    }
}
