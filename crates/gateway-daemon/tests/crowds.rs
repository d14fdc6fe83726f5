//! Crowds of clients that misbehave, before whole gateway processes. One test runs at a time.
//!
//! Each process has to live, and to stay within the memory and the descriptors of its machine; an
//! ordinary request has to be answered, for most crowds also while they stay.

#![allow(clippy::expect_used, clippy::panic)]

mod processes;

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::future::block_on;
use jd_net::Workers;
use jd_soak::Fleet;
use jd_soak::Misbehaviour;
use jd_soak::RequestKind;
use jd_soak::Surroundings;
use jd_soak::UpstreamMode;
use rustix::process::Resource;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use test_case::test_case;

use crate::processes::Processes;

/// The memory of the machines of the weaker deployments, in megabytes.
const WEAK_MB: u64 = 120;
/// The memory of a weak machine of most large deployments, in megabytes.
const SMALL_MB: u64 = 160;
/// The least memory that the settings allow, in megabytes: room for two complete bodies of the largest
/// size.
const LEAST_MB: u64 = 64;
/// The memory of a machine of the small deployments, in megabytes.
const USUAL_MB: u64 = 260;
/// The connections of callers in tests that fill all of them.
const FEW_CONNECTIONS: usize = 64;
/// The connections of callers that are allowed by default.
const CONNECTIONS: usize = 3_000;
/// Descriptors of a process for anything else than connections of callers.
const OTHER_DESCRIPTORS: usize = 200;
/// Clients that hold large bodies: 252 MB in all.
const LARGE_BODIES: usize = 60;

/// Held while a test runs.
static RUNNING: Mutex<()> = Mutex::new(());
/// The number of tests that this process has started.
static STARTED: AtomicU8 = AtomicU8::new(0);

/// Gateway processes with their surroundings.
struct Test {
    fleet: Arc<Processes>,
    surroundings: Surroundings,
    _workers: Workers,
    instances: usize,
    memory_mb: u64,
    connections: usize,
    _running: MutexGuard<'static, ()>,
}

impl Test {
    fn start(name: &str, instances: usize, memory_mb: u64, connections: usize) -> Test {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        allow_descriptors();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crowds-{name}"));
        // Files of an earlier run.
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a folder for logs");
        let settings = format!("memory-mb = {memory_mb}\nmax-connections = {connections}\n");
        let fleet = Arc::new(Processes::new(dir, instances, &settings));
        let workers = Workers::start(3).expect("threads");
        let [_, _, _, pid] = std::process::id().to_be_bytes();
        let network = [127, 2 + pid % 250, STARTED.fetch_add(1, Ordering::Relaxed)];
        let executor = workers.executor();
        let starting = Surroundings::start(&executor, Arc::clone(&fleet) as _, network, instances);
        let surroundings = block_on(starting).expect("ready processes");
        Test {
            fleet,
            surroundings,
            _workers: workers,
            instances,
            memory_mb,
            connections,
            _running: running,
        }
    }

    /// Has a crowd do what it does, and checks the processes while it stays and after it has gone.
    fn meet(&self, misbehaviour: Misbehaviour, count: usize) {
        let crowd = self.surroundings.crowd(0, misbehaviour, count);
        block_on(crowd.until_settled());
        self.check("while the crowd stays");
        drop(crowd);
        self.check("after the crowd");
    }

    /// Checks that all processes live within their bounds and that the first one serves a request.
    fn check(&self, when: &str) {
        self.check_bounds(when);
        let is_served = block_on(self.surroundings.serves(0));
        self.check_bounds(when);
        assert!(is_served, "{when}: an ordinary request is not served");
    }

    fn check_bounds(&self, when: &str) {
        for n in 0..self.instances {
            let Some(id) = self.fleet.id(n) else {
                panic!("{when}: instance {n} has ended");
            };
            let peak = self.fleet.peak_bytes(n).expect("a process");
            let descriptors = descriptors(id);
            println!("{when}: instance {n}: {peak} bytes, {descriptors} descriptors");
            let memory = self.memory_mb * 1_000_000;
            assert!(peak <= memory, "{when}: instance {n} took {peak} bytes");
            let most = self.connections + OTHER_DESCRIPTORS;
            assert!(
                descriptors <= most,
                "{when}: instance {n} has {descriptors} descriptors"
            );
        }
    }
}

