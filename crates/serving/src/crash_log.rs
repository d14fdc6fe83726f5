//! The crashes that an instance has reported, for coordinators that have not received them.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use jd_types::MonoTime;

use crate::QUARANTINE_TTL;
use crate::UpstreamCrash;

/// Crashes that are kept: those of a loss of power at as many upstreams as one instance uses. Older
/// ones are known to the coordinators that had them.
const MAX_CRASHES: usize = 32;

/// How far a coordinator has received the log.
#[derive(Debug, Clone, Copy)]
struct Received {
    /// The incarnation of the coordinator; 0 if it does not tell.
    incarnation: u64,
    /// The number of crashes that were logged when it received the last ones.
    count: u64,
}

/// The crashes that this instance has reported lately.
///
/// Without it, the instance that decides in place of others knows only the crashes after them: a
/// request would crash three more upstreams.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: VecDeque<UpstreamCrash>,
    /// The number of crashes ever logged.
    count: u64,
    received: HashMap<SocketAddr, Received>,
}

impl CrashLog {
    /// Adds a crash.
    pub fn add(&mut self, now: MonoTime, crash: UpstreamCrash) {
        self.count += 1;
        self.crashes.push_back(crash);
        let is_old = |c: &UpstreamCrash| now.since(c.at) > QUARANTINE_TTL;
        while self.crashes.len() > MAX_CRASHES || self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }

    /// The crashes that a coordinator has not received, and the count to record once it has.
    pub fn missing(&self, coordinator: SocketAddr) -> (Vec<UpstreamCrash>, u64) {
        let received = self.received.get(&coordinator).map_or(0, |r| r.count);
        let missing = self.count - received.min(self.count);
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let known = self.crashes.len().saturating_sub(missing);
        (
            self.crashes.iter().skip(known).cloned().collect(),
            self.count,
        )
    }

    /// Records that a coordinator has received all crashes up to a count. Returns false if it has
    /// started again since it received earlier ones, which it then lacks.
    pub fn record_received(
        &mut self,
        coordinator: SocketAddr,
        incarnation: u64,
        count: u64,
    ) -> bool {
        let received = self.received.entry(coordinator).or_insert(Received {
            incarnation,
            count: 0,
        });
        if received.incarnation == incarnation {
            received.count = received.count.max(count);
            return true;
        }
        *received = Received {
            incarnation,
            count: 0,
        };
        false
    }
}
