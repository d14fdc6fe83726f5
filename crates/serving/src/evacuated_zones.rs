//! Tracks availability zones that receive no new work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use jd_types::MonoTime;
use jd_types::Name;

use crate::SnapshotKind;

/// Time for which a zone stays evacuated that a restored store lacks, so that the operator can
/// rewrite the record.
const REWRITE_GRACE: Duration = Duration::from_secs(10);

/// The availability zones that the operator has evacuated, and those whose evacuation has ended
/// since this instance started.
///
/// Guards against work that is lost with a zone: anything sent there after the operator was
/// told that the zone is empty is lost when its upstreams are switched off. This applies to
/// requests, pieces of stages and all retries.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeSet<Name>,
    /// Zones that a restored store lacks, and until when they stay evacuated nevertheless.
    missing: BTreeMap<Name, MonoTime>,
    ended: BTreeMap<Name, MonoTime>,
}

impl EvacuatedZones {
    /// Marks a zone as evacuated; returns true if it was not before.
    pub fn evacuate(&mut self, zone: Name) -> bool {
        self.missing.remove(&zone);
        self.zones.insert(zone)
    }

    /// Ends the evacuation of a zone; returns true if it was evacuated.
    pub fn end_evacuation(&mut self, now: MonoTime, zone: &Name) -> bool {
        self.missing.remove(zone);
        let was_evacuated = self.zones.remove(zone);
        if was_evacuated {
            self.ended.insert(zone.clone(), now);
        }
        was_evacuated
    }

    /// Replaces the set of evacuated zones; returns true if anything changed.
    ///
    /// Guards against sending work to a zone because the store was restored from a copy that is
    /// older than the zone's evacuation.
    pub fn replace(&mut self, now: MonoTime, zones: BTreeSet<Name>, kind: SnapshotKind) -> bool {
        let removed: Vec<Name> = self.zones.difference(&zones).cloned().collect();
        let mut changed = false;
        for zone in removed {
            match kind {
                SnapshotKind::Restored => {
                    self.missing.insert(zone, now + REWRITE_GRACE);
                }
                SnapshotKind::Complete if self.missing.contains_key(&zone) => {}
                SnapshotKind::Complete => changed |= self.end_evacuation(now, &zone),
            }
        }
        for zone in zones {
            changed |= self.evacuate(zone);
        }
        changed
    }

    /// Ends the evacuation of missing zones that were not rewritten in time; returns true if
    /// there were any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let expired = self.missing.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<Name> = expired.map(|(zone, _)| zone.clone()).collect();
        for zone in &expired {
            self.end_evacuation(now, zone);
        }
        !expired.is_empty()
    }

    /// True if nothing new may be sent to upstreams of the zone.
    pub fn is_evacuated(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// When the zone's last evacuation ended, if it ever had one. Its upstreams may have
    /// started shortly before.
    pub fn evacuation_ended_at(&self, zone: &Name) -> Option<MonoTime> {
        self.ended.get(zone).copied()
    }
}