/// Raises the limit on the descriptors of this program as far as the system allows.
fn allow_descriptors() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    setrlimit(Resource::Nofile, limit).expect("a limit below the maximum");
}

fn descriptors(process: u32) -> usize {
    let open = fs::read_dir(format!("/proc/{process}/fd"));
    open.expect("a process").count()
}

/// Guards against bodies that are not complete, or too large, and that take all memory.
#[test_case(Misbehaviour::AlmostWhole; "with a length")]
#[test_case(Misbehaviour::AlmostWholeChunked; "in large chunks")]
#[test_case(Misbehaviour::TinyLastChunks; "in chunks that end tiny")]
#[test_case(Misbehaviour::Drips; "that drip")]
#[test_case(Misbehaviour::AnnouncedTooLarge; "announced too large")]
#[test_case(Misbehaviour::SentTooLarge; "sent too large")]
fn large_bodies(misbehaviour: Misbehaviour) {
    let test = Test::start("bodies", 1, SMALL_MB, CONNECTIONS);
    test.meet(misbehaviour, LARGE_BODIES);
}

/// Guards against many chunks that take more memory than their content.
#[test]
fn bodies_in_tiny_chunks() {
    let test = Test::start("tiny", 1, SMALL_MB, CONNECTIONS);
    test.meet(Misbehaviour::TinyChunks, LARGE_BODIES);
}

/// Guards against connections that take all memory by themselves.
#[test_case(Misbehaviour::Silent, SMALL_MB; "that are silent")]
#[test_case(Misbehaviour::HeadBegun, WEAK_MB; "with a part of a head")]
#[test_case(Misbehaviour::BodyAnnounced, SMALL_MB; "without a body")]
#[test_case(Misbehaviour::IdleAfterRequest, SMALL_MB; "that are idle")]
fn many_connections(misbehaviour: Misbehaviour, memory_mb: u64) {
    let test = Test::start("connections", 1, memory_mb, CONNECTIONS);
    test.meet(misbehaviour, CONNECTIONS);
}

/// Guards against connections that keep all others out.
#[test_case(Misbehaviour::Silent; "that are silent")]
#[test_case(Misbehaviour::HeadBegun; "with a part of a head")]
#[test_case(Misbehaviour::BodyAnnounced; "without a body")]
#[test_case(Misbehaviour::IdleAfterRequest; "that are idle")]
fn all_connections(misbehaviour: Misbehaviour) {
    let test = Test::start("full", 1, SMALL_MB, FEW_CONNECTIONS);
    test.meet(misbehaviour, 2 * FEW_CONNECTIONS);
}

/// Guards against complete bodies that wait for their upstreams and take all memory.
#[test]
fn whole_bodies_that_wait() {
    let test = Test::start("whole", 1, SMALL_MB, CONNECTIONS);
    test.surroundings.hang_upstreams_of_crowds();
    test.meet(Misbehaviour::Whole, LARGE_BODIES);
}

/// Guards against forwarded bodies that take all memory of either instance.
#[test]
fn whole_bodies_that_wait_at_another_instance() {
    let test = Test::start("forwarded", 2, SMALL_MB, CONNECTIONS);
    test.surroundings.hang_upstreams_of_crowds();
    test.surroundings.cut_from_upstreams(0);
    test.check("after the cut");
    test.meet(Misbehaviour::Whole, LARGE_BODIES);
}

/// Guards against bodies that take all memory beside ordinary requests, streams and stages.
#[test]
fn large_bodies_beside_ordinary_callers() {
    let mut test = Test::start("callers", 2, USUAL_MB, CONNECTIONS);
    test.surroundings.start_callers(16);
    test.meet(Misbehaviour::AlmostWhole, 2 * LARGE_BODIES);
    block_on(test.surroundings.stop_callers());
    test.check("after the callers");
}

