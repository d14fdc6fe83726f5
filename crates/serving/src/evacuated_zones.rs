//! Availability zones whose upstreams are to get nothing new.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jd_types::MonoTime;
use jd_types::Name;

/// The availability zones that the operator has evacuated, and those that were
/// taken back since this instance started.
///
/// Guards against work that is lost with a zone: whatever is sent there after the
/// operator was told that it is empty ends with the upstreams when they are switched
/// off. It holds for requests, pieces of stages and all that is sent once more.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeSet<Name>,
    taken_back: BTreeMap<Name, MonoTime>,
}

impl EvacuatedZones {
    /// A zone is evacuated; true if that is news.
    pub fn evacuate(&mut self, zone: Name) -> bool {
        self.zones.insert(zone)
    }

    /// A zone is taken back; true if that is news.
    pub fn take_back(&mut self, now: MonoTime, zone: &Name) -> bool {
        let news = self.zones.remove(zone);
        if news {
            self.taken_back.insert(zone.clone(), now);
        }
        news
    }

    /// Takes in all zones that are evacuated; true if that changes anything.
    pub fn replace(&mut self, now: MonoTime, zones: BTreeSet<Name>) -> bool {
        let gone: Vec<Name> = self.zones.difference(&zones).cloned().collect();
        let mut changed = false;
        for zone in gone {
            changed |= self.take_back(now, &zone);
        }
        for zone in zones {
            changed |= self.evacuate(zone);
        }
        changed
    }

    /// True if nothing new may be sent to upstreams of the zone.
    pub fn is_evacuated(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// When the zone was last taken back; none if it never was. Its upstreams may
    /// have started shortly before.
    pub fn taken_back_at(&self, zone: &Name) -> Option<MonoTime> {
        self.taken_back.get(zone).copied()
    }
}
