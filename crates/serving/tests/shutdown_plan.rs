//! What a process that is stopped does until it ends.

use std::time::Duration;

use jd_serving::ShutdownPlan;
use jd_types::MonoTime;
use test_case::test_case;

/// Guards against a wait that outlasts its process, and against an order in which a refusal comes too
/// late for the caller.
#[test_case(8_000)]
#[test_case(30_000)]
#[test_case(1_000)]
#[test_case(0)]
fn each_wait_ends_before_the_process(grace_ms: u64) {
    let began = MonoTime::from_millis(5_000);
    let plan = ShutdownPlan::new(began, Duration::from_millis(grace_ms));
    let killed = began + Duration::from_millis(grace_ms);
    assert!(began <= plan.accept_until && plan.accept_until <= plan.stages_until);
    assert!(began <= plan.begun_stages_until && plan.begun_stages_until <= plan.unsent_until);
    assert!(began <= plan.unsent_until && plan.unsent_until <= plan.unanswered_until);
    assert!(plan.unanswered_until <= plan.exit_at && plan.exit_at <= killed);
}

/// Guards against stages that end when the request itself can no longer run, at the usual grace
/// period.
#[test]
fn stages_end_well_before_unsent_requests_are_refused() {
    let began = MonoTime::from_millis(5_000);
    let plan = ShutdownPlan::new(began, Duration::from_secs(8));
    assert!(plan.stages_until + Duration::from_secs(1) < plan.unsent_until);
    assert!(plan.accept_until + Duration::from_secs(2) < plan.stages_until);
}

/// Guards against streams that are cut off in the last part of the grace period because their stages
/// may no longer run.
#[test]
fn a_stream_that_has_begun_waits_longer_for_its_stages_than_a_request() {
    let began = MonoTime::from_millis(5_000);
    let plan = ShutdownPlan::new(began, Duration::from_secs(8));
    assert!(plan.stages_until + Duration::from_secs(1) < plan.begun_stages_until);
}
