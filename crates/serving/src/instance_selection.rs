//! Selects instances: for duties, for requests that are forwarded, and for callers.

use std::net::SocketAddr;

use jd_types::MonoTime;

use crate::InstanceDirectory;
use crate::InstanceEntry;
use crate::UpstreamPath;
use crate::instance_directory::HEARTBEAT_TIMEOUT;
use crate::instance_directory::Instance;

/// Addresses in one answer; clients accept no more.
const MAX_ADDRESSES: usize = 64;
/// Instances of the caller's own zone that suffice for an answer without other zones.
const MIN_LOCAL_INSTANCES: usize = 2;

impl InstanceDirectory {
    /// Instances that are present and not leaving.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        self.known
            .values()
            .filter(move |k| k.is_present(now) && !k.entry.leaving)
            .map(|k| &k.entry)
    }

    /// Live instances that have loaded the store and so can fill batches.
    ///
    /// Guards against an owner that started while the store was unavailable: it knows no
    /// upstream, so each instance that asked it chose another owner on its own, and three
    /// owners filled batches in parallel until a backlog of several seconds was cleared.
    pub fn live_loaded(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let loaded = move |k: &&Instance| k.is_present(now) && !k.entry.leaving && k.store_loaded;
        self.known.values().filter(loaded).map(|k| &k.entry)
    }

    /// The same without those that have lost their network path to the upstreams.
    ///
    /// While the owner of a shard had no path, the stages of all other instances failed as well.
    pub fn live_with_path(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let has_path = move |k: &&Instance| {
            k.is_present(now)
                && !k.entry.leaving
                && k.store_loaded
                && k.upstream_path != UpstreamPath::Lost
        };
        self.known.values().filter(has_path).map(|k| &k.entry)
    }

    /// Instances that are stopping and still answer. They do what nobody else is left to do.
    pub fn stopping(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let stopping = move |k: &&Instance| {
            let answers = k.responded && now.since(k.last_reply) < HEARTBEAT_TIMEOUT;
            answers && k.entry.leaving && k.store_loaded && k.upstream_path != UpstreamPath::Lost
        };
        self.known.values().filter(stopping).map(|k| &k.entry)
    }

    /// Instances that have said that they can connect to upstreams. One of an earlier version does
    /// not say so, and cannot run forwarded requests.
    pub fn forward_targets(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let targets = self.known.values().filter(move |k| {
            let answers = k.responded && now.since(k.last_reply) < HEARTBEAT_TIMEOUT;
            answers && k.ready && !k.entry.leaving && k.upstream_path == UpstreamPath::Open
        });
        targets.map(|k| &k.entry)
    }

    /// The addresses for a caller in `zone`: those of its own zone if there are enough, else
    /// all. `own` is the entry of the answering instance, and whether it has a path to upstreams.
    /// Instances without such a path are left out while any other is known.
    pub fn addresses(
        &self,
        now: MonoTime,
        zone: &str,
        own: Option<(&InstanceEntry, UpstreamPath)>,
    ) -> Vec<SocketAddr> {
        let others = self.known.values().filter(|k| k.is_present(now));
        let others = others.filter(|k| k.ready && !k.entry.leaving);
        let others = others.map(|k| (&k.entry, k.upstream_path));
        let (without_path, with_path): (Vec<_>, Vec<_>) = others
            .chain(own)
            .partition(|(_, path)| *path == UpstreamPath::Lost);
        let named = match with_path.is_empty() {
            true => without_path,
            false => with_path,
        };
        let mut all: Vec<&InstanceEntry> = named.into_iter().map(|(entry, _)| entry).collect();
        all.sort_by_key(|e| (e.zone.as_str() != zone, e.caller_address));
        let local = all.iter().filter(|e| e.zone.as_str() == zone).count();
        if local >= MIN_LOCAL_INSTANCES {
            all.truncate(local);
        }
        let addresses = all.into_iter().map(|e| e.caller_address);
        addresses.take(MAX_ADDRESSES).collect()
    }
}
