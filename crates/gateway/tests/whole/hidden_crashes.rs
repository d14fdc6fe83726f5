//! Crashes of upstreams that do not show at once, or not in the answers to callers.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::AddressAfterCrash;
use crate::fakes::CrashingUpstreams;
use crate::fakes::Harness;
use crate::fakes::crash_fleet::INSTANCES;
use crate::fakes::crash_fleet::assert_quarantined_in_time;
use crate::fakes::crash_fleet::fleet;
use crate::fakes::crash_fleet::send_and_leave;
use crate::fakes::crash_fleet::spawn_repeated_sends;

const SPAN: Duration = Duration::from_millis(9_000);

/// A fleet whose upstreams' addresses do this after a crash.
fn fleet_with(after_crash: AddressAfterCrash) -> (Arc<Harness>, Arc<CrashingUpstreams>) {
    let mut harness = Harness::start(Vec::new());
    harness.add_gateways(INSTANCES - 1);
    let store = &harness.store;
    let upstreams = CrashingUpstreams::start_with(harness.executor(), store, 12, after_crash);
    (Arc::new(harness), upstreams)
}

/// Guards against crashes that are not counted because the address of the upstream is looked at once,
/// and still accepts connections then.
#[test_case(AddressAfterCrash::AcceptsFor(Duration::from_millis(100)) ; "for a tenth of a second")]
#[test_case(AddressAfterCrash::AcceptsFor(Duration::from_millis(500)) ; "for half a second")]
#[test_case(AddressAfterCrash::AcceptsFor(Duration::from_millis(1_500)) ; "for longer")]
#[test_case(AddressAfterCrash::Closes ; "and closes them")]
fn a_request_is_quarantined_though_crashed_upstreams_accept(after_crash: AddressAfterCrash) {
    let (harness, upstreams) = fleet_with(after_crash);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(200);
        spawn_repeated_sends(&harness, "/stream/bad", pause, SPAN).await;
        assert_quarantined_in_time(&upstreams);
    });
}

/// Guards against crashes that are not counted because comments were taken for a sound beginning of
/// the answer, or the answer was complete or a failure when the upstream crashed.
#[test_case("/stream/waits-bad", 12, 400 ; "after comments alone")]
#[test_case("/stream/whole-bad", 6, 200 ; "right after a whole stream")]
#[test_case("/any/whole-bad", 6, 200 ; "right after a whole answer")]
#[test_case("/any/fails-whole-bad", 6, 200 ; "right after a failure")]
fn a_request_is_quarantined_whatever_its_answer(path: &'static str, count: usize, pause: u64) {
    let (harness, upstreams) = fleet(count);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(pause);
        spawn_repeated_sends(&harness, path, pause, SPAN).await;
        assert_quarantined_in_time(&upstreams);
    });
}

/// Guards against crashes that are not counted because the caller left before them.
#[test_case("/stream/bad" ; "of a stream")]
#[test_case("/any/bad" ; "of one answer")]
fn a_request_is_quarantined_though_its_callers_leave(path: &'static str) {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let sound = spawn_repeated_sends(&harness, "/any/x", Duration::from_millis(20), SPAN);
        let times = (Duration::from_millis(200), Duration::from_millis(10));
        send_and_leave(&harness, path, times, SPAN).await;
        sound.await;
        assert_quarantined_in_time(&upstreams);
    });
}
