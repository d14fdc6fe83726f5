//! Upstreams that have just started, through a whole gateway.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_types::Name;

use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::cold_deployment;

/// Two upstreams, the second in another zone; each bears three requests a second while
/// it is cold.
fn two_upstreams() -> Harness {
    let record = Record::Deployment(Box::new(cold_deployment(3.0)));
    let replies = vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]];
    let harness = Harness::start_with(replies, vec![record]);
    harness.set_zone(1, "b");
    harness
}

async fn until_seen(harness: &Harness) {
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Asks thirty times within a moment; how many the first upstream answered.
async fn answered_by_first(harness: &Harness) -> usize {
    let before = harness.upstreams[0].count();
    for n in 0..30 {
        let received = harness.ask("/any/x", &n.to_string()).await;
        assert_eq!(received.status, 200);
    }
    harness.upstreams[0].count() - before
}

/// The near upstream has just started. All requests went there at once, more than it
/// bears, and it ended again; now the other one takes what is too much.
#[test]
fn a_cold_upstream_is_sent_no_more_than_it_bears() {
    let harness = two_upstreams();
    block_on(async {
        harness.until_ready(true).await;
        harness.set_cold(0, Duration::from_secs(60));
        until_seen(&harness).await;
        assert!(answered_by_first(&harness).await <= 3);
    });
}

/// A zone is taken back. Its upstreams may have started just before, and their entries
/// do not tell yet.
#[test]
fn upstreams_of_a_zone_that_was_taken_back_count_as_cold() {
    let harness = two_upstreams();
    block_on(async {
        harness.until_ready(true).await;
        assert!(answered_by_first(&harness).await > 3);
        let zone = Name::try_from("a").expect("a name");
        let evacuated = Record::EvacuatedZone(zone.clone());
        harness.store.change(Change::Put(evacuated));
        until_seen(&harness).await;
        harness.store.change(Change::EvacuationEnded(zone));
        until_seen(&harness).await;
        assert!(answered_by_first(&harness).await <= 3);
    });
}

/// Every upstream is cold and has been sent what it bears. The caller is told so at
/// once, with the time after which there will be room.
#[test]
fn a_booking_is_refused_as_not_run_while_no_upstream_bears_more() {
    let harness = two_upstreams();
    block_on(async {
        harness.until_ready(true).await;
        for upstream in [0, 1] {
            harness.set_cold(upstream, Duration::from_secs(60));
        }
        until_seen(&harness).await;
        let mut last = harness.ask("/once/x", "first").await;
        for n in 0..10 {
            last = harness.ask("/once/x", &n.to_string()).await;
        }
        assert_eq!(last.status, 503);
        assert_eq!(last.run.as_deref(), Some("not run"));
        let asked: usize = harness.upstreams.iter().map(|u| u.count()).sum();
        assert!(asked <= 6, "{asked}");
    });
}
