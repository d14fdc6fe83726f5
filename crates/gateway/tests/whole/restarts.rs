//! Upstreams that start again under their identity, and entries of other writers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;

use crate::fakes::Harness;
use crate::fakes::Reply;

/// Waits until the gateway has seen all that the store holds.
async fn until_seen(harness: &Harness) {
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// An upstream starts again elsewhere under its identity. What was known of it, its
/// address included, was kept by identity, and requests went to where it had been.
#[test]
fn requests_go_to_where_an_upstream_has_started_again() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.change(Change::UpstreamRemoved("i-1".into()));
        harness.announce("i-0", 1, UpstreamStart::at_millis(9_000));
        until_seen(&harness).await;
        for n in 0..10 {
            let received = harness.ask("/any/x", &n.to_string()).await;
            assert_eq!(received.body, "b");
        }
    });
}

/// An upstream goes dark with a request and starts again. The request waited for the
/// earlier start until its time was nearly over, though it may run elsewhere.
#[test]
fn a_request_at_an_earlier_start_goes_on_elsewhere() {
    let (_tx, rx) = async_channel::bounded(1);
    let harness = Harness::start(vec![
        vec![Reply::UntilReleased(rx)],
        vec![Reply::Complete("b")],
    ]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        harness.announce("i-0", 0, UpstreamStart::at_millis(1_000));
        until_seen(&harness).await;
        let caller = Arc::clone(&harness);
        let began = Instant::now();
        let asking = harness.spawn(async move {
            let mut received = caller.ask("/any/x", "0").await;
            while caller.upstreams[0].count() == 0 {
                received = caller.ask("/any/x", "1").await;
            }
            received
        });
        while harness.upstreams[0].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        harness.announce("i-0", 0, UpstreamStart::at_millis(9_000));
        let received = asking.await;
        assert_eq!(received.body, "b");
        assert!(began.elapsed() < Duration::from_secs(5));
    });
}

/// Another writer leaves bytes under an upstream's identity. The upstream that had
/// been there stayed in use; now it is left out, and the other one holds.
#[test]
fn an_upstream_whose_entry_is_written_over_gets_nothing_new() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.change(Change::UpstreamUnreadable {
            id: "i-0".into(),
            reason: "no text".into(),
        });
        until_seen(&harness).await;
        let before = harness.upstreams[0].count();
        for n in 0..20 {
            let received = harness.ask("/any/x", &n.to_string()).await;
            assert_eq!(received.body, "b");
        }
        assert_eq!(harness.upstreams[0].count(), before);
    });
}
