//! Many gateways at one store.

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

/// Twenty instances that each watch the store are answered twenty times at each
/// change; at seventy-five the store's rate and its price ran out. Two watch and
/// tell the others, and a route that is added reaches all of them all the same.
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

/// The store turns away just the instances that the others follow, and an
/// upstream leaves. The others took the word of those for the store's absence and
/// the upstream's entry for one that had lapsed: it got requests for eight
/// seconds after it had left.
#[test]
fn a_change_arrives_though_those_that_watch_are_turned_away() {
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

/// Three hundred instances start at once and ask for more than the store allows in
/// a second. Each began anew after a refused page, so that after a loss of all of
/// them the last served callers after eight seconds.
#[test]
fn a_refused_page_is_asked_for_again_and_not_all_of_them() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("a")]; 5]);
    let store = harness.add_gateway(2, false);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        assert_eq!(store.full_reads(), 1);
    });
}

/// The same fleet starts while the store is beyond its rate. Instances that had
/// read nothing asked for proof of that four times a second, which took the rate
/// from those that read.
#[test]
fn an_instance_that_has_read_nothing_asks_for_no_proof() {
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

/// Half of a fleet is cut off from the store, the instances that read it for the others among
/// them. Each that was asked for news told that it has lost the store only after a wait of
/// a second and a half, one after the other, and a version was in force nowhere in a zone
/// five seconds after it was acknowledged.
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
            // Nothing that the other one has is news.
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
        // Who knows it already would ask again and again.
        let began = Instant::now();
        let asked = FollowRequest {
            knows_away: true,
            ..asked
        };
        assert!(harness.follow(asked).await.store_away);
        assert!(began.elapsed() > Duration::from_millis(1_400));
    });
}

/// The store turns one instance of a small fleet away, each of which reads the store itself, and a
/// route is added. That instance answered 404 there for as long as it was turned away.
#[test]
fn an_instance_that_is_turned_away_takes_a_later_version_from_the_others() {
    let mut harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    harness.add_gateways(4);
    let turned_away = harness.add_gateway(0, false);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        turned_away.set_unavailable(true);
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

/// A configuration with another route in the place of the first.
fn second_version() -> Change {
    let mut next = deployment();
    next.version = 2;
    next.routes[0].prefix = "/added/".into();
    Change::Put(Record::Deployment(Box::new(next)))
}

/// An instance stands still for some seconds, and another removes its entry. Awake
/// again it was named to nobody for the rest of the day: nothing told it.
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

/// The same while the store refuses writes for a moment. The entry was written again
/// once, in vain, and from then on only its lease was renewed.
#[test]
fn an_entry_that_could_not_be_written_again_is_tried_until_it_is() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")]]);
    block_on(async {
        harness.until_ready(true).await;
        let id = harness.until_announced(1).await;
        harness.store.refuse_announcements(1);
        harness.store.change(Change::InstanceRemoved(id));
        assert_eq!(harness.until_announced(2).await, id);
    });
}

/// Instances of a fleet start. Each start read all that the store holds, which at 300
/// that start at once took 2.7 s of the store's link; now one that relays tells it, and
/// the store is asked only who is there. Those that come to relay themselves, two at
/// most, read it whole.
#[test]
fn a_start_among_many_reads_nothing_but_who_is_there() {
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

/// The store falls silent to the two that read it, and others take their place. Their
/// own watches went on waiting for half a minute: they knew of no change for as long,
/// and ran requests that only an older configuration allows.
#[test]
fn those_that_read_hear_from_others_once_their_watch_hangs() {
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
