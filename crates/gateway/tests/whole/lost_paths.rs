//! Instances that have lost their network path to all upstreams, while callers, other instances
//! and the store still reach them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Cut;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::owner_order;

/// How long requests go on after a cut before their outcome counts.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);
/// Requests whose outcome counts.
const COUNTED: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);

const ANSWER: Reply = Reply::Stream {
    parts: &["id: 1\ndata: a\n\n"],
    cut: false,
};

/// A fleet of four gateways with two upstreams, and two more for the stage of `/staged/`.
async fn fleet() -> Harness {
    let made = Reply::Complete("made");
    let mut harness = Harness::start_with_two_stage_upstreams(vec![vec![ANSWER]; 2], vec![made]);
    harness.add_gateways(3);
    harness.until_ready(true).await;
    harness.until_all_listed().await;
    harness.until_all_answer("/open/x", 200).await;
    harness
}

/// The peer addresses of the instances, the owner of the stages first.
fn by_ownership(harness: &Harness) -> Vec<SocketAddr> {
    owner_order(&harness.peer_addresses())
}

/// Sends two requests at once to an instance every [`PAUSE`], for [`NOTICED_WITHIN`] and then
/// until [`COUNTED`] more are sent, whose answers are returned. Of two requests at once, one needs
/// a new connection.
async fn load(harness: &Harness, to: SocketAddr, path: &'static str) -> Vec<CallerResponse> {
    let noticed = 2 * (NOTICED_WITHIN.as_millis() / PAUSE.as_millis()) as usize;
    let mut asking = Vec::new();
    for n in 0..noticed + COUNTED {
        asking.push(harness.spawn_ask(to, path, &format!("{path}-{n}")));
        if n % 2 == 1 {
            Timer::after(PAUSE).await;
        }
    }
    let mut received = Vec::new();
    for asking in asking.drain(..).skip(noticed) {
        received.push(asking.await);
    }
    received
}

fn assert_served(received: &[CallerResponse]) {
    let failed = received.iter().filter(|r| r.status != 200 || !r.whole);
    let failed: Vec<&CallerResponse> = failed.collect();
    let count = received.len();
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
}

/// Asserts that no upstream of requests got the same request as another, or twice.
fn assert_sent_once(harness: &Harness) {
    let upstreams = harness.upstreams[..2].iter();
    let asked = upstreams.map(|u| u.asked.lock().expect("a lock").clone());
    let mut ids: Vec<String> = asked.flatten().map(|(id, _)| id).collect();
    ids.retain(|id| id.starts_with("/once/"));
    ids.sort_unstable();
    let count = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), count, "a request arrived more than once");
}

/// Guards against refusing callers for as long as their instance reaches no upstream, although
/// the others do.
#[test_case("/any/x", Cut::Resets; "idempotent, resets")]
#[test_case("/any/x", Cut::Hangs; "idempotent, hangs")]
#[test_case("/any/x", Cut::RefusesNew; "idempotent, refuses new connections")]
#[test_case("/once/x", Cut::Resets; "unsafe, resets")]
#[test_case("/once/x", Cut::Hangs; "unsafe, hangs")]
#[test_case("/once/x", Cut::RefusesNew; "unsafe, refuses new connections")]
#[test_case("/stream/x", Cut::Resets; "streamed, resets")]
#[test_case("/resume/x", Cut::Hangs; "resumable, hangs")]
#[test_case("/staged/x", Cut::Resets; "staged, resets")]
#[test_case("/staged/x", Cut::Hangs; "staged, hangs")]
fn callers_of_an_instance_without_a_path_are_served(path: &'static str, cut: Cut) {
    block_on(async {
        let harness = fleet().await;
        let last = by_ownership(&harness)[3];
        harness.link(last).set(Some(cut));
        assert_served(&load(&harness, last, path).await);
        assert_sent_once(&harness);
    });
}

/// Guards against stages that fail at all instances because their owner reaches no upstream.
#[test_case(Cut::Resets; "resets")]
#[test_case(Cut::Hangs; "hangs")]
fn stages_move_from_an_owner_without_a_path(cut: Cut) {
    block_on(async {
        let harness = Arc::new(fleet().await);
        let order = by_ownership(&harness);
        harness.link(order[0]).set(Some(cut));
        assert_served(&load(&harness, order[3], "/staged/x").await);
    });
}
