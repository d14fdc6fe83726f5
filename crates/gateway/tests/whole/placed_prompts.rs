//! Prompts whose upstreams are selected by the owner of a shard.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_wire::Placement;

use crate::fakes::CallerResponse;
use crate::fakes::FakeOwner;
use crate::fakes::FetchReply;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::fetching_deployment;

const UNANSWERED: &str = "jd_gateway_placements_total{outcome=\"unanswered\"}";
const UNUSABLE: &str = "jd_gateway_placements_total{outcome=\"unusable\"}";
const USED: &str = "jd_gateway_placements_total{outcome=\"used\"}";

/// A gateway with three upstreams.
fn start(reply: Reply) -> Harness {
    let records = vec![Record::Deployment(Box::new(fetching_deployment()))];
    Harness::start_with(vec![vec![reply]; 3], records)
}

/// The upstream that received the most requests, and how many.
fn busiest(harness: &Harness) -> (usize, usize) {
    let counts = harness.upstreams.iter().map(|u| u.count()).enumerate();
    counts.max_by_key(|(_, count)| *count).expect("an upstream")
}

/// What became of a prompt that was moved.
struct Fetched {
    harness: Harness,
    /// The upstream that its session prefers.
    home: usize,
    received: CallerResponse,
    took: Duration,
}

/// Two streams of a session run at its upstream, and a long prompt of the session arrives, which is
/// moved and fetches the shared tokens.
fn fetch_from_busy_upstream(source: FetchReply) -> Fetched {
    move_from_busy_upstream(source, None)
}

/// The same, with another software version on the other upstreams.
fn move_from_busy_upstream(source: FetchReply, others: Option<&str>) -> Fetched {
    let (release, held) = async_channel::bounded::<()>(1);
    let harness = start(Reply::UntilReleased(held));
    let (home, received, took) = block_on(async {
        harness.until_ready(true).await;
        // Both streams run until the end of the test.
        let asking = async {
            futures_lite::future::zip(
                harness.ask("/paced/5/10", "1"),
                harness.ask("/paced/5/10", "2"),
            )
            .await
        };
        let testing = async {
            while busiest(&harness).1 < 2 {
                Timer::after(Duration::from_millis(5)).await;
            }
            let (home, _) = busiest(&harness);
            for upstream in &harness.upstreams {
                upstream.set_replies(vec![Reply::Complete("moved")]);
                upstream.set_fetch_reply(source);
            }
            if let Some(version) = others {
                for n in (0..harness.upstreams.len()).filter(|n| *n != home) {
                    harness.set_software(n, version);
                }
                while !harness.store.is_caught_up() {
                    Timer::after(Duration::from_millis(2)).await;
                }
            }
            // The session's tokens count as held once the estimated reading time of 32 ms has
            // passed.
            Timer::after(Duration::from_millis(40)).await;
            let began = Instant::now();
            let received = harness.ask("/paced/5/30000", "3").await;
            release.close();
            (home, received, began.elapsed())
        };
        futures_lite::future::zip(asking, testing).await.1
    });
    Fetched {
        harness,
        home,
        received,
        took,
    }
}

fn fetches(harness: &Harness) -> Vec<String> {
    let all = harness.upstreams.iter();
    all.flat_map(|u| u.fetches.lock().expect("a lock").clone())
        .collect()
}

/// A long prompt at the session's upstream would make the streams there late.
#[test]
fn a_long_prompt_is_moved_and_fetches_the_tokens_of_its_session() {
    let Fetched {
        harness,
        home,
        received,
        ..
    } = fetch_from_busy_upstream(FetchReply::Sends);
    assert_eq!((received.status, received.body.as_str()), (200, "moved"));
    assert_eq!(harness.upstreams[home].count(), 2);
    assert_eq!(fetches(&harness), [harness.address(home).to_string()]);
}

/// Guards against an upstream that reads tokens which another software version has written.
#[test]
fn a_moved_prompt_fetches_no_tokens_of_another_software_version() {
    let Fetched {
        harness, received, ..
    } = move_from_busy_upstream(FetchReply::Sends, Some("v2"));
    assert_eq!((received.status, received.body.as_str()), (200, "moved"));
    assert!(fetches(&harness).is_empty(), "{:?}", fetches(&harness));
}

