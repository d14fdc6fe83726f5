//! When another attempt at a request is made, and what becomes of the earlier ones.

use std::time::Duration;

use jd_serving::AttemptDecision;
use jd_serving::AttemptSituation;
use jd_serving::EVENT_PATIENCE;
use jd_serving::Evidence;
use jd_serving::PendingAttempts;
use jd_serving::Refusals;
use jd_serving::RetryMode;
use jd_serving::abandon_gap;
use jd_serving::head_patience;
use jd_types::AttemptOutcome;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A pending attempt that has been silent for a time.
fn silent_for(silent_for: Duration) -> AttemptSituation {
    AttemptSituation {
        pending: PendingAttempts {
            count: 1,
            silent_for,
            until_silent: EVENT_PATIENCE.saturating_sub(silent_for),
        },
        may_run: true,
        is_path_lost: false,
        refusals: None,
        left: ms(10_000),
    }
}

const NOTHING: PendingAttempts = PendingAttempts {
    count: 0,
    silent_for: Duration::ZERO,
    until_silent: Duration::ZERO,
};

#[test]
fn another_attempt_is_made_beside_a_silent_one() {
    let beside = |evidence| AttemptDecision::Attempt(Some(evidence));
    assert_eq!(silent_for(ms(1_499)).decide(), AttemptDecision::Wait(ms(1)));
    assert_eq!(silent_for(ms(1_500)).decide(), beside(Evidence::Silent));
    let lost = AttemptSituation {
        is_path_lost: true,
        ..silent_for(ms(1_000))
    };
    assert_eq!(lost.decide(), beside(Evidence::PathLost));
    let active = AttemptSituation {
        is_path_lost: true,
        ..silent_for(ms(999))
    };
    assert_eq!(active.decide(), AttemptDecision::Wait(ms(1)));
}

/// Guards against ending an attempt for its silence, whatever rules out another one.
#[test_case(false, None; "no run left")]
#[test_case(true, Some(Refusals { count: 1, latest: ms(0) }); "refused just before")]
fn a_silent_attempt_is_waited_for(may_run: bool, refusals: Option<Refusals>) {
    for silence in [ms(0), ms(1_500), ms(9_000)] {
        let situation = AttemptSituation {
            may_run,
            refusals,
            ..silent_for(silence)
        };
        assert!(matches!(situation.decide(), AttemptDecision::Wait(wait) if !wait.is_zero()));
    }
}

#[test]
fn nothing_is_waited_for_once_no_answer_can_come() {
    let over = AttemptSituation {
        left: Duration::ZERO,
        ..silent_for(ms(0))
    };
    assert_eq!(over.decide(), AttemptDecision::End);
    let failed = AttemptSituation {
        pending: NOTHING,
        ..silent_for(ms(0))
    };
    assert_eq!(failed.decide(), AttemptDecision::Attempt(None));
    let used_up = AttemptSituation {
        may_run: false,
        ..failed
    };
    assert_eq!(used_up.decide(), AttemptDecision::End);
}

/// Guards against ending a request at its first refusal, and against asking without a pause.
#[test]
fn refused_attempts_are_made_again_after_growing_pauses() {
    let pauses = [250, 500, 1_000, 2_000, 2_000];
    for (count, pause) in (1..).zip(pauses) {
        let refused = |latest| AttemptSituation {
            pending: NOTHING,
            refusals: Some(Refusals { count, latest }),
            ..silent_for(ms(0))
        };
        assert_eq!(refused(ms(0)).decide(), AttemptDecision::Wait(ms(pause)));
        assert_eq!(refused(ms(pause)).decide(), AttemptDecision::Attempt(None));
    }
}

#[test_case(AttemptOutcome::Silent, Evidence::Silent, false)]
#[test_case(AttemptOutcome::TimedOut, Evidence::Silent, false)]
#[test_case(AttemptOutcome::NotRun, Evidence::Refused, true)]
#[test_case(AttemptOutcome::Failed, Evidence::Broken, true)]
#[test_case(AttemptOutcome::Truncated, Evidence::Broken, true)]
#[test_case(AttemptOutcome::Crossed, Evidence::Broken, true)]
#[test_case(AttemptOutcome::Unreachable, Evidence::Broken, true)]
fn silence_alone_is_no_final_evidence(outcome: AttemptOutcome, evidence: Evidence, is_final: bool) {
    assert_eq!(Evidence::of_outcome(outcome), evidence);
    assert_eq!(evidence.is_final(), is_final);
}

#[test]
fn patience_depends_on_the_kind_of_answer() {
    assert_eq!(head_patience(RetryMode::Idempotent, ms(600)), ms(300));
    assert_eq!(head_patience(RetryMode::Resumable, ms(12_000)), ms(2_500));
    assert_eq!(head_patience(RetryMode::Resumable, ms(1_000)), ms(1_000));
    assert_eq!(abandon_gap(ms(100), None), ms(2_000));
    assert_eq!(abandon_gap(ms(1_900), Some(ms(600))), ms(7_600));
    assert_eq!(abandon_gap(ms(500), Some(ms(600))), ms(4_800));
}
