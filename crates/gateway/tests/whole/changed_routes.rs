//! Configurations that change a route while its requests are in progress.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_serving::Deployment;
use jd_serving::RetryMode;
use jd_serving::Route;
use jd_serving::UpstreamStart;
use jd_types::Name;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::STREAM;
use crate::fakes::deployment;
use crate::fakes::entry;
use crate::fakes::owner_order;
use crate::fakes::staged_deployment;

/// How long an upstream pauses in its answer: longer than an instance takes to apply a change, and
/// than a stream may be silent before another upstream is tried.
const PAUSE: Duration = Duration::from_millis(1_800);
/// A timeout that is over before the answer ends.
const SHORT_TIMEOUT: Duration = Duration::from_millis(900);

/// What changes while the upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Changed {
    /// The version number alone.
    Nothing,
    RouteRemoved,
    /// The route leads to a service without upstreams.
    OtherService,
    Timeout,
    /// The route allows one run in place of two.
    Attempts,
    /// The requests of the route may run once.
    RetryMode,
    /// The customer's credential is gone.
    Credential,
    /// The upstream drains.
    UpstreamLeaves,
    /// The upstream's entry is removed, as before a planned end.
    UpstreamRemoved,
    /// The zone of the upstream is evacuated.
    ZoneEvacuated,
}

fn changed_deployment(changed: Changed, name: &str) -> Deployment {
    let mut next = deployment();
    next.version = 2;
    let change = |route: &mut Route| match changed {
        Changed::OtherService => route.targets[0].service = "elsewhere".into(),
        Changed::Timeout => route.timeout = SHORT_TIMEOUT,
        Changed::Attempts => route.max_attempts = 1,
        Changed::RetryMode if route.retry_mode.is_stream() => {
            route.retry_mode = RetryMode::StreamOnce;
        }
        Changed::RetryMode => route.retry_mode = RetryMode::Once,
        _ => {}
    };
    next.routes
        .iter_mut()
        .filter(|r| r.name == name)
        .for_each(change);
    match changed {
        Changed::RouteRemoved => next.routes.retain(|r| r.name != name),
        Changed::Credential => next.customers[0].credentials = vec!["key-2".into()],
        _ => {}
    }
    next
}

fn make(harness: &Harness, changed: Changed, name: &str) {
    match changed {
        Changed::UpstreamLeaves => harness.leave(0),
        Changed::UpstreamRemoved => harness.store.change(Change::UpstreamRemoved("i-0".into())),
        Changed::ZoneEvacuated => {
            let zone = Name::try_from("a").expect("a name");
            harness
                .store
                .change(Change::Put(Record::EvacuatedZone(zone)));
        }
        _ => {
            let next = changed_deployment(changed, name);
            let record = Record::Deployment(Box::new(next));
            harness.store.change(Change::Put(record));
        }
    }
}

async fn until_caught_up(harness: &Harness) {
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Has the only upstream begin an answer on a route, and something change before it ends.
async fn ask_during(
    reply: Reply,
    name: &'static str,
    changed: Changed,
) -> (Harness, CallerResponse) {
    let harness = Harness::start(vec![vec![reply]]);
    harness.until_ready(true).await;
    let harness = Arc::new(harness);
    let caller = Arc::clone(&harness);
    let path = format!("/{name}/x");
    let asking: Task<CallerResponse> = harness.spawn(async move { caller.ask(&path, "s-1").await });
    while !harness.upstreams[0].has_run("s-1") {
        Timer::after(Duration::from_millis(2)).await;
    }
    make(&harness, changed, name);
    until_caught_up(&harness).await;
    let received = asking.await;
    let harness = Arc::into_inner(harness).expect("no other caller");
    (harness, received)
}

/// Guards against cutting a stream off because of a configuration, or of an upstream that drains,
/// while its upstream goes on.
#[test_case(Changed::Nothing; "nothing")]
#[test_case(Changed::RouteRemoved; "route removed")]
#[test_case(Changed::OtherService; "other service")]
#[test_case(Changed::Timeout; "shorter timeout")]
#[test_case(Changed::Attempts; "fewer attempts")]
#[test_case(Changed::RetryMode; "other retry mode")]
#[test_case(Changed::Credential; "credential removed")]
#[test_case(Changed::UpstreamLeaves; "upstream drains")]
#[test_case(Changed::UpstreamRemoved; "entry removed")]
#[test_case(Changed::ZoneEvacuated; "zone evacuated")]
fn a_stream_goes_on_by_the_configuration_that_admitted_it(changed: Changed) {
    block_on(async {
        let reply = Reply::Pausing(&STREAM, PAUSE);
        let (harness, received) = ask_during(reply, "resume", changed).await;
        assert_eq!(received.body, STREAM.concat());
        assert!(received.whole);
        assert_eq!(harness.upstreams[0].count(), 1);
    });
}

/// The same for single answers.
#[test_case("any", Changed::RouteRemoved; "route removed")]
#[test_case("any", Changed::OtherService; "other service")]
#[test_case("any", Changed::Timeout; "shorter timeout")]
#[test_case("any", Changed::Attempts; "fewer attempts")]
#[test_case("any", Changed::RetryMode; "other retry mode")]
#[test_case("once", Changed::Timeout; "shorter timeout, may run once")]
#[test_case("once", Changed::UpstreamLeaves; "upstream drains, may run once")]
#[test_case("any", Changed::UpstreamRemoved; "entry removed")]
fn an_answer_ends_by_the_configuration_that_admitted_it(name: &'static str, changed: Changed) {
    block_on(async {
        let reply = Reply::Delayed("a", PAUSE);
        let (harness, received) = ask_during(reply, name, changed).await;
        assert_eq!((received.status, received.body.as_str()), (200, "a"));
        assert_eq!(harness.upstreams[0].count(), 1);
    });
}

/// Guards against more runs than the configuration in force allows, after an upstream failed that ran
/// a request which an earlier one had admitted.
#[test_case(Changed::Nothing, 2; "as before")]
#[test_case(Changed::RouteRemoved, 2; "route removed")]
#[test_case(Changed::Attempts, 1; "fewer attempts")]
#[test_case(Changed::RetryMode, 1; "other retry mode")]
fn a_failed_request_runs_again_only_as_often_as_the_new_configuration_allows(
    changed: Changed,
    runs: usize,
) {
    block_on(async {
        let replies = [Reply::DelayedFailure(PAUSE), Reply::Complete("b")];
        let harness = Arc::new(Harness::start(replies.map(|reply| vec![reply]).to_vec()));
        harness.store.change(Change::UpstreamRemoved("i-1".into()));
        harness.until_ready(true).await;
        until_caught_up(&harness).await;
        let caller = Arc::clone(&harness);
        let asking = harness.spawn(async move { caller.ask("/any/x", "s-1").await });
        while !harness.upstreams[0].has_run("s-1") {
            Timer::after(Duration::from_millis(2)).await;
        }
        make(&harness, changed, "any");
        harness.set_zone(1, "a");
        until_caught_up(&harness).await;
        let received = asking.await;
        let all: usize = harness.upstreams.iter().map(|u| u.count()).sum();
        assert_eq!(all, runs, "{received:?}");
    });
}

/// What changes while a stage of a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangedStage {
    /// The version number alone.
    Nothing,
    /// Its service and its route.
    ServiceRemoved,
    /// The number of pieces in a call.
    OtherBatches,
    /// The route has no stages any more.
    StagesRemoved,
    /// The number of its upstreams, so that other shards exist.
    OtherShards,
    /// The same, and the number from before again.
    OtherShardsForAMoment,
}

