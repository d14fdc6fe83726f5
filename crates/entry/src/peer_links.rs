//! Channels to other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_executor::Executor;
use jd_net::GrpcChannel;
use jd_net::lock;

/// One channel, with the mark that a heartbeat is under way on it.
#[derive(Debug, Clone)]
pub(crate) struct PeerLink {
    pub(crate) channel: GrpcChannel,
    busy: Arc<AtomicBool>,
}

/// The right to have the one heartbeat that may be under way to a peer. With
/// two at once, the answer to the earlier could be taken for the latest.
#[derive(Debug)]
pub(crate) struct Turn(Arc<AtomicBool>);

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

impl PeerLink {
    /// The turn, if no heartbeat is under way.
    pub(crate) fn turn(&self) -> Option<Turn> {
        let free = !self.busy.swap(true, Ordering::Acquire);
        free.then(|| Turn(Arc::clone(&self.busy)))
    }
}

/// Channels to other instances, by address.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    executor: Arc<Executor<'static>>,
    links: Mutex<HashMap<SocketAddr, PeerLink>>,
    seeds: Mutex<Vec<SocketAddr>>,
}

impl PeerLinks {
    /// No channels yet.
    pub(crate) fn new(executor: Arc<Executor<'static>>) -> PeerLinks {
        PeerLinks {
            executor,
            links: Mutex::default(),
            seeds: Mutex::default(),
        }
    }

    /// Addresses of entry instances that the platform lists.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.seeds).clone()
    }

    /// Sets those addresses.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// The channel to an address.
    pub(crate) fn get(&self, address: SocketAddr) -> PeerLink {
        let fresh = || PeerLink {
            channel: GrpcChannel::new(Arc::clone(&self.executor), address),
            busy: Arc::new(AtomicBool::new(false)),
        };
        lock(&self.links)
            .entry(address)
            .or_insert_with(fresh)
            .clone()
    }

    /// Drops the channels to addresses that are not wanted any more.
    pub(crate) fn retain(&self, wanted: impl Fn(SocketAddr) -> bool) {
        lock(&self.links).retain(|address, _| wanted(*address));
    }
}
