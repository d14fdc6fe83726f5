//! Routing of requests, splitting of event streams and placement of prompts.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use bytes::Bytes;
use jd_serving::CustomerSpec;
use jd_serving::Deployment;
use jd_serving::EventSplitter;
use jd_serving::GenerationSpec;
use jd_serving::Prompt;
use jd_serving::PromptPart;
use jd_serving::PromptUpstream;
use jd_serving::RetryMode;
use jd_serving::Route;
use jd_serving::Router;
use jd_serving::Service;
use jd_serving::Target;
use jd_serving::place_prompt;
use test_case::test_case;

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        retry_mode: RetryMode::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        targets: vec![Target {
            service: "pool".into(),
            weight: 1,
        }],
        max_attempts: 2,
        stages: Vec::new(),
        public,
        prompts: false,
        event_gap: None,
    }
}

fn router() -> Router {
    Router::new(Deployment {
        version: 3,
        routes: vec![
            route("short", "/a/", false),
            route("long", "/a/b/", false),
            route("open", "/open/", true),
        ],
        customers: vec![CustomerSpec {
            name: "walkers".into(),
            credentials: vec!["key-1".into(), "key-2".into()],
            priority: Some(0),
        }],
        ..Deployment::default()
    })
}

/// The pace of upstreams is observed only where a route needs it: elsewhere it would be a cost
/// without a use.
#[test_case(true, 400, 7 => true)]
#[test_case(true, 500, 7 => false; "streams are not late while a prompt is read")]
#[test_case(true, 400, 0 => false; "the tokens of an event are unknown")]
#[test_case(false, 400, 7 => false; "there are no prompts")]
fn the_pace_of_a_service_is_tracked(prompts: bool, gap_ms: u64, tokens_per_event: u32) -> bool {
    let mut route = route("drafts", "/drafts/", true);
    route.prompts = prompts;
    route.event_gap = Some(Duration::from_millis(gap_ms));
    let service = Service {
        name: "pool".into(),
        max_connections: 8,
        batch: None,
        cold: None,
        generation: Some(GenerationSpec {
            slots: 32,
            memory_tokens: 443_882,
            tokens_per_event: NonZeroU32::new(tokens_per_event),
            token_bytes: 0,
            link_bits_per_s: 0,
        }),
    };
    let router = Router::new(Deployment {
        routes: vec![route],
        services: vec![service],
        ..Deployment::default()
    });
    router.tracks_pace("pool")
}

#[test_case("/a/x", Some("short"); "the only prefix that fits")]
#[test_case("/a/b/x", Some("long"); "the longest prefix that fits")]
#[test_case("/a/b", Some("short"); "a prefix ends with its slash")]
#[test_case("/c/", None; "no prefix fits")]
fn the_longest_prefix_selects_the_route(path: &str, expected: Option<&str>) {
    let router = router();
    let found = router.find("desk.example", path);
    assert_eq!(found.map(|k| router.route(k).name.as_str()), expected);
    assert_eq!(router.find("other.example", path), None);
}

#[test]
fn every_credential_names_its_customer() {
    let router = router();
    let caller = router.caller("key-2").expect("in force");
    assert_eq!(caller.customer, "walkers");
    assert_eq!(caller.priority, Some(0));
    assert_eq!(router.caller("key-3"), None);
    let open = router.find("desk.example", "/open/").expect("a route");
    assert!(!router.needs_credential(router.route(open)));
}

#[test]
fn a_split_route_keeps_its_weights_and_its_sessions() {
    let mut split = route("split", "/a/", false);
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    split.targets = vec![target("old", 900), target("new", 100)];
    let to_new = (0..100_000).filter(|s| split.target(*s).is_some_and(|t| t == "new"));
    // A tenth, and three standard deviations.
    assert!((9_700..=10_300).contains(&to_new.count()));
    assert_eq!(split.target(77), split.target(77));
}

/// An upstream stops in the middle of an event. If the partial event were forwarded, it would
/// be joined with the complete event from the next upstream.
#[test]
fn only_complete_events_are_forwarded() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\nda"), Ok(None));
    let complete = splitter.push(b"ta: x\n\nid: 2\ndata: y\n\nid: 3\nda");
    let expected = Bytes::from_static(b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    assert_eq!(complete, Ok(Some(expected)));
    assert_eq!(splitter.last_event(), Some(2));
    assert_eq!(&splitter.take_remaining()[..], b"id: 3\nda");
    assert!(splitter.take_remaining().is_empty());
}

