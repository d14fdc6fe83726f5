//! The upstreams of one pool, and the choice of an upstream for a request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamKey;
use jd_types::hash_address;
use jd_types::splitmix64;

use crate::RoutingPolicy;
use crate::Upstream;

/// Ejections are ignored while they would leave fewer than one in this many upstreams.
const MIN_HEALTHY_DIVISOR: usize = 2;
/// Factor applied to the score of upstreams in other availability zones.
const REMOTE_ZONE_PENALTY: f64 = 1.25;
/// Interval at which statistics over the whole pool are updated.
const STATS_INTERVAL: Duration = Duration::from_millis(100);
/// In-flight requests may exceed the number of slots by one in this many.
const OVERCOMMIT_DIVISOR: u32 = 4;
/// Random draws before all upstreams are scanned.
const MAX_DRAWS: usize = 8;
/// Virtual nodes of each upstream on the hash ring.
const VIRTUAL_NODES: u64 = 16;
/// Virtual nodes examined for one prefix while the upstreams before them are busy.
const MAX_RING_PROBES: usize = 48;
/// Upstreams that are compared for a prefix when all upstreams are busy.
const MAX_OWNERS: usize = 4;
/// The mean load is stored in thousandths.
const LOAD_SCALE: f64 = 1_000.0;
/// Maximum load of the upstream of a prefix, relative to the mean load of the pool.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// The request that an upstream is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The availability zone of the instance that makes the choice.
    pub zone: &'a Name,
    /// Hash of the prompt prefix, if the engines of the pool cache prefixes.
    pub affinity: Option<u64>,
    /// Upstreams that were already tried for this stage.
    pub exclude: &'a [UpstreamKey],
}

/// A chosen upstream.
#[derive(Debug, Clone)]
pub struct Pick {
    /// Its key in the table.
    pub key: UpstreamKey,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Number of upstreams in the pool.
    pub pool_size: usize,
    /// True if the upstream was chosen by prefix affinity.
    pub by_affinity: bool,
}

/// The upstreams of one pool.
///
/// When the list of upstreams changes, a new table replaces the old one as a whole. The
/// [`Upstream`] values are shared between tables and keep their state.
///
/// A choice examines only a few upstreams, so that its cost does not grow with the pool.
/// Statistics over all upstreams are updated ten times a second.
#[derive(Debug, Default)]
pub struct PoolTable {
    upstreams: Vec<Arc<Upstream>>,
    local: Vec<UpstreamKey>,
    ring: Vec<VirtualNode>,
    slots: u32,
    next: AtomicUsize,
    stats: PoolStats,
}

/// A position of an upstream on the hash ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct VirtualNode {
    hash: u64,
    key: UpstreamKey,
}

/// Statistics over the whole pool, at most 0.1 s old.
#[derive(Debug, Default)]
struct PoolStats {
    updated_us: AtomicU64,
    mean_load: AtomicU64,
    ignore_ejections: AtomicBool,
}

impl PoolTable {
    /// Creates a table of `upstreams` with `slots` each, for an instance in `zone`.
    pub fn new(upstreams: Vec<Arc<Upstream>>, slots: u32, zone: &Name) -> PoolTable {
        let ring = build_ring(&upstreams);
        PoolTable {
            ring,
            ..PoolTable::without_affinity(upstreams, slots, zone)
        }
    }

    /// Creates a table without prefix affinity.
    ///
    /// The hash ring is not built, which takes most of the time of building a table.
    pub fn without_affinity(upstreams: Vec<Arc<Upstream>>, slots: u32, zone: &Name) -> PoolTable {
        let keyed = (0..).map(UpstreamKey::from_index).zip(&upstreams);
        let local = keyed.filter(|(_, u)| u.zone == *zone);
        let local = local.map(|(key, _)| key).collect();
        PoolTable {
            upstreams,
            local,
            ring: Vec::new(),
            slots,
            next: AtomicUsize::new(0),
            stats: PoolStats::default(),
        }
    }

