//! Who owns which part of every limit.

use std::collections::BTreeMap;

use jd_types::Incarnation;
use jd_types::Ppm;
use serde::Deserialize;
use serde::Serialize;

/// One owner's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareEntry {
    /// The part that it owns of every limit.
    pub part: Ppm,
    /// True while others believe it gone and wait for it to speak up.
    pub suspected: bool,
    /// How often it has been suspected.
    pub suspicions: u32,
}

/// Who owns which part of every limit. One record in the platform's service,
/// changed by compare-and-swap; the parts always add up to the whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareMap {
    owners: BTreeMap<Incarnation, ShareEntry>,
}

impl ShareMap {
    /// The map of the first instance, which owns everything.
    pub fn sole(owner: Incarnation) -> ShareMap {
        let entry = ShareEntry {
            part: Ppm::WHOLE,
            suspected: false,
            suspicions: 0,
        };
        ShareMap {
            owners: BTreeMap::from([(owner, entry)]),
        }
    }

    /// Owners and their entries.
    pub fn owners(&self) -> impl Iterator<Item = (Incarnation, ShareEntry)> {
        self.owners.iter().map(|(i, e)| (*i, *e))
    }

    /// The number of owners.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// True if nobody owns anything.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// The part of `who`; zero if it owns none.
    pub fn part(&self, who: Incarnation) -> Ppm {
        self.owners.get(&who).map_or(Ppm::ZERO, |e| e.part)
    }

    /// True while `who` is suspected of being gone.
    pub fn is_suspected(&self, who: Incarnation) -> bool {
        self.owners.get(&who).is_some_and(|e| e.suspected)
    }

    /// The sum of all parts, in millionths.
    pub fn total(&self) -> u64 {
        self.owners.values().map(|e| u64::from(e.part.get())).sum()
    }

    /// Moves up to `amount` from one owner to another.
    pub fn transfer(&mut self, from: Incarnation, to: Incarnation, amount: Ppm) {
        let amount = amount.min(self.part(from));
        if let Some(giver) = self.owners.get_mut(&from) {
            giver.part = giver.part.minus(amount);
        }
        let fresh = ShareEntry {
            part: Ppm::ZERO,
            suspected: false,
            suspicions: 0,
        };
        let taker = self.owners.entry(to).or_insert(fresh);
        taker.part = taker.part.plus(amount);
        self.owners
            .retain(|who, e| e.part > Ppm::ZERO || *who == to);
    }

    /// Marks an owner as suspected or clears that.
    pub fn suspect(&mut self, who: Incarnation, suspected: bool) {
        if let Some(entry) = self.owners.get_mut(&who) {
            entry.suspicions += u32::from(suspected && !entry.suspected);
            entry.suspected = suspected;
        }
    }
}
