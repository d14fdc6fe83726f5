//! Selects what an owner sends to its successor.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::MAX_RESULTS_PER_UPDATE;
use crate::ReplicaReply;
use crate::ReplicaUpdate;
use crate::StoredResult;

/// The results that a successor holds for one owner at most: 0.6 MB of memory there. The results
/// of a shard live for about a second, and 1,100 are produced per second at 61 instances.
pub(crate) const MAX_REPLICATED: usize = 4_096;
/// The pause after an update without a reply: a heartbeat interval, so that a lost packet costs
/// few results, and a dead successor few messages until it counts as absent.
const NO_REPLY_PAUSE: Duration = Duration::from_millis(400);
/// The pause after a successor did not support updates. An instance is updated by a restart, after
/// which its peers learn its new entry within seconds.
const UNSUPPORTED_PAUSE: Duration = Duration::from_secs(20);

/// Tracks what the successor of an owner holds, and selects the next changes to send.
#[derive(Debug, Default)]
pub(crate) struct ResultReplicator {
    successor: Option<SocketAddr>,
    /// The handles that the successor may hold.
    replicated: HashSet<CompactString>,
    needs_whole: bool,
    in_flight: bool,
    paused_until: MonoTime,
}

impl ResultReplicator {
    /// True if the successor may hold results.
    pub(crate) fn has_replicated(&self) -> bool {
        !self.replicated.is_empty()
    }

    /// Sets the successor, and returns true if it may be sent an update now.
    pub(crate) fn may_send(&mut self, now: MonoTime, successor: SocketAddr) -> bool {
        if self.successor != Some(successor) {
            *self = ResultReplicator {
                successor: Some(successor),
                needs_whole: true,
                ..ResultReplicator::default()
            };
        }
        !self.in_flight && now >= self.paused_until
    }

    /// Returns the next update for the successor; `None` if there are no changes. `stored` are the
    /// results that the owner tracks, and `describe` returns one of them unless it is not to be
    /// replicated.
    ///
    /// Only differences are described, because owners may have a tenth of a core.
    pub(crate) fn next_update<'a, T: Copy>(
        &mut self,
        stored: &HashMap<&'a CompactString, T>,
        describe: impl Fn(&'a CompactString, T) -> Option<StoredResult>,
    ) -> Option<ReplicaUpdate> {
        let whole = self.needs_whole;
        let removed: Vec<CompactString> = match whole {
            true => Vec::new(),
            false => {
                let unneeded = self.replicated.iter().filter(|h| !stored.contains_key(h));
                unneeded.take(MAX_RESULTS_PER_UPDATE).cloned().collect()
            }
        };
        let held = match whole {
            true => 0,
            false => self.replicated.len() - removed.len(),
        };
        let free = MAX_REPLICATED.saturating_sub(held);
        let added = stored
            .iter()
            .filter(|(handle, _)| whole || !self.replicated.contains(**handle))
            .filter_map(|(handle, source)| describe(handle, *source))
            .filter(StoredResult::is_replicable);
        let results: Vec<StoredResult> = added.take(free.min(MAX_RESULTS_PER_UPDATE)).collect();
        let clears = whole && !self.replicated.is_empty();
        if results.is_empty() && removed.is_empty() && !clears {
            return None;
        }
        if whole {
            self.replicated.clear();
        }
        for handle in &removed {
            self.replicated.remove(handle);
        }
        let handles = results.iter().map(|r| r.handle.clone());
        self.replicated.extend(handles);
        self.in_flight = true;
        Some(ReplicaUpdate {
            whole,
            results,
            removed,
        })
    }

    /// Records the reply of a successor to the last update. Unless the update was applied, the next
    /// one is whole: parts of this one may be missing there.
    pub(crate) fn record_reply(
        &mut self,
        now: MonoTime,
        successor: SocketAddr,
        reply: ReplicaReply,
    ) {
        if self.successor != Some(successor) {
            return;
        }
        self.in_flight = false;
        self.needs_whole = reply != ReplicaReply::Applied;
        match reply {
            ReplicaReply::Applied | ReplicaReply::NeedsWhole => {}
            ReplicaReply::NoReply => self.paused_until = now + NO_REPLY_PAUSE,
            ReplicaReply::Unsupported => {
                self.replicated.clear();
                self.paused_until = now + UNSUPPORTED_PAUSE;
            }
        }
    }
}
