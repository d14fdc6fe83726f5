//! Upstreams that announce in their responses that they are shutting down.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_types::Name;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::crash_fleet::send_repeatedly;
use crate::fakes::upstream_notices::IN_FLIGHT_GRACE;
use crate::fakes::upstream_notices::LOAD;
use crate::fakes::upstream_notices::PAUSE;
use crate::fakes::upstream_notices::arrivals;
use crate::fakes::upstream_notices::assert_all_served;
use crate::fakes::upstream_notices::gateway;

/// Guards against further requests to an upstream that has announced its shutdown in its
/// responses while the store still lists it as ready.
#[test_case("/any/x", 0; "plain")]
#[test_case("/stream/x", 0; "streamed")]
#[test_case("/staged/x", 0; "after stages")]
#[test_case("/staged/x", 3; "pieces")]
fn an_upstream_that_announces_its_shutdown_gets_nothing_new(path: &'static str, leaving: usize) {
    let harness = gateway(3);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[leaving].announce_leaving();
        send_repeatedly(&harness, path, PAUSE, IN_FLIGHT_GRACE).await;
        let measured_from = Instant::now();
        assert_all_served(&send_repeatedly(&harness, path, PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[leaving], measured_from, Instant::now());
        assert_eq!(late, 0, "sent after the upstream announced its shutdown");
    });
}

/// The same during a store outage, in which no entry can be updated, and after it, when the
/// entry still says that the upstream is ready.
#[test]
fn an_upstream_that_announces_its_shutdown_is_avoided_during_a_store_outage() {
    let harness = gateway(3);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.set_unavailable(true);
        harness.upstreams[0].announce_leaving();
        send_repeatedly(&harness, "/open/x", PAUSE, IN_FLIGHT_GRACE).await;
        let measured_from = Instant::now();
        assert_all_served(&send_repeatedly(&harness, "/open/x", PAUSE, LOAD).await);
        harness.store.set_unavailable(false);
        harness.set_cold(0, Duration::ZERO);
        assert_all_served(&send_repeatedly(&harness, "/open/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], measured_from, Instant::now());
        assert_eq!(late, 0, "sent after the upstream announced its shutdown");
    });
}

/// Guards against requests to an upstream that announced its shutdown while its zone was
/// evacuated, after the zone is taken back.
#[test]
fn an_upstream_that_shuts_down_in_an_evacuated_zone_is_avoided_after_the_zone_is_taken_back() {
    let harness = gateway(3);
    let zone = Name::try_from("b").expect("a name");
    block_on(async {
        harness.until_ready(true).await;
        harness.set_zone(0, "b");
        let held = send_until_held(&harness).await;
        harness
            .store
            .change(Change::Put(Record::EvacuatedZone(zone.clone())));
        wait_until_avoided(&harness).await;
        harness.upstreams[0].announce_leaving();
        drop(held.0);
        assert_eq!(held.1.await.status, 200);
        harness.store.change(Change::EvacuationEnded(zone));
        let measured_from = Instant::now();
        assert_all_served(&send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], measured_from, Instant::now());
        assert_eq!(late, 0, "sent after the upstream announced its shutdown");
    });
}

/// The response that announces the shutdown breaks off after its head.
#[test]
fn a_response_that_breaks_off_still_announces_the_shutdown() {
    let harness = gateway(2);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[0].set_replies(vec![Reply::Stream {
            parts: &["id: 1\ndata: a\n\n"],
            cut: true,
        }]);
        harness.upstreams[0].announce_leaving();
        send_repeatedly(&harness, "/any/x", PAUSE, IN_FLIGHT_GRACE).await;
        let measured_from = Instant::now();
        assert_all_served(&send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], measured_from, Instant::now());
        assert_eq!(late, 0, "sent after the upstream announced its shutdown");
    });
}

/// Another upstream has the address now and refuses the request. Its notices must not be applied
/// to the upstream that the request was meant for.
#[test]
fn notices_of_another_upstream_at_the_address_are_ignored() {
    let harness = gateway(1);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[0].set_replies(vec![Reply::Misdirected]);
        harness.upstreams[0].announce_leaving();
        harness.upstreams[0].set_limit(Some("1"));
        harness.ask("/once/x", "misdirected").await;
        assert!(harness.upstreams[0].count() > 0);
        for counter in [
            "jd_gateway_limited_upstreams",
            "jd_gateway_upstream_notices_total{kind=\"leaving\"}",
        ] {
            assert_eq!(harness.counter_total(counter).await, 0, "{counter}");
        }
    });
}

/// An entry outlasts its upstream, and another upstream has the address and refuses all requests.
/// The upstream is avoided until its entry is written again.
#[test]
fn an_upstream_whose_address_is_taken_is_avoided_until_its_entry_is_written_again() {
    let harness = gateway(2);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[0].set_replies(vec![Reply::Misdirected]);
        assert_all_served(&send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await);
        let sent = harness.upstreams[0].count();
        assert!(sent <= 2, "{sent} requests were refused");
        harness.upstreams[0].set_replies(vec![Reply::Complete("its answer")]);
        harness.set_cold(0, Duration::from_millis(1));
        while harness.upstreams[0].count() == sent {
            harness.ask("/any/x", "later").await;
        }
    });
}

/// Sends requests until the first upstream holds one, which it answers once the returned sender
/// is dropped.
async fn send_until_held(harness: &Arc<Harness>) -> (Sender<()>, Task<CallerResponse>) {
    let (tx, rx) = async_channel::bounded(1);
    harness.upstreams[0].set_replies(vec![Reply::UntilReleased(rx)]);
    loop {
        let received = harness.upstreams[0].count();
        let caller = Arc::clone(harness);
        let response = harness.spawn(async move { caller.ask("/any/x", "held").await });
        let answered = async {
            while harness.upstreams[0].count() == received && !response.is_finished() {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        answered.await;
        if harness.upstreams[0].count() > received {
            harness.upstreams[0].set_replies(vec![Reply::Complete("its answer")]);
            return (tx, response);
        }
        response.await;
    }
}

/// Waits until no new requests reach the first upstream.
async fn wait_until_avoided(harness: &Arc<Harness>) {
    loop {
        let received = harness.upstreams[0].count();
        send_repeatedly(harness, "/any/x", PAUSE, IN_FLIGHT_GRACE).await;
        if harness.upstreams[0].count() == received {
            return;
        }
    }
}
