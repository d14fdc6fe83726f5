//! The bound on the number of runs of one request.

use jd_serving::RunBudget;

/// Guards against a second run of a forwarded request where nothing is known of the first one.
#[test]
fn a_forwarded_request_has_one_run() {
    let mut runs = RunBudget::of_forwarded(1);
    assert!(runs.begin());
    assert!(!runs.begin());
    assert_eq!((runs.begun(), runs.left(), runs.left_anywhere()), (1, 0, 1));
}

/// Guards against losing a run to an upstream that proves that it has not run the request.
#[test]
fn a_run_that_is_proved_not_to_have_begun_is_taken_back() {
    let mut runs = RunBudget::of_forwarded(0);
    assert!(runs.begin());
    runs.take_back();
    assert_eq!((runs.begun(), runs.left()), (0, 1));
    assert!(runs.begin());
    assert_eq!(runs.left_anywhere(), 0);
}

/// Guards against a run beyond a number that was lowered after others had begun.
#[test]
fn a_lowered_number_leaves_no_further_run() {
    let mut runs = RunBudget::of_forwarded(0);
    assert!(runs.begin());
    runs.lower_to(0);
    assert_eq!(runs.left(), 0);
    assert!(!runs.begin());
}
