//! Upstreams whose entries are written again, or are gone for a moment, while they answer requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::STREAM;

/// How long an upstream pauses in its answer: longer than an instance takes to apply the changes.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The start that the entry of the upstream tells at first, in milliseconds since 1970.
const START: u64 = 1_000;

/// What is written while the upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rewrite {
    /// A start that was not told before.
    LateStart,
    /// A software version without a start.
    Version,
    /// Another software version under the same start.
    CorrectedVersion,
    /// A version that was missing, so that the entry could not be read before.
    LateVersion,
    /// Two versions by turns.
    Alternating,
    /// Another version, and then the earlier one again.
    BackAgain,
    /// Another address, where a second server answers.
    Address,
    /// Another address under the same start.
    AddressOfSameStart,
    /// The entry is gone, and comes back.
    Lapsed,
    /// A later start, which the upstream itself does not confirm.
    DeniedStart,
    /// The same by turns with the actual start.
    AlternatingStarts,
}

/// An upstream of streams and another server that only a changed entry names.
fn harness(reply: Reply) -> Arc<Harness> {
    let harness = Harness::start(vec![vec![reply], vec![Reply::Complete("b")]]);
    harness.store.change(Change::UpstreamRemoved("i-1".into()));
    Arc::new(harness)
}

async fn until_caught_up(harness: &Harness) {
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

async fn write(harness: &Harness, rewrite: Rewrite) {
    let start = UpstreamStart::at_millis;
    match rewrite {
        Rewrite::LateStart => harness.announce("i-0", 0, start(START)),
        Rewrite::Version => harness.set_software(0, "v2"),
        Rewrite::CorrectedVersion => harness.announce_version(0, START, "v2"),
        Rewrite::LateVersion => {
            harness.store.change(Change::UpstreamUnreadable {
                id: "i-0".into(),
                reason: "no version".into(),
            });
            until_caught_up(harness).await;
            harness.set_software(0, "v2");
        }
        Rewrite::Alternating | Rewrite::BackAgain => {
            let versions = match rewrite {
                Rewrite::BackAgain => ["v2", "v1"].as_slice(),
                _ => ["v2", "v1", "v2"].as_slice(),
            };
            for version in versions {
                harness.set_software(0, version);
                until_caught_up(harness).await;
            }
        }
        Rewrite::Address => harness.announce("i-0", 1, UpstreamStart::UNKNOWN),
        Rewrite::AddressOfSameStart => harness.announce("i-0", 1, start(START)),
        Rewrite::Lapsed => {
            harness.store.change(Change::UpstreamRemoved("i-0".into()));
            until_caught_up(harness).await;
            harness.announce("i-0", 0, UpstreamStart::UNKNOWN);
        }
        Rewrite::DeniedStart => harness.announce("i-0", 0, start(9_000)),
        Rewrite::AlternatingStarts => {
            for at in [9_000, START, 9_500] {
                harness.announce("i-0", 0, start(at));
                until_caught_up(harness).await;
            }
        }
    }
    until_caught_up(harness).await;
}

/// Has the upstream begin an answer, and its entry written again before it ends.
async fn ask_during(
    harness: &Arc<Harness>,
    path: &'static str,
    rewrite: Rewrite,
) -> CallerResponse {
    harness.until_ready(true).await;
    let tells_start = matches!(
        rewrite,
        Rewrite::CorrectedVersion
            | Rewrite::AddressOfSameStart
            | Rewrite::DeniedStart
            | Rewrite::AlternatingStarts
    );
    if tells_start {
        harness.upstreams[0].set_start(START);
        harness.announce("i-0", 0, UpstreamStart::at_millis(START));
    }
    until_caught_up(harness).await;
    let caller = Arc::clone(harness);
    let asking: Task<CallerResponse> = harness.spawn(async move { caller.ask(path, "s-1").await });
    while !harness.upstreams[0].has_run("s-1") {
        Timer::after(Duration::from_millis(2)).await;
    }
    write(harness, rewrite).await;
    asking.await
}

/// Guards against cutting a stream off whose upstream goes on, because its entry was written again.
#[test_case(Rewrite::LateStart; "start told late")]
#[test_case(Rewrite::Version; "other version")]
#[test_case(Rewrite::CorrectedVersion; "version corrected under the same start")]
#[test_case(Rewrite::LateVersion; "version told late")]
#[test_case(Rewrite::Alternating; "two writers of versions")]
#[test_case(Rewrite::Address; "other address")]
#[test_case(Rewrite::AddressOfSameStart; "other address of the same start")]
#[test_case(Rewrite::Lapsed; "entry lapsed and back")]
#[test_case(Rewrite::DeniedStart; "later start that the upstream denies")]
#[test_case(Rewrite::AlternatingStarts; "two writers of starts")]
fn a_stream_outlasts_a_rewritten_entry_of_its_upstream(rewrite: Rewrite) {
    let harness = harness(Reply::Pausing(&STREAM, PAUSE));
    block_on(async {
        let received = ask_during(&harness, "/resume/x", rewrite).await;
        assert_eq!(received.body, STREAM.concat());
        assert!(received.whole);
        assert_eq!(harness.upstreams[0].count(), 1);
    });
}

/// Guards against giving up a single answer whose upstream goes on, which may not run again.
#[test_case(Rewrite::Version; "other version")]
#[test_case(Rewrite::Address; "other address")]
#[test_case(Rewrite::DeniedStart; "later start that the upstream denies")]
fn an_answer_outlasts_a_rewritten_entry_of_its_upstream(rewrite: Rewrite) {
    let harness = harness(Reply::Delayed("a", PAUSE));
    block_on(async {
        let received = ask_during(&harness, "/once/x", rewrite).await;
        assert_eq!((received.status, received.body.as_str()), (200, "a"));
    });
}

/// Guards against going on with a stream at the version that its upstream has again, after another
/// one was told of it while it began.
#[test]
fn a_stream_whose_version_was_in_doubt_resumes_nowhere() {
    let harness = harness(Reply::Delayed(STREAM[0], PAUSE));
    block_on(async {
        let received = ask_during(&harness, "/resume/x", Rewrite::BackAgain).await;
        assert_eq!((received.body.as_str(), received.whole), (STREAM[0], true));
        let peers = harness.peer_addresses()[0];
        let resumed = harness
            .resume(peers, ("/resume/x", "key-1"), "t-1", "s-1")
            .await;
        assert_eq!(resumed.run.as_deref(), Some("not run"), "{resumed:?}");
        assert!(!harness.upstreams[0].has_run("t-1"));
    });
}

/// Guards against waiting for the answer of a start that the upstream itself says has ended.
#[test]
fn an_answer_is_given_up_once_its_upstream_confirms_a_later_start() {
    let (_tx, rx) = async_channel::bounded(1);
    let harness = Harness::start(vec![
        vec![Reply::UntilReleased(rx)],
        vec![Reply::Complete("b")],
    ]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        harness.announce("i-0", 0, UpstreamStart::at_millis(START));
        until_caught_up(&harness).await;
        let caller = Arc::clone(&harness);
        let asking = harness.spawn(async move {
            let mut asked = 0;
            while caller.upstreams[0].count() == 0 {
                asked += 1;
                let received = caller.ask("/any/x", &asked.to_string()).await;
                assert_eq!(received.body, "b");
            }
        });
        while harness.upstreams[0].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        let began = Instant::now();
        harness.upstreams[0].set_start(9_000);
        harness.announce("i-0", 0, UpstreamStart::at_millis(9_000));
        asking.await;
        assert!(began.elapsed() < Duration::from_secs(5));
    });
}
