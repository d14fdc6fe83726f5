//! The upstreams of every service, laid out for the path of a request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use compact_str::CompactString;
use jd_net::lock;
use jd_policy::PickRequest;
use jd_policy::PoolTable;
use jd_policy::RoutingPolicy;
use jd_policy::Upstream;
use jd_serving::ColdSpec;
use jd_serving::ColdStart;
use jd_serving::EvacuatedZones;
use jd_serving::ListedUpstream;
use jd_serving::PromptUpstream;
use jd_serving::StageUpstream;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_serving::place_prompt;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamKey;

use crate::latch::Latch;
use crate::run_events::UpstreamRef;
use crate::state::State;

/// An upstream that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct SelectedUpstream {
    /// Its identity.
    pub(crate) id: CompactString,
    /// Which start of it.
    pub(crate) start: UpstreamStart,
    /// What this instance knows of it.
    pub(crate) upstream: Arc<Upstream>,
    /// Set once it is known to have started again since.
    pub(crate) restarted: Arc<Latch>,
    /// Whether it has just started, and what was sent there since.
    pub(crate) cold: Arc<Mutex<ColdStart>>,
}

impl SelectedUpstream {
    /// This start of it, as an upstream of a service.
    pub(crate) fn upstream_ref(&self, service: &CompactString) -> UpstreamRef {
        UpstreamRef {
            service: service.clone(),
            id: self.id.clone(),
            start: self.start,
            address: self.upstream.address,
        }
    }
}

/// Which of the upstreams that name a limit may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitFilter {
    /// All.
    Any,
    /// Those for which a permit may be asked for now.
    PermitDue,
    /// None.
    Unlimited,
}

/// What a choice asks of an upstream before it is sent anything.
pub(crate) struct SelectionFilter<'a> {
    /// What those bear that have just started; none where that is not bounded.
    pub(crate) cold: Option<ColdSpec>,
    /// Which of those may be chosen that name a limit.
    pub(crate) limit_filter: LimitFilter,
    /// Tells this instance's place among all.
    pub(crate) state: &'a State,
}

impl SelectionFilter<'_> {
    /// True if this instance may send to the upstream now.
    fn allows(&self, now: MonoTime, id: &str, known: &Known) -> bool {
        self.wants_requests(now, id, known)
            && self.limit_allows(now, id)
            && self.cold_allows(now, known)
    }

    fn wants_requests(&self, now: MonoTime, id: &str, known: &Known) -> bool {
        let (address, start) = (known.upstream.address, known.start);
        let backoff = self.state.backoffs.backoff(now, address, id, start);
        backoff.is_none()
    }

    fn limit_allows(&self, now: MonoTime, id: &str) -> bool {
        let names_limit = || self.state.limits.limit(id).is_some();
        match self.limit_filter {
            LimitFilter::Any => true,
            LimitFilter::PermitDue => !names_limit() || self.state.permit_retries.may_ask(now, id),
            LimitFilter::Unlimited => !names_limit(),
        }
    }

    fn cold_allows(&self, now: MonoTime, known: &Known) -> bool {
        let Some(spec) = self.cold else {
            return true;
        };
        if !lock(&known.cold).is_cold(now, spec) {
            return true;
        }
        // Asked for while nothing is locked: a new table is made with the list of
        // instances locked, and then locks what is known of each upstream.
        let place = self.state.fleet_place(known.upstream.address);
        lock(&known.cold).may_send(now, spec, place)
    }
}

#[derive(Debug)]
struct ServiceTable {
    ids: Vec<CompactString>,
    slots: u32,
    pool: PoolTable,
    known: Vec<Known>,
}

/// One start of an upstream.
#[derive(Debug, Clone)]
struct Known {
    start: UpstreamStart,
    upstream: Arc<Upstream>,
    restarted: Arc<Latch>,
    /// It stands in a zone that is evacuated: it is there, and gets nothing new.
    evacuated: bool,
    cold: Arc<Mutex<ColdStart>>,
}

impl Known {
    /// An upstream first seen at `since`; [`MonoTime::ZERO`] if it was there before
    /// this instance was.
    fn new(entry: &UpstreamEntry, since: MonoTime) -> Known {
        let mut cold = ColdStart::default();
        if since != MonoTime::ZERO {
            cold.record_possible_start(since);
        }
        Known {
            start: entry.start,
            cold: Arc::new(Mutex::new(cold)),
            upstream: Arc::new(Upstream::new(entry.address, entry.zone.clone(), since)),
            restarted: Arc::default(),
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
    pub(crate) fn rebuilt<'a>(
        &self,
        now: MonoTime,
        entries: impl Iterator<Item = ListedUpstream<'a>>,
        evacuated: &EvacuatedZones,
        zone: &Name,
    ) -> UpstreamTable {
        let first = self.by_id.is_empty();
        let since = if first { MonoTime::ZERO } else { now };
        let mut by_id = HashMap::new();
        let mut grouped: HashMap<CompactString, Vec<&UpstreamEntry>> = HashMap::new();
        for listed in entries.filter(|l| !l.entry.leaving) {
            let entry = listed.entry;
            let before = self.by_id.get(&entry.id);
            let kept = before.and_then(|k| k.kept_for(entry));
            let mut known = kept.unwrap_or_else(|| Known::new(entry, since));
            {
                let mut cold = lock(&known.cold);
                cold.set_cold_until(listed.cold_until);
                if let Some(at) = evacuated.evacuation_ended_at(&entry.zone) {
                    cold.record_possible_start(at);
                }
            }
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
            let known = entries.iter().map(|e| by_id[&e.id].clone());
            let known: Vec<Known> = known.collect();
            let upstreams = known.iter().map(|k| Arc::clone(&k.upstream)).collect();
            let slots = entries.iter().map(|e| e.slots).max().unwrap_or(1);
            let table = ServiceTable {
                ids: entries.iter().map(|e| e.id.clone()).collect(),
                slots,
                pool: PoolTable::without_affinity(upstreams, slots, zone),
                known,
            };
            services.insert(service, table);
        }
        UpstreamTable { services, by_id }
    }

    /// The addresses of upstreams that have started again since an earlier table.
    /// Tells those that wait for an answer of the earlier start.
    pub(crate) fn notify_restarts(&self, earlier: &UpstreamTable) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (id, before) in &earlier.by_id {
            let now = self.by_id.get(id);
            if now.is_some_and(|now| !Arc::ptr_eq(&now.upstream, &before.upstream)) {
                log::info!(upstream:% = id, address:% = before.upstream.address; "upstream started again");
                before.restarted.set();
                addresses.push(before.upstream.address);
            }
        }
        addresses
    }

