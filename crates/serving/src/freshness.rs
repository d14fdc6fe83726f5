//! Tracks how recent this instance's copy of the store is known to be.

use std::time::Duration;

use jd_types::MonoTime;

use crate::StoreRevision;

/// Proof that this instance's copy of the store was up to date at some moment.
///
/// Guards against credentials that were revoked while this instance could not learn of it:
/// disconnected, frozen, suspended, or behind a connection that stalled. A watch without events
/// proves nothing. A proof is a query to the store that is answered with the current revision.
/// It counts from the time of the query, on a clock that advances during suspension.
#[derive(Debug, Default)]
pub struct Freshness {
    applied: StoreRevision,
    newest: Option<Proof>,
    pending: Option<Proof>,
    /// When the configuration was read by itself for the last time, while other records could not be.
    deployment_read_at: Option<MonoTime>,
}

/// The answer of the store to a query of its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The earliest time at which the query was made.
    pub asked_at: MonoTime,
    /// The revision at that time.
    pub revision: StoreRevision,
}

impl Freshness {
    /// Records that everything up to `revision` has been applied.
    pub fn record_applied(&mut self, revision: StoreRevision) {
        self.applied = self.applied.max(revision);
        match self.pending {
            Some(p) if p.revision > self.applied => {}
            Some(p) => {
                self.pending = None;
                self.adopt(p);
            }
            None => {}
        }
    }

    /// Records that the store, queried at `asked`, was at `revision`. Returns true if changes
    /// are missing here that a watch should have delivered.
    pub fn record_confirmation(&mut self, asked: MonoTime, revision: StoreRevision) -> bool {
        let proof = Proof {
            asked_at: asked,
            revision,
        };
        match revision {
            r if r > self.applied => {
                self.pending = Some(proof);
                true
            }
            // A late answer from an earlier era.
            r if !r.is_same_era(self.applied) => false,
            _ => {
                self.prove(proof);
                false
            }
        }
    }

    /// Adopts another instance's proof if everything up to its revision has been applied here.
    /// One instance's query thus serves many instances, including those that the store rejects.
    pub fn adopt(&mut self, proof: Proof) {
        if self.covers(proof.revision) {
            self.prove(proof);
        }
    }

    /// True if everything up to a revision has been applied here. This cannot be known for a
    /// revision of an earlier era: changes after the copy that the store was restored from may
    /// never have arrived here.
    fn covers(&self, revision: StoreRevision) -> bool {
        revision.is_same_era(self.applied) && revision <= self.applied
    }

    /// The newest proof, if there has been one.
    pub fn proof(&self) -> Option<Proof> {
        self.newest
    }

    /// An answer of the store that becomes a proof once changes have been applied.
    pub fn pending(&self) -> Option<Proof> {
        self.pending
    }

    /// The age of the newest proof, if there has been one.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.newest.map(|p| now.since(p.asked_at))
    }

    /// Records that the configuration was read, asked for at `asked`, though not everything could be. This
    /// proves which credentials and routes are in force, and nothing else.
    pub fn record_deployment(&mut self, asked: MonoTime) {
        self.deployment_read_at = self.deployment_read_at.max(Some(asked));
    }

    /// The age of the newest proof of the configuration, if there has been one.
    pub fn deployment_age(&self, now: MonoTime) -> Option<Duration> {
        let proven_at = self.newest.map(|p| p.asked_at);
        let proven_at = proven_at.max(self.deployment_read_at)?;
        Some(now.since(proven_at))
    }

    /// True while the store is known to hold changes that are missing here.
    pub fn is_behind(&self) -> bool {
        self.pending.is_some()
    }

    /// The revision up to which everything has been applied.
    pub fn revision(&self) -> StoreRevision {
        self.applied
    }

    fn prove(&mut self, proof: Proof) {
        if self.newest.is_none_or(|p| p.asked_at < proof.asked_at) {
            self.newest = Some(proof);
        }
    }
}
