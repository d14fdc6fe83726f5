//! Limits that upstreams name, as instances hear of them.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_serving::LimitNotice;
use jd_serving::RequestRate;
use jd_serving::UpstreamLimits;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use test_case::test_case;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).expect("a rate")
}

fn heard(ms: u64, limit: Option<f64>) -> LimitNotice {
    LimitNotice {
        start: UpstreamStart::UNKNOWN,
        limit: limit.map(rate),
        received_at: at(ms),
    }
}

fn after(notices: &[LimitNotice]) -> Option<f64> {
    let mut limits = UpstreamLimits::default();
    for notice in notices {
        limits.record("u", *notice);
    }
    limits.limit("u").map(RequestRate::per_s)
}

#[test_case(&[heard(0, Some(2.0)), heard(900, Some(5.0))], Some(5.0); "it rises")]
#[test_case(&[heard(0, Some(2.0)), heard(10, Some(1.0))], Some(1.0); "it falls")]
#[test_case(&[heard(0, Some(2.0)), heard(900, None)], None; "it goes")]
#[test_case(&[heard(0, Some(2.0)), heard(900, None), heard(950, Some(3.0))], Some(3.0); "it comes back")]
#[test_case(&[heard(0, Some(2.0)), heard(20, None)], Some(2.0); "an answer without it crossed one with it")]
#[test_case(&[heard(20, None), heard(0, Some(2.0))], Some(2.0); "crossed, heard the other way round")]
#[test_case(&[heard(0, Some(1.0)), heard(30, Some(4.0))], Some(1.0); "two that crossed")]
#[test_case(&[heard(900, Some(4.0)), heard(0, Some(1.0))], Some(4.0); "old news arrives late")]
#[test_case(&[heard(0, Some(1.0)), heard(400, Some(1.0)), heard(700, None)], Some(1.0); "named again shortly before")]
fn the_limit_that_counts(notices: &[LimitNotice], expected: Option<f64>) {
    assert_eq!(after(notices), expected);
}

/// Guards against a limit of an earlier start that outlives it.
#[test]
fn a_limit_ends_with_its_start() {
    let start = UpstreamStart::at_millis;
    let named = LimitNotice {
        start: start(5),
        ..heard(0, Some(1.0))
    };
    let mut limits = UpstreamLimits::default();
    limits.record("u", named);
    let again = LimitNotice {
        start: start(9),
        ..heard(1, None)
    };
    let change = limits.record("u", again);
    assert_eq!(
        change, None,
        "a start that named nothing has nothing to end"
    );
    assert_eq!(limits.limit("u"), None);
    assert_eq!(limits.record("u", named), None, "news of the earlier start");
    assert_eq!(limits.limit("u"), None);

    limits.record("v", named);
    limits.remove_gone(at(10), |_| Some(start(9)));
    assert_eq!(limits.limit("v"), None);
}

/// Guards against a limit that is forgotten while it holds: entries lapse while the store
/// is away, and come back.
#[test]
fn a_limit_outlives_a_lapse_of_its_entry() {
    let mut limits = UpstreamLimits::default();
    limits.record("u", heard(0, Some(1.0)));
    limits.remove_gone(at(20_000), |_| None);
    assert_eq!(limits.limit("u"), Some(rate(1.0)));
    limits.remove_gone(at(61_000), |_| None);
    assert!(limits.is_empty());
}

/// Guards against news that two instances tell each other for good, each a little later.
#[test]
fn what_was_heard_is_not_heard_again_by_being_passed_on() {
    let mut limits = UpstreamLimits::default();
    limits.record("u", heard(0, Some(1.0)));
    for beat in 1..100 {
        limits.record("u", heard(beat * 3 % 50, Some(1.0)));
    }
    assert_eq!(limits.notice("u").map(|n| n.received_at), Some(at(0)));
}

#[test]
fn others_are_told_of_limits_and_of_their_end() {
    let mut limits = UpstreamLimits::default();
    limits.record("u", heard(0, Some(1.0)));
    limits.record("u", heard(1_000, None));
    limits.record("v", heard(0, Some(1.0)));
    limits.record("w", heard(0, None));
    assert_eq!(limits.announced(at(2_000)).count(), 2);
    let later = at(1_000) + Duration::from_secs(30);
    assert_eq!(limits.announced(later).count(), 1);
    assert_eq!(limits.count(), 1);
}
