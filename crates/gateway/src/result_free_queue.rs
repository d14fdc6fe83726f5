//! Telling upstreams which results nobody needs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::lock;
use jd_serving::UpstreamStart;

use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_client::SendPurpose;

/// How long results are gathered before one call gives them up. Far below the
/// time after which upstreams drop them by themselves.
const GATHER: Duration = Duration::from_millis(60);
/// How long such a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Tells upstreams which results nobody needs any more.
///
/// Guards against upstreams running out of room: each keeps a result for
/// seconds after everybody has read it, and refuses pieces meanwhile.
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

    /// Nobody works on these any more.
    pub(crate) fn add(&self, handles: Vec<CompactString>) {
        let mut pending = lock(&self.pending);
        for handle in handles {
            if let Some(address) = self.state.dialect.result_address(&handle) {
                pending.entry(address).or_default().push(handle);
            }
        }
    }

    /// Gives gathered results up for good.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            Timer::after(GATHER).await;
            let pending = std::mem::take(&mut *lock(&self.pending));
            for (address, handles) in pending {
                let this = Arc::clone(&self);
                let freeing = async move { this.free(address, &handles).await };
                self.state.executor.spawn(freeing).detach();
            }
        }
    }

    /// Gives up at once what is gathered for one upstream.
    pub(crate) async fn flush(&self, address: SocketAddr) {
        let handles = lock(&self.pending).remove(&address);
        if let Some(handles) = handles {
            self.free(address, &handles).await;
        }
    }

    async fn free(&self, address: SocketAddr, handles: &[CompactString]) {
        let freed = self.tell(address, handles).await;
        if !freed {
            log::debug!(address:% = address, count = handles.len(); "results not given up; they expire");
        }
    }

    async fn tell(&self, address: SocketAddr, handles: &[CompactString]) -> bool {
        let state = &self.state;
        let listed = state.upstreams.load().by_address(address);
        // One that leaves is listed no more, and still has results.
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
            .send(state, permit, req, CALL_TIMEOUT, || {});
        match sending.await {
            // Read to its end, so that the connection can be used again.
            Ok(response) => response.read_all(1 << 16).await.is_ok(),
            Err(_) => false,
        }
    }
}
