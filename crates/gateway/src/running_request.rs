//! The requests of callers that run at a time.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::state::State;

/// Counts a request that has its body as running until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest(Arc<State>);

impl RunningRequest {
    /// True if a request that has its body could run now.
    pub(crate) fn has_room(state: &State) -> bool {
        state.requests_running.load(Ordering::Relaxed) < state.memory_split.requests
    }

    /// Counts a request; none if too many are running.
    pub(crate) fn begin(state: &Arc<State>) -> Option<RunningRequest> {
        let running = RunningRequest(Arc::clone(state));
        let before = state.requests_running.fetch_add(1, Ordering::Relaxed);
        (before < state.memory_split.requests).then_some(running)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.requests_running.fetch_sub(1, Ordering::Relaxed);
    }
}
