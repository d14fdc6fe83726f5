//! A gateway before upstreams that give notices in their answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::fakes::CallerResponse;
use crate::fakes::FakeUpstream;
use crate::fakes::Harness;
use crate::fakes::Reply;

/// From one request to the next.
pub(crate) const PAUSE: Duration = Duration::from_millis(25);
/// How long what was on its way when a notice came may arrive after it: a quarter of
/// the users' shortest bound.
pub(crate) const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// How long requests come after that.
pub(crate) const LOAD: Duration = Duration::from_millis(1_500);

/// A gateway before so many upstreams, and two of the stage before `/staged/` after them.
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

/// How often an upstream was asked for anything in a span.
pub(crate) fn arrivals(upstream: &FakeUpstream, from: Instant, to: Instant) -> usize {
    let all = upstream.arrivals();
    all.iter().filter(|at| **at >= from && **at < to).count()
}

pub(crate) fn assert_all_served(received: &[CallerResponse]) {
    let failed: Vec<&CallerResponse> = received.iter().filter(|r| r.status != 200).collect();
    assert!(failed.is_empty(), "the others take the rest: {failed:?}");
}
