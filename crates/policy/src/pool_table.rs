//! The upstreams of one pool and the choice among them.

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

/// Ejections are ignored when they would leave less than one in this many.
const EJECTION_FLOOR: usize = 2;
/// How much slower an upstream of another hall has to be to be passed over.
const FAR_PENALTY: f64 = 1.25;
/// How often the pool as a whole is looked at.
const CENSUS_EVERY: Duration = Duration::from_millis(100);
/// The part of all slots that may be asked for beyond them: one in this many.
const SURPLUS: u32 = 4;
/// Random draws before all upstreams are looked through.
const DRAWS: usize = 8;
/// Places of one upstream on the ring of prefixes.
const PLACES: u64 = 16;
/// Places on the ring that one prefix may move on from busy upstreams.
const MOVES: usize = 48;
/// Owners of a prefix that are compared when all are busy.
const BUSY_OWNERS: usize = 4;
/// Loads are kept in thousandths.
const THOUSAND: f64 = 1_000.0;
/// How far above the pool's mean load the upstream of a prefix may be.
const AFFINITY_SLACK: f64 = 1.25;

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The hall of the instance that chooses.
    pub zone: &'a Name,
    /// A hash of the prompt's prefix, where the pool's engines cache prefixes.
    pub affinity: Option<u64>,
    /// Upstreams that this stage has tried already.
    pub exclude: &'a [UpstreamKey],
}

/// A chosen upstream.
#[derive(Debug, Clone)]
pub struct Pick {
    /// Its key in the table.
    pub key: UpstreamKey,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// How many upstreams the pool has.
    pub pool_size: usize,
    /// True if the prefix decided.
    pub by_affinity: bool,
}

/// The upstreams of one pool. A new table is made when the list changes and
/// swapped in whole; the entries themselves live on from table to table.
///
/// A choice looks at a few upstreams only, so its cost does not grow with the
/// pool. What needs all of them is counted ten times a second.
#[derive(Debug, Default)]
pub struct PoolTable {
    upstreams: Vec<Arc<Upstream>>,
    near: Vec<UpstreamKey>,
    ring: Vec<Place>,
    slots: u32,
    turn: AtomicUsize,
    census: Census,
}

/// Where an upstream stands on the ring of prefixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    at: u64,
    key: UpstreamKey,
}

/// The pool as a whole, as it was at most a tenth of a second ago.
#[derive(Debug, Default)]
struct Census {
    taken_us: AtomicU64,
    mean_load: AtomicU64,
    ignore_ejections: AtomicBool,
}

impl PoolTable {
    /// A table of `upstreams` with `slots` each, for an instance in `zone`.
    pub fn new(upstreams: Vec<Arc<Upstream>>, slots: u32, zone: &Name) -> PoolTable {
        let ring = ring_of(&upstreams);
        PoolTable {
            ring,
            ..PoolTable::without_affinity(upstreams, slots, zone)
        }
    }

    /// The same for choices by load alone. The ring of prefixes, which is not made, takes
    /// most of the time that a table takes.
    pub fn without_affinity(upstreams: Vec<Arc<Upstream>>, slots: u32, zone: &Name) -> PoolTable {
        let keyed = (0..).map(UpstreamKey::from_index).zip(&upstreams);
        let near = keyed.filter(|(_, u)| u.zone == *zone);
        let near = near.map(|(k, _)| k).collect();
        PoolTable {
            upstreams,
            near,
            ring: Vec::new(),
            slots,
            turn: AtomicUsize::new(0),
            census: Census::default(),
        }
    }

