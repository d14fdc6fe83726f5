//! Requests that an instance cannot finish before it ends.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::log_lines::record_warnings;
use crate::fakes::log_lines::warnings_on;
use crate::fakes::staged_deployment;

/// Waits of a request that may outlast its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The upstreams of its stage are always full.
    Stages,
    /// The upstream that runs it does not respond.
    Response,
}

/// Guards against a request that is read and gets no answer because its instance ends first, and
/// against an answer that says of a request that was sent that it did not run.
#[test_case(Wait::Stages, 503, "not run"; "waiting for its stages")]
#[test_case(Wait::Response, 502, "may have run"; "waiting for its upstream")]
fn a_request_is_answered_before_its_instance_ends(wait: Wait, status: u16, run: &str) {
    let (_tx, rx) = async_channel::bounded(1);
    let mut deployment = staged_deployment();
    for route in &mut deployment.routes {
        route.objective = Duration::from_secs(10);
    }
    let held = vec![Reply::UntilReleased(rx)];
    let harness = Harness::start_staged(deployment, vec![held], vec![Reply::NotRun]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        let (path, upstream) = match wait {
            Wait::Stages => ("/staged/x", 1),
            Wait::Response => ("/once/x", 0),
        };
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask(path, "1").await });
        while harness.upstreams[upstream].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        harness.gateway.stop().await;
        assert!(response.is_finished(), "no answer before the end");
        let received = response.await;
        assert_eq!(
            (received.status, received.run.as_deref()),
            (status, Some(run))
        );
    });
}

/// Guards against a process that leaves a stream unfinished and does not say so.
#[test]
fn a_stream_that_is_unfinished_at_the_end_is_logged() {
    record_warnings();
    let parts = &["id: 1\ndata: a\n\n", "never"];
    let reply = Reply::Pausing(parts, Duration::from_secs(60));
    let harness = Arc::new(Harness::start(vec![vec![reply]]));
    block_on(async {
        harness.until_ready(true).await;
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask("/stream/x", "open-at-end").await });
        while harness.upstreams[0].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        harness.gateway.stop().await;
        drop(response);
        let lines = warnings_on("open-at-end");
        let line = lines
            .iter()
            .find(|l| l.starts_with("request open at the end"));
        let line = line.expect("a line on the request");
        for value in ["waits_for=answer", "target=i-0", "answer=begun"] {
            assert!(line.contains(value), "{line}");
        }
    });
}

/// Guards against an entry that stays in the store because it could not be removed at once.
#[test]
fn the_entry_is_removed_once_the_store_answers_again() {
    let harness = Arc::new(Harness::start(vec![vec![Reply::Complete("a")]]));
    block_on(async {
        harness.until_ready(true).await;
        harness.until_announced(1).await;
        harness.store.set_unavailable(true);
        let stopped = Arc::clone(&harness);
        let stopping = harness.spawn(async move { stopped.gateway.stop().await });
        harness.until_ready(false).await;
        Timer::after(Duration::from_millis(300)).await;
        harness.store.set_unavailable(false);
        stopping.await;
        assert!(harness.store.is_withdrawn());
    });
}
