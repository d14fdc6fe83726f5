//! Upstreams that restart under the same identity, and entries that other writers
//! overwrite.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;

use crate::fakes::Harness;
use crate::fakes::Reply;

/// Waits until the gateway has applied all changes of the store.
async fn until_caught_up(harness: &Harness) {
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// An upstream restarts at another address under the same identity. Its earlier address
/// was kept by identity, and requests went there.
#[test]
fn requests_go_to_the_new_address_of_a_restarted_upstream() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.change(Change::UpstreamRemoved("i-1".into()));
        harness.announce("i-0", 1, UpstreamStart::at_millis(9_000));
        until_caught_up(&harness).await;
        for n in 0..10 {
            let received = harness.ask("/any/x", &n.to_string()).await;
            assert_eq!(received.body, "b");
        }
    });
}

/// An upstream stops answering while it has a request, and restarts. The request waited
/// for the earlier start until its deadline was close, though it may run elsewhere.
#[test]
fn a_request_at_an_earlier_start_runs_again_elsewhere() {
    let (_tx, rx) = async_channel::bounded(1);
    let harness = Harness::start(vec![
        vec![Reply::UntilReleased(rx)],
        vec![Reply::Complete("b")],
    ]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        harness.announce("i-0", 0, UpstreamStart::at_millis(1_000));
        until_caught_up(&harness).await;
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

/// Another writer overwrites an upstream's entry with bytes that cannot be read. The
/// upstream stayed in use; now it is excluded, and the other upstream gets the requests.
#[test]
fn an_upstream_whose_entry_is_overwritten_gets_no_requests() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.change(Change::UpstreamUnreadable {
            id: "i-0".into(),
            reason: "no text".into(),
        });
        until_caught_up(&harness).await;
        let before = harness.upstreams[0].count();
        for n in 0..20 {
            let received = harness.ask("/any/x", &n.to_string()).await;
            assert_eq!(received.body, "b");
        }
        assert_eq!(harness.upstreams[0].count(), before);
    });
}
