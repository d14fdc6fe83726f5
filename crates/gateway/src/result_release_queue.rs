//! Releases stage results through the instances that own their shards.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::lock;

use crate::batch_dispatcher::BatchDispatcher;
use crate::peer_client::PeerClient;
use crate::result_free_queue::ResultFreeQueue;
use crate::state::State;

/// How long results are collected before their owner is told. Shorter than a batch, so that
/// the owner counts the storage as free when it forms the next batch.
const FLUSH_INTERVAL: Duration = Duration::from_millis(25);

/// Collects results that are no longer needed and tells the instances that had the stages
/// run. These account for the storage of the upstreams, and therefore release the results.
#[derive(Debug)]
pub(crate) struct ResultReleaseQueue {
    pub(crate) state: Arc<State>,
    pub(crate) dispatcher: Arc<BatchDispatcher>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) free_queue: Arc<ResultFreeQueue>,
    pub(crate) pending: Mutex<HashMap<SocketAddr, Vec<CompactString>>>,
}

impl ResultReleaseQueue {
    /// Queues results of `owner` that no request needs any more.
    pub(crate) fn add(&self, owner: SocketAddr, handles: Vec<CompactString>) {
        if !handles.is_empty() {
            let mut pending = lock(&self.pending);
            pending.entry(owner).or_default().extend(handles);
        }
    }

    /// Sends queued results to their owners at each interval. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            Timer::after(FLUSH_INTERVAL).await;
            let pending = std::mem::take(&mut *lock(&self.pending));
            for (owner, handles) in pending {
                if owner == self.state.own_entry.peer_address {
                    self.dispatcher.release(handles);
                    continue;
                }
                let this = Arc::clone(&self);
                let sending = async move { this.send(owner, handles).await };
                self.state.executor.spawn(sending).detach();
            }
        }
    }

    /// Sends results to their owner. Releases them from here if the owner does not answer.
    async fn send(&self, owner: SocketAddr, handles: Vec<CompactString>) {
        if !self.peers.release_results(owner, &handles).await {
            self.free_queue.add(handles);
        }
    }
}
