//! The cost of changes, queries and requests as the fleet grows, in visited entries.

#![allow(clippy::expect_used)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jd_serving::BootstrapSources;
use jd_serving::InstanceEntry;
use jd_serving::RecentShards;
use jd_serving::Shard;
use jd_serving::ShardMap;
use jd_serving::SnapshotKind;
use jd_serving::SoftwareVersion;
use jd_serving::StoreItem;
use jd_serving::StoreMirror;
use jd_serving::StoreRevision;
use jd_serving::Strength;
use jd_serving::UpstreamDirectory;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_serving::heartbeat_peers;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamId;
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
        software: SoftwareVersion::default(),
        id: UpstreamId::try_from(format!("u{n}").as_str()).expect("an identity"),
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

/// A relay must not visit all records for each follower at each change.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn updates_for_a_follower_visit_only_changed_records(records: u64) {
    let mut mirror = mirror_of(records);
    let changes = vec![
        record(7, records + 1),
        removal(8, records + 2),
        record(9, records + 3),
    ];
    mirror.apply(changes, rev(records + 3));
    let visited_before = mirror.visited();
    for _ in 0..95 {
        assert_eq!(mirror.updates_since(rev(records)).items.len(), 3);
    }
    let visited = mirror.visited() - visited_before;
    assert!(visited <= 95 * 6, "{visited} visited");
}

/// Followers must not all be sent all records because many upstreams left at once.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn removing_a_sixth_of_all_records_needs_no_full_update(records: u64) {
    let mut mirror = mirror_of(records);
    let removed = records / 6;
    let removals = (0..removed).map(|n| removal(n, records + n + 1)).collect();
    mirror.apply(removals, rev(records + removed));
    let update = mirror.updates_since(rev(records));
    assert!(!update.is_full);
    assert_eq!(update.items.len() as u64, removed);
}

/// A rolling release must not visit all upstreams for each entry that is written.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn a_changed_entry_visits_only_related_entries(upstreams: u64) {
    let now = MonoTime::from_micros(1);
    let mut directory = UpstreamDirectory::default();
    let all = (0..upstreams).map(|n| upstream(n, false)).collect();
    directory.replace(now, all, SnapshotKind::Complete);
    let visited_before = directory.visited();
    for n in 0..100 {
        assert!(directory.put(now, upstream(n, true)));
        assert!(directory.remove(now, &format!("u{n}")));
        assert!(!directory.expire(now));
    }
    let visited = directory.visited() - visited_before;
    assert!(visited <= 100, "{visited} visited");
}

/// A full snapshot must not compare each entry with each other one.
#[test_case(1_000)]
#[test_case(10_000)]
#[test_case(20_000)]
fn a_snapshot_visits_each_entry_at_most_twice(upstreams: u64) {
    let now = MonoTime::from_micros(1);
    let mut directory = UpstreamDirectory::default();
    let all = || (0..upstreams).map(|n| upstream(n, false)).collect();
    directory.replace(now, all(), SnapshotKind::Complete);
    let visited_before = directory.visited();
    assert!(!directory.replace(now, all(), SnapshotKind::Complete));
    let visited = directory.visited() - visited_before;
    assert!(visited <= 2 * upstreams, "{visited} visited");
}

fn instance(n: u32, strong: u32) -> InstanceEntry {
    let [_, a, b, c] = n.to_be_bytes();
    let at = |port: u16| SocketAddr::from(([10, a, b, c], port));
    InstanceEntry {
        incarnation: Incarnation::new(jd_types::splitmix64(u64::from(n)) >> 1),
        caller_address: at(80),
        peer_address: at(81),
        zone: zone(n),
        strength: match n < strong {
            true => Strength::new(50, 200),
            false => Strength::new(12, 20),
        },
        leaving: false,
    }
}

fn zone(n: u32) -> Name {
    Name::try_from(["a", "b", "c", "d", "e"][n as usize % 5]).expect("a name")
}

/// Heartbeats must not grow with the fleet or with the number of shards: each instance uses a few
/// shards, and exchanges heartbeats with the same few peers at any size.
#[test_case(300, 12; "300 instances")]
#[test_case(985, 50; "985 instances")]
#[test_case(2_000, 50; "2000 instances in front of twice the upstreams")]
fn heartbeat_peers_do_not_grow_with_the_fleet(instances: u32, strong: u32) {
    let fleet: Vec<InstanceEntry> = (0..instances).map(|n| instance(n, strong)).collect();
    let upstreams = instances * 5;
    let zones: Vec<Name> = (0..upstreams).map(zone).collect();
    let shards = ShardMap::new(zones.iter().map(|zone| ("rank", zone)));
    let all: Vec<&Shard> = shards.shards().collect();
    for n in (0..instances).step_by(37) {
        let me = &fleet[n as usize];
        let others: Vec<InstanceEntry> = fleet.iter().filter(|e| *e != me).cloned().collect();
        let mut recent = RecentShards::default();
        let at = |s: u32| MonoTime::ZERO + Duration::from_secs(s.into());
        // One request with stages every four seconds at each instance.
        for s in 0..20 {
            let shard = all[(n + s * 7) as usize % all.len()];
            recent.record_use(at(s * 4), shard);
        }
        let shards = recent.monitored(at(77), &shards);
        let peers = heartbeat_peers(me, &others, &shards, Some(fleet[0].incarnation));
        assert!(peers.len() <= 8, "{} peers", peers.len());
        assert!(!peers.contains(&me.incarnation));
    }
}

