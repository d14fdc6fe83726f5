//! Giving results of stages up.

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

/// How long results are gathered before their owner is told. Short against a
/// call, so that the owner knows of the room when it fills the next one.
const GATHER: Duration = Duration::from_millis(25);

/// Tells the instances that had stages done which results are no longer
/// needed. They count the room of the upstreams, so they give the results up.
#[derive(Debug)]
pub(crate) struct ResultReleaseQueue {
    pub(crate) state: Arc<State>,
    pub(crate) dispatcher: Arc<BatchDispatcher>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) free_queue: Arc<ResultFreeQueue>,
    pub(crate) pending: Mutex<HashMap<SocketAddr, Vec<CompactString>>>,
}

impl ResultReleaseQueue {
    /// Nobody works on these results of `owner` any more.
    pub(crate) fn add(&self, owner: SocketAddr, handles: Vec<CompactString>) {
        if !handles.is_empty() {
            let mut pending = lock(&self.pending);
            pending.entry(owner).or_default().extend(handles);
        }
    }

    /// Tells the owners for good.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            Timer::after(GATHER).await;
            let pending = std::mem::take(&mut *lock(&self.pending));
            for (owner, handles) in pending {
                if owner == self.state.own_entry.peer_address {
                    self.dispatcher.release(handles);
                    continue;
                }
                let this = Arc::clone(&self);
                let telling = async move { this.tell(owner, handles).await };
                self.state.executor.spawn(telling).detach();
            }
        }
    }

    /// Without their owner the results are given up from here.
    async fn tell(&self, owner: SocketAddr, handles: Vec<CompactString>) {
        if !self.peers.release_results(owner, &handles).await {
            self.free_queue.add(handles);
        }
    }
}