/// Guards against limits that a single caller on a slow link meets.
#[test]
fn a_large_body_that_comes_slowly_is_served() {
    let test = Test::start("slow", 1, WEAK_MB, CONNECTIONS);
    let pause = Duration::from_millis(50);
    let serving = test.surroundings.serves_large_body(0, pause);
    assert!(block_on(serving), "the body is not served");
    test.check("after the body");
}

/// Guards against unfinished bodies that keep out all large bodies of ordinary callers.
#[test]
fn a_large_body_is_served_beside_unfinished_ones() {
    let test = Test::start("beside", 1, SMALL_MB, CONNECTIONS);
    let crowd = test
        .surroundings
        .crowd(0, Misbehaviour::AlmostWhole, LARGE_BODIES);
    block_on(crowd.until_settled());
    let serving = test.surroundings.serves_large_body(0, Duration::ZERO);
    let is_served = block_on(serving);
    test.check_bounds("while the crowd stays");
    assert!(is_served, "the body is not served");
}

/// Guards against a body that is refused for want of memory, and whose request runs, or whose caller is
/// not told when to come back.
#[test]
fn a_body_without_memory_is_refused_as_not_run() {
    let test = Test::start("refused", 1, LEAST_MB, CONNECTIONS);
    test.surroundings.hang_upstreams_of_crowds();
    let crowd = test.surroundings.crowd(0, Misbehaviour::Whole, 2);
    block_on(crowd.until_settled());
    let outcome = block_on(test.surroundings.outcome_of_large_body(0));
    assert_eq!(outcome, Some((503, true, false)));
    test.check("while the crowd stays");
}

/// Guards against small requests that wait for upstreams and leave others without any answer.
#[test]
fn waiting_requests_leave_others_a_refusal() {
    let test = Test::start("waiting", 1, SMALL_MB, FEW_CONNECTIONS);
    test.surroundings.hang_upstreams_of_crowds();
    let crowd = test
        .surroundings
        .crowd(0, Misbehaviour::IdleAfterRequest, 2 * FEW_CONNECTIONS);
    block_on(crowd.until_settled());
    let outcome = block_on(test.surroundings.outcome_of_request(0));
    assert_eq!(outcome, Some((503, true, false)));
    test.check_bounds("while the crowd stays");
    drop(crowd);
    test.check("after the crowd");
}

/// Guards against connections to the addresses for readiness and locate requests that take all memory,
/// or keep the platform from asking.
#[test_case(Misbehaviour::HeadBegun; "with a part of a head")]
#[test_case(Misbehaviour::BodyAnnounced; "without a body")]
fn connections_to_service_addresses(misbehaviour: Misbehaviour) {
    let test = Test::start("services", 1, WEAK_MB, CONNECTIONS);
    let crowds = test
        .surroundings
        .crowd_at_services(0, misbehaviour, CONNECTIONS);
    for crowd in &crowds {
        block_on(crowd.until_settled());
    }
    block_on(test.surroundings.until_ready(0)).expect("a ready instance");
    test.check("while the crowds stay");
    drop(crowds);
    test.check("after the crowds");
}

/// Guards against upstreams that send without end, and whose answers take all memory together.
#[test_case(RequestKind::Idempotent, 60; "single answers")]
#[test_case(RequestKind::Idempotent, 300; "many single answers")]
#[test_case(RequestKind::Stream, 60; "streams")]
#[test_case(RequestKind::Stream, 300; "many streams")]
fn answers_that_never_end(kind: RequestKind, count: usize) {
    let test = Test::start("endless", 1, SMALL_MB, CONNECTIONS);
    test.surroundings
        .set_upstreams_of_requests(Some(UpstreamMode::Endless(1)));
    block_on(test.surroundings.send_together(0, kind, count));
    test.check_bounds("after the answers");
    test.surroundings.set_upstreams_of_requests(None);
    test.check("after the upstreams answer");
}
