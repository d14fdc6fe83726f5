//! Which upstreams want nothing from this instance for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::FleetPosition;
use crate::RetryAfter;
use crate::UpstreamStart;

/// Entries beyond which those that are over are looked for.
const MANY: usize = 256;

/// The part of a wait over which instances resume.
const SPREAD: f64 = 0.1;
/// A longer wait is spread like this one.
const SPREAD_OF_MOST: Duration = Duration::from_secs(10);

/// One start of an upstream that wants nothing for a while.
#[derive(Debug, Clone)]
struct Backoff {
    id: CompactString,
    start: UpstreamStart,
    until: MonoTime,
}

/// Which upstreams want nothing from this instance for a while, by their own answers.
///
/// Kept by address: results are given up at an address, also where no entry names the
/// upstream there any more.
#[derive(Debug, Default)]
pub struct Backoffs {
    by_address: HashMap<SocketAddr, Backoff>,
}

impl Backoffs {
    /// An upstream answered that it wants nothing for so long. True if that is longer
    /// than it had said before: a shorter wait takes nothing back. Instances resume one
    /// after the other, by their `place`.
    ///
    /// The load that it answers: an upstream in need tells all instances of a fleet to wait
    /// equally long, and would get all that they held back in one moment.
    pub fn record(
        &mut self,
        now: MonoTime,
        address: SocketAddr,
        id: &str,
        start: UpstreamStart,
        wait: RetryAfter,
        place: FleetPosition,
    ) -> bool {
        if self.by_address.len() >= MANY {
            self.by_address.retain(|_, b| now < b.until);
        }
        let wait = wait.wait();
        let later = wait.min(SPREAD_OF_MOST).mul_f64(SPREAD * place.part());
        let until = now + wait.saturating_add(later);
        if self.until(address, id, start) >= Some(until) {
            return false;
        }
        let said = Backoff {
            id: id.into(),
            start,
            until,
        };
        self.by_address.insert(address, said);
        true
    }

    /// How much longer this start of an upstream wants nothing; none if it takes
    /// requests. An empty `id` stands for whichever upstream is at the address.
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

    /// True if none wants to be left alone.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Forgets those that take requests again.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_address.retain(|_, b| now < b.until);
    }

    fn until(&self, address: SocketAddr, id: &str, start: UpstreamStart) -> Option<MonoTime> {
        let said = self.by_address.get(&address)?;
        let same = id.is_empty() || (said.id == id && !start.is_later_than(said.start));
        same.then_some(said.until)
    }
}
