//! The upstreams of every service, in the form that requests select them from.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jd_net::lock;
use jd_policy::PickRequest;
use jd_policy::PoolTable;
use jd_policy::RoutingPolicy;
use jd_policy::Upstream;
use jd_serving::EvacuatedZones;
use jd_serving::ListedUpstream;
use jd_serving::MAX_CANDIDATES;
use jd_serving::PromptUpstream;
use jd_serving::Shard;
use jd_serving::SoftwareVersion;
use jd_serving::StageUpstream;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_serving::place_prompt;
use jd_serving::service_slots;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamId;
use jd_types::UpstreamKey;

use crate::restart_checks::SuspectedRestart;
use crate::run_events::UpstreamRef;
use crate::selection_filter::SelectionFilter;
use crate::upstream_record::SelectedUpstream;
use crate::upstream_record::UpstreamRecord;

#[derive(Debug)]
pub(crate) struct ServiceTable {
    pub(crate) ids: Vec<UpstreamId>,
    pub(crate) slots: u32,
    pub(crate) pool: PoolTable,
    records: Vec<UpstreamRecord>,
}

/// The upstreams of a table whose entries were replaced since.
#[derive(Debug, Default)]
pub(crate) struct Replaced {
    /// Those whose entries tell a later start.
    pub(crate) restarts: Vec<SuspectedRestart>,
    /// The addresses at which upstreams restarted, or which they have left.
    pub(crate) addresses: Vec<SocketAddr>,
}

/// The upstreams of every service. The table is rebuilt when entries change; the records of
/// unchanged upstreams are carried over.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    pub(crate) services: HashMap<CompactString, ServiceTable>,
    by_id: HashMap<UpstreamId, UpstreamRecord>,
}

