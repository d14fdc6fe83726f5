//! When the upstreams of each availability zone can take another call.

use jd_types::MonoTime;
use jd_types::Name;

/// When the upstreams of a service can take another call, by zone.
#[derive(Debug)]
pub(crate) struct ZoneAvailability {
    available_at: Vec<(Name, MonoTime)>,
}

impl ZoneAvailability {
    pub(crate) fn new(available_at: impl Iterator<Item = (Name, MonoTime)>) -> ZoneAvailability {
        ZoneAvailability {
            available_at: available_at.collect(),
        }
    }

    /// When the first upstream of a zone can take another call; `None` if the zone has no usable
    /// upstream.
    pub(crate) fn next_available(&self, zone: &Name) -> Option<MonoTime> {
        let in_zone = self.available_at.iter().filter(|(z, _)| z == zone);
        in_zone.map(|(_, at)| *at).min()
    }

    /// Removes an upstream of a zone that is available by `now`, because it has no storage for the
    /// results of the queued pieces. These may then go to other zones.
    pub(crate) fn remove_available(&mut self, now: MonoTime, zone: &Name) {
        let is_available = |(z, at): &(Name, MonoTime)| z == zone && *at <= now;
        if let Some(at) = self.available_at.iter().position(is_available) {
            self.available_at.swap_remove(at);
        }
    }
}
