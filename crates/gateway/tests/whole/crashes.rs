//! Requests that end the upstreams which run them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;

use crate::fakes::EndingUpstreams;
use crate::fakes::Harness;

/// Instances of a fleet in these tests.
const INSTANCES: usize = 5;
/// How long after the third end instances in touch may still learn of it: the users'
/// bound for news among them.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);
/// How often such a request may reach an upstream after that, as the users allow.
const MORE_ALLOWED: usize = 3;

/// Sends a request again and again, every `pause`, to one instance after the other, for
/// as long as given. Waits for no answer, and for all of them at the end.
async fn repeat(harness: &Arc<Harness>, path: &'static str, pause: Duration, span: Duration) {
    let began = Instant::now();
    let mut asked = Vec::new();
    for n in 0.. {
        if began.elapsed() > span {
            break;
        }
        let caller = Arc::clone(harness);
        let asking = async move {
            let id = format!("{path}-{n}");
            caller.ask_instance(n, path, &id).await
        };
        asked.push(harness.spawn(asking));
        Timer::after(pause).await;
    }
    for asking in asked {
        asking.await;
    }
}

/// A request ends each upstream that begins to run it, within 120 ms of `answer began`,
/// and its caller sends it again, to another instance each time. Every attempt had an
/// identity of its own and every instance took it for new: 17 of nine upstreams ended
/// in ten seconds, ten of them after three had shown what it does.
#[test]
fn a_request_that_ends_its_upstreams_is_kept_from_them_everywhere() {
    let mut harness = Harness::start(Vec::new());
    harness.add_gateways(INSTANCES - 1);
    let upstreams = EndingUpstreams::start(harness.executor(), &harness.store, 6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(150);
        let span = Duration::from_millis(6_000);
        repeat(&harness, "/stream/bad", pause, span).await;
        let ends = upstreams.ends();
        assert!(ends.len() >= 3, "it ended {} upstreams", ends.len());
        let known = ends[2] + KNOWN_WITHIN;
        let runs = upstreams.runs();
        let late = runs
            .iter()
            .filter(|r| r.path.contains("bad") && r.at > known);
        let late = late.count();
        assert!(
            late <= MORE_ALLOWED,
            "{late} runs more, {} ends",
            ends.len()
        );
    });
}