/// The source breaks off and the upstream states that it did not run the request. The same upstream
/// is asked again without a fetch, since it is up.
#[test]
fn a_fetch_whose_source_breaks_is_followed_by_an_attempt_without_one() {
    let Fetched {
        harness,
        home,
        received,
        ..
    } = fetch_from_busy_upstream(FetchReply::Breaks);
    assert_eq!((received.status, received.body.as_str()), (200, "moved"));
    assert_eq!(fetches(&harness).len(), 1);
    assert_eq!(harness.upstreams[home].count(), 2);
    assert_eq!(busiest(&harness).1, 2);
}

/// The source hangs, and so does the upstream that fetches from it. The caller must not wait for its
/// deadline, and the next attempt must not go to the source, which is the session's first choice.
#[test]
fn a_fetch_whose_source_hangs_costs_a_bounded_time() {
    let Fetched {
        harness,
        home,
        received,
        took,
    } = fetch_from_busy_upstream(FetchReply::Hangs);
    assert_eq!((received.status, received.body.as_str()), (200, "moved"));
    // Less than any upstream may take to begin a response.
    assert!(took < Duration::from_millis(2_400), "{took:?}");
    assert_eq!(fetches(&harness).len(), 1);
    assert_eq!(harness.upstreams[home].count(), 2);
    assert!(harness.upstreams.iter().all(|u| u.count() > 0));
}

/// A source hangs, and prompts that are to fetch from it arrive. The upstream that was to fetch is not
/// at fault: were it ejected for that, one hanging upstream would take others with it.
#[test]
fn an_upstream_whose_fetches_hang_is_not_ejected() {
    let harness = start(Reply::Complete("yours"));
    let placement = Placement {
        upstream: "i-1".into(),
        start_ms: 0,
        fetch_from: harness.address(0).to_string(),
    };
    let (_owner, entry, _server) = FakeOwner::start(&harness.executor(), Some(placement));
    harness.store.change(Change::Put(entry));
    harness.upstreams[0].set_fetch_reply(FetchReply::Hangs);
    let unusable = block_on(async {
        harness.until_ready(true).await;
        // One more than the failures in succession for which an upstream is ejected.
        while fetches(&harness).len() < 4 {
            let received = harness.ask("/paced/5/10", "1").await;
            assert_eq!((received.status, received.body.as_str()), (200, "yours"));
        }
        harness.counter_total(UNUSABLE).await
    });
    assert_eq!(unusable, 0);
}

/// Sends prompts to a gateway beside an owner with this placement, until one of them raises a counter.
/// All of them are served. Returns the upstream that received that one.
fn with_owner(placement: Option<Placement>, counter: &str) -> (Harness, usize) {
    let harness = start(Reply::Complete("yours"));
    let (owner, entry, _server) = FakeOwner::start(&harness.executor(), placement);
    harness.store.change(Change::Put(entry));
    let counts = || harness.upstreams.iter().map(|u| u.count());
    let receiver = block_on(async {
        harness.until_ready(true).await;
        loop {
            let before: Vec<usize> = counts().collect();
            let jobs = owner.jobs();
            let raised = harness.counter_total(counter).await;
            let received = harness.ask("/paced/5/10", "1").await;
            assert_eq!((received.status, received.body.as_str()), (200, "yours"));
            if owner.jobs() > jobs && harness.counter_total(counter).await > raised {
                break counts().zip(before).position(|(now, before)| now > before);
            }
        }
    });
    (harness, receiver.expect("an upstream"))
}

/// The owner answers heartbeats and nothing else. A request without stages does not need it.
#[test]
fn a_prompt_is_placed_without_an_owner_that_does_not_answer() {
    let began = Instant::now();
    with_owner(None, UNANSWERED);
    assert!(began.elapsed() < Duration::from_secs(15));
}

/// The owner names an upstream that is not listed here, or an earlier start of one that is.
#[test]
fn a_prompt_is_placed_here_if_the_selected_upstream_is_gone() {
    let gone = |upstream: &str, start_ms| Placement {
        upstream: upstream.into(),
        start_ms,
        fetch_from: "127.0.0.1:1".into(),
    };
    with_owner(Some(gone("i-9", 0)), UNUSABLE);
    with_owner(Some(gone("i-1", 1_000)), UNUSABLE);
}

/// The owner's choice is used, without a fetch from an address that no upstream has.
#[test]
fn the_upstream_that_the_owner_selected_is_used() {
    let named = |n: usize| Placement {
        upstream: format!("i-{n}"),
        start_ms: 0,
        fetch_from: "127.0.0.1:1".into(),
    };
    for n in 0..3 {
        let (harness, receiver) = with_owner(Some(named(n)), USED);
        assert_eq!(receiver, n);
        assert_eq!(fetches(&harness), [""; 0]);
    }
}
