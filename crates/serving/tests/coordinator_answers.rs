//! Which instance decides on quarantines, and what is sent to one that begins to.

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::CoordinatorAnswer;
use jd_serving::CoordinatorAnswers;
use jd_serving::CrashLog;
use jd_serving::DecidesOn;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use test_case::test_case;

use CoordinatorAnswer::CannotDecide;
use CoordinatorAnswer::Decides;
use CoordinatorAnswer::DecidesOnRequests;
use CoordinatorAnswer::Missing;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

fn coordinator(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16))
}

fn crash(n: u64) -> UpstreamCrash {
    UpstreamCrash {
        service: "pool".into(),
        upstream: n.to_string().into(),
        start: UpstreamStart::at_millis(1),
        at: at(n),
        runs: Vec::new(),
    }
}

fn names(crashes: &[UpstreamCrash]) -> Vec<&str> {
    crashes.iter().map(|c| c.upstream.as_str()).collect()
}

/// Guards against nobody deciding in place of a coordinator that cannot, and against two that do
/// while the first one can.
#[test_case(&[], DecidesOn::Everything ; "the first")]
#[test_case(&[Some(Decides)], DecidesOn::Nothing ; "after one that decides")]
#[test_case(&[None], DecidesOn::Nothing ; "after one that was not asked")]
#[test_case(&[Some(CannotDecide)], DecidesOn::Everything ; "after one that cannot")]
#[test_case(&[Some(Missing)], DecidesOn::Everything ; "after one that does not answer")]
#[test_case(&[Some(CannotDecide), Some(Missing)], DecidesOn::Everything ; "after two that cannot")]
#[test_case(&[Some(CannotDecide), Some(Decides)], DecidesOn::Nothing ; "after the second decides")]
#[test_case(&[Some(DecidesOnRequests)], DecidesOn::Parts ; "after an earlier build")]
#[test_case(&[Some(DecidesOnRequests), Some(CannotDecide)], DecidesOn::Parts ; "after both")]
#[test_case(&[Some(DecidesOnRequests), Some(Decides)], DecidesOn::Nothing ; "after a later build")]
fn the_first_one_that_can_decides(answers: &[Option<CoordinatorAnswer>], expected: DecidesOn) {
    let mut known = CoordinatorAnswers::default();
    let earlier: Vec<SocketAddr> = (0..answers.len()).map(coordinator).collect();
    for (address, answer) in earlier.iter().zip(answers) {
        if let Some(answer) = answer {
            known.record(at(0), *address, *answer);
        }
    }
    assert_eq!(known.decides_on(at(500), &earlier), expected);
}

/// Guards against an instance that decides beside one that can do so again.
#[test]
fn an_old_answer_says_nothing() {
    let mut known = CoordinatorAnswers::default();
    known.record(at(0), coordinator(0), CannotDecide);
    let earlier = [coordinator(0)];
    assert_eq!(known.decides_on(at(900), &earlier), DecidesOn::Everything);
    assert_eq!(known.to_ask(at(900), &earlier), earlier);
    assert_eq!(known.decides_on(at(1_000), &earlier), DecidesOn::Nothing);
}

/// Guards against questions to all coordinators while the first one decides.
#[test]
fn one_that_decides_is_asked_alone() {
    let mut known = CoordinatorAnswers::default();
    let earlier = [coordinator(0), coordinator(1), coordinator(2)];
    assert_eq!(known.to_ask(at(0), &earlier), earlier);
    known.record(at(0), coordinator(0), CannotDecide);
    known.record(at(0), coordinator(1), Decides);
    assert_eq!(known.to_ask(at(300), &earlier), []);
    assert_eq!(known.to_ask(at(400), &earlier), [coordinator(1)]);
}

/// Guards against crashes that an instance which begins to decide does not know.
#[test]
fn a_coordinator_receives_what_it_lacks() {
    let mut log = CrashLog::default();
    for n in 1..=3 {
        log.add(at(n), crash(n));
    }
    let (first, count) = log.missing(coordinator(0));
    assert_eq!(names(&first), ["1", "2", "3"]);
    assert!(log.record_received(coordinator(0), 5, count));
    log.add(at(4), crash(4));
    let (rest, count) = log.missing(coordinator(0));
    assert_eq!(names(&rest), ["4"]);
    assert_eq!(log.missing(coordinator(1)).0.len(), 4);
    assert!(log.record_received(coordinator(0), 5, count));
    assert!(log.missing(coordinator(0)).0.is_empty());
}

/// Guards against evidence that is lost with a coordinator which starts again at its address.
#[test]
fn a_coordinator_that_has_started_again_receives_everything() {
    let mut log = CrashLog::default();
    log.add(at(1), crash(1));
    assert!(log.record_received(coordinator(0), 5, 1));
    log.add(at(2), crash(2));
    assert!(!log.record_received(coordinator(0), 6, 2));
    let (all, count) = log.missing(coordinator(0));
    assert_eq!(names(&all), ["1", "2"]);
    assert!(log.record_received(coordinator(0), 6, count));
}

/// Guards against a log that grows with the crashes of a long outage.
#[test]
fn the_log_is_bounded() {
    let mut log = CrashLog::default();
    for n in 0..1_000 {
        log.add(at(n), crash(n));
    }
    let (kept, count) = log.missing(coordinator(0));
    assert_eq!((kept.len(), count), (32, 1_000));
    assert_eq!(names(&kept).last(), Some(&"999"));
    log.add(at(700_000), crash(700_000));
    assert_eq!(log.missing(coordinator(0)).0.len(), 1);
}
