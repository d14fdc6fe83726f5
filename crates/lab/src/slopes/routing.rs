//! Choosing an upstream, and following the list of them.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use jd_backing::Listed;
use jd_backing::ListedState;
use jd_coord::UpstreamList;
use jd_policy::PickRequest;
use jd_policy::PoolTable;
use jd_policy::RoutingPolicy;
use jd_policy::Upstream;
use jd_types::AttemptOutcome;
use jd_types::MonoTime;
use jd_types::Name;

use crate::slopes::Meter;
use crate::slopes::Slope;
use crate::slopes::heartbeat::address;
use crate::slopes::heartbeat::member;

/// Sizes of a pool: today's, a model's engines at the target, all engines.
const POOL: [usize; 4] = [18, 50, 857, 12_000];

pub(super) fn measure(meter: &Meter<'_>) -> Vec<Slope> {
    let hall = member(0).hall;
    let pick = |affinity: Option<u64>| {
        let hall = hall.clone();
        let mut rng = Rng::with_seed(1);
        move |table: &mut PoolTable, n: u64| {
            let affinity = affinity.map(|a| a + n % 64);
            let req = PickRequest {
                zone: &hall,
                affinity,
                exclude: &[],
            };
            table.pick(
                RoutingPolicy::TwoChoices,
                MonoTime::from_millis(5_000),
                &req,
                &mut rng,
            )
        }
    };
    vec![
        meter.time(
            "routing: one choice",
            "upstreams of the pool",
            &POOL,
            pool,
            pick(None),
        ),
        meter.time(
            "routing: one choice by prefix",
            "upstreams of the pool",
            &POOL,
            pool,
            pick(Some(1)),
        ),
        meter.memory("routing: table", "upstreams of the pool", &POOL, pool),
        meter.time(
            "routing: make a table",
            "upstreams of the pool",
            &POOL,
            |n| n,
            |n, _| pool(*n),
        ),
        meter.message(
            "upstream list: one answer",
            "upstreams listed",
            &POOL,
            |n| serde_json::to_string(&list(n).1).map_or(0, |s| s.len()),
        ),
        meter.memory("upstream list", "upstreams listed", &POOL, listed),
        meter.time(
            "upstream list: one reading",
            "upstreams listed",
            &[18, 50, 857],
            list,
            |s, n| s.0.read(MonoTime::from_millis(n), &s.1),
        ),
    ]
}

fn pool(count: usize) -> PoolTable {
    let upstream = |i: usize| {
        let upstream = Upstream::new(address(i), hall_of(i), MonoTime::ZERO);
        upstream.attempt_started();
        let took = Duration::from_millis(20 + i as u64 % 7);
        upstream.attempt_finished(MonoTime::from_millis(1), took, AttemptOutcome::Answered);
        Arc::new(upstream)
    };
    PoolTable::new((0..count).map(upstream).collect(), 8, &member(0).hall)
}

fn hall_of(i: usize) -> Name {
    member(i % 30 * 37).hall
}

fn list(count: usize) -> (UpstreamList, Vec<Listed>) {
    let pool = Name::try_from("engines").ok();
    let listed: Vec<Listed> = (0..count)
        .map(|i| Listed {
            address: address(i),
            pool: pool.clone(),
            hall: hall_of(i),
            state: ListedState::Live,
        })
        .collect();
    let mut list = UpstreamList::default();
    list.read(MonoTime::ZERO, &listed);
    (list, listed)
}

fn listed(count: usize) -> UpstreamList {
    list(count).0
}