    /// All upstreams, in the order of their keys.
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.upstreams
    }

    /// Maximum number of in-flight requests of all instances together: the slots of all
    /// upstreams that are not leaving, plus a quarter.
    ///
    /// Routing is not perfect, so that with exactly the number of slots some of them would
    /// always be idle.
    pub fn max_in_flight(&self) -> u32 {
        let active = self.upstreams.iter().filter(|u| !u.is_leaving()).count();
        let slots = self
            .slots
            .saturating_mul(u32::try_from(active).unwrap_or(u32::MAX));
        slots.saturating_add(slots / OVERCOMMIT_DIVISOR)
    }

    /// Chooses an upstream. Returns none if every upstream is leaving, excluded or ejected.
    pub fn pick(
        &self,
        policy: RoutingPolicy,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Pick> {
        self.update_stats(now);
        match policy {
            RoutingPolicy::Random => self.random(now, req, rng, None),
            RoutingPolicy::RoundRobin => self.round_robin(now, req),
            RoutingPolicy::LeastOwn => self.fewest_in_flight(now, req, rng),
            RoutingPolicy::TwoChoices => match self.by_affinity(now, req) {
                Some(key) => return Some(self.pick_of(key, true)),
                None => self.two_choices(now, req, rng),
            },
        }
        .map(|key| self.pick_of(key, false))
    }

    fn pick_of(&self, key: UpstreamKey, by_affinity: bool) -> Pick {
        let upstream = Arc::clone(&self.upstreams[key.index()]);
        Pick {
            key,
            upstream,
            pool_size: self.upstreams.len(),
            by_affinity,
        }
    }

    /// True if the upstream is not leaving, excluded or ejected.
    fn is_allowed(&self, now: MonoTime, req: &PickRequest<'_>, key: UpstreamKey) -> bool {
        let upstream = &self.upstreams[key.index()];
        let ejected = upstream.is_ejected(now) && !self.stats.ignores_ejections();
        !upstream.is_leaving() && !ejected && !req.exclude.contains(&key)
    }

    fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        let count = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
        (0..count).map(UpstreamKey::from_index)
    }

    /// Chooses an allowed upstream at random, from `candidates` or from the whole pool.
    fn random(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
        candidates: Option<&[UpstreamKey]>,
    ) -> Option<UpstreamKey> {
        let count = candidates.map_or(self.upstreams.len(), <[UpstreamKey]>::len);
        if count == 0 {
            return None;
        }
        let key_at = |i: usize| match candidates {
            Some(keys) => keys[i],
            None => UpstreamKey::from_index(u32::try_from(i).unwrap_or(u32::MAX)),
        };
        let draws = (0..MAX_DRAWS).map(|_| key_at(rng.usize(..count)));
        let drawn = draws
            .into_iter()
            .find(|key| self.is_allowed(now, req, *key));
        // If all draws fail, few upstreams are allowed, and a scan finds them.
        let start = rng.usize(..count);
        drawn.or_else(|| {
            let scan = (0..count).map(|i| key_at((start + i) % count));
            scan.into_iter().find(|key| self.is_allowed(now, req, *key))
        })
    }

    fn round_robin(&self, now: MonoTime, req: &PickRequest<'_>) -> Option<UpstreamKey> {
        let count = self.upstreams.len();
        let indexes = (0..count).map(|_| self.next.fetch_add(1, Ordering::Relaxed) % count);
        let keys = indexes.map(|i| UpstreamKey::from_index(u32::try_from(i).unwrap_or(u32::MAX)));
        keys.into_iter().find(|key| self.is_allowed(now, req, *key))
    }

    fn fewest_in_flight(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let allowed = self.keys().filter(|key| self.is_allowed(now, req, *key));
        // Ties are broken at random. Otherwise the first upstream of the list would receive
        // the first requests of every instance.
        allowed.min_by_key(|k| (self.upstreams[k.index()].in_flight(), rng.u32(..)))
    }

    fn two_choices(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let second = self.random(now, req, rng, None)?;
        let first = self
            .random(now, req, rng, Some(&self.local))
            .unwrap_or(second);
        let typical = self.typical_latency();
        let score = |key: UpstreamKey| {
            let upstream = &self.upstreams[key.index()];
            let penalty = if upstream.zone == *req.zone {
                1.0
            } else {
                REMOTE_ZONE_PENALTY
            };
            upstream.score(now, self.slots, typical) * penalty
        };
        match score(first) <= score(second) {
            true => Some(first),
            false => Some(second),
        }
    }

    /// The latency assumed for upstreams that have not answered yet: the mean of a sample
    /// of those that have.
    fn typical_latency(&self) -> Duration {
        const SAMPLE: usize = 8;
        let known = self.upstreams.iter().take(SAMPLE).map(|u| u.latency());
        let known = known.filter(|l| !l.is_zero());
        let (sum, count) = known.fold((Duration::ZERO, 0), |(s, n), l| (s + l, n + 1));
        match count {
            0 => Duration::from_millis(1),
            n => sum / n,
        }
    }

    /// The upstream that owns a prefix, or the next one on the ring whose load is within
    /// the bound.
    ///
    /// Uses consistent hashing with bounded loads. All instances compute the same owner
    /// from the same list, without an index and without communication. When an upstream
    /// leaves, only its own prefixes move. A popular prefix spreads to a second and a third
    /// upstream, which are always the same.
    fn by_affinity(&self, now: MonoTime, req: &PickRequest<'_>) -> Option<UpstreamKey> {
        let prefix = splitmix64(req.affinity?);
        let start = self.ring.partition_point(|node| node.hash < prefix);
        let nodes = self.ring[start..].iter().chain(&self.ring[..start]);
        // The bound is rounded and has no extra allowance, because each instance can send
        // up to the bound. With a bound of the mean plus one, nine instances sent 27
        // requests to an engine with 8 slots.
        let bound = (self.stats.mean_load() * AFFINITY_LOAD_FACTOR)
            .round()
            .max(1.0) as u32;
        let has_capacity = |key: &UpstreamKey| {
            self.upstreams[key.index()].in_flight() < bound && self.is_allowed(now, req, *key)
        };
        let owners = || nodes.clone().take(MAX_RING_PROBES).map(|node| node.key);
        owners()
            .find(has_capacity)
            .or_else(|| self.least_loaded_owner(now, req, owners(), bound))
    }

    /// The least loaded of the first few upstreams for a prefix, if its load does not exceed
    /// the bound. Used when all upstreams are busy, because a random upstream would not have
    /// the prefix in its cache.
    fn least_loaded_owner(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        owners: impl Iterator<Item = UpstreamKey>,
        bound: u32,
    ) -> Option<UpstreamKey> {
        let mut candidates: Vec<UpstreamKey> = Vec::with_capacity(MAX_OWNERS);
        for key in owners.filter(|key| self.is_allowed(now, req, *key)) {
            if !candidates.contains(&key) {
                candidates.push(key);
            }
            if candidates.len() == MAX_OWNERS {
                break;
            }
        }
        let least = candidates
            .into_iter()
            .min_by_key(|k| self.upstreams[k.index()].in_flight())?;
        (self.upstreams[least.index()].in_flight() <= bound).then_some(least)
    }

    fn update_stats(&self, now: MonoTime) {
        if self.stats.is_due(now) {
            let active = || self.upstreams.iter().filter(|u| !u.is_leaving());
            let count = active().count();
            let healthy = active().filter(|u| !u.is_ejected(now)).count();
            let load: u64 = active().map(|u| u64::from(u.in_flight())).sum();
            self.stats.set(count, healthy, load);
        }
    }
}

