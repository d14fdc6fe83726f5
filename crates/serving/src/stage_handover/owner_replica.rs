//! The results that one owner replicated to this instance.

use std::collections::HashMap;

use compact_str::CompactString;
use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::Content;
use crate::ReplicaUpdate;
use crate::StoredResult;
use crate::stage_handover::result_replicator::MAX_REPLICATED;

/// The results that one owner replicated to this instance and that no job here has claimed.
#[derive(Debug)]
pub(crate) struct OwnerReplica {
    pub(crate) owner: Incarnation,
    pub(crate) updated_at: MonoTime,
    /// Since when this instance owns the shard and the owner has been silent. The results then
    /// count as used storage.
    pub(crate) silent_since: Option<MonoTime>,
    /// Since when the owner has been gone as well.
    pub(crate) gone_since: Option<MonoTime>,
    results: HashMap<CompactString, StoredResult>,
    handles_by_request: HashMap<CompactString, Vec<CompactString>>,
}

impl OwnerReplica {
    pub(crate) fn new(owner: Incarnation) -> OwnerReplica {
        OwnerReplica {
            owner,
            updated_at: MonoTime::ZERO,
            silent_since: None,
            gone_since: None,
            results: HashMap::new(),
            handles_by_request: HashMap::new(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    pub(crate) fn results(&self) -> impl Iterator<Item = &StoredResult> {
        self.results.values()
    }

    /// Applies an update of the owner. Results for which `is_adopted` is true stay with the jobs
    /// that have adopted them.
    pub(crate) fn apply(
        &mut self,
        now: MonoTime,
        update: ReplicaUpdate,
        is_adopted: impl Fn(&str) -> bool,
    ) {
        self.updated_at = now;
        if update.whole {
            self.results.clear();
            self.handles_by_request.clear();
        }
        for handle in &update.removed {
            self.remove(handle);
        }
        for result in update.results {
            if result.is_replicable() && !is_adopted(&result.handle) {
                self.insert(result);
            }
        }
    }

    /// Removes and returns the results of a request.
    pub(crate) fn take(&mut self, request_id: &str, content: Content) -> Vec<StoredResult> {
        let handles = match self.handles_by_request.get(request_id) {
            Some(handles) => handles.clone(),
            None => return Vec::new(),
        };
        let is_of_request = |h: &CompactString| {
            let result = self.results.get(h);
            result.is_some_and(|r| r.content == content)
        };
        let handles: Vec<CompactString> = handles.into_iter().filter(is_of_request).collect();
        handles.iter().filter_map(|h| self.remove(h)).collect()
    }

    /// True if there are results of this request.
    pub(crate) fn has_results_of(&self, request_id: &str) -> bool {
        self.handles_by_request.contains_key(request_id)
    }

    /// Adds a result, unless there are too many.
    pub(crate) fn insert(&mut self, result: StoredResult) {
        if self.results.len() >= MAX_REPLICATED || self.results.contains_key(&result.handle) {
            return;
        }
        let handles = self.handles_by_request.entry(result.request_id.clone());
        handles.or_default().push(result.handle.clone());
        self.results.insert(result.handle.clone(), result);
    }

    /// Removes the results that their upstreams have deleted.
    pub(crate) fn remove_expired(&mut self, now: MonoTime) {
        let expired = self.results.values().filter(|r| r.expires_at <= now);
        let expired: Vec<CompactString> = expired.map(|r| r.handle.clone()).collect();
        for handle in expired {
            self.remove(&handle);
        }
    }

    /// Removes and returns all results.
    pub(crate) fn take_all(&mut self) -> Vec<StoredResult> {
        self.handles_by_request.clear();
        self.results.drain().map(|(_, result)| result).collect()
    }

    pub(crate) fn remove(&mut self, handle: &str) -> Option<StoredResult> {
        let result = self.results.remove(handle)?;
        if let Some(handles) = self.handles_by_request.get_mut(&result.request_id) {
            handles.retain(|h| h != handle);
            if handles.is_empty() {
                self.handles_by_request.remove(&result.request_id);
            }
        }
        Some(result)
    }
}
