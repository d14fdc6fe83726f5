//! Releases results on the upstreams that store them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::UpstreamStart;

use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_client::SendPurpose;

/// How long results are collected before one request releases them. Far shorter than the time
/// after which upstreams drop results by themselves.
const FLUSH_INTERVAL: Duration = Duration::from_millis(60);
/// The timeout of the head of the response to a release request, and of its body. Batches wait for
/// the release of the results that they replace.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// The largest response to a release request, in bytes.
const MAX_RESPONSE: usize = 64 << 10;

/// Collects results that no request needs any more and releases them on their upstreams.
///
/// Without this, upstreams run out of storage: each keeps a result for seconds after its last
/// use, and refuses pieces in the meantime.
#[derive(Debug)]
pub(crate) struct ResultFreeQueue {
    state: Arc<State>,
    pending: Mutex<HashMap<SocketAddr, Vec<CompactString>>>,
}

impl ResultFreeQueue {
    pub(crate) fn new(state: Arc<State>) -> ResultFreeQueue {
        ResultFreeQueue {
            state,
            pending: Mutex::default(),
        }
    }

    /// Queues results that no request needs any more.
    pub(crate) fn add(&self, handles: Vec<CompactString>) {
        let mut pending = lock(&self.pending);
        for handle in handles {
            if let Some(address) = self.state.dialect.result_address(&handle) {
                pending.entry(address).or_default().push(handle);
            }
        }
    }

    /// Releases queued results at each interval. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            Timer::after(FLUSH_INTERVAL).await;
            let pending = std::mem::take(&mut *lock(&self.pending));
            for (address, handles) in pending {
                let this = Arc::clone(&self);
                let releasing = async move { this.release(address, &handles).await };
                self.state.executor.spawn(releasing).detach();
            }
        }
    }

    /// Releases the queued results of one upstream now.
    pub(crate) async fn flush(&self, address: SocketAddr) {
        let handles = lock(&self.pending).remove(&address);
        if let Some(handles) = handles {
            self.release(address, &handles).await;
        }
    }

    async fn release(&self, address: SocketAddr, handles: &[CompactString]) {
        let released = self.send(address, handles).await;
        if !released {
            log::debug!(address:% = address, count = handles.len(); "results not released; they will expire");
        }
    }

    async fn send(&self, address: SocketAddr, handles: &[CompactString]) -> bool {
        let state = &self.state;
        let listed = state.upstreams.load().by_address(address);
        // An upstream that is shutting down is not listed any more, but still stores results.
        let upstream = listed.unwrap_or_else(|| UpstreamRef {
            service: CompactString::default(),
            id: CompactString::default(),
            start: UpstreamStart::UNKNOWN,
            address,
        });
        let Ok(permit) = state
            .upstream_client
            .permit(state, upstream, SendPurpose::Maintenance)
            .await
        else {
            return false;
        };
        let req = state.dialect.free_results_request(handles);
        let sending = state
            .upstream_client
            .send(state, permit, req, RELEASE_TIMEOUT, |_| {});
        match sending.await {
            // The body is read so that the connection can be reused.
            Ok(response) => {
                let reading = response.read_all(MAX_RESPONSE);
                matches!(with_timeout(RELEASE_TIMEOUT, reading).await, Some(Ok(_)))
            }
            Err(_) => false,
        }
    }
}
