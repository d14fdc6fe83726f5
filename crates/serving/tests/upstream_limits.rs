//! Limits that upstreams announce, and their exchange between instances.

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

fn received(ms: u64, limit: Option<f64>) -> LimitNotice {
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

#[test_case(&[received(0, Some(2.0)), received(900, Some(5.0))], Some(5.0); "the limit rises")]
#[test_case(&[received(0, Some(2.0)), received(10, Some(1.0))], Some(1.0); "the limit falls")]
#[test_case(&[received(0, Some(2.0)), received(900, None)], None; "the limit ends")]
#[test_case(&[received(0, Some(2.0)), received(900, None), received(950, Some(3.0))], Some(3.0); "the limit returns")]
#[test_case(&[received(0, Some(2.0)), received(20, None)], Some(2.0); "an answer without a limit soon after one with it")]
#[test_case(&[received(20, None), received(0, Some(2.0))], Some(2.0); "the same answers in reverse order")]
#[test_case(&[received(0, Some(1.0)), received(30, Some(4.0))], Some(1.0); "two limits that may be out of order")]
#[test_case(&[received(900, Some(4.0)), received(0, Some(1.0))], Some(4.0); "an old answer arrives late")]
#[test_case(&[received(0, Some(1.0)), received(400, Some(1.0)), received(700, None)], Some(1.0); "a limit renewed shortly before")]
fn the_limit_in_force(notices: &[LimitNotice], expected: Option<f64>) {
    assert_eq!(after(notices), expected);
}

/// A limit of an earlier start does not outlive that start.
#[test]
fn a_limit_ends_with_its_start() {
    let start = UpstreamStart::at_millis;
    let named = LimitNotice {
        start: start(5),
        ..received(0, Some(1.0))
    };
    let mut limits = UpstreamLimits::default();
    limits.record("u", named);
    let again = LimitNotice {
        start: start(9),
        ..received(1, None)
    };
    let change = limits.record("u", again);
    assert_eq!(change, None, "a start without a limit has no limit to end");
    assert_eq!(limits.limit("u"), None);
    assert_eq!(
        limits.record("u", named),
        None,
        "a notice of the earlier start"
    );
    assert_eq!(limits.limit("u"), None);

    limits.record("v", named);
    limits.remove_gone(at(10), |_| Some(start(9)));
    assert_eq!(limits.limit("v"), None);
}

/// Guards against dropping a limit that is still in force: entries expire during an outage of
/// the store and return.
#[test]
fn a_limit_outlives_the_expiry_of_its_entry() {
    let mut limits = UpstreamLimits::default();
    limits.record("u", received(0, Some(1.0)));
    limits.remove_gone(at(20_000), |_| None);
    assert_eq!(limits.limit("u"), Some(rate(1.0)));
    limits.remove_gone(at(61_000), |_| None);
    assert!(limits.is_empty());
}

/// Guards against two instances that send a notice back and forth forever, each time with a
/// slightly later time.
#[test]
fn forwarding_a_notice_does_not_renew_it() {
    let mut limits = UpstreamLimits::default();
    limits.record("u", received(0, Some(1.0)));
    for beat in 1..100 {
        limits.record("u", received(beat * 3 % 50, Some(1.0)));
    }
    assert_eq!(limits.notice("u").map(|n| n.received_at), Some(at(0)));
}

#[test]
fn limits_and_their_ends_are_announced() {
    let mut limits = UpstreamLimits::default();
    limits.record("u", received(0, Some(1.0)));
    limits.record("u", received(1_000, None));
    limits.record("v", received(0, Some(1.0)));
    limits.record("w", received(0, None));
    assert_eq!(limits.announced(at(2_000)).count(), 2);
    let later = at(1_000) + Duration::from_secs(30);
    assert_eq!(limits.announced(later).count(), 1);
    assert_eq!(limits.count(), 1);
}
