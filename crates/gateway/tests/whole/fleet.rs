//! Many gateways that share one store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_wire::FollowRequest;
use jd_wire::Proof;

use crate::fakes::FakeStore;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::deployment;

/// With a watch of each of twenty instances, the store answers each change twenty times;
/// at seventy-five, its rate limit and its cost were exceeded. Two instances watch and
/// pass changes on, and an added route must still reach all instances.
#[test]
fn a_change_reaches_instances_that_do_not_watch_the_store() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    harness.add_gateways(19);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.until_two_watch().await;
        harness.store.change(second_version());
        harness.until_all_answer("/added/x", 200).await;
        harness.until_all_answer("/any/x", 404).await;
        harness.until_two_watch().await;
    });
}

/// The store refuses just the instances that the others follow, and an upstream leaves.
/// The others took the refusal for an outage of the store and the removed entry for one
/// that had lapsed: the upstream got requests for eight seconds after it had left.
#[test]
fn a_change_arrives_though_the_store_refuses_the_readers() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    harness.add_gateways(19);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.until_two_watch().await;
        let others = harness.turn_away_watching();
        harness.store.change(second_version());
        harness.until_served_by("/added/x", others).await;
        harness.store.change(Change::UpstreamRemoved("i-0".into()));
        let mut before = usize::MAX;
        while harness.upstreams[0].count() != before {
            before = harness.upstreams[0].count();
            for _ in 0..4 {
                harness.until_served_by("/added/x", others).await;
            }
        }
    });
}

/// Three hundred instances start at once and request more than the store allows in a
/// second. Each began again from the first page after a refused one, so that after a loss
/// of all of them the last instance served callers only after eight seconds.
#[test]
fn a_refused_page_alone_is_read_again() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")]; 5]);
    let store = harness.add_gateway(2, false);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        assert_eq!(store.full_reads(), 1);
    });
}

/// The same fleet starts while the store's rate limit is exceeded. Instances that had
/// loaded nothing polled the revision four times a second, which took the rate from those
/// that read.
#[test]
fn an_instance_that_has_loaded_nothing_polls_no_revision() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    let store = harness.add_gateway(0, true);
    block_on(async {
        while store.sample_reads() < 4 {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(store.revision_reads(), 0);
        store.set_unavailable(false);
        harness.until_all_answer("/any/x", 200).await;
    });
}

/// Half of a fleet is cut off from the store, among them the instances that read it for
/// the others. Each source said that it had lost the store only after a wait of a second
/// and a half, one after the other, and five seconds after a version was acknowledged it
/// was in force nowhere in one zone.
#[test]
fn an_instance_that_has_lost_the_store_says_so_at_once() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    let store = harness.add_gateway(0, false);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        store.set_unavailable(true);
        harness.until_all_answer("/any/x", 503).await;
        let asked = FollowRequest {
            after: 1_000,
            wait_ms: 1_500,
            // Ahead of everything that the other instance has.
            proof: Some(Proof {
                revision: 1_000,
                ms_ago: 0,
                era: 0,
            }),
            ..FollowRequest::default()
        };
        let began = Instant::now();
        assert!(harness.follow(asked).await.store_away);
        assert!(began.elapsed() < Duration::from_millis(700));
        // An immediate answer would make a requester that already knows of the outage
        // retry without a pause.
        let began = Instant::now();
        let asked = FollowRequest {
            knows_away: true,
            ..asked
        };
        assert!(harness.follow(asked).await.store_away);
        assert!(began.elapsed() > Duration::from_millis(1_400));
    });
}

