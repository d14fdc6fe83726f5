//! Evacuation of availability zones by the operator, tested on a whole gateway.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_types::Name;

use crate::fakes::Harness;
use crate::fakes::Reply;

fn zone(name: &str) -> Name {
    Name::try_from(name).expect("a name")
}

/// A gateway with two upstreams, the second in another zone.
fn two_zones() -> Harness {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    harness.set_zone(1, "b");
    harness
}

async fn until_caught_up(harness: &Harness) {
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// The operator evacuates a zone and switches its upstreams off some seconds later.
/// Instances did not read the evacuation record, went on sending requests to the zone,
/// and these were lost with the upstreams. The evacuated zone is the one that this
/// instance prefers.
#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let harness = two_zones();
    block_on(async {
        harness.until_ready(true).await;
        assert_eq!(harness.ask("/any/x", "first").await.body, "a");
        harness
            .store
            .change(Change::Put(Record::EvacuatedZone(zone("a"))));
        until_caught_up(&harness).await;
        for n in 0..40 {
            let received = harness.ask("/any/x", &n.to_string()).await;
            assert_eq!(received.body, "b");
        }
        harness.store.change(Change::EvacuationEnded(zone("a")));
        until_caught_up(&harness).await;
        while harness.ask("/any/x", "later").await.body != "a" {}
    });
}

/// All zones that have an upstream are evacuated. No upstream is left, and the caller is
/// refused at once, as not run.
#[test]
fn a_request_is_refused_as_not_run_while_all_zones_are_evacuated() {
    let harness = two_zones();
    block_on(async {
        harness.until_ready(true).await;
        for name in ["a", "b"] {
            let evacuated = Record::EvacuatedZone(zone(name));
            harness.store.change(Change::Put(evacuated));
        }
        until_caught_up(&harness).await;
        let received = harness.ask("/once/x", "1").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
    });
}

/// An instance starts while a zone is evacuated. It reads the evacuation with the other
/// records of the store, before it serves.
#[test]
fn an_instance_that_starts_knows_which_zones_are_evacuated() {
    let mut harness = two_zones();
    block_on(async {
        harness.until_ready(true).await;
        let evacuated = Record::EvacuatedZone(zone("a"));
        harness.store.change(Change::Put(evacuated));
        until_caught_up(&harness).await;
        harness.restart_gateways();
        harness.until_ready(true).await;
        for n in 0..40 {
            harness.ask("/any/x", &n.to_string()).await;
        }
        assert_eq!(harness.upstreams[0].count(), 0);
    });
}
