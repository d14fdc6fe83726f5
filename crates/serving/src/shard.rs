//! Shards: the parts into which the upstreams of stages are divided, each with one owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Name;

/// The number of upstreams of one service that one owner can serve. An owner spent 0.005 of a core
/// on each at 85 requests with stages a second, so that this many fit beside the requests of an
/// instance with a tenth of a core.
const UPSTREAMS_PER_OWNER: usize = 12;
/// The number of upstreams of the largest service that an availability zone needs, on average, for
/// shards by zone. With fewer, emptier calls cost more than reading results in the same zone saves.
const MIN_UPSTREAMS_PER_ZONE_SHARD: usize = 4;
/// How much longer a request waits to avoid that a megabyte of results crosses zones. The largest
/// results of a request, 0.8 MB, cross zones only if the request ends 320 ms sooner, the duration
/// of a call: with a smaller gain, the next call in the same zone is as good.
const WAIT_PER_CROSS_ZONE_MEGABYTE: Duration = Duration::from_millis(400);
/// How much sooner a request has to end in another shard to be moved there. A smaller gain is
/// within the staleness of the owners' reports.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(150);

/// A part of the upstreams of stages.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard {
    /// The availability zone of its upstreams; `None` for all zones.
    pub zone: Option<Name>,
    /// The number of this part, among the parts of that zone's upstreams.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
}

impl Shard {
    /// Selects the upstreams of this shard from those of a service. `zone` returns the zone of an
    /// upstream.
    pub fn select_upstreams<T>(
        &self,
        upstreams: impl Iterator<Item = T>,
        zone: impl Fn(&T) -> &Name,
    ) -> impl Iterator<Item = T> {
        let in_zone = move |u: &T| self.zone.as_ref().is_none_or(|z| z == zone(u));
        let offset = self.part as usize;
        let step = self.parts.max(1) as usize;
        upstreams.filter(in_zone).skip(offset).step_by(step)
    }

    /// The part of the same zone at which the prompts of a session are placed, so that one owner
    /// knows all of them.
    pub fn for_session(&self, session: u64) -> Shard {
        let parts = u64::from(self.parts.max(1));
        let part = jd_types::splitmix64(session) % parts;
        Shard {
            part: u32::try_from(part).unwrap_or(0),
            ..self.clone()
        }
    }
}

/// How the upstreams of stages are divided into shards.
///
/// The results of a stage are read by the next stage, and in the end by the upstream that
/// generates. Where zones have enough upstreams, all stages of a request run in one zone, so that
/// none of these bytes cross zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardMap {
    shards: BTreeMap<Shard, BTreeSet<CompactString>>,
}

