//! A gateway with upstreams that send notices in their answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::fakes::CallerResponse;
use crate::fakes::FakeUpstream;
use crate::fakes::Harness;
use crate::fakes::Reply;

/// Pause between requests.
pub(crate) const PAUSE: Duration = Duration::from_millis(25);
/// How long requests that were in flight when a notice arrived may still reach the
/// upstream: a quarter of the users' shortest bound.
pub(crate) const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// How long requests are sent after that.
pub(crate) const LOAD: Duration = Duration::from_millis(1_500);

/// A gateway with this many upstreams, followed by two upstreams of the stage of
/// `/staged/`.
pub(crate) fn gateway(upstreams: usize) -> Arc<Harness> {
    let stream = Reply::Stream {
        parts: &["id: 1\ndata: a\n\n"],
        cut: false,
    };
    let stage = Reply::Delayed("made", Duration::from_millis(5));
    Arc::new(Harness::start_with_two_stage_upstreams(
        vec![vec![stream]; upstreams],
        vec![stage],
    ))
}

/// Number of requests of any kind that reached an upstream in a span.
pub(crate) fn arrivals(upstream: &FakeUpstream, from: Instant, to: Instant) -> usize {
    let all = upstream.arrivals();
    all.iter().filter(|at| **at >= from && **at < to).count()
}

pub(crate) fn assert_all_served(received: &[CallerResponse]) {
    let failed: Vec<&CallerResponse> = received.iter().filter(|r| r.status != 200).collect();
    assert!(
        failed.is_empty(),
        "requests were not served by the other upstreams: {failed:?}"
    );
}