impl UpstreamTable {
    /// The table of `entries` for an instance in `zone`. Upstreams that are shutting down are
    /// left out, since they must not get new requests. Upstreams of an evacuated zone are kept
    /// but not selected. `is_recorded` tells whether the store records the version of an upstream.
    pub(crate) fn rebuilt<'a>(
        &self,
        now: MonoTime,
        entries: impl Iterator<Item = ListedUpstream<'a>>,
        evacuated: &EvacuatedZones,
        zone: &Name,
        is_recorded: impl Fn(&UpstreamEntry) -> bool,
    ) -> UpstreamTable {
        let first = self.by_id.is_empty();
        let since = if first { MonoTime::ZERO } else { now };
        let mut by_id = HashMap::new();
        let mut grouped: HashMap<CompactString, Vec<&UpstreamEntry>> = HashMap::new();
        for listed in entries.filter(|l| !l.entry.leaving) {
            let entry = listed.entry;
            let before = self.by_id.get(&entry.id);
            let kept = before.and_then(|r| r.kept_for(entry, now));
            let mut record = kept.unwrap_or_else(|| UpstreamRecord::new(entry, since));
            {
                let mut cold = lock(&record.cold);
                cold.set_cold_until(listed.cold_until);
                if let Some(at) = evacuated.evacuation_ended_at(&entry.zone) {
                    cold.record_possible_start(at);
                }
            }
            record.evacuated = evacuated.is_evacuated(&entry.zone);
            record.unrecorded_since = match is_recorded(entry) {
                true => None,
                false => record.unrecorded_since.or(Some(now)),
            };
            if !record.evacuated {
                let service = grouped.entry(entry.service.clone());
                service.or_default().push(entry);
            }
            by_id.insert(entry.id.clone(), record);
        }
        let mut services = HashMap::new();
        for (service, mut entries) in grouped {
            entries.sort_by(|a, b| a.id.cmp(&b.id));
            let records = entries.iter().map(|e| by_id[&e.id].clone());
            let records: Vec<UpstreamRecord> = records.collect();
            let upstreams = records.iter().map(|r| Arc::clone(&r.upstream)).collect();
            let slots = service_slots(entries.iter().map(|e| e.slots));
            let table = ServiceTable {
                ids: entries.iter().map(|e| e.id.clone()).collect(),
                slots,
                pool: PoolTable::without_affinity(upstreams, slots, zone),
                records,
            };
            services.insert(service, table);
        }
        UpstreamTable { services, by_id }
    }

    /// What has become of the upstreams of an earlier table.
    pub(crate) fn replaced_since(&self, earlier: &UpstreamTable) -> Replaced {
        let mut replaced = Replaced::default();
        for (id, before) in &earlier.by_id {
            let Some(now) = self.by_id.get(id) else {
                continue;
            };
            let is_same_process = Arc::ptr_eq(&now.restarted, &before.restarted);
            if !is_same_process || now.upstream.address != before.upstream.address {
                replaced.addresses.push(before.upstream.address);
            }
            match is_same_process {
                true => now.log_rewritten(id, before),
                false => replaced.restarts.push(now.suspected_restart(id, before)),
            }
        }
        replaced
    }

    /// The zones of a service's upstreams, one item for each upstream.
    pub(crate) fn zones(&self, service: &str) -> impl Iterator<Item = &Name> {
        let table = self.services.get(service).into_iter();
        table.flat_map(|t| t.pool.upstreams().iter().map(|u| &u.zone))
    }

    /// The upstreams of a service.
    pub(crate) fn upstreams(&self, service: &str) -> impl Iterator<Item = StageUpstream> {
        let ids = self.services.get(service).into_iter().flat_map(|t| &t.ids);
        ids.filter_map(|id| {
            let record = self.by_id.get(id)?;
            Some(StageUpstream {
                id: id.clone().into(),
                start: record.start,
                address: record.upstream.address,
                zone: record.upstream.zone.clone(),
            })
        })
    }

    /// True if the upstream is listed at this address and may get new requests.
    pub(crate) fn lists_at(&self, id: &str, address: SocketAddr) -> bool {
        let record = self.by_id.get(id);
        record.is_some_and(|r| r.upstream.address == address && !r.evacuated)
    }

    /// The address of an upstream that is listed and not shutting down.
    pub(crate) fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.by_id.get(id).map(|record| record.upstream.address)
    }

    /// Records that an upstream answered a request that was sent at this time.
    pub(crate) fn record_answer(&self, id: &str, sent_at: MonoTime) {
        if let Some(record) = self.by_id.get(id) {
            record.upstream.record_answer(sent_at);
        }
    }

    /// True if an upstream has answered a request that was sent later than this.
    pub(crate) fn has_answered_since(&self, id: &str, time: MonoTime) -> bool {
        let record = self.by_id.get(id);
        record.is_some_and(|r| r.upstream.has_answered_since(time))
    }

    /// The start of an upstream that is listed and not shutting down.
    pub(crate) fn start_of(&self, id: &str) -> Option<UpstreamStart> {
        self.by_id.get(id).map(|record| record.start)
    }

    /// The software version of an upstream that is listed and not shutting down.
    pub(crate) fn software_of(&self, id: &str) -> Option<&SoftwareVersion> {
        self.by_id.get(id).map(|record| &record.software)
    }

    /// True if an upstream of the service that may get new requests has this software version.
    pub(crate) fn has_version(&self, service: &str, software: &SoftwareVersion) -> bool {
        let table = self.services.get(service);
        table.is_some_and(|t| t.records.iter().any(|r| r.software == *software))
    }

    /// The upstream at an address; none if no entry has that address.
    pub(crate) fn by_address(&self, address: SocketAddr) -> Option<UpstreamRef> {
        self.services.iter().find_map(|(service, table)| {
            let upstreams = table.pool.upstreams().iter();
            let found = upstreams.zip(&table.ids).zip(&table.records);
            let mut found = found.filter(|((u, _), _)| u.address == address);
            let ((_, id), record) = found.next()?;
            Some(UpstreamRef {
                service: service.clone(),
                id: id.clone().into(),
                start: record.start,
                address,
            })
        })
    }

    /// Takes back what failed connections to these addresses say about the upstreams there.
    pub(crate) fn forget_failed_connections(&self, addresses: &[SocketAddr]) {
        let records = self.by_id.values();
        for record in records.filter(|r| addresses.contains(&r.upstream.address)) {
            record.upstream.clear_ejection();
            lock(&record.cold).forget_unreachable();
        }
    }

    /// True if an upstream of the service has this address.
    pub(crate) fn serves_at(&self, service: &str, address: SocketAddr) -> bool {
        let table = self.services.get(service);
        table.is_some_and(|t| t.pool.upstreams().iter().any(|u| u.address == address))
    }

    /// True if an upstream of the service has this address and software version.
    pub(crate) fn has_version_at(
        &self,
        service: &str,
        address: SocketAddr,
        software: &SoftwareVersion,
    ) -> bool {
        let records = self.services.get(service).into_iter();
        let mut records = records.flat_map(|t| &t.records);
        records.any(|r| r.upstream.address == address && r.software == *software)
    }

    /// Selects an upstream by load, preferring those in `zone`.
    pub(crate) fn pick_by_load(
        &self,
        service: &str,
        now: MonoTime,
        zone: &Name,
        tried: &[CompactString],
        filter: &SelectionFilter<'_>,
    ) -> Option<SelectedUpstream> {
        let table = self.services.get(service)?;
        let mut exclude = table.keys_of(tried);
        exclude.extend(table.keys(|id, record| !filter.allows(now, id, record)));
        let req = PickRequest {
            zone,
            affinity: None,
            exclude: &exclude,
        };
        let mut rng = fastrand::Rng::new();
        let policy = RoutingPolicy::TwoChoices;
        let pick = table.pool.pick(policy, now, &req, &mut rng);
        let key = pick.map(|pick| pick.key);
        let key = key.or_else(|| filter.software.as_ref().and(table.least_used(&exclude)));
        Some(table.chosen(key?))
    }

    /// Selects the upstream that caches the prompt of a session.
    pub(crate) fn pick_for_session(
        &self,
        service: &str,
        now: MonoTime,
        session: u64,
        instances: u32,
        tried: &[CompactString],
        filter: &SelectionFilter<'_>,
    ) -> Option<SelectedUpstream> {
        let table = self.services.get(service)?;
        let views = table.views(now, &table.keys_of(tried), filter);
        let order = place_prompt(session, &views, table.slots, instances);
        let allowed = |n: &usize| filter.allows(now, &table.ids[*n], &table.records[*n]);
        let first = order.into_iter().find(allowed)?;
        let key = UpstreamKey::from_index(u32::try_from(first).ok()?);
        Some(table.chosen(key))
    }
}

