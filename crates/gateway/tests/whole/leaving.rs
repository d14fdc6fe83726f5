//! Upstreams that say in their answers that they leave.

use std::time::Duration;
use std::time::Instant;

use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::ending_fleet::repeat;
use crate::fakes::noticing::LOAD;
use crate::fakes::noticing::ON_ITS_WAY;
use crate::fakes::noticing::PAUSE;
use crate::fakes::noticing::all_served;
use crate::fakes::noticing::arrivals;
use crate::fakes::noticing::gateway;

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
        harness.upstreams[leaving].say_leaving();
        repeat(&harness, path, PAUSE, ON_ITS_WAY).await;
        let counted = Instant::now();
        all_served(&repeat(&harness, path, PAUSE, LOAD).await);
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
        harness.store.set_away(true);
        harness.upstreams[0].say_leaving();
        repeat(&harness, "/open/x", PAUSE, ON_ITS_WAY).await;
        let counted = Instant::now();
        all_served(&repeat(&harness, "/open/x", PAUSE, LOAD).await);
        harness.store.set_away(false);
        harness.make_cold(0, Duration::ZERO);
        all_served(&repeat(&harness, "/open/x", PAUSE, LOAD).await);
        let late = arrivals(&harness.upstreams[0], counted, Instant::now());
        assert_eq!(late, 0, "sent after it had said that it leaves");
    });
}
