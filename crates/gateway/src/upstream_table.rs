//! The upstreams of every service, laid out for the path of a request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jd_policy::PickRequest;
use jd_policy::PoolTable;
use jd_policy::RoutingPolicy;
use jd_policy::Upstream;
use jd_serving::EvacuatedZones;
use jd_serving::PromptUpstream;
use jd_serving::StageUpstream;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_serving::place_prompt;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamKey;

use crate::latch::Latch;

/// An upstream that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    /// Its identity.
    pub(crate) id: CompactString,
    /// Which start of it.
    pub(crate) start: UpstreamStart,
    /// What this instance knows of it.
    pub(crate) upstream: Arc<Upstream>,
    /// Set once it is known to have started again since.
    pub(crate) started_again: Arc<Latch>,
}

#[derive(Debug)]
struct ServiceTable {
    ids: Vec<CompactString>,
    slots: u32,
    pool: PoolTable,
    starts: Vec<UpstreamStart>,
    started_again: Vec<Arc<Latch>>,
}

/// One start of an upstream.
#[derive(Debug, Clone)]
struct Known {
    start: UpstreamStart,
    upstream: Arc<Upstream>,
    started_again: Arc<Latch>,
    /// It stands in a zone that is evacuated: it is there, and gets nothing new.
    evacuated: bool,
}

impl Known {
    fn new(entry: &UpstreamEntry, since: MonoTime) -> Known {
        Known {
            start: entry.start,
            upstream: Arc::new(Upstream::new(entry.address, entry.zone.clone(), since)),
            started_again: Arc::default(),
            evacuated: false,
        }
    }

    /// What is known of the upstream of an entry, if that is of the same start.
    fn kept_for(&self, entry: &UpstreamEntry) -> Option<Known> {
        let again = entry.start.is_later_than(self.start);
        let same = !again && self.upstream.address == entry.address;
        same.then(|| Known {
            start: self.start.later(entry.start),
            ..self.clone()
        })
    }
}

/// The upstreams of every service. A new table is made when entries change;
/// what is known of an upstream lives on from table to table.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    services: HashMap<CompactString, ServiceTable>,
    by_id: HashMap<CompactString, Known>,
}