impl UpstreamTable {
    /// The upstreams of a service in a shard at which a prompt of a session may be placed now; a
    /// part of them if there are very many.
    pub(crate) fn placeable(
        &self,
        service: &str,
        shard: &Shard,
        now: MonoTime,
        session: u64,
        filter: &SelectionFilter<'_>,
    ) -> Vec<SelectedUpstream> {
        let Some(table) = self.services.get(service) else {
            return Vec::new();
        };
        let keyed = (0..)
            .map(UpstreamKey::from_index)
            .zip(table.pool.upstreams());
        let in_shard = shard.select_upstreams(keyed, |(_, u)| &u.zone);
        let in_shard: Vec<(UpstreamKey, &Arc<Upstream>)> = in_shard.collect();
        let first = session % u64::try_from(in_shard.len().max(1)).unwrap_or(1);
        let first = match in_shard.len() > MAX_CANDIDATES {
            true => usize::try_from(first).unwrap_or(0),
            false => 0,
        };
        let compared = in_shard.iter().cycle().skip(first);
        let compared = compared.take(in_shard.len().min(MAX_CANDIDATES));
        let usable = compared.filter(|(key, upstream)| {
            let (id, record) = (&table.ids[key.index()], &table.records[key.index()]);
            !upstream.is_ejected(now) && filter.allows_placing(now, id, record)
        });
        usable.map(|(key, _)| table.chosen(*key)).collect()
    }

