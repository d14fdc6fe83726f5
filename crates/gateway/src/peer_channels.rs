//! Connections to other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_executor::Executor;
use jd_net::GrpcChannel;
use jd_net::lock;
use jd_serving::InstanceEntry;

/// Connections to other instances, one to each.
#[derive(Debug)]
pub(crate) struct PeerChannels {
    executor: Arc<Executor<'static>>,
    open: Mutex<HashMap<SocketAddr, GrpcChannel>>,
}

impl PeerChannels {
    pub(crate) fn new(executor: Arc<Executor<'static>>) -> PeerChannels {
        PeerChannels {
            executor,
            open: Mutex::default(),
        }
    }

    /// The connection to the instance at an address.
    pub(crate) fn channel_to(&self, address: SocketAddr) -> GrpcChannel {
        let mut open = lock(&self.open);
        let channel = open
            .entry(address)
            .or_insert_with(|| GrpcChannel::new(Arc::clone(&self.executor), address));
        channel.clone()
    }

    /// Closes the connections to all but these instances.
    pub(crate) fn retain(&self, peers: &[InstanceEntry]) {
        lock(&self.open).retain(|address, _| peers.iter().any(|p| p.peer_address == *address));
    }
}