/// An instance with many requests monitors a bounded number of owners.
#[test]
fn a_busy_instance_monitors_the_most_recently_used_owners() {
    let fleet: Vec<InstanceEntry> = (0..985).map(|n| instance(n, 50)).collect();
    let zones: Vec<Name> = (0..1_500).map(zone).collect();
    let shards = ShardMap::new(zones.iter().map(|zone| ("rank", zone)));
    let mut recent = RecentShards::default();
    let now = MonoTime::from_micros(1);
    for (n, shard) in shards.shards().enumerate() {
        assert!(recent.record_use(now + Duration::from_millis(n as u64), shard));
        assert!(!recent.record_use(now + Duration::from_millis(n as u64), shard));
    }
    let late = now + Duration::from_millis(200);
    let last = shards.shards().last().cloned().expect("a shard");
    let monitored = recent.monitored(late, &shards);
    assert!(monitored.contains(&last));
    let peers = heartbeat_peers(&fleet[100], &fleet[..100], &monitored, None);
    assert!(peers.len() <= 19, "{} peers", peers.len());
    assert!(
        recent
            .monitored(late + Duration::from_secs(6), &shards)
            .is_empty()
    );
}

/// Instances must not all read the complete list of instances at their start: 985 of them kept the
/// store's link busy for ten seconds.
#[test_case(300, 12; "300 instances")]
#[test_case(985, 50; "985 instances")]
#[test_case(2_000, 100; "2000 instances")]
#[test_case(985, 0; "985 instances, none of them strong")]
fn a_few_dozen_instances_read_the_store_when_all_start(instances: u32, strong: u32) {
    let fleet: Vec<InstanceEntry> = (0..instances).map(|n| instance(n, strong)).collect();
    let bits = |e: &InstanceEntry| e.incarnation.get() >> 59;
    let mut queries: HashMap<SocketAddr, u32> = HashMap::new();
    for me in &fleet {
        let sample = fleet.iter().filter(|e| bits(e) == bits(me) && *e != me);
        let sample: Vec<InstanceEntry> = sample.cloned().collect();
        assert!(
            sample.len() as u32 <= instances / 8,
            "{} read",
            sample.len()
        );
        let sources = BootstrapSources::from_sample(me.incarnation, &sample);
        let first = sources.expect("a large fleet").next_source();
        *queries.entry(first.expect("a source")).or_default() += 1;
    }
    assert!(queries.len() <= 16 * 3, "{} read the store", queries.len());
    let most = queries.values().max().copied().unwrap_or_default();
    assert!(most <= instances / 12, "one serves {most}");
}

/// A starting instance must not query dead sources forever, or only the same one.
#[test]
fn unresponsive_sources_are_replaced_by_the_next() {
    let sample: Vec<InstanceEntry> = (0..40).map(|n| instance(n, 3)).collect();
    let sources = BootstrapSources::from_sample(Incarnation::new(1), &sample);
    let mut sources = sources.expect("a large fleet");
    let mut seen = Vec::new();
    while let Some(source) = sources.next_source() {
        assert!(!seen.contains(&source));
        seen.push(source);
        sources.remove_unresponsive(source);
    }
    assert!(seen.len() > 2);
    assert!(BootstrapSources::from_sample(Incarnation::new(1), &sample[..9]).is_none());
}

/// Weak instances must not all read the store because a part of the fleet queries them: stronger
/// instances, where there are any, have read it sooner.
#[test]
fn a_weak_instance_leaves_reading_the_store_to_a_stronger_one() {
    let sample: Vec<InstanceEntry> = (0..40).map(|n| instance(n, 3)).collect();
    let sources = BootstrapSources::from_sample(Incarnation::new(1), &sample);
    let sources = sources.expect("a large fleet");
    assert!(sources.store_read_delay(sample[0].strength).is_zero());
    assert!(!sources.store_read_delay(sample[30].strength).is_zero());
    let weak = BootstrapSources::from_sample(Incarnation::new(1), &sample[10..]);
    let weak = weak.expect("a large fleet");
    assert!(weak.store_read_delay(sample[30].strength).is_zero());
}
