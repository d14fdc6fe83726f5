//! The numbers of events where a stream resumes.

#![allow(clippy::expect_used)]

use jd_serving::EventOrder;
use jd_serving::EventSplitter;
use jd_serving::OutOfOrder;
use test_case::test_case;

/// Splits a response in parts of this size. Returns the numbers of the events that are passed on.
fn passed_on(splitter: &mut EventSplitter, numbers: &[u64], part: usize) -> Vec<u64> {
    let event = |n: &u64| format!("id: {n}\ndata: x\n\n");
    let body: String = numbers.iter().map(event).collect();
    let mut events = String::new();
    for part in body.as_bytes().chunks(part) {
        let complete = splitter.push(part).expect("small events");
        events.push_str(std::str::from_utf8(&complete.unwrap_or_default()).expect("text"));
    }
    let ids = events.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|n| n.parse().expect("a number")).collect()
}

fn resumed(earlier: &EventSplitter) -> EventSplitter {
    EventSplitter::new(earlier.order().resumed_after(earlier.last_event()))
}

const ONES: &[u64] = &[1, 2, 3];
const TENS: &[u64] = &[10, 20, 30];

/// Guards against events that come twice, go back or are missing where a stream resumes at an
/// upstream that reads the number of the last event otherwise.
#[test_case(ONES, &[1, 2, 3, 4], &[], Some("went-back"); "begins again")]
#[test_case(ONES, &[3, 4], &[], Some("repeated"); "repeats the last event")]
#[test_case(ONES, &[5, 6], &[], Some("missing"); "leaves out an event")]
#[test_case(ONES, &[4, 4], &[4], Some("repeated"); "repeats an event later")]
#[test_case(ONES, &[4, 5, 2], &[4, 5], Some("went-back"); "goes back later")]
#[test_case(&[7, 8], &[1], &[], Some("went-back"); "begins again at another number")]
#[test_case(&[0, 1], &[3], &[], Some("missing"); "leaves out an event after zero")]
#[test_case(TENS, &[30, 40], &[], Some("repeated"); "repeats in steps of ten")]
#[test_case(TENS, &[10], &[], Some("went-back"); "begins again in steps of ten")]
#[test_case(ONES, &[4, 5], &[4, 5], None; "goes on")]
#[test_case(ONES, &[4, 6, 9], &[4, 6, 9], None; "goes on with gaps of its own")]
#[test_case(TENS, &[40, 50], &[40, 50], None; "goes on in steps of ten")]
#[test_case(TENS, &[31], &[31], None; "goes on in other steps")]
#[test_case(&[1], &[2, 3], &[2, 3], None; "goes on after one event")]
#[test_case(&[10], &[20], &[20], None; "goes on in unknown steps")]
#[test_case(&[], &[5, 6], &[5, 6], None; "begins after no event")]
fn a_stream_resumes_only_after_its_last_event(
    first: &[u64],
    rest: &[u64],
    expected: &[u64],
    reason: Option<&str>,
) {
    for part in [1, 7, usize::MAX] {
        let mut earlier = EventSplitter::default();
        assert_eq!(passed_on(&mut earlier, first, part), first);
        let mut later = resumed(&earlier);
        assert_eq!(passed_on(&mut later, rest, part), expected);
        assert_eq!(later.out_of_order().map(OutOfOrder::as_str), reason);
        assert_eq!(later.last_event(), expected.last().copied());
    }
}

/// Guards against the same where a stream is resumed a second time.
#[test]
fn a_stream_that_was_resumed_resumes_only_after_its_last_event() {
    for (last, expected) in [(4, "repeated"), (1, "went-back"), (6, "missing")] {
        let mut first = EventSplitter::default();
        passed_on(&mut first, &[1, 2], 8);
        let mut second = resumed(&first);
        passed_on(&mut second, &[3, 4], 8);
        let mut third = resumed(&second);
        assert!(passed_on(&mut third, &[last], 8).is_empty());
        assert_eq!(third.out_of_order().map(OutOfOrder::as_str), Some(expected));
    }
}

/// Guards against passing on what a caller that takes up a stream has got already, and against
/// refusing numbers that may be right.
#[test_case(3, &[1, 2], &[], Some("went-back"); "begins again")]
#[test_case(3, &[3, 4], &[], Some("repeated"); "repeats the last event")]
#[test_case(3, &[4, 5], &[4, 5], None; "goes on")]
#[test_case(0, &[1, 2], &[1, 2], None; "goes on after zero")]
#[test_case(10, &[20, 30], &[20, 30], None; "goes on in steps of ten")]
#[test_case(u64::MAX, &[0], &[], Some("went-back"); "begins again after the highest number")]
fn a_stream_that_is_taken_up_goes_on_after_the_event_that_its_caller_has(
    last_event: u64,
    rest: &[u64],
    expected: &[u64],
    reason: Option<&str>,
) {
    let order = EventOrder::default().resumed_after(Some(last_event));
    let mut splitter = EventSplitter::new(order);
    assert_eq!(passed_on(&mut splitter, rest, 8), expected);
    assert_eq!(splitter.out_of_order().map(OutOfOrder::as_str), reason);
}

/// Guards against changing the answer of an upstream that numbers its events in its own way, and
/// against going on after a number that does not tell which events have come.
#[test_case(&[5, 6, 7], true; "begins at five")]
#[test_case(&[1, 4, 9], true; "gaps")]
#[test_case(&[1, 1, 2], false; "repeats")]
#[test_case(&[3, 2, 1], false; "goes back")]
fn a_response_that_begins_a_stream_is_passed_on_as_it_is(numbers: &[u64], can_resume: bool) {
    let mut splitter = EventSplitter::default();
    assert_eq!(passed_on(&mut splitter, numbers, 8), numbers);
    assert_eq!(splitter.out_of_order(), None);
    assert_eq!(splitter.can_resume(), can_resume);
}

/// Guards against refusing events without numbers beside those that have one.
#[test]
fn events_without_numbers_are_passed_on() {
    let mut splitter = EventSplitter::new(EventOrder::default().resumed_after(Some(1)));
    let body = b"data: a\n\nid: 2\ndata: b\n\n: ping\n\ndata: c\n\n";
    let complete = splitter.push(body).expect("small events");
    assert_eq!(complete.as_deref(), Some(&body[..]));
    assert_eq!(splitter.out_of_order(), None);
}
