//! The state of the replication of results at one scheduler.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::HandoverEvent;
use crate::stage_handover::adopted_result::AdoptedResult;
use crate::stage_handover::owner_replica::OwnerReplica;
use crate::stage_handover::result_replicator::ResultReplicator;

/// The owners whose results are held for one shard at most: two instances may act as owners at a
/// time, and a further one has replaced one of them.
const MAX_OWNERS: usize = 2;
/// How long a replica without results is kept after its last update, so that differences that
/// follow are accepted. One whose results are adopted is kept for as long as these.
const REPLICA_LIFETIME: Duration = Duration::from_secs(10);

/// What this scheduler replicates as an owner, and what other owners replicated to it.
#[derive(Debug, Default)]
pub(crate) struct ResultHandover {
    pub(crate) replicator: ResultReplicator,
    pub(crate) replicas: Vec<OwnerReplica>,
    /// The results of other owners that jobs of this scheduler have adopted.
    pub(crate) adopted: HashMap<CompactString, AdoptedResult>,
    pub(crate) events: Vec<HandoverEvent>,
}

impl ResultHandover {
    pub(crate) fn replica(&mut self, owner: Incarnation) -> Option<&mut OwnerReplica> {
        self.replicas.iter_mut().find(|r| r.owner == owner)
    }

    /// True if results of this owner may be released: this instance owns the shard, and the owner
    /// is silent.
    pub(crate) fn may_free(&self, owner: Incarnation) -> bool {
        let mut replicas = self.replicas.iter();
        replicas.any(|r| r.owner == owner && r.silent_since.is_some())
    }

    /// Ends the claim of a job on a result. Returns true if the result must not be released yet,
    /// because its owner may be running.
    pub(crate) fn end_claim(&mut self, handle: &str) -> bool {
        let Some(owner) = self.adopted.get(handle).map(|a| a.owner) else {
            return false;
        };
        if self.may_free(owner) {
            self.adopted.remove(handle);
            return false;
        }
        if let Some(adopted) = self.adopted.get_mut(handle) {
            adopted.unneeded = true;
        }
        true
    }

    /// Adds a replica for an owner, and returns the one that it replaces, if any.
    pub(crate) fn add_replica(&mut self, owner: Incarnation) -> Option<OwnerReplica> {
        let oldest = self.replicas.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, r)| r.updated_at).map(|(n, _)| n);
        let replaced = match oldest {
            Some(n) if self.replicas.len() >= MAX_OWNERS => Some(self.replicas.swap_remove(n)),
            _ => None,
        };
        self.replicas.push(OwnerReplica::new(owner));
        replaced
    }

    /// Forgets what has expired.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        self.adopted.retain(|_, a| a.expires_at > now);
        for replica in &mut self.replicas {
            replica.remove_expired(now);
        }
        let is_adopted = |owner| self.adopted.values().any(|a| a.owner == owner);
        let is_kept = |r: &OwnerReplica| {
            !r.is_empty() || now < r.updated_at + REPLICA_LIFETIME || is_adopted(r.owner)
        };
        self.replicas.retain(is_kept);
    }
}
