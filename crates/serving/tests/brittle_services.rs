//! What instances send to upstreams that fall over if they reject too much.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_serving::BrittleNotice;
use jd_serving::BrittleServices;
use jd_serving::InFlightShare;
use jd_serving::RejectionLimit;
use jd_types::MonoTime;
use test_case::test_case;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn notice(per_s: Option<u32>, ms: u64) -> BrittleNotice {
    BrittleNotice {
        limit: per_s.map(RejectionLimit::from_per_s),
        received_at: at(ms),
    }
}

fn limit(services: &BrittleServices, ms: u64) -> Option<u32> {
    services.limit(at(ms), "s").map(RejectionLimit::per_s)
}

/// Guards against shares that add up to more than the slots, and against instances that may send
/// nothing because there are fewer slots than instances.
#[test_case(64, 9, 9, 8, 64; "prompts, small fleet")]
#[test_case(6, 3, 9, 1, 2; "few slots, small fleet")]
#[test_case(6, 3, 75, 1, 1; "fewer slots than instances")]
#[test_case(64, 5_595, 985, 1, 363; "whole fleet")]
#[test_case(6, 3, 1, 6, 18; "one instance")]
#[test_case(4, 0, 3, 2, 1; "no upstream")]
fn an_instance_has_its_share_of_the_slots(slots: u32, count: u32, of: u32, each: u32, all: u32) {
    let share = InFlightShare::new(slots, count, of);
    assert_eq!((share.at_each, share.at_all), (each, all));
}

/// Guards against pauses after which all instances together cause more rejections than allowed.
#[test_case(3, 9, 3_000; "few rejections")]
#[test_case(20, 9, 450; "many rejections")]
#[test_case(0, 9, 4_000; "none")]
#[test_case(1, 985, 4_000; "large fleet")]
fn instances_together_cause_no_more_rejections_than_the_limit(per_s: u32, of: u32, ms: u64) {
    let pause = RejectionLimit::from_per_s(per_s).pause(of);
    assert_eq!(pause, Duration::from_millis(ms));
}

/// Guards against an answer that was received late and ends a notice, and against a notice that
/// outlasts its cause.
#[test]
fn a_notice_holds_until_a_later_answer_lacks_it_or_none_renews_it() {
    let mut services = BrittleServices::default();
    assert!(!services.record("s", notice(None, 0)));
    assert!(services.record("s", notice(Some(5), 1_000)));
    assert!(!services.record("s", notice(None, 1_200)), "out of order");
    assert_eq!(limit(&services, 1_200), Some(5));
    assert!(services.record("s", notice(Some(3), 1_300)), "stricter");
    assert!(!services.record("s", notice(Some(9), 900)), "older");
    assert_eq!(limit(&services, 1_400), Some(3));
    assert!(services.record("s", notice(None, 2_000)));
    assert_eq!(limit(&services, 2_000), None);
    services.record("s", notice(Some(4), 3_000));
    assert_eq!(limit(&services, 10_900), Some(4));
    assert_eq!(limit(&services, 11_000), None);
}

/// Guards against a value that cannot be read and is taken for a limit.
#[test_case("")]
#[test_case("-1")]
#[test_case("2.5")]
#[test_case("99999999999")]
fn an_unreadable_number_of_rejections_is_an_error(text: &str) {
    let error = RejectionLimit::try_from(text).expect_err("an error");
    assert!(error.to_string().contains("expected a whole number"));
}
