//! Until when the steps of a request may begin while a process stops.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jd_serving::RequestStep;
use jd_serving::RunTime;
use jd_serving::RunTimes;
use jd_serving::ShutdownPlan;
use jd_serving::StopTerms;
use jd_types::MonoTime;
use test_case::test_case;

const STEPS: [RequestStep; 5] = [
    RequestStep::Take,
    RequestStep::Wait,
    RequestStep::Stages,
    RequestStep::Send,
    RequestStep::Forward,
];
const BEGAN: MonoTime = MonoTime::from_millis(5_000);
const FAR: MonoTime = MonoTime::from_millis(1_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Requests that all took the same time.
fn always(millis: u64) -> Option<RunTime> {
    let mut times = RunTimes::default();
    for _ in 0..8 {
        times.record(BEGAN, ms(millis));
    }
    times.estimate(BEGAN)
}

fn terms(taken_ms: u64, may_repeat: bool, run_time: Option<RunTime>) -> StopTerms {
    StopTerms {
        taken_at: BEGAN + ms(taken_ms),
        deadline: FAR,
        may_repeat,
        has_begun: false,
        run_time,
    }
}

/// Guards against a step that begins although the request cannot end before the process does, in any
/// order of the end of its body and its steps.
#[test_case(2_000)]
#[test_case(8_000)]
#[test_case(30_000)]
fn a_step_begins_only_if_the_request_can_end(grace_ms: u64) {
    let plan = ShutdownPlan::new(BEGAN, ms(grace_ms));
    for taken_ms in (0..=grace_ms).step_by(100) {
        for run_ms in [None, Some(30), Some(500), Some(5_000), Some(60_000)] {
            for may_repeat in [false, true] {
                let terms = terms(taken_ms, may_repeat, run_ms.and_then(always));
                for at_ms in (taken_ms..=grace_ms).step_by(100) {
                    let now = BEGAN + ms(at_ms);
                    let begins = |step| plan.check(now, step, &terms).is_ok();
                    let is_begun = begins(RequestStep::Send);
                    assert!(STEPS.iter().all(|step| begins(*step) == is_begun));
                    let is_early = now < plan.accept_until;
                    let is_taken = terms.taken_at < plan.accept_until;
                    let can_end = match run_ms {
                        Some(run_ms) => now + ms(run_ms) <= plan.unanswered_until,
                        None => is_taken,
                    };
                    let case = (taken_ms, run_ms, may_repeat, at_ms);
                    assert!(!is_begun || is_early || can_end, "{case:?} begins");
                    assert!(!is_begun || now < plan.unsent_until, "{case:?} begins");
                }
            }
        }
    }
}

/// Guards against a refusal of requests that can be served.
#[test_case(2_000, 1_000)]
#[test_case(8_000, 7_000)]
#[test_case(30_000, 29_000)]
fn a_short_request_is_taken_late_in_the_grace_period(grace_ms: u64, at_ms: u64) {
    let plan = ShutdownPlan::new(BEGAN, ms(grace_ms));
    let now = BEGAN + ms(at_ms);
    for may_repeat in [false, true] {
        let terms = terms(at_ms, may_repeat, always(30));
        assert_eq!(plan.check(now, RequestStep::Take, &terms), Ok(()));
    }
}

/// Guards against a refusal of requests whose callers stop waiting before the process ends.
#[test]
fn a_request_with_little_time_is_taken_whatever_it_needs() {
    let plan = ShutdownPlan::new(BEGAN, ms(8_000));
    let now = BEGAN + ms(4_000);
    let terms = StopTerms {
        deadline: now + ms(1_000),
        ..terms(4_000, false, None)
    };
    assert_eq!(plan.check(now, RequestStep::Take, &terms), Ok(()));
}

/// Guards against a stream that is given up although another upstream could go on with it.
#[test]
fn a_stream_that_has_begun_goes_on() {
    let plan = ShutdownPlan::new(BEGAN, ms(8_000));
    let terms = StopTerms {
        has_begun: true,
        ..terms(0, true, always(5_000))
    };
    let now = BEGAN + ms(7_000);
    assert_eq!(plan.check(now, RequestStep::Send, &terms), Ok(()));
}

/// Guards against requests that may run once and are cut off because theirs is one of the longer ones.
#[test]
fn a_request_that_may_run_once_is_refused_sooner() {
    let plan = ShutdownPlan::new(BEGAN, ms(8_000));
    let mut times = RunTimes::default();
    for n in 0..40 {
        times.record(BEGAN, ms(if n == 7 { 900 } else { 100 }));
    }
    let run_time = times.estimate(BEGAN);
    let latest = |taken_ms, may_repeat| plan.latest_begin(&terms(taken_ms, may_repeat, run_time));
    for taken_ms in [2_000, 4_000] {
        assert!(latest(taken_ms, false) + ms(1_800) <= plan.unanswered_until);
    }
    assert!(latest(2_000, false) + ms(900) < latest(2_000, true));
    assert_eq!(latest(4_000, false) + ms(900), latest(4_000, true));
    assert!(latest(4_000, true) + ms(900) <= plan.unanswered_until);
}

/// Guards against late requests that are cut off since many short ones hid that some take long.
#[test]
fn a_long_request_counts_among_many_short_ones() {
    let mut times = RunTimes::default();
    times.record(BEGAN, ms(5_000));
    for n in 0..200 {
        times.record(BEGAN + ms(n), ms(50));
    }
    let run_time = times.estimate(BEGAN + ms(200)).expect("enough requests");
    assert!(run_time.needed(false, false) >= ms(5_000));
    assert!(run_time.needed(true, true) >= ms(5_000));
    let old = times.estimate(BEGAN + ms(60_100)).expect("enough requests");
    assert_eq!(old.needed(true, true), ms(50));
}

/// Guards against upstreams that look fast because the requests that they do not answer are not counted.
#[test]
fn a_request_that_was_given_up_counts_if_it_took_longer_than_the_others() {
    let mut times = RunTimes::default();
    for _ in 0..20 {
        times.record(BEGAN, ms(30));
        times.record_unfinished(BEGAN, ms(10));
    }
    let before = times.estimate(BEGAN).expect("enough requests");
    assert_eq!(before.needed(true, false), ms(30));
    times.record_unfinished(BEGAN, ms(5_000));
    let after = times.estimate(BEGAN).expect("enough requests");
    assert!(after.needed(false, false) >= ms(10_000) && after.needed(true, false) > ms(500));
}

/// Guards against an estimate of few requests, or of requests of long ago.
#[test]
fn nothing_is_known_of_few_requests_and_of_old_ones() {
    let mut times = RunTimes::default();
    for _ in 0..7 {
        times.record(BEGAN, ms(30));
    }
    assert_eq!(times.estimate(BEGAN), None);
    times.record(BEGAN, ms(30));
    assert!(times.estimate(BEGAN).is_some());
    assert_eq!(times.estimate(BEGAN + ms(61_000)), None);
}