/// Guards against forwarding a partial event, or holding complete ones back, because of how lines
/// end.
#[test_case("\n"; "line feeds")]
#[test_case("\r"; "carriage returns")]
#[test_case("\r\n"; "both")]
fn events_are_complete_whatever_ends_their_lines(line_end: &str) {
    let text = "id: 9\ndata: x\n\n: ping\n\nid: 10\ndata: y\n\n".replace('\n', line_end);
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut passed = String::new();
    for byte in text.as_bytes() {
        let pushed = splitter.push(&[*byte]).expect("a small part");
        if let Some(complete) = pushed {
            let complete = std::str::from_utf8(&complete).expect("text");
            events.push(complete.trim().replace(line_end, "|"));
            passed.push_str(complete);
        }
    }
    assert_eq!(events, ["id: 9|data: x", ": ping", "id: 10|data: y"]);
    passed.push_str(std::str::from_utf8(&splitter.take_remaining()).expect("text"));
    assert_eq!(passed, text);
    assert_eq!(splitter.last_event(), Some(10));
    assert_eq!(EventSplitter::count_events(text.as_bytes()), 2);
    let mut at_once = EventSplitter::default();
    let pushed = at_once.push(text.as_bytes()).expect("a small part");
    assert_eq!(pushed.as_deref(), Some(text.as_bytes()));
}

#[test]
fn single_bytes_yield_the_same_events() {
    let text = b"id: 9\ndata: x\n\nid: 10\ndata: y\n\n";
    let mut splitter = EventSplitter::default();
    let mut complete = Vec::new();
    for byte in text {
        let pushed = splitter.push(&[*byte]).expect("a small part");
        complete.extend(pushed.unwrap_or_default());
    }
    assert_eq!(complete, text);
    assert_eq!(splitter.last_event(), Some(10));
}

fn upstreams(count: u8) -> Vec<PromptUpstream> {
    let one = |n| PromptUpstream {
        address: SocketAddr::from(([127, 0, 0, n], 80)),
        in_flight: 0,
        usable: true,
    };
    (1..=count).map(one).collect()
}

/// When a session moves, five thousand shared tokens are processed again. All instances must
/// choose the same upstream without communication, in whatever order they learned of the
/// upstreams.
#[test]
fn a_session_stays_at_its_upstream() {
    let all = upstreams(18);
    let mut reversed = all.clone();
    reversed.reverse();
    for session in 0..200 {
        let a = place_prompt(session, &all, 64, 8)[0];
        let b = place_prompt(session, &reversed, 64, 8)[0];
        assert_eq!(all[a].address, reversed[b].address);
    }
}

#[test]
fn the_loss_of_an_upstream_moves_only_its_sessions() {
    let all = upstreams(18);
    let mut less = all.clone();
    less[5].usable = false;
    for session in 0..500 {
        let before = place_prompt(session, &all, 64, 8);
        let after = place_prompt(session, &less, 64, 8);
        let expected = if before[0] == 5 { before[1] } else { before[0] };
        assert_eq!(after[0], expected);
    }
}

/// One session receives much of the traffic. It spreads to its second and third choice once its
/// upstream has its share of this instance's requests.
#[test]
fn a_popular_session_spreads_to_the_same_next_choices() {
    let mut all = upstreams(18);
    let order = place_prompt(7, &all, 64, 8);
    all[order[0]].in_flight = 50;
    let next = place_prompt(7, &all, 64, 8);
    assert_eq!(next[..17], order[1..]);
    assert_eq!(next[17], order[0]);
}

/// The last part belongs to the request alone. When prompts were placed by it, every request of
/// a session went to another upstream, and a million shared tokens were processed again.
#[test]
fn requests_with_the_same_shared_part_have_the_same_session() {
    let prompt = |own| Prompt {
        model: "m".into(),
        parts: [11, 22, own]
            .map(|id| PromptPart { id, tokens: 100 })
            .into(),
        ..Prompt::default()
    };
    assert_eq!(prompt(1).session(), prompt(2).session());
    let mut other = prompt(1);
    other.parts[1].id = 23;
    assert_ne!(prompt(1).session(), other.session());
}

/// Callers name the tokens of parts and of the whole prompt separately. A part larger than its
/// prompt would show upstreams as reading many times faster than they do.
#[test]
fn a_part_has_no_more_tokens_than_its_prompt() {
    let prompt = |parts: &[u32]| Prompt {
        tokens_in: 1_000,
        parts: parts
            .iter()
            .map(|tokens| PromptPart {
                id: 1,
                tokens: *tokens,
            })
            .collect(),
        ..Prompt::default()
    };
    assert_eq!(prompt(&[600, 400]).own_tokens(), 400);
    assert_eq!(prompt(&[600, u32::MAX]).own_tokens(), 1_000);
    assert_eq!(prompt(&[]).own_tokens(), 1_000);
}

/// Blank lines between events are not events: counted as such, they would make an upstream that
/// sends them look several times faster.
#[test]
fn only_events_with_content_are_counted() {
    let count = |bytes: &[u8]| EventSplitter::count_events(bytes);
    assert_eq!(count(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 2);
    assert_eq!(count(b"data: a\n\n\n\ndata: b\n\n\n"), 2);
    assert_eq!(count(b"\n\n\n\n"), 0);
    assert_eq!(count(b""), 0);
}
