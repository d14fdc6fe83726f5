//! Gateways that can be cut off from all upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;

use crate::fakes::Cut;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::owner_order;

/// A whole stream of one event.
pub(crate) const ANSWER: Reply = Reply::Stream {
    parts: &["id: 1\ndata: a\n\n"],
    cut: false,
};

/// A fleet of four gateways with upstreams, and two more for the stage of `/staged/`.
pub(crate) async fn fleet(upstreams: usize) -> Harness {
    let made = Reply::Complete("made");
    let mut harness = Harness::start_cuttable(vec![vec![ANSWER]; upstreams], vec![made]);
    harness.add_gateways(3);
    harness.until_ready(true).await;
    harness.until_all_listed().await;
    harness.until_all_answer("/open/x", 200).await;
    harness
}

/// The peer addresses of the instances, the owner of the stages first.
pub(crate) fn by_ownership(harness: &Harness) -> Vec<SocketAddr> {
    owner_order(&harness.peer_addresses())
}

/// Waits until instances have noticed that `count` of them have lost their path.
pub(crate) async fn until_noticed(harness: &Harness, count: u64) {
    while harness.counter_total("jd_gateway_path_lost ").await != count {
        Timer::after(Duration::from_millis(20)).await;
    }
    // The others hear of it with the next heartbeats.
    Timer::after(Duration::from_millis(500)).await;
}

/// Cuts off instances, and sends requests to them until they have noticed.
pub(crate) async fn cut_off(harness: &Harness, instances: &[SocketAddr], cut: Cut) {
    for peers in instances {
        harness.link(*peers).set(Some(cut));
        for n in 0..4 {
            let id = format!("notice-{n}");
            harness.spawn_ask(*peers, "/any/x", &id).await;
        }
    }
    until_noticed(harness, instances.len() as u64).await;
}
