//! Follows the platform's list of instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_backing::ListedState;
use jd_net::lock;

use crate::shared::Shared;

/// Pause between readings.
const PAUSE: Duration = Duration::from_millis(500);

/// Reads the list for as long as the instance lives.
pub(crate) async fn follow(shared: Arc<Shared>) {
    loop {
        read_once(&shared).await;
        Timer::after(PAUSE).await;
    }
}

/// Reads the list once. Without an answer everything stays as it is known.
pub(crate) async fn read_once(shared: &Shared) {
    let Ok(list) = shared.list.list().await else {
        return;
    };
    let now = shared.now();
    let changed = lock(&shared.upstreams).read(now, &list);
    let live = list
        .iter()
        .filter(|l| l.pool.is_none() && l.state == ListedState::Live);
    let own = shared.settings.instance.peers;
    let seeds = live.map(|l| l.address).filter(|a| *a != own).collect();
    shared.links.set_seeds(seeds);
    if changed {
        shared.rebuild();
    }
}

/// Somebody saw that an upstream is leaving: from now on it gets nothing new,
/// and the next heartbeats tell the others.
pub(crate) fn saw_leaving(shared: &Shared, address: SocketAddr) {
    let news = lock(&shared.upstreams).hint(shared.now(), address);
    if let Some(upstream) = shared.snapshot.load().by_address.get(&address) {
        upstream.mark_leaving();
    }
    if news {
        log::info!(upstream:% = address; "upstream is leaving");
        shared.urgent.notify(1);
    }
}
