//! Bytes of an upstream that never become an event.

#![allow(clippy::expect_used)]

use jd_serving::EventSplitter;
use jd_serving::EventTooLarge;
use jd_serving::MAX_EVENT_BYTES;
use test_case::test_case;

/// About as much as a connection brings at once.
const PART_BYTES: usize = 16 << 10;

/// The number of bytes that a splitter takes of the same bytes without end.
fn bytes_taken(splitter: &mut EventSplitter, what: &[u8]) -> usize {
    let part = what.repeat(PART_BYTES / what.len());
    for pushed in 0..1_000 {
        match splitter.push(&part) {
            Ok(_) => assert!(splitter.partial_bytes() <= MAX_EVENT_BYTES),
            Err(EventTooLarge) => return pushed * part.len(),
        }
    }
    usize::MAX
}

/// Guards against an upstream that sends bytes without an event until its caller closes: all of
/// them were kept until the deadline of the request.
#[test_case(b"x"; "an event that never ends")]
#[test_case(b"data: x\n"; "lines of an event that never ends")]
#[test_case(b"\n"; "blank lines")]
#[test_case(b"\r\n"; "blank lines of another system")]
#[test_case(b": waiting\n\n"; "comments")]
fn an_upstream_that_sends_no_event_is_read_to_a_limit(what: &[u8]) {
    let mut splitter = EventSplitter::default();
    let taken = bytes_taken(&mut splitter, what);
    assert!(taken <= MAX_EVENT_BYTES, "{taken} bytes taken");
}

/// Guards against keeping the limit for the first event only.
#[test]
fn an_upstream_that_sends_no_further_event_is_read_to_a_limit() {
    let mut splitter = EventSplitter::default();
    let first = splitter.push(b"id: 1\ndata: x\n\n").expect("a small event");
    assert!(first.is_some());
    let taken = bytes_taken(&mut splitter, b"x");
    assert!(taken <= MAX_EVENT_BYTES, "{taken} bytes taken");
    assert_eq!(splitter.last_event(), Some(1));
}

/// Guards against searching all bytes of an incomplete event again at each part: 64 KiB that came
/// one by one took minutes.
#[test]
fn the_largest_event_passes_byte_by_byte() {
    let mut event = b"id: 1\ndata: ".to_vec();
    event.resize(MAX_EVENT_BYTES - 2, b'x');
    event.extend(b"\n\n");
    let mut splitter = EventSplitter::default();
    let mut passed = Vec::new();
    for byte in &event {
        let pushed = splitter.push(&[*byte]).expect("an event below the limit");
        passed.extend(pushed.unwrap_or_default());
    }
    assert!(passed == event);
    assert_eq!(splitter.partial_bytes(), 0);
}

/// Guards against counting what came between events, or at another upstream, for the next event.
#[test]
fn events_and_comments_pass_without_end() {
    let mut splitter = EventSplitter::default();
    let waiting = b": waiting\n\n".repeat(PART_BYTES);
    let events = b"id: 1\ndata: x\n\n".repeat(PART_BYTES);
    for _ in 0..100 {
        assert!(splitter.push(&waiting).is_ok());
        assert!(splitter.push(&events).is_ok());
    }
    assert!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).is_ok());
    splitter.follow(EventSplitter::default());
    assert!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).is_ok());
}