/// Upstreams of a service with which its shards are by zone.
const SHARDED_UPSTREAMS: usize = 13;

fn with_slow_stage() -> Deployment {
    let mut slow = staged_deployment();
    let batches = slow.services.iter_mut().filter_map(|s| s.batch.as_mut());
    batches.for_each(|batch| batch.base_time = Duration::from_secs(4));
    slow.routes
        .iter_mut()
        .for_each(|r| r.objective = Duration::from_secs(10));
    slow
}

async fn change_stage(harness: &Harness, changed: ChangedStage) {
    let mut next = with_slow_stage();
    next.version = 2;
    match changed {
        ChangedStage::Nothing => {}
        ChangedStage::ServiceRemoved => {
            next.services.clear();
            next.routes.retain(|r| r.stages.is_empty());
        }
        ChangedStage::OtherBatches => {
            let batches = next.services.iter_mut().filter_map(|s| s.batch.as_mut());
            batches.for_each(|batch| batch.pieces = 1);
        }
        ChangedStage::StagesRemoved => next.routes.iter_mut().for_each(|r| r.stages.clear()),
        ChangedStage::OtherShards | ChangedStage::OtherShardsForAMoment => {
            let ids: Vec<String> = (1..SHARDED_UPSTREAMS)
                .map(|n| format!("stage-{n}"))
                .collect();
            for id in &ids {
                let start = UpstreamStart::UNKNOWN;
                let listed = entry(id, "stages", harness.address(1), start);
                harness.store.change(Change::Put(listed));
            }
            harness.until_all_listed().await;
            if changed == ChangedStage::OtherShardsForAMoment {
                for id in &ids {
                    harness
                        .store
                        .change(Change::UpstreamRemoved(id.as_str().into()));
                }
            }
            return;
        }
    }
    let record = Record::Deployment(Box::new(next));
    harness.store.change(Change::Put(record));
}

/// Guards against refusing or repeating the stages of a request that are in progress, at another
/// instance, because a configuration or their upstreams change.
#[test_case(ChangedStage::Nothing; "nothing")]
#[test_case(ChangedStage::ServiceRemoved; "service removed")]
#[test_case(ChangedStage::OtherBatches; "other batches")]
#[test_case(ChangedStage::StagesRemoved; "stages removed")]
#[test_case(ChangedStage::OtherShards; "other shards")]
#[test_case(ChangedStage::OtherShardsForAMoment; "other shards for a moment")]
fn stages_in_progress_outlast_a_configuration(changed: ChangedStage) {
    let stage = vec![Reply::Delayed("made", PAUSE)];
    let answer = vec![Reply::Complete(STREAM[0])];
    let mut harness = Harness::start_staged(with_slow_stage(), vec![answer], stage);
    harness.add_gateways(3);
    block_on(async {
        harness.until_all_listed().await;
        let last = owner_order(&harness.peer_addresses())[3];
        let asking = harness.spawn_ask(last, "/staged/x", "s-1");
        while harness.upstreams[1].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        change_stage(&harness, changed).await;
        harness.until_all_listed().await;
        let received = asking.await;
        assert_eq!(
            (received.status, received.whole),
            (200, true),
            "{received:?}"
        );
        assert_eq!(harness.upstreams[1].count(), 1, "the stage ran again");
    });
}
