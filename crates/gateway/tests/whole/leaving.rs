//! Upstreams that say in their answers that they leave.

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

/// Requests go on to an upstream that has said in its answers that it leaves, since the
/// store goes on listing it as ready.
#[test_case("/any/x", 0; "plain")]
#[test_case("/stream/x", 0; "streamed")]
#[test_case("/staged/x", 0; "after stages")]
#[test_case("/staged/x", 3; "pieces")]
fn an_upstream_that_says_it_leaves_gets_nothing_new(path: &'static str, leaving: usize) {
    let harness = gateway(3);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[leaving].announce_leaving();
        send_repeatedly(&harness, path, PAUSE, IN_FLIGHT_GRACE).await;
        let counted = Instant::now();
        assert_all_served(&send_repeatedly(&harness, path, PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[leaving], counted, Instant::now());
        assert_eq!(late, 0, "sent after it had said that it leaves");
    });
}

/// The same while the store is away, so that no entry can say so, and after its return, when
/// the entry still says that the upstream is ready.
#[test]
fn an_upstream_that_says_it_leaves_is_left_while_the_store_is_away() {
    let harness = gateway(3);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.set_unavailable(true);
        harness.upstreams[0].announce_leaving();
        send_repeatedly(&harness, "/open/x", PAUSE, IN_FLIGHT_GRACE).await;
        let counted = Instant::now();
        assert_all_served(&send_repeatedly(&harness, "/open/x", PAUSE, LOAD).await);
        harness.store.set_unavailable(false);
        harness.set_cold(0, Duration::ZERO);
        assert_all_served(&send_repeatedly(&harness, "/open/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], counted, Instant::now());
        assert_eq!(late, 0, "sent after it had said that it leaves");
    });
}

/// The upstream says so while its zone is evacuated, and gets requests again with the zone.
#[test]
fn an_upstream_that_leaves_in_an_evacuated_zone_is_left_when_the_zone_is_taken_back() {
    let harness = gateway(3);
    let zone = Name::try_from("b").expect("a name");
    block_on(async {
        harness.until_ready(true).await;
        harness.set_zone(0, "b");
        let held = until_held(&harness).await;
        harness
            .store
            .change(Change::Put(Record::EvacuatedZone(zone.clone())));
        until_left(&harness).await;
        harness.upstreams[0].announce_leaving();
        drop(held.0);
        assert_eq!(held.1.await.status, 200);
        harness.store.change(Change::EvacuationEnded(zone));
        let counted = Instant::now();
        assert_all_served(&send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], counted, Instant::now());
        assert_eq!(late, 0, "sent after it had said that it leaves");
    });
}

/// An answer that says so breaks after its head.
#[test]
fn an_answer_that_breaks_still_says_that_its_upstream_leaves() {
    let harness = gateway(2);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[0].set_replies(vec![Reply::Stream {
            parts: &["id: 1\ndata: a\n\n"],
            cut: true,
        }]);
        harness.upstreams[0].announce_leaving();
        send_repeatedly(&harness, "/any/x", PAUSE, IN_FLIGHT_GRACE).await;
        let counted = Instant::now();
        assert_all_served(&send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], counted, Instant::now());
        assert_eq!(late, 0, "sent after it had said that it leaves");
    });
}

/// Another upstream has been given the address. It refuses, and what it says of itself must not
/// count for the one that was asked.
#[test]
fn what_another_upstream_at_the_address_says_is_not_the_word_of_the_one_asked() {
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

/// An entry outlasts its upstream, whose address another has: all that is sent there comes back.
/// Once its entry is written again it is used.
#[test]
fn an_upstream_whose_address_another_has_is_left_until_it_is_written_again() {
    let harness = gateway(2);
    block_on(async {
        harness.until_ready(true).await;
        harness.upstreams[0].set_replies(vec![Reply::Misdirected]);
        assert_all_served(&send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await);
        let sent = harness.upstreams[0].count();
        assert!(sent <= 2, "{sent} requests came back");
        harness.upstreams[0].set_replies(vec![Reply::Complete("its answer")]);
        harness.set_cold(0, Duration::from_millis(1));
        while harness.upstreams[0].count() == sent {
            harness.ask("/any/x", "later").await;
        }
    });
}

/// A request that the first upstream works on until the sender is dropped.
async fn until_held(harness: &Arc<Harness>) -> (Sender<()>, Task<CallerResponse>) {
    let (tx, rx) = async_channel::bounded(1);
    harness.upstreams[0].set_replies(vec![Reply::UntilReleased(rx)]);
    loop {
        let asked = harness.upstreams[0].count();
        let caller = Arc::clone(harness);
        let asking = harness.spawn(async move { caller.ask("/any/x", "held").await });
        let answered = async {
            while harness.upstreams[0].count() == asked && !asking.is_finished() {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        answered.await;
        if harness.upstreams[0].count() > asked {
            harness.upstreams[0].set_replies(vec![Reply::Complete("its answer")]);
            return (tx, asking);
        }
        asking.await;
    }
}

/// Waits until nothing new goes to the first upstream.
async fn until_left(harness: &Arc<Harness>) {
    loop {
        let asked = harness.upstreams[0].count();
        send_repeatedly(harness, "/any/x", PAUSE, IN_FLIGHT_GRACE).await;
        if harness.upstreams[0].count() == asked {
            return;
        }
    }
}
