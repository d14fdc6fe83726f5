//! What the end of a response body says.

#![allow(clippy::expect_used)]

use jd_serving::BodyKind;
use jd_serving::EndEvidence;
use jd_serving::EventSplitter;
use jd_serving::ReceivedBody;
use jd_serving::ResponseEnd;
use jd_serving::ResponseRole;
use test_case::test_case;

const ROLES: [ResponseRole; 2] = [ResponseRole::Beginning, ResponseRole::Continuation];

fn received(body: &[u8]) -> ReceivedBody {
    let mut splitter = EventSplitter::default();
    splitter.push(body).expect("a small part");
    splitter.received()
}

/// Guards against taking a stream for complete that its upstream broke off, and the other way round,
/// whatever marks the end of the body.
#[test_case(b"", ResponseEnd::NoEvent; "empty")]
#[test_case(b"\n\n\n", ResponseEnd::NoEvent; "blank lines")]
#[test_case(b": ping\n\n", ResponseEnd::NoEvent; "comment")]
#[test_case(b": ping\n", ResponseEnd::NoEvent; "comment without a blank line")]
#[test_case(b": pi", ResponseEnd::InsideEvent; "part of a comment")]
#[test_case(b"yours", ResponseEnd::InsideEvent; "text")]
#[test_case(b"id: 1", ResponseEnd::InsideEvent; "number of the first event")]
#[test_case(b"id: 1\ndata: x\n", ResponseEnd::InsideEvent; "no blank line after the first event")]
#[test_case(b"id: 1\r\ndata: x\r\n", ResponseEnd::InsideEvent; "the same in another system")]
#[test_case(b"id: 1\ndata: x\n\nid: 2", ResponseEnd::InsideEvent; "inside the second event")]
#[test_case(b"id: 1\ndata: x\n\n: pi", ResponseEnd::InsideEvent; "inside a comment after an event")]
#[test_case(b"id: 1\ndata: x\n\n", ResponseEnd::Complete; "after an event")]
#[test_case(b"id: 1\r\ndata: x\r\n\r\n", ResponseEnd::Complete; "after an event in another system")]
#[test_case(b"id: 1\rdata: x\r\r", ResponseEnd::Complete; "after an event in a third system")]
#[test_case(b"id: 1\ndata: x\n\n\n", ResponseEnd::Complete; "after an event and a blank line")]
#[test_case(b"id: 1\ndata: x\n\n: ping\n", ResponseEnd::Complete; "after an event and a comment")]
fn the_end_of_a_stream_is_judged_by_its_events(body: &[u8], expected: ResponseEnd) {
    for role in ROLES {
        for is_marked in [false, true] {
            let evidence = EndEvidence {
                kind: BodyKind::Events,
                role,
                is_marked,
                received: received(body),
            };
            assert_eq!(evidence.judge(), expected, "{evidence:?}");
        }
    }
}

/// Guards against an empty answer of a process that ended after its head, and against refusing other
/// content that may be complete.
#[test_case(b"", true, ResponseEnd::Complete; "marked and empty")]
#[test_case(b"", false, ResponseEnd::Empty; "unmarked and empty")]
#[test_case(b"yours", true, ResponseEnd::Complete; "marked")]
#[test_case(b"yours", false, ResponseEnd::Complete; "unmarked")]
#[test_case(b"a\n\nb", true, ResponseEnd::Complete; "marked with a blank line")]
fn the_end_of_other_content_is_judged_by_its_mark(
    body: &[u8],
    is_marked: bool,
    expected: ResponseEnd,
) {
    let evidence = |role| EndEvidence {
        kind: BodyKind::Single,
        role,
        is_marked,
        received: received(body),
    };
    assert_eq!(evidence(ResponseRole::Beginning).judge(), expected);
    let resumed = evidence(ResponseRole::Continuation).judge();
    assert_eq!(resumed, ResponseEnd::NoEventStream);
}

/// Guards against refusing a success that has no body.
#[test]
fn a_success_without_a_body_is_complete() {
    for role in ROLES {
        let evidence = EndEvidence {
            kind: BodyKind::Absent,
            role,
            is_marked: false,
            received: received(b""),
        };
        assert_eq!(evidence.judge(), ResponseEnd::Complete);
    }
}

/// Guards against counting the events of the upstream that broke off for those of the next one.
#[test]
fn a_response_without_events_after_another_one_has_none() {
    let mut earlier = EventSplitter::default();
    let pushed = earlier.push(b"id: 1\ndata: x\n\nid: 2");
    assert!(pushed.is_ok_and(|events| events.is_some()));
    let mut next = EventSplitter::default();
    next.follow(&earlier);
    assert_eq!(next.received(), ReceivedBody::Nothing);
    assert_eq!(next.last_event(), Some(1));
}
