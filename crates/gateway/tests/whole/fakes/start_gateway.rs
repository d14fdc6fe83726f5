//! Starts a gateway for a test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use async_executor::Executor;
use jd_gateway::Gateway;
use jd_net::Clock;
use jd_net::Connector;
use jd_net::HttpPool;
use jd_settings::GatewaySettings;

use crate::fakes::FakeDialect;
use crate::fakes::FakeStore;
use crate::fakes::UpstreamLink;

/// A running gateway and its addresses.
pub(crate) struct Started {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// The path of this gateway to the upstreams.
    pub(crate) link: Arc<UpstreamLink>,
}

/// Starts a gateway that uses `store`, on addresses of its own. Its open connections to upstreams
/// can be cut if `cuttable`.
pub(crate) fn start_gateway(
    executor: &Arc<Executor<'static>>,
    store: &Arc<FakeStore>,
    cuttable: bool,
) -> Started {
    let [callers, ready, locate, peers, metrics] = own_addresses();
    let text = format!(
        "[instance]\nname = test\nzone = a\ncallers = {callers}\nready = {ready}\n\
         locate = {locate}\npeers = {peers}\nmetrics = {metrics}\n\
         [store]\naddress = 127.0.0.1:1\nconfirm-every-ms = 100\n\
         [callers]\nrevoke-within-ms = 500\n"
    );
    let settings = GatewaySettings::parse("test.ini", &text).expect("valid settings");
    let link = Arc::new(UpstreamLink::new(executor, cuttable));
    let clock = Clock::start();
    let connector = Arc::clone(&link) as Arc<dyn Connector>;
    let pool = HttpPool::with_connector(Arc::clone(executor), clock, connector);
    let gateway = Gateway::start(
        settings,
        clock,
        executor,
        pool,
        Arc::new(FakeDialect),
        Arc::clone(store) as Arc<dyn jd_gateway::Store>,
    );
    Started {
        gateway: Arc::new(gateway.expect("free addresses")),
        callers,
        ready,
        peers,
        metrics,
        link,
    }
}

/// Addresses that no other test uses: each set has its own loopback address. Free ports of one
/// shared address could be taken by other tests before they are bound.
fn own_addresses<const N: usize>() -> [SocketAddr; N] {
    static SETS: AtomicU32 = AtomicU32::new(0);
    let set = SETS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The last octet is between 2 and 251; further sets have other ports.
    let last = u8::try_from(set % 250 + 2).expect("a part of an address");
    let round = u16::try_from(set / 250).expect("fewer gateways than ports");
    let mut ports = 7_001 + 100 * round..;
    std::array::from_fn(|_| {
        let port = ports.next().expect("a port");
        SocketAddr::from(([127, 1 + high % 250, low, last], port))
    })
}
