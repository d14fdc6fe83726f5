//! Giving results of stages up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::lock;

use crate::peer_client::PeerClient;
use crate::result_free::ResultFree;
use crate::stage_batches::StageBatches;
use crate::state::State;

/// How long results are gathered before their owner is told. Short against a
/// call, so that the owner knows of the room when it fills the next one.
const GATHER: Duration = Duration::from_millis(25);

/// Tells the instances that had stages done which results are no longer
/// needed. They count the room of the upstreams, so they give the results up.
#[derive(Debug)]
pub(crate) struct ResultRelease {
    pub(crate) state: Arc<State>,
    pub(crate) batches: Arc<StageBatches>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) free: Arc<ResultFree>,
    pub(crate) gathered: Mutex<HashMap<SocketAddr, Vec<CompactString>>>,
}

impl ResultRelease {
    /// Nobody works on these results of `owner` any more.
    pub(crate) fn add(&self, owner: SocketAddr, handles: Vec<CompactString>) {
        if !handles.is_empty() {
            let mut gathered = lock(&self.gathered);
            gathered.entry(owner).or_default().extend(handles);
        }
    }

    /// Tells the owners for good.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            Timer::after(GATHER).await;
            let gathered = std::mem::take(&mut *lock(&self.gathered));
            for (owner, handles) in gathered {
                if owner == self.state.me.peer_address {
                    self.batches.release(handles);
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
            self.free.add(handles);
        }
    }
}