    /// This start of an upstream, if it may be selected now.
    pub(crate) fn pick_placed(
        &self,
        service: &str,
        now: MonoTime,
        (id, start): (&str, UpstreamStart),
        filter: &SelectionFilter<'_>,
    ) -> Option<SelectedUpstream> {
        let table = self.services.get(service)?;
        let index = table.ids.binary_search_by(|i| i.as_str().cmp(id)).ok()?;
        let record = &table.records[index];
        let usable = record.start == start
            && !record.upstream.is_ejected(now)
            && filter.allows(now, id, record);
        let key = UpstreamKey::from_index(u32::try_from(index).ok()?);
        usable.then(|| table.chosen(key))
    }
}

impl ServiceTable {
    fn chosen(&self, key: UpstreamKey) -> SelectedUpstream {
        let record = self.records[key.index()].clone();
        SelectedUpstream {
            id: self.ids[key.index()].clone(),
            start: record.start,
            software: record.software,
            upstream: record.upstream,
            restarted: record.restarted,
            redescribed: record.redescribed,
            cold: record.cold,
        }
    }

    /// The upstream with the fewest requests of this instance in progress, whether ejected or not:
    /// the upstreams of one software version may all be ejected while others of the pool are not.
    fn least_used(&self, exclude: &[UpstreamKey]) -> Option<UpstreamKey> {
        let keys = (0..).map(UpstreamKey::from_index);
        let all = keys.zip(self.pool.upstreams());
        let allowed = all.filter(|(key, _)| !exclude.contains(key));
        let least = allowed.min_by_key(|(_, upstream)| upstream.in_flight());
        least.map(|(key, _)| key)
    }

    /// The keys of the upstreams that match a predicate.
    fn keys(&self, matches: impl Fn(&str, &UpstreamRecord) -> bool) -> Vec<UpstreamKey> {
        let keys = (0..).map(UpstreamKey::from_index);
        let all = self.ids.iter().zip(&self.records).zip(keys);
        all.filter(|((id, record), _)| matches(id, record))
            .map(|(_, k)| k)
            .collect()
    }

    /// The keys of the upstreams with these IDs, as far as they are still listed.
    fn keys_of(&self, ids: &[CompactString]) -> Vec<UpstreamKey> {
        let keys = (0..).map(UpstreamKey::from_index);
        let all = self.ids.iter().zip(keys);
        all.filter(|(id, _)| ids.contains(id))
            .map(|(_, k)| k)
            .collect()
    }

    /// The upstreams as candidates for a prompt. Ejections are ignored if all upstreams of the
    /// required software version are ejected, so that a wrong signal cannot leave a service
    /// without any upstream.
    fn views(
        &self,
        now: MonoTime,
        exclude: &[UpstreamKey],
        filter: &SelectionFilter<'_>,
    ) -> Vec<PromptUpstream> {
        let upstreams = self.pool.upstreams();
        let of_version = upstreams.iter().zip(&self.records);
        let mut of_version = of_version.filter(|(_, record)| filter.is_of_version(record));
        let all_ejected = of_version.all(|(u, _)| u.is_ejected(now));
        let keys = (0..).map(UpstreamKey::from_index);
        let view = |(u, key): (&Arc<Upstream>, UpstreamKey)| PromptUpstream {
            address: u.address,
            in_flight: u.in_flight(),
            usable: !exclude.contains(&key) && (all_ejected || !u.is_ejected(now)),
        };
        upstreams.iter().zip(keys).map(view).collect()
    }
}