    /// The zones of a service's upstreams, one for each of them.
    pub(crate) fn zones(&self, service: &str) -> impl Iterator<Item = &Name> {
        let table = self.services.get(service).into_iter();
        table.flat_map(|t| t.pool.upstreams().iter().map(|u| &u.zone))
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
                zone: known.upstream.zone.clone(),
            })
        })
    }

    /// True if the upstream may still get new work at this address.
    pub(crate) fn lists_at(&self, id: &str, address: SocketAddr) -> bool {
        let known = self.by_id.get(id);
        known.is_some_and(|k| k.upstream.address == address && !k.evacuated)
    }

    /// Where an upstream answers that is there and does not leave.
    pub(crate) fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.by_id.get(id).map(|known| known.upstream.address)
    }

    /// The start of an upstream that is there and does not leave.
    pub(crate) fn start_of(&self, id: &str) -> Option<UpstreamStart> {
        self.by_id.get(id).map(|known| known.start)
    }

    /// The upstream that answers at an address; none if no entry names one.
    pub(crate) fn by_address(&self, address: SocketAddr) -> Option<UpstreamRef> {
        self.services.iter().find_map(|(service, table)| {
            let upstreams = table.pool.upstreams().iter();
            let found = upstreams.zip(&table.ids).zip(&table.known);
            let mut found = found.filter(|((u, _), _)| u.address == address);
            let ((_, id), known) = found.next()?;
            Some(UpstreamRef {
                service: service.clone(),
                id: id.clone(),
                start: known.start,
                address,
            })
        })
    }

    /// True if an upstream of the service answers at this address.
    pub(crate) fn serves_at(&self, service: &str, address: SocketAddr) -> bool {
        let table = self.services.get(service);
        table.is_some_and(|t| t.pool.upstreams().iter().any(|u| u.address == address))
    }

    /// Chooses an upstream by load, near ones first.
    pub(crate) fn pick_by_load(
        &self,
        service: &str,
        now: MonoTime,
        zone: &Name,
        tried: &[CompactString],
        check: &SelectionFilter<'_>,
    ) -> Option<SelectedUpstream> {
        let table = self.services.get(service)?;
        let mut exclude = table.keys_of(tried);
        exclude.extend(table.keys(|id, known| !check.allows(now, id, known)));
        let req = PickRequest {
            zone,
            affinity: None,
            exclude: &exclude,
        };
        let mut rng = fastrand::Rng::new();
        let policy = RoutingPolicy::TwoChoices;
        let pick = table.pool.pick(policy, now, &req, &mut rng)?;
        Some(table.chosen(pick.key))
    }

    /// Chooses the upstream that keeps the session's prompt.
    pub(crate) fn pick_for_session(
        &self,
        service: &str,
        now: MonoTime,
        session: u64,
        instances: u32,
        tried: &[CompactString],
        check: &SelectionFilter<'_>,
    ) -> Option<SelectedUpstream> {
        let table = self.services.get(service)?;
        let views = table.views(now, &table.keys_of(tried));
        let order = place_prompt(session, &views, table.slots, instances);
        let bearing = |n: &usize| check.allows(now, &table.ids[*n], &table.known[*n]);
        let first = order.into_iter().find(bearing)?;
        let key = UpstreamKey::from_index(u32::try_from(first).ok()?);
        Some(table.chosen(key))
    }
}

impl ServiceTable {
    fn chosen(&self, key: UpstreamKey) -> SelectedUpstream {
        let known = self.known[key.index()].clone();
        SelectedUpstream {
            id: self.ids[key.index()].clone(),
            start: known.start,
            upstream: known.upstream,
            restarted: known.restarted,
            cold: known.cold,
        }
    }

    /// The places of those that are like this.
    fn keys(&self, is_one: impl Fn(&str, &Known) -> bool) -> Vec<UpstreamKey> {
        let keys = (0..).map(UpstreamKey::from_index);
        let all = self.ids.iter().zip(&self.known).zip(keys);
        all.filter(|((id, known), _)| is_one(id, known))
            .map(|(_, k)| k)
            .collect()
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
