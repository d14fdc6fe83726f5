//! How old the knowledge of what is in force may be.

use std::time::Duration;

use jd_types::MonoTime;

use crate::StoreRevision;

/// Proof that this instance knew all that was in force at some moment.
///
/// Guards against credentials that were taken away while this instance could
/// not hear of it: cut off, frozen, suspended, or behind a connection that has
/// gone silent. A watch that brings nothing proves nothing. Proof is a question
/// put to the store and answered with the revision that it had then; it counts
/// from the moment of asking, on a clock that runs through suspension.
#[derive(Debug, Default)]
pub struct Freshness {
    applied: StoreRevision,
    proven: Option<Proof>,
    unmet: Option<Proof>,
}

/// What the store said when it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// When it was asked, at the earliest.
    pub asked_at: MonoTime,
    /// The revision that it had then.
    pub revision: StoreRevision,
}

impl Freshness {
    /// Everything up to `revision` has been taken in.
    pub fn record_applied(&mut self, revision: StoreRevision) {
        self.applied = self.applied.max(revision);
        match self.unmet {
            Some(p) if p.revision > self.applied => {}
            Some(p) => {
                self.unmet = None;
                self.adopt(p);
            }
            None => {}
        }
    }

    /// The store said that it was at `revision` when asked at `asked`. True if
    /// something is missing here, which a watch should have brought.
    pub fn record_confirmation(&mut self, asked: MonoTime, revision: StoreRevision) -> bool {
        let proof = Proof {
            asked_at: asked,
            revision,
        };
        match revision {
            r if r > self.applied => {
                self.unmet = Some(proof);
                true
            }
            // An answer of an earlier era that comes late.
            r if !r.is_same_era(self.applied) => false,
            _ => {
                self.prove(proof);
                false
            }
        }
    }

    /// Another instance has this proof. It counts here if everything up to its
    /// revision has been taken in, so that one instance's question serves many,
    /// and those too that the store turns away.
    pub fn adopt(&mut self, proof: Proof) {
        if self.covers(proof.revision) {
            self.prove(proof);
        }
    }

    /// True if everything up to a revision has been taken in here. Of an earlier era that
    /// cannot be told: what came after the copy that the store was restored from may
    /// never have come here.
    fn covers(&self, revision: StoreRevision) -> bool {
        revision.is_same_era(self.applied) && revision <= self.applied
    }

    /// The newest proof; none if there has been none.
    pub fn proof(&self) -> Option<Proof> {
        self.proven
    }

    /// How old the newest proof is; none if there has been none.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.proven.map(|p| now.since(p.asked_at))
    }

    /// True while the store is known to hold something that is missing here.
    pub fn is_behind(&self) -> bool {
        self.unmet.is_some()
    }

    /// The revision up to which everything has been taken in.
    pub fn revision(&self) -> StoreRevision {
        self.applied
    }

    fn prove(&mut self, proof: Proof) {
        if self.proven.is_none_or(|p| p.asked_at < proof.asked_at) {
            self.proven = Some(proof);
        }
    }
}
