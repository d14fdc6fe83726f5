//! The stage results that a request reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_serving::PromptPlacement;

use crate::job_waiter::StageOutcome;
use crate::result_release_queue::ResultReleaseQueue;
use crate::signal::Signal;

/// How long after a request was sent its upstream has read its input results. It reads them
/// before the prompt.
const RESULTS_READ_AFTER: Duration = Duration::from_millis(50);
/// The stage results that a request reads. They are released once, at the latest on drop.
#[derive(Debug)]
pub(crate) struct StageResults {
    handles: Vec<CompactString>,
    placement: Option<PromptPlacement>,
    held: AtomicBool,
    /// True if the stages were not run here, so that only another instance can run the request.
    is_skipped: bool,
    owner: SocketAddr,
    release_queue: Arc<ResultReleaseQueue>,
}

impl StageResults {
    pub(crate) fn new(
        outcome: StageOutcome,
        owner: SocketAddr,
        release_queue: Arc<ResultReleaseQueue>,
    ) -> StageResults {
        StageResults {
            handles: outcome.results,
            placement: outcome.placement,
            held: AtomicBool::new(true),
            is_skipped: false,
            owner,
            release_queue,
        }
    }

    /// The results of a request whose stages are not run here.
    pub(crate) fn skipped(
        owner: SocketAddr,
        release_queue: Arc<ResultReleaseQueue>,
    ) -> StageResults {
        let mut results = StageResults::new(StageOutcome::default(), owner, release_queue);
        results.is_skipped = true;
        results
    }

    /// True if the stages were not run here, so that only another instance can run the request.
    pub(crate) fn are_skipped(&self) -> bool {
        self.is_skipped
    }

    pub(crate) fn handles(&self) -> &[CompactString] {
        &self.handles
    }

    /// The upstream that the owner of the shard selected for the prompt.
    pub(crate) fn take_placement(&mut self) -> Option<PromptPlacement> {
        self.placement.take()
    }

    /// Releases the results, unless they are released already.
    pub(crate) fn release(&self) {
        if self.held.swap(false, Ordering::Relaxed) {
            self.release_queue.add(self.owner, self.handles.to_vec());
        }
    }

    /// Releases the results once the upstream has most likely read them, and never returns.
    /// The upstream reads them before the prompt, which can take many times longer.
    ///
    /// The time runs from the write of the request. If it ran from the selection of an
    /// upstream, a connection that does not open would outlast the results; the next upstream
    /// would find them gone and all stages would run again, just when a part of the upstreams
    /// is lost.
    pub(crate) async fn release_when_read<T>(&self, written: &Signal) -> T {
        written.wait().await;
        Timer::after(RESULTS_READ_AFTER).await;
        self.release();
        futures_lite::future::pending().await
    }
}

impl Drop for StageResults {
    fn drop(&mut self) {
        self.release();
    }
}
