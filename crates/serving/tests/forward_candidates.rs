//! How an instance without a path finds others to forward requests to in a large fleet.

#![allow(clippy::expect_used, clippy::panic)]

use std::collections::HashSet;
use std::net::SocketAddr;

use jd_serving::InstanceEntry;
use jd_serving::Strength;
use jd_serving::forward_candidates;
use jd_types::Incarnation;
use jd_types::Name;
use test_case::test_case;

/// Instances whose incarnations are spread over the whole range.
fn fleet(size: u16) -> Vec<InstanceEntry> {
    let entry = |n: u16| {
        let address = SocketAddr::from(([127, 0, 0, 1], n));
        InstanceEntry {
            incarnation: Incarnation::new(u64::from(n) * 40_503 % 65_537 + 1),
            caller_address: address,
            peer_address: address,
            zone: Name::try_from("a").expect("a name"),
            strength: Strength::default(),
            leaving: false,
        }
    };
    (1..=size).map(entry).collect()
}

/// Guards against an instance that asks the same few others for good, which have lost their path
/// as well, and against one that asks the whole fleet at once.
#[test_case(30)]
#[test_case(300)]
#[test_case(985)]
fn rounds_reach_the_whole_fleet_a_few_instances_at_a_time(size: u16) {
    let fleet = fleet(size);
    let (me, others) = fleet.split_first().expect("an instance");
    let mut asked = HashSet::new();
    for round in 0..u64::from(size / 8) + 1 {
        let candidates: Vec<Incarnation> =
            forward_candidates(me.incarnation, others, round).collect();
        assert!(candidates.len() <= 8);
        asked.extend(candidates);
    }
    assert!(asked.len() + 8 >= others.len(), "{} asked", asked.len());
}

/// Guards against callers that are refused for seconds while most of a large fleet is cut off: six
/// in ten instances have lost their path.
#[test]
fn most_instances_find_another_within_three_rounds() {
    let fleet = fleet(300);
    let has_path = |id: Incarnation| id.get() % 10 >= 6;
    let mut found = 0;
    for (n, me) in fleet.iter().enumerate() {
        let others: Vec<InstanceEntry> = [&fleet[..n], &fleet[n + 1..]].concat();
        let in_rounds = (0..3).flat_map(|r| {
            let candidates = forward_candidates(me.incarnation, &others, r);
            candidates.collect::<Vec<Incarnation>>()
        });
        found += usize::from(in_rounds.filter(|id| has_path(*id)).count() >= 3);
    }
    assert!(found >= 290, "{found} of 300");
}
