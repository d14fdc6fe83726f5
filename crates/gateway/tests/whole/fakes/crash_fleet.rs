//! A fleet before upstreams that end, and those who ask it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_io::Timer;

use crate::fakes::CallerResponse;
use crate::fakes::CrashingUpstreams;
use crate::fakes::Harness;
use crate::fakes::Reply;

/// Instances of a fleet in these tests.
pub(crate) const INSTANCES: usize = 5;
/// How long is waited for what has to come.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// How long the stage before some requests takes.
const STAGE_TAKES: Duration = Duration::from_millis(40);

/// A fleet before so many upstreams that end.
pub(crate) fn fleet(upstreams: usize) -> (Harness, Arc<CrashingUpstreams>) {
    let stage = vec![Reply::Delayed("made", STAGE_TAKES)];
    let mut harness = Harness::start_with_stage(Vec::new(), stage);
    harness.add_gateways(INSTANCES - 1);
    let upstreams = CrashingUpstreams::start(harness.executor(), &harness.store, upstreams);
    (harness, upstreams)
}

/// Sends a request again and again, every `pause`, to one instance after the other, for
/// as long as given. Waits for no answer, and for all of them at the end.
pub(crate) async fn send_repeatedly(
    harness: &Arc<Harness>,
    path: &'static str,
    pause: Duration,
    span: Duration,
) -> Vec<CallerResponse> {
    let began = Instant::now();
    let mut asked = Vec::new();
    for n in 0.. {
        if began.elapsed() > span {
            break;
        }
        let caller = Arc::clone(harness);
        let asking = async move {
            let id = format!("{path}-{n}");
            caller.ask_instance(n, path, &id).await
        };
        asked.push(harness.spawn(asking));
        Timer::after(pause).await;
    }
    let mut received = Vec::with_capacity(asked.len());
    for asking in asked {
        received.push(asking.await);
    }
    received
}

/// Does so beside the test.
pub(crate) fn spawn_repeated_sends(
    harness: &Arc<Harness>,
    path: &'static str,
    pause: Duration,
    span: Duration,
) -> Task<Vec<CallerResponse>> {
    let caller = Arc::clone(harness);
    harness.spawn(async move { send_repeatedly(&caller, path, pause, span).await })
}

/// Sends a request until an instance refuses it as one that ends upstreams.
pub(crate) async fn until_quarantined(harness: &Arc<Harness>, path: &'static str) {
    let until = Instant::now() + TEST_TIMEOUT;
    for n in 0.. {
        assert!(Instant::now() < until, "it is let in all the time");
        let received = harness.ask_instance(n, path, &format!("{path}-{n}")).await;
        if is_quarantined(&received) {
            return;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Waits until every instance refuses a request as one that ends upstreams.
pub(crate) async fn until_quarantined_everywhere(harness: &Arc<Harness>, path: &'static str) {
    until_quarantined(harness, path).await;
    let until = Instant::now() + TEST_TIMEOUT;
    for n in 0..INSTANCES {
        while !is_quarantined(&harness.ask_instance(n, path, "again").await) {
            assert!(Instant::now() < until, "an instance lets it in");
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) fn is_quarantined(received: &CallerResponse) -> bool {
    let detail = "upstreams that ran this request ended, one after the other";
    received.status == 503 && received.body == detail
}

pub(crate) fn runs_of(upstreams: &CrashingUpstreams, part: &str) -> usize {
    let runs = upstreams.runs();
    runs.iter().filter(|r| r.path.contains(part)).count()
}