impl ShardMap {
    /// Divides upstreams into shards. Each upstream is given by its service and zone.
    pub fn new<'a>(upstreams: impl Iterator<Item = (&'a str, &'a Name)>) -> ShardMap {
        let mut counts: BTreeMap<(&Name, &str), usize> = BTreeMap::new();
        for (service, zone) in upstreams {
            *counts.entry((zone, service)).or_default() += 1;
        }
        let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
        let mut largest_by_zone: BTreeMap<&Name, usize> = BTreeMap::new();
        for ((zone, service), count) in &counts {
            *totals.entry(service).or_default() += count;
            let largest = largest_by_zone.entry(zone).or_default();
            *largest = (*largest).max(*count);
        }
        let total = totals.values().copied().max().unwrap_or(0);
        let by_zone = total > UPSTREAMS_PER_OWNER
            && total >= MIN_UPSTREAMS_PER_ZONE_SHARD.saturating_mul(largest_by_zone.len());
        let mut shards = BTreeMap::new();
        if by_zone {
            for (zone, largest) in largest_by_zone {
                let served = counts.keys().filter(|(z, _)| *z == zone);
                let services: BTreeSet<CompactString> = served
                    .map(|(_, service)| CompactString::from(*service))
                    .collect();
                add_parts(&mut shards, Some(zone), largest, &services);
            }
        } else {
            let services = totals.keys().map(|s| CompactString::from(*s)).collect();
            add_parts(&mut shards, None, total, &services);
        }
        ShardMap { shards }
    }

    /// The number of shards.
    pub fn count(&self) -> usize {
        self.shards.len()
    }

    /// True if this is one of the shards.
    pub fn contains(&self, shard: &Shard) -> bool {
        self.shards.contains_key(shard)
    }

    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = &Shard> {
        self.shards.keys()
    }

    /// Chooses the shard for a request that needs `services`, and whose results of `result_bytes`
    /// are read in `zone`. `backlog` returns how long pieces wait at a shard, if that is known.
    /// Returns `None` if no shard has all of the services.
    ///
    /// If one session becomes popular, the shard in the zone of the upstream that keeps its prompt
    /// gets a longer backlog. Requests move to a shard where they end sooner, but only the share
    /// that balances the two: all instances act on the same stale reports, and if all requests
    /// moved at once, they would overload the other shard.
    pub fn choose(
        &self,
        request_hash: u64,
        services: &[&str],
        zone: Option<&Name>,
        result_bytes: u64,
        backlog: impl Fn(&Shard) -> Option<Duration>,
    ) -> Option<Shard> {
        let candidates = |has: &BTreeSet<CompactString>| services.iter().all(|s| has.contains(*s));
        let candidates = self.shards.iter().filter(|(_, has)| candidates(has));
        let candidates: Vec<&Shard> = candidates.map(|(shard, _)| shard).collect();
        let in_zone = candidates.iter().filter(|s| s.zone.as_ref() == zone);
        let in_zone: Vec<&Shard> = in_zone.copied().collect();
        let preferred = match in_zone.is_empty() {
            true => pick(&candidates, request_hash)?,
            false => pick(&in_zone, request_hash)?,
        };
        let wait = backlog(preferred).unwrap_or_default();
        let min_gain =
            WAIT_PER_CROSS_ZONE_MEGABYTE.mul_f64(result_bytes as f64 / 1e6) + MIN_MOVE_GAIN;
        if wait <= min_gain {
            return Some(preferred.clone());
        }
        // A shard whose backlog is unknown may be as busy.
        let known = candidates.iter().filter_map(|s| Some((backlog(s)?, *s)));
        let best = known.min_by_key(|(wait, s)| (*wait, spread_to(s, request_hash)));
        let Some((best_wait, best)) = best else {
            return Some(preferred.clone());
        };
        let gain = wait.saturating_sub(best_wait);
        let share = gain.as_secs_f64() / (2.0 * wait.as_secs_f64()).max(f64::MIN_POSITIVE);
        let moves = gain > min_gain && unit_fraction(request_hash) < share;
        Some(if moves {
            best.clone()
        } else {
            preferred.clone()
        })
    }
}

fn add_parts(
    shards: &mut BTreeMap<Shard, BTreeSet<CompactString>>,
    zone: Option<&Name>,
    count: usize,
    services: &BTreeSet<CompactString>,
) {
    let parts = count.div_ceil(UPSTREAMS_PER_OWNER).max(1);
    let parts = u32::try_from(parts).unwrap_or(u32::MAX);
    for part in 0..parts {
        let zone = zone.cloned();
        shards.insert(Shard { zone, part, parts }, services.clone());
    }
}

fn pick<'a>(shards: &[&'a Shard], hash: u64) -> Option<&'a Shard> {
    let count = u64::try_from(shards.len()).ok()?;
    let index = hash.checked_rem(count)?;
    shards.get(usize::try_from(index).ok()?).copied()
}

/// Breaks ties between shards, spread evenly over requests.
fn spread_to(shard: &Shard, request_hash: u64) -> u64 {
    jd_types::splitmix64(request_hash ^ shard.hash())
}

/// Maps a hash to a number from 0 to 1.
fn unit_fraction(hash: u64) -> f64 {
    (jd_types::splitmix64(hash) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Shard {
    /// A hash that is the same on all instances.
    pub(crate) fn hash(&self) -> u64 {
        let zone = self.zone.as_ref().map_or("", Name::as_str);
        let text = zone
            .bytes()
            .fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        jd_types::splitmix64(text) ^ (u64::from(self.parts) << 32 | u64::from(self.part))
    }
}
