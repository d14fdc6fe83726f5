//! A further gateway of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use jd_gateway::Gateway;

use crate::fakes::FakeStore;
use crate::fakes::UpstreamLink;

/// A further gateway and its view of the store.
pub(crate) struct Member {
    pub(crate) store: Arc<FakeStore>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) link: Arc<UpstreamLink>,
}
