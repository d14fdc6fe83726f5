//! Streams that are taken up after the instances that knew their origins have ended.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;

use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::owner_order;
use crate::versions::OF_EACH_VERSION;
use crate::versions::RESUME;
use crate::versions::STREAMS;
use crate::versions::fleet;
use crate::versions::versions_of;

/// Begins streams before two versions, and returns the version of each.
async fn begin_streams(harness: &Harness) -> Vec<bool> {
    let instances = harness.peer_addresses();
    let mut begun = Vec::new();
    for n in 0..STREAMS {
        let id = format!("s-{n}");
        let instance = instances[n % instances.len()];
        assert!(harness.spawn_ask(instance, "/resume/x", &id).await.whole);
        begun.extend(versions_of(harness, &id));
    }
    assert_eq!(begun.len(), STREAMS);
    begun
}

async fn until_saved(harness: &Harness) {
    while harness.store.saved_streams() < STREAMS {
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn remove_upstreams(harness: &Harness, upstreams: impl Iterator<Item = usize>) {
    for n in upstreams {
        let id = format!("i-{n}");
        let change = Change::UpstreamRemoved(id.as_str().into());
        harness.store.change(change);
    }
    harness.until_all_listed().await;
}

async fn until_serving(harness: &Harness) {
    harness.until_ready(true).await;
    harness.until_all_answer("/open/x", 200).await;
}

/// Takes each stream up, and returns how many of `version` went on. None may go on at the other one.
async fn take_up(harness: &Harness, begun: &[bool], version: bool) -> usize {
    let instances = harness.peer_addresses();
    let mut went_on = 0;
    for (n, begun) in begun.iter().enumerate() {
        let (id, origin) = (format!("t-{n}"), format!("s-{n}"));
        let instance = instances[n % instances.len()];
        let received = harness.resume(instance, RESUME, &id, &origin).await;
        let ran = versions_of(harness, &id);
        assert!(ran.iter().all(|v| v == begun), "{origin} crossed");
        let goes_on = received.status == 200 && received.whole;
        went_on += usize::from(goes_on && *begun == version);
    }
    went_on
}

/// Guards against a stream that goes on at the version that is left, because the instances that
/// knew its origin and the other version were all killed.
#[test]
fn streams_do_not_cross_versions_after_all_instances_were_killed() {
    block_on(async {
        let mut harness = fleet(3, Reply::Resumable { cut: false }).await;
        let begun = begin_streams(&harness).await;
        remove_upstreams(&harness, 0..OF_EACH_VERSION).await;
        harness.restart_gateways();
        until_serving(&harness).await;
        take_up(&harness, &begun, true).await;
    });
}

/// Guards against streams that are refused although both versions serve on, because the instances
/// that knew their origins were all killed.
#[test]
fn streams_go_on_at_their_versions_after_all_instances_were_killed() {
    block_on(async {
        let mut harness = fleet(3, Reply::Resumable { cut: false }).await;
        let begun = begin_streams(&harness).await;
        until_saved(&harness).await;
        harness.restart_gateways();
        until_serving(&harness).await;
        for version in [true, false] {
            let expected = begun.iter().filter(|v| **v == version).count();
            assert_eq!(take_up(&harness, &begun, version).await, expected);
        }
    });
}

/// Guards against streams that are refused because their keepers ended one after the other.
#[test]
fn streams_go_on_at_their_versions_after_all_instances_were_replaced_in_turn() {
    block_on(async {
        let mut harness = fleet(3, Reply::Resumable { cut: false }).await;
        let begun = begin_streams(&harness).await;
        until_saved(&harness).await;
        for instance in owner_order(&harness.peer_addresses()) {
            harness.add_gateways(1);
            harness.until_all_listed().await;
            harness.kill_gateway(instance);
            until_serving(&harness).await;
        }
        for version in [true, false] {
            let expected = begun.iter().filter(|v| **v == version).count();
            assert_eq!(take_up(&harness, &begun, version).await, expected);
        }
    });
}

/// Guards against taking the records of a store that was restored from a copy for all that were
/// written.
#[test]
fn streams_do_not_cross_versions_after_all_were_killed_and_the_store_was_restored() {
    block_on(async {
        let mut harness = fleet(3, Reply::Resumable { cut: false }).await;
        let begun = begin_streams(&harness).await;
        let kept = harness.store.len();
        until_saved(&harness).await;
        remove_upstreams(&harness, 0..OF_EACH_VERSION).await;
        harness.store.restore(kept);
        remove_upstreams(&harness, 0..OF_EACH_VERSION).await;
        harness.restart_gateways();
        until_serving(&harness).await;
        take_up(&harness, &begun, true).await;
    });
}

/// Guards against origins that nobody writes because the store rejects the instance that is to do so.
#[test]
fn origins_are_saved_although_the_store_rejects_one_instance() {
    block_on(async {
        let harness = fleet(3, Reply::Resumable { cut: false }).await;
        harness.store.set_unavailable(true);
        begin_streams(&harness).await;
        until_saved(&harness).await;
    });
}

/// Guards against a stream of a version that nobody knows of after the loss of all instances, since
/// the store does not record it yet.
#[test]
fn a_stream_begins_only_at_a_recorded_version() {
    block_on(async {
        let harness = fleet(1, Reply::Resumable { cut: false }).await;
        harness.store.set_refuses_versions(true);
        harness.set_software(0, "v3");
        remove_upstreams(&harness, 1..2 * OF_EACH_VERSION).await;
        let refused = harness.ask("/resume/x", "s-1").await;
        assert_eq!(refused.run.as_deref(), Some("not run"), "{refused:?}");
        assert!(versions_of(&harness, "s-1").is_empty());
        // Nobody takes this one up.
        assert!(harness.ask("/stream/x", "s-2").await.whole);
        harness.store.set_refuses_versions(false);
        while !harness.store.records_version("pool", "v3") {
            Timer::after(Duration::from_millis(5)).await;
        }
        harness.until_all_listed().await;
        assert!(harness.ask("/resume/x", "s-3").await.whole);
    });
}

/// Guards against refusing new streams for as long as their version cannot be recorded.
#[test]
fn a_version_that_cannot_be_recorded_serves_after_a_while() {
    block_on(async {
        let harness = fleet(1, Reply::Resumable { cut: false }).await;
        harness.store.set_refuses_versions(true);
        harness.set_software(0, "v3");
        remove_upstreams(&harness, 1..2 * OF_EACH_VERSION).await;
        while !harness.ask("/resume/x", "s").await.whole {
            Timer::after(Duration::from_millis(100)).await;
        }
        assert!(!harness.store.records_version("pool", "v3"));
    });
}