impl UpstreamTable {
    /// The table of `entries` for an instance in `zone`. Upstreams that leave
    /// are not in it: nothing new may reach them. Those of an evacuated zone are
    /// known and are not chosen.
    pub(crate) fn next<'a>(
        &self,
        now: MonoTime,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
        evacuated: &EvacuatedZones,
        zone: &Name,
    ) -> UpstreamTable {
        let first = self.by_id.is_empty();
        let since = if first { MonoTime::ZERO } else { now };
        let mut by_id = HashMap::new();
        let mut grouped: HashMap<CompactString, Vec<&UpstreamEntry>> = HashMap::new();
        for entry in entries.filter(|e| !e.leaving) {
            let before = self.by_id.get(&entry.id);
            let kept = before.and_then(|k| k.kept_for(entry));
            let mut known = kept.unwrap_or_else(|| Known::new(entry, since));
            known.evacuated = evacuated.is_evacuated(&entry.zone);
            if !known.evacuated {
                let service = grouped.entry(entry.service.clone());
                service.or_default().push(entry);
            }
            by_id.insert(entry.id.clone(), known);
        }
        let mut services = HashMap::new();
        for (service, mut entries) in grouped {
            entries.sort_by(|a, b| a.id.cmp(&b.id));
            let mut upstreams = Vec::with_capacity(entries.len());
            let mut starts = Vec::with_capacity(entries.len());
            let mut started_again = Vec::with_capacity(entries.len());
            for entry in &entries {
                let known: &Known = &by_id[&entry.id];
                upstreams.push(Arc::clone(&known.upstream));
                starts.push(known.start);
                started_again.push(Arc::clone(&known.started_again));
            }
            let slots = entries.iter().map(|e| e.slots).max().unwrap_or(1);
            let table = ServiceTable {
                ids: entries.iter().map(|e| e.id.clone()).collect(),
                slots,
                pool: PoolTable::new(upstreams, slots, zone),
                starts,
                started_again,
            };
            services.insert(service, table);
        }
        UpstreamTable { services, by_id }
    }

    /// The addresses of upstreams that have started again since an earlier table.
    /// Tells those that wait for an answer of the earlier start.
    pub(crate) fn note_restarts(&self, earlier: &UpstreamTable) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (id, before) in &earlier.by_id {
            let now = self.by_id.get(id);
            if now.is_some_and(|now| !Arc::ptr_eq(&now.upstream, &before.upstream)) {
                log::info!(upstream:% = id, address:% = before.upstream.address; "upstream started again");
                before.started_again.set();
                addresses.push(before.upstream.address);
            }
        }
        addresses
    }

    /// The zones of a service's upstreams, one for each of them.
    pub(crate) fn zones(&self, service: &str) -> impl Iterator<Item = &Name> {
        let table = self.services.get(service).into_iter();
        table.flat_map(|t| t.pool.upstreams().iter().map(|u| &u.hall))
    }

    /// A service's upstreams as their entries announce them.
    pub(crate) fn upstreams(&self, service: &str) -> impl Iterator<Item = StageUpstream> {
        let ids = self.services.get(service).into_iter().flat_map(|t| &t.ids);
        ids.filter_map(|id| {
            let known = self.by_id.get(id)?;
            Some(StageUpstream {
                id: id.clone(),
                start: known.start,
                address: known.upstream.address,
                zone: known.upstream.hall.clone(),
            })
        })
    }

    /// True if the upstream may still get new work at this address.
    pub(crate) fn has(&self, id: &str, address: SocketAddr) -> bool {
        let known = self.by_id.get(id);
        known.is_some_and(|k| k.upstream.address == address && !k.evacuated)
    }

    /// The start of an upstream that is there and does not leave.
    pub(crate) fn start_of(&self, id: &str) -> Option<UpstreamStart> {
        self.by_id.get(id).map(|known| known.start)
    }

    /// True if an upstream of the service answers at this address.
    pub(crate) fn is_at(&self, service: &str, address: SocketAddr) -> bool {
        let table = self.services.get(service);
        table.is_some_and(|t| t.pool.upstreams().iter().any(|u| u.address == address))
    }

    /// Chooses an upstream by load, near ones first.
    pub(crate) fn pick(
        &self,
        service: &str,
        now: MonoTime,
        zone: &Name,
        tried: &[CompactString],
    ) -> Option<Chosen> {
        let table = self.services.get(service)?;
        let req = PickRequest {
            hall: zone,
            affinity: None,
            exclude: &table.keys_of(tried),
        };
        let mut rng = fastrand::Rng::new();
        let policy = RoutingPolicy::TwoChoices;
        let pick = table.pool.pick(policy, now, &req, &mut rng)?;
        Some(table.chosen(pick.key))
    }

    /// Chooses the upstream that keeps the session's prompt.
    pub(crate) fn place(
        &self,
        service: &str,
        now: MonoTime,
        session: u64,
        instances: u32,
        tried: &[CompactString],
    ) -> Option<Chosen> {
        let table = self.services.get(service)?;
        let views = table.views(now, &table.keys_of(tried));
        let order = place_prompt(session, &views, table.slots, instances);
        let key = UpstreamKey::from_index(u32::try_from(*order.first()?).ok()?);
        Some(table.chosen(key))
    }
}

impl ServiceTable {
    fn chosen(&self, key: UpstreamKey) -> Chosen {
        Chosen {
            id: self.ids[key.index()].clone(),
            start: self.starts[key.index()],
            upstream: Arc::clone(&self.pool.upstreams()[key.index()]),
            started_again: Arc::clone(&self.started_again[key.index()]),
        }
    }

    /// The places of those that are still there.
    fn keys_of(&self, ids: &[CompactString]) -> Vec<UpstreamKey> {
        let keys = (0..).map(UpstreamKey::from_index);
        let all = self.ids.iter().zip(keys);
        all.filter(|(id, _)| ids.contains(id))
            .map(|(_, k)| k)
            .collect()
    }

    /// Ejections are ignored when all are ejected: a bad signal must not leave
    /// a service without any upstream.
    fn views(&self, now: MonoTime, exclude: &[UpstreamKey]) -> Vec<PromptUpstream> {
        let upstreams = self.pool.upstreams();
        let all_ejected = upstreams.iter().all(|u| u.is_ejected(now));
        let keys = (0..).map(UpstreamKey::from_index);
        let view = |(u, key): (&Arc<Upstream>, UpstreamKey)| PromptUpstream {
            address: u.address,
            in_flight: u.in_flight(),
            usable: !exclude.contains(&key) && (all_ejected || !u.is_ejected(now)),
        };
        upstreams.iter().zip(keys).map(view).collect()
    }
}