fn build_ring(upstreams: &[Arc<Upstream>]) -> Vec<VirtualNode> {
    let keyed = (0..).map(UpstreamKey::from_index).zip(upstreams);
    let nodes = |(key, u): (UpstreamKey, &Arc<Upstream>)| {
        let base = hash_address(u.address);
        (0..VIRTUAL_NODES).map(move |n| VirtualNode {
            hash: splitmix64(base ^ splitmix64(n)),
            key,
        })
    };
    let mut ring: Vec<VirtualNode> = keyed.flat_map(nodes).collect();
    ring.sort_unstable();
    ring
}

impl PoolStats {
    /// True for exactly one caller each time an update is due.
    fn is_due(&self, now: MonoTime) -> bool {
        let updated = self.updated_us.load(Ordering::Relaxed);
        let due = updated == 0 || now.since(MonoTime::from_micros(updated)) >= STATS_INTERVAL;
        let new = now.as_micros().max(1);
        due && self
            .updated_us
            .compare_exchange(updated, new, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Stores new statistics. Ejections are ignored if too few upstreams are healthy.
    ///
    /// Without this limit, one misleading signal, such as a network switch, the payload of
    /// a slow customer or an overload of this instance, could eject all but a few
    /// upstreams and overload the remaining ones.
    fn set(&self, count: usize, healthy: usize, load: u64) {
        let mean = load as f64 / count.max(1) as f64;
        self.mean_load
            .store((mean * LOAD_SCALE) as u64, Ordering::Relaxed);
        self.ignore_ejections
            .store(healthy * MIN_HEALTHY_DIVISOR < count, Ordering::Relaxed);
    }

    fn mean_load(&self) -> f64 {
        self.mean_load.load(Ordering::Relaxed) as f64 / LOAD_SCALE
    }

    fn ignores_ejections(&self) -> bool {
        self.ignore_ejections.load(Ordering::Relaxed)
    }
}
