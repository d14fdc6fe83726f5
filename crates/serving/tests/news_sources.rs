//! The sources from which instances receive store updates.

#![allow(clippy::expect_used, clippy::panic)]

use std::collections::HashMap;
use std::net::SocketAddr;

use jd_serving::InstanceEntry;
use jd_serving::SourceHealth;
use jd_serving::Strength;
use jd_serving::UpdateSource;
use jd_serving::update_source;
use jd_types::Incarnation;
use jd_types::Name;
use test_case::test_case;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// A fleet spread over a number of zones, with three instances of each zone stronger than the
/// others.
fn fleet(count: u16, zones: usize) -> Vec<InstanceEntry> {
    let entry = |n: u16| {
        let [high, low] = n.to_be_bytes();
        let address = |port| SocketAddr::from(([127, 0, high, low], port));
        let strong = usize::from(n) < zones * 3;
        InstanceEntry {
            incarnation: Incarnation::new(u64::from(n) * 7_919 + 1),
            caller_address: address(80),
            peer_address: address(90),
            zone: Name::try_from(ZONES[usize::from(n) % zones]).expect("a name"),
            strength: Strength::new(if strong { 50 } else { 12 }, 200),
            leaving: false,
        }
    };
    (0..count).map(entry).collect()
}

/// The source of each instance.
fn sources(
    all: &[InstanceEntry],
    state: impl Fn(Incarnation) -> SourceHealth,
) -> HashMap<Incarnation, UpdateSource> {
    let source = |me: &InstanceEntry| {
        let others = all.iter().filter(|e| e.incarnation != me.incarnation);
        (me.incarnation, update_source(me, others, &state))
    };
    all.iter().map(source).collect()
}

fn readers(sources: &HashMap<Incarnation, UpdateSource>) -> Vec<Incarnation> {
    let reads = |(_, source): &(&Incarnation, &UpdateSource)| **source == UpdateSource::Store;
    let mut readers: Vec<Incarnation> = sources.iter().filter(reads).map(|(id, _)| *id).collect();
    readers.sort_unstable();
    readers
}

/// Number of hops from the store to an instance; `None` if the sources form a cycle.
fn hops(sources: &HashMap<Incarnation, UpdateSource>, from: Incarnation) -> Option<usize> {
    let mut at = from;
    for hops in 0..10 {
        match sources.get(&at)?.instance() {
            None => return Some(hops),
            Some(id) => at = id,
        }
    }
    None
}

fn all_available(_: Incarnation) -> SourceHealth {
    SourceHealth::Available
}

/// When two instances of each zone watched the store, each change was sent to each of these
/// watches: ten calls for one change with five zones. Two readers suffice for a fleet of any
/// size.
#[test_case(20, 1)]
#[test_case(75, 3)]
#[test_case(295, 5)]
#[test_case(1_100, 5)]
fn two_instances_read_the_store_for_the_whole_fleet(count: u16, zones: usize) {
    let all = fleet(count, zones);
    let sources = sources(&all, all_available);
    assert_eq!(readers(&sources).len(), 2);
    for entry in &all {
        let hops = hops(&sources, entry.incarnation);
        assert!(hops.is_some_and(|s| s <= 2), "{hops:?}");
    }
    let mut followers: HashMap<Incarnation, u16> = HashMap::new();
    for source in sources.values() {
        if let Some(id) = source.instance() {
            *followers.entry(id).or_default() += 1;
        }
    }
    let most = followers.values().max().copied().unwrap_or(0);
    let of_zone = count.div_ceil(u16::try_from(zones).expect("a few zones"));
    assert!(most <= of_zone * 7 / 10 + 10, "{most} of {of_zone}");
}

/// The store rejects its two readers and serves the others. The next two candidates replace
/// them, and no instance follows one that receives no updates.
#[test]
fn readers_that_the_store_rejects_are_replaced() {
    let all = fleet(295, 5);
    let first = readers(&sources(&all, all_available));
    let health = |id| match first.contains(&id) {
        true => SourceHealth::StoreUnavailable,
        false => SourceHealth::Available,
    };
    let after = sources(&all, health);
    let next = readers(&after);
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|id| !first.contains(id)));
    assert!(all.iter().all(|e| hops(&after, e.incarnation).is_some()));
}

/// Both relays of a zone have lost power. The instances of the zone follow the next two
/// candidates, and other zones are not affected.
#[test]
fn unresponsive_relays_are_replaced_in_their_zone() {
    let all = fleet(295, 5);
    let before = sources(&all, all_available);
    let zone_a = |e: &&InstanceEntry| e.zone.as_str() == "a";
    let plain = all.iter().filter(zone_a);
    let mut relays: Vec<Incarnation> = plain
        .filter_map(|e| before[&e.incarnation].instance())
        .filter(|id| all.iter().any(|e| e.incarnation == *id && zone_a(&e)))
        .collect();
    relays.sort_unstable();
    relays.dedup();
    assert_eq!(relays.len(), 2);
    let health = |id| match relays.contains(&id) {
        true => SourceHealth::Unresponsive,
        false => SourceHealth::Available,
    };
    let after = sources(&all, health);
    let others = all.iter().filter(|e| !zone_a(e));
    for entry in others.filter(|e| !relays.contains(&e.incarnation)) {
        let source = before[&entry.incarnation].instance();
        let untouched = source.is_none_or(|id| !relays.contains(&id));
        if untouched {
            assert_eq!(before[&entry.incarnation], after[&entry.incarnation]);
        }
    }
    for entry in all.iter().filter(zone_a) {
        if let Some(id) = after[&entry.incarnation].instance() {
            assert!(!relays.contains(&id));
        }
    }
}

/// The store is unavailable to all instances. Each of 295 instances queried it on its own until it
/// was back; now only the candidates for readers and relays do.
#[test]
fn while_the_store_is_unavailable_a_few_instances_query_it() {
    let all = fleet(295, 5);
    let sources = sources(&all, |_| SourceHealth::StoreUnavailable);
    let asking = readers(&sources).len();
    assert!((2..=24).contains(&asking), "{asking} query the store");
}

/// No other instance answers: this instance is cut off from them but not from the store.
#[test]
fn an_instance_without_responsive_peers_reads_the_store() {
    let all = fleet(295, 5);
    let sources = sources(&all, |_| SourceHealth::Unresponsive);
    assert_eq!(readers(&sources).len(), all.len());
}

/// The store rejects the instance that a zone follows and serves the others. The zone continued
/// to follow it, and sent requests for three seconds to an upstream that had left.
#[test]
fn an_instance_that_has_lost_the_store_is_not_followed() {
    let all = fleet(40, 1);
    let before = sources(&all, all_available);
    // A weak instance, which is no candidate itself.
    let me = all[39].incarnation;
    let first = before[&me].instance().expect("a followed instance");
    let health = |id| match id == first {
        true => SourceHealth::StoreUnavailable,
        false => SourceHealth::Available,
    };
    let after = sources(&all, health)[&me];
    assert!(after.instance().is_some_and(|id| id != first), "{after:?}");
}

#[test]
fn in_a_small_fleet_every_instance_watches_the_store() {
    let sources = sources(&fleet(9, 3), all_available);
    assert_eq!(readers(&sources).len(), 9);
}
