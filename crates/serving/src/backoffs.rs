//! Tracks the upstreams that asked for a pause in requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::FleetPosition;
use crate::RetryAfter;
use crate::UpstreamStart;

/// Number of backoffs above which expired ones are removed.
const PRUNE_ABOVE: usize = 256;

/// The fraction of a pause over which instances spread their return.
const SPREAD_FRACTION: f64 = 0.1;
/// Longer pauses are spread like this one.
const MAX_SPREAD_PAUSE: Duration = Duration::from_secs(10);

/// The pause that one start of an upstream asked for.
#[derive(Debug, Clone)]
struct Backoff {
    id: CompactString,
    start: UpstreamStart,
    until: MonoTime,
}

/// The upstreams that asked, in their answers, for a pause in requests from this instance.
///
/// Keyed by address, because requests to release results go to an address, also after no entry
/// names the upstream there any more.
#[derive(Debug, Default)]
pub struct Backoffs {
    by_address: HashMap<SocketAddr, Backoff>,
}

impl Backoffs {
    /// Records that an upstream asked for a pause. Returns true if the pause ends later than
    /// the one recorded before; a shorter pause does not replace a longer one. Instances return
    /// one after the other, by their `position` in the fleet.
    ///
    /// An overloaded upstream asks all instances of the fleet for equal pauses, and would
    /// otherwise receive all the requests that they held back at the same moment.
    pub fn record(
        &mut self,
        now: MonoTime,
        address: SocketAddr,
        id: &str,
        start: UpstreamStart,
        wait: RetryAfter,
        position: FleetPosition,
    ) -> bool {
        if self.by_address.len() >= PRUNE_ABOVE {
            self.by_address.retain(|_, b| now < b.until);
        }
        let wait = wait.wait();
        let delay = wait
            .min(MAX_SPREAD_PAUSE)
            .mul_f64(SPREAD_FRACTION * position.fraction());
        let until = now + wait.saturating_add(delay);
        if self.until(address, id, start) >= Some(until) {
            return false;
        }
        let backoff = Backoff {
            id: id.into(),
            start,
            until,
        };
        self.by_address.insert(address, backoff);
        true
    }

    /// The remaining pause of this start of an upstream; `None` if it accepts requests. An
    /// empty `id` stands for whichever upstream is at the address.
    pub fn remaining(
        &self,
        now: MonoTime,
        address: SocketAddr,
        id: &str,
        start: UpstreamStart,
    ) -> Option<Duration> {
        let until = self.until(address, id, start)?;
        (now < until).then(|| until.since(now))
    }

    /// True if no backoffs are recorded.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Removes expired backoffs.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_address.retain(|_, b| now < b.until);
    }

    fn until(&self, address: SocketAddr, id: &str, start: UpstreamStart) -> Option<MonoTime> {
        let backoff = self.by_address.get(&address)?;
        let same = id.is_empty() || (backoff.id == id && !start.is_later_than(backoff.start));
        same.then_some(backoff.until)
    }
}
