//! Pipeline runs, connection monitoring and cost accounting.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use jd_policy::AttemptCost;
use jd_policy::ConnectionMonitor;
use jd_policy::CostLedger;
use jd_policy::PipelineRun;
use jd_policy::RetryBudget;
use jd_policy::RunEnd;
use jd_policy::RunStep;
use jd_policy::StageTiming;
use jd_types::AttemptId;
use jd_types::AttemptOutcome;
use jd_types::CompiledStage;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::PoolKey;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::RunState;
use jd_types::StageKind;
use jd_types::UpstreamKey;
use test_case::test_case;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

const REQUEST: RequestId = RequestId {
    entry: Incarnation::new(1),
    number: 1,
};

fn stage(idempotent: bool, lookup: bool) -> CompiledStage {
    CompiledStage {
        kind: StageKind::Call,
        pool: PoolKey::from_index(0),
        idempotent,
        lookup,
    }
}

fn run(stages: &[CompiledStage]) -> PipelineRun {
    let timing = StageTiming {
        mean: ms(10),
        timeout: ms(50),
    };
    PipelineRun::new(
        REQUEST,
        at(3_000),
        stages.to_vec(),
        vec![timing; stages.len()],
    )
}

fn dispatched(step: &RunStep) -> AttemptId {
    match step {
        RunStep::Dispatch { attempt, .. } => *attempt,
        other => panic!("not a dispatch: {other:?}"),
    }
}

fn refused(step: &RunStep) -> (RefusalKind, RunState) {
    match step {
        RunStep::End(RunEnd::Refused(r)) => (r.kind, r.run),
        other => panic!("not a refusal: {other:?}"),
    }
}

// The response to the first attempt arrives after the second attempt was sent. If it were
// taken for the response to the second attempt, the request would advance by two stages.
#[test]
fn a_late_response_is_ignored() {
    let budget = RetryBudget::new(10, 5);
    let mut run = run(&[stage(true, false), stage(true, false)]);
    let first = dispatched(&run.start(at(0)));
    run.attempt_sent(UpstreamKey::from_index(0));
    let step = run
        .attempt_ended(at(100), first, AttemptOutcome::Silent, &budget)
        .unwrap();
    let second = dispatched(&step);
    assert_eq!(
        run.attempt_ended(at(110), first, AttemptOutcome::Answered, &budget),
        None
    );
    let next = run
        .attempt_ended(at(120), second, AttemptOutcome::Answered, &budget)
        .unwrap();
    assert_eq!(dispatched(&next).stage, 1);
    assert_eq!(
        run.attempt_ended(at(130), second, AttemptOutcome::Answered, &budget),
        None
    );
}

// Guards against a stage that must not run twice and is sent again because its response
// was lost.
#[test_case(AttemptOutcome::Failed)]
#[test_case(AttemptOutcome::Silent)]
#[test_case(AttemptOutcome::TimedOut)]
#[test_case(AttemptOutcome::Crossed)]
#[test_case(AttemptOutcome::Truncated)]
fn a_non_idempotent_stage_is_not_sent_twice(outcome: AttemptOutcome) {
    let budget = RetryBudget::new(100, 50);
    let mut run = run(&[stage(false, false)]);
    let attempt = dispatched(&run.start(at(0)));
    run.attempt_sent(UpstreamKey::from_index(0));
    let step = run
        .attempt_ended(at(100), attempt, outcome, &budget)
        .unwrap();
    assert_eq!(
        refused(&step),
        (RefusalKind::UpstreamFailed, RunState::MayHaveRun)
    );
}

// An upstream proved that the attempt did not run. Only then may a stage that must not run
// twice be sent again, and only then does the run state stay "not run".
#[test]
fn an_attempt_that_provably_did_not_run_is_retried() {
    let budget = RetryBudget::new(100, 50);
    let mut run = run(&[stage(false, false)]);
    let attempt = dispatched(&run.start(at(0)));
    let step = run
        .attempt_ended(at(10), attempt, AttemptOutcome::NotRun, &budget)
        .unwrap();
    assert_eq!(dispatched(&step).attempt, 2);
    assert_eq!(run.state(), RunState::NotRun);
}

// An upstream that supports lookups is queried for the key, and never receives the attempt
// again.
#[test_case(Some(true), true)]
#[test_case(Some(false), false)]
#[test_case(None, false)]
fn a_lost_response_is_looked_up(ran: Option<bool>, answered: bool) {
    let budget = RetryBudget::new(100, 50);
    let mut run = run(&[stage(false, true)]);
    let attempt = dispatched(&run.start(at(0)));
    let step = run
        .attempt_ended(at(10), attempt, AttemptOutcome::Failed, &budget)
        .unwrap();
    assert_eq!(step, RunStep::LookUp { attempt });
    let end = run.lookup_finished(at(20), ran);
    assert_eq!(end == RunStep::End(RunEnd::Answered), answered);
    if !answered {
        assert_eq!(refused(&end).1, RunState::MayHaveRun);
    }
}

// Guards against retries after the deadline, and retries after which the remaining stages
// could no longer finish before it.
#[test]
fn an_attempt_that_cannot_finish_in_time_is_not_retried() {
    let budget = RetryBudget::new(100, 50);
    let mut run = run(&[stage(true, false), stage(true, false)]);
    let attempt = dispatched(&run.start(at(0)));
    let step = run
        .attempt_ended(at(2_985), attempt, AttemptOutcome::Failed, &budget)
        .unwrap();
    assert_eq!(
        refused(&step),
        (RefusalKind::UpstreamFailed, RunState::MayHaveRun)
    );
}

// A middlebox has lost the state of a connection. Its requests never get a response, while
// new connections work. Older connections are probably lost too.
#[test]
fn a_silent_connection_is_retired_with_older_silent_ones() {
    let mut monitor = ConnectionMonitor::default();
    let [old, silent, fresh] = [0, 10, 900].map(|t| monitor.opened(at(t)));
    monitor.sent(at(1_000), silent);
    assert_eq!(monitor.retire_silent(at(1_050), silent, ms(100)), []);
    monitor.received(at(1_060), fresh, true);
    assert_eq!(
        monitor.retire_silent(at(1_100), silent, ms(100)),
        [old, silent]
    );
    monitor.sent(at(1_200), fresh);
    monitor.received(at(1_290), fresh, false);
    assert_eq!(
        monitor.retire_silent(at(1_300), fresh, ms(100)),
        [],
        "data was received 10 ms before"
    );
}

// Guards against bills that are disputed because their items do not add up to the total.
#[test]
fn costs_add_up_exactly_and_waste_is_counted_separately() {
    let mut ledger = CostLedger::default();
    let cost = |stage, attempt, units, outcome| AttemptCost {
        attempt: AttemptId {
            request: REQUEST,
            stage,
            attempt,
        },
        customer: name("ranges"),
        pipeline: name("valuation"),
        upstream: "127.0.0.1:1".into(),
        units,
        held_us: 10,
        outcome,
    };
    let costs = [
        cost(0, 1, 3, AttemptOutcome::Crossed),
        cost(0, 2, 3, AttemptOutcome::Answered),
        cost(1, 1, 9, AttemptOutcome::Answered),
    ];
    ledger.record(&costs, true);
    ledger.record(&costs, false);
    let total = ledger.grand_total();
    assert_eq!(
        (total.used_units, total.wasted_units, total.attempts),
        (12, 18, 6)
    );
    let sum: u64 = ledger
        .totals_by_key()
        .map(|(_, c)| c.used_units + c.wasted_units)
        .sum();
    assert_eq!(sum, total.used_units + total.wasted_units);
}
