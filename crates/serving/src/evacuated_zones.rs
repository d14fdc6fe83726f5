//! Availability zones whose upstreams are to get nothing new.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use jd_types::MonoTime;
use jd_types::Name;

use crate::SnapshotKind;

/// How long a zone stays evacuated that a copy of the store does not name: the operator
/// writes again what the store lost.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(10);

/// The availability zones that the operator has evacuated, and those that were
/// taken back since this instance started.
///
/// Guards against work that is lost with a zone: whatever is sent there after the
/// operator was told that it is empty ends with the upstreams when they are switched
/// off. It holds for requests, pieces of stages and all that is sent once more.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeSet<Name>,
    /// Zones that the store lost with its newest records, and until when they stay
    /// evacuated all the same.
    lost: BTreeMap<Name, MonoTime>,
    taken_back: BTreeMap<Name, MonoTime>,
}

impl EvacuatedZones {
    /// A zone is evacuated; true if that is news.
    pub fn evacuate(&mut self, zone: Name) -> bool {
        self.lost.remove(&zone);
        self.zones.insert(zone)
    }

    /// A zone is taken back; true if that is news.
    pub fn end_evacuation(&mut self, now: MonoTime, zone: &Name) -> bool {
        self.lost.remove(zone);
        let news = self.zones.remove(zone);
        if news {
            self.taken_back.insert(zone.clone(), now);
        }
        news
    }

    /// Takes in all zones that are evacuated; true if that changes anything.
    ///
    /// Guards against a zone that gets work again since the store came back from a copy
    /// that is older than its evacuation.
    pub fn replace(&mut self, now: MonoTime, zones: BTreeSet<Name>, reading: SnapshotKind) -> bool {
        let gone: Vec<Name> = self.zones.difference(&zones).cloned().collect();
        let mut changed = false;
        for zone in gone {
            match reading {
                SnapshotKind::Restored => {
                    self.lost.insert(zone, now + WRITTEN_AGAIN_WITHIN);
                }
                SnapshotKind::Complete if self.lost.contains_key(&zone) => {}
                SnapshotKind::Complete => changed |= self.end_evacuation(now, &zone),
            }
        }
        for zone in zones {
            changed |= self.evacuate(zone);
        }
        changed
    }

    /// Takes back the zones that were not written again; true if there are any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let over = self.lost.iter().filter(|(_, until)| **until <= now);
        let over: Vec<Name> = over.map(|(zone, _)| zone.clone()).collect();
        for zone in &over {
            self.end_evacuation(now, zone);
        }
        !over.is_empty()
    }

    /// True if nothing new may be sent to upstreams of the zone.
    pub fn is_evacuated(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// When the zone was last taken back; none if it never was. Its upstreams may
    /// have started shortly before.
    pub fn evacuation_ended_at(&self, zone: &Name) -> Option<MonoTime> {
        self.taken_back.get(zone).copied()
    }
}