    /// All upstreams, in the order of their keys.
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.upstreams
    }

    /// Requests that all instances together may have at the pool: the slots of
    /// all upstreams that are not leaving, and a quarter more. Choices are not
    /// perfect, and with no more than the slots some would always be idle.
    pub fn max_in_flight(&self) -> u32 {
        let staying = self.upstreams.iter().filter(|u| !u.is_leaving()).count();
        let slots = self
            .slots
            .saturating_mul(u32::try_from(staying).unwrap_or(u32::MAX));
        slots.saturating_add(slots / SURPLUS)
    }

    /// Chooses an upstream; none if every one is leaving, tried or gone.
    pub fn pick(
        &self,
        policy: RoutingPolicy,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Pick> {
        self.take_census(now);
        match policy {
            RoutingPolicy::Random => self.draw(now, req, rng, None),
            RoutingPolicy::RoundRobin => self.next_in_turn(now, req),
            RoutingPolicy::LeastOwn => self.least_own(now, req, rng),
            RoutingPolicy::TwoChoices => match self.by_prefix(now, req) {
                Some(key) => return Some(self.picked(key, true)),
                None => self.two_choices(now, req, rng),
            },
        }
        .map(|key| self.picked(key, false))
    }

    fn picked(&self, key: UpstreamKey, by_affinity: bool) -> Pick {
        let upstream = Arc::clone(&self.upstreams[key.index()]);
        Pick {
            key,
            upstream,
            pool_size: self.upstreams.len(),
            by_affinity,
        }
    }

    /// True if the upstream may be chosen: not leaving, not tried, not ejected.
    fn is_allowed(&self, now: MonoTime, req: &PickRequest<'_>, key: UpstreamKey) -> bool {
        let upstream = &self.upstreams[key.index()];
        let ejected = upstream.is_ejected(now) && !self.census.ignores_ejections();
        !upstream.is_leaving() && !ejected && !req.exclude.contains(&key)
    }

    fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        let count = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
        (0..count).map(UpstreamKey::from_index)
    }

    /// Any allowed upstream at random, out of `among` or of all.
    fn draw(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
        among: Option<&[UpstreamKey]>,
    ) -> Option<UpstreamKey> {
        let count = among.map_or(self.upstreams.len(), <[UpstreamKey]>::len);
        if count == 0 {
            return None;
        }
        let at = |i: usize| match among {
            Some(keys) => keys[i],
            None => UpstreamKey::from_index(u32::try_from(i).unwrap_or(u32::MAX)),
        };
        let tries = (0..DRAWS).map(|_| at(rng.usize(..count)));
        let drawn = tries
            .into_iter()
            .find(|key| self.is_allowed(now, req, *key));
        // So many misses mean that few are left; they are looked for in turn.
        let start = rng.usize(..count);
        drawn.or_else(|| {
            let rest = (0..count).map(|i| at((start + i) % count));
            rest.into_iter().find(|key| self.is_allowed(now, req, *key))
        })
    }

    fn next_in_turn(&self, now: MonoTime, req: &PickRequest<'_>) -> Option<UpstreamKey> {
        let count = self.upstreams.len();
        let turns = (0..count).map(|_| self.turn.fetch_add(1, Ordering::Relaxed) % count);
        let keys = turns.map(|i| UpstreamKey::from_index(u32::try_from(i).unwrap_or(u32::MAX)));
        keys.into_iter().find(|key| self.is_allowed(now, req, *key))
    }

    fn least_own(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let allowed = self.keys().filter(|key| self.is_allowed(now, req, *key));
        // Among equals one at random; the first would get all the first requests.
        allowed.min_by_key(|k| (self.upstreams[k.index()].in_flight(), rng.u32(..)))
    }

    fn two_choices(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamKey> {
        let second = self.draw(now, req, rng, None)?;
        let first = self.draw(now, req, rng, Some(&self.near)).unwrap_or(second);
        let typical = self.typical_latency();
        let score = |key: UpstreamKey| {
            let upstream = &self.upstreams[key.index()];
            let far = if upstream.zone == *req.zone {
                1.0
            } else {
                FAR_PENALTY
            };
            upstream.score(now, self.slots, typical) * far
        };
        match score(first) <= score(second) {
            true => Some(first),
            false => Some(second),
        }
    }

    /// A stand-in latency for upstreams that have not answered yet: that of
    /// a few that have.
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

    /// The upstream that a prefix belongs to, or the next on the ring that is
    /// not busier than others.
    ///
    /// By consistent hashing with bounded loads: every instance computes the
    /// same owner from the same list, without an index and without telling each
    /// other; when an upstream leaves only its own prefixes move; and a popular
    /// prefix spreads to a second and third upstream, always the same ones.
    fn by_prefix(&self, now: MonoTime, req: &PickRequest<'_>) -> Option<UpstreamKey> {
        let prefix = splitmix64(req.affinity?);
        let start = self.ring.partition_point(|place| place.at < prefix);
        let around = self.ring[start..].iter().chain(&self.ring[..start]);
        // Rounded, and not one more: every instance adds its own up to the
        // bound, and a bound of "mean plus one" let nine of them put 27 requests
        // on an engine with 8 slots.
        let bound = (self.census.mean_load() * AFFINITY_SLACK).round().max(1.0) as u32;
        let calm = |key: &UpstreamKey| {
            self.upstreams[key.index()].in_flight() < bound && self.is_allowed(now, req, *key)
        };
        let owners = || around.clone().take(MOVES).map(|place| place.key);
        owners()
            .find(calm)
            .or_else(|| self.least_loaded_owner(now, req, owners(), bound))
    }

    /// When all are busy: of the prefix's first few owners the least busy, if
    /// it has little more than others. A random one would not have the prefix.
    fn least_loaded_owner(
        &self,
        now: MonoTime,
        req: &PickRequest<'_>,
        owners: impl Iterator<Item = UpstreamKey>,
        bound: u32,
    ) -> Option<UpstreamKey> {
        let mut few: Vec<UpstreamKey> = Vec::with_capacity(BUSY_OWNERS);
        for key in owners.filter(|key| self.is_allowed(now, req, *key)) {
            if !few.contains(&key) {
                few.push(key);
            }
            if few.len() == BUSY_OWNERS {
                break;
            }
        }
        let least = few
            .into_iter()
            .min_by_key(|k| self.upstreams[k.index()].in_flight())?;
        (self.upstreams[least.index()].in_flight() <= bound).then_some(least)
    }

    fn take_census(&self, now: MonoTime) {
        if self.census.is_due(now) {
            let staying = || self.upstreams.iter().filter(|u| !u.is_leaving());
            let count = staying().count();
            let fit = staying().filter(|u| !u.is_ejected(now)).count();
            let load: u64 = staying().map(|u| u64::from(u.in_flight())).sum();
            self.census.set(count, fit, load);
        }
    }
}

