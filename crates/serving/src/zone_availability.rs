//! When the upstreams of each availability zone can take another call.

use jd_types::MonoTime;
use jd_types::Name;

/// When the upstreams of a service can take another call, by zone.
#[derive(Debug)]
pub(crate) struct ZoneAvailability {
    turns: Vec<(Name, MonoTime)>,
}

impl ZoneAvailability {
    pub(crate) fn new(turns: impl Iterator<Item = (Name, MonoTime)>) -> ZoneAvailability {
        ZoneAvailability {
            turns: turns.collect(),
        }
    }

    /// When the first upstream of a zone can; none if none there is well.
    pub(crate) fn next(&self, zone: &Name) -> Option<MonoTime> {
        let there = self.turns.iter().filter(|(z, _)| z == zone);
        there.map(|(_, at)| *at).min()
    }

    /// One of a zone's upstreams that could take a call by `now` has no room for what
    /// waits, which may go to the others.
    pub(crate) fn no_room(&mut self, now: MonoTime, zone: &Name) {
        let free = |(z, at): &(Name, MonoTime)| z == zone && *at <= now;
        if let Some(at) = self.turns.iter().position(free) {
            self.turns.swap_remove(at);
        }
    }
}