/// The store refuses one instance of a small fleet, in which each instance reads the
/// store itself, and a route is added. That instance answered 404 on the route for as
/// long as the store refused it.
#[test]
fn an_instance_that_the_store_refuses_gets_a_later_version_from_the_others() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    harness.add_gateways(4);
    let refused = harness.add_gateway(0, false);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        refused.set_unavailable(true);
        let mut next = deployment();
        next.version = 2;
        next.routes[0].prefix = "/added/".into();
        next.routes[0].public = true;
        let next = Record::Deployment(Box::new(next));
        harness.store.change(Change::Put(next));
        let changed = Instant::now();
        while harness.ask_instance(4, "/added/x", "x").await.status != 200 {
            assert!(changed.elapsed() < Duration::from_secs(3), "not told");
            Timer::after(Duration::from_millis(20)).await;
        }
    });
}

/// A configuration in which another route replaces the first.
fn second_version() -> Change {
    let mut next = deployment();
    next.version = 2;
    next.routes[0].prefix = "/added/".into();
    Change::Put(Record::Deployment(Box::new(next)))
}

/// An instance is stopped for some seconds, and another one removes its entry. When it
/// ran again, callers were not given its address for the rest of the day, because nothing
/// told it of the removal.
#[test]
fn an_instance_whose_entry_was_removed_writes_it_again() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(async {
        harness.until_ready(true).await;
        let id = harness.until_announced(1).await;
        harness.store.change(Change::InstanceRemoved(id));
        assert_eq!(harness.until_announced(2).await, id);
    });
}

/// The same while the store refuses writes for a moment. The instance tried to write its
/// entry once, failed, and from then on only renewed the lease.
#[test]
fn writing_a_removed_entry_is_retried_until_it_succeeds() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(async {
        harness.until_ready(true).await;
        let id = harness.until_announced(1).await;
        harness.store.refuse_announcements(1);
        harness.store.change(Change::InstanceRemoved(id));
        assert_eq!(harness.until_announced(2).await, id);
    });
}

/// Instances join a running fleet. Each start read all records of the store, which took
/// 2.7 s of the store's link when 300 instances started at once. Now they read only the
/// list of instances from the store, and the rest from a relay. Those that become relays
/// themselves, two at most, read all records.
#[test]
fn a_start_in_a_fleet_reads_only_the_list_of_instances() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    harness.add_gateways(19);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.until_two_watch().await;
    });
    let stores: Vec<_> = (0..4).map(|_| harness.add_gateway(0, false)).collect();
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let read = |s: &&Arc<FakeStore>| s.full_reads() > 0;
        assert!(stores.iter().filter(read).count() <= 2);
        assert!(
            stores
                .iter()
                .all(|s| s.instance_list_reads() <= 1 && s.sample_reads() == 1)
        );
    });
}

/// The store stops answering the two instances that read it, and others take over. The
/// watches of the first two hung for half a minute: for that time they got no changes,
/// and ran requests that only an older configuration allows.
#[test]
fn readers_follow_others_once_their_watch_hangs() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    harness.add_gateways(19);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.until_two_watch().await;
        let began = Instant::now();
        harness.silence_watching();
        harness.store.change(second_version());
        harness.until_all_answer("/added/x", 200).await;
        assert!(began.elapsed() < Duration::from_secs(15));
    });
}

/// Guards against an instance that starts with what another one had before it lost the store,
/// although the store answers the starting one: it ran requests on a route that was dropped seconds
/// before.
#[test]
fn a_start_does_not_take_the_state_of_an_instance_that_has_lost_the_store() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    harness.add_gateways(19);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.until_two_watch().await;
        harness.turn_away_all();
        harness.until_all_answer("/any/x", 503).await;
        let mut next = deployment();
        next.version = 2;
        next.routes.retain(|r| r.name != "open");
        let next = Record::Deployment(Box::new(next));
        harness.store.change(Change::Put(next));
    });
    harness.add_gateway(0, false);
    block_on(async {
        let answered = loop {
            let received = harness.ask_instance(19, "/open/x", "x").await;
            if received.status != 503 {
                break received.status;
            }
            Timer::after(Duration::from_millis(5)).await;
        };
        assert_eq!(answered, 404, "served by a dropped route");
    });
}