fn ring_of(upstreams: &[Arc<Upstream>]) -> Vec<Place> {
    let keyed = (0..).map(UpstreamKey::from_index).zip(upstreams);
    let places = |(key, u): (UpstreamKey, &Arc<Upstream>)| {
        let base = hash_address(u.address);
        (0..PLACES).map(move |n| Place {
            at: splitmix64(base ^ splitmix64(n)),
            key,
        })
    };
    let mut ring: Vec<Place> = keyed.flat_map(places).collect();
    ring.sort_unstable();
    ring
}

impl Census {
    /// True for one caller each time it is due.
    fn is_due(&self, now: MonoTime) -> bool {
        let taken = self.taken_us.load(Ordering::Relaxed);
        let due = taken == 0 || now.since(MonoTime::from_micros(taken)) >= CENSUS_EVERY;
        let mark = now.as_micros().max(1);
        due && self
            .taken_us
            .compare_exchange(taken, mark, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Ejections count only down to a floor. Without it, one bad signal (a
    /// switch, a slow customer's payload, our own overload) ejects every
    /// upstream but a few, and those are overloaded by what all had.
    fn set(&self, count: usize, fit: usize, load: u64) {
        let mean = load as f64 / count.max(1) as f64;
        self.mean_load
            .store((mean * THOUSAND) as u64, Ordering::Relaxed);
        self.ignore_ejections
            .store(fit * EJECTION_FLOOR < count, Ordering::Relaxed);
    }

    fn mean_load(&self) -> f64 {
        self.mean_load.load(Ordering::Relaxed) as f64 / THOUSAND
    }

    fn ignores_ejections(&self) -> bool {
        self.ignore_ejections.load(Ordering::Relaxed)
    }
}
