//! The parts of the upstreams of stages that one instance each fills calls for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Name;

/// Upstreams of one service that one owner fills calls for. An owner spent 0.005
/// of a core on each at 85 requests with stages a second, so that this many fit
/// beside the requests of an instance with a tenth of a core.
const UPSTREAMS_PER_OWNER: usize = 12;
/// The least upstreams of the largest service that an availability zone needs to
/// be a shard of its own. With fewer, calls fill worse than reading results in
/// the same zone saves.
const UPSTREAMS_PER_ZONE: usize = 4;
/// What a megabyte of results that another zone reads is worth in waiting. The largest
/// results of a request, 0.8 MB, then cross zones only if it is done 320 ms sooner, a
/// whole call: for less its caller gains nothing that the next call here would not give.
const WAIT_PER_FAR_MEGABYTE: Duration = Duration::from_millis(400);
/// How much sooner another shard has to be done for a request to go there. Less
/// is within what the owners' news is late by.
const WORTH_MOVING: Duration = Duration::from_millis(150);

/// One part of the upstreams of stages.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard {
    /// The availability zone whose upstreams it has; none for all zones.
    pub zone: Option<Name>,
    /// Which part of that zone's upstreams.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
}

impl Shard {
    /// Those of a service's upstreams that it has; `zone` tells where one stands.
    pub fn select_upstreams<T>(
        &self,
        upstreams: impl Iterator<Item = T>,
        zone: impl Fn(&T) -> &Name,
    ) -> impl Iterator<Item = T> {
        let near = move |u: &T| self.zone.as_ref().is_none_or(|z| z == zone(u));
        let skipped = self.part as usize;
        let every = self.parts.max(1) as usize;
        upstreams.filter(near).skip(skipped).step_by(every)
    }
}

/// How the upstreams of stages are divided among owners.
///
/// The load that it answers: results of a stage are read by the next and at the
/// end by the upstream that generates. Where zones have enough upstreams, all of
/// a request's stages stay in one, so that none of these bytes crosses zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardMap {
    shards: BTreeMap<Shard, BTreeSet<CompactString>>,
}

impl ShardMap {
    /// Divides upstreams, each given by its service and zone.
    pub fn new<'a>(upstreams: impl Iterator<Item = (&'a str, &'a Name)>) -> ShardMap {
        let mut counts: BTreeMap<(&Name, &str), usize> = BTreeMap::new();
        for (service, zone) in upstreams {
            *counts.entry((zone, service)).or_default() += 1;
        }
        let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
        let mut largest: BTreeMap<&Name, usize> = BTreeMap::new();
        for ((zone, service), count) in &counts {
            *totals.entry(service).or_default() += count;
            let most = largest.entry(zone).or_default();
            *most = (*most).max(*count);
        }
        let total = totals.values().copied().max().unwrap_or(0);
        let by_zone = total > UPSTREAMS_PER_OWNER
            && total >= UPSTREAMS_PER_ZONE.saturating_mul(largest.len());
        let mut shards = BTreeMap::new();
        if by_zone {
            for (zone, most) in largest {
                let served = counts.keys().filter(|(z, _)| *z == zone);
                let services: BTreeSet<CompactString> = served
                    .map(|(_, service)| CompactString::from(*service))
                    .collect();
                add_parts(&mut shards, Some(zone), most, &services);
            }
        } else {
            let services = totals.keys().map(|s| CompactString::from(*s)).collect();
            add_parts(&mut shards, None, total, &services);
        }
        ShardMap { shards }
    }

    /// How many shards there are.
    pub fn count(&self) -> usize {
        self.shards.len()
    }

    /// True if the upstreams are divided into this shard among others.
    pub fn contains(&self, shard: &Shard) -> bool {
        self.shards.contains_key(shard)
    }

    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = &Shard> {
        self.shards.keys()
    }

    /// The shard for a request that hashes to `place`, needs `services`, and
    /// whose results, so many bytes, are read in `zone`. `backlog` tells how long
    /// pieces wait at a shard, as far as that was heard. None if no shard has all the
    /// services.
    ///
    /// The load that it answers: one session becomes popular, and with it the
    /// zone of the upstream that keeps its prompt. Requests move to where they
    /// are served sooner, but only the part that evens the two out: all instances
    /// hear the same old news, and moved at once they would fill the other zone.
    pub fn choose(
        &self,
        place: u64,
        services: &[&str],
        zone: Option<&Name>,
        bytes: u64,
        backlog: impl Fn(&Shard) -> Option<Duration>,
    ) -> Option<Shard> {
        let able = |has: &BTreeSet<CompactString>| services.iter().all(|s| has.contains(*s));
        let able = self.shards.iter().filter(|(_, has)| able(has));
        let able: Vec<&Shard> = able.map(|(shard, _)| shard).collect();
        let near = able.iter().filter(|s| s.zone.as_ref() == zone);
        let near: Vec<&Shard> = near.copied().collect();
        let wanted = match near.is_empty() {
            true => pick(&able, place)?,
            false => pick(&near, place)?,
        };
        let wait = backlog(wanted).unwrap_or_default();
        let far = WAIT_PER_FAR_MEGABYTE.mul_f64(bytes as f64 / 1e6) + WORTH_MOVING;
        if wait <= far {
            return Some(wanted.clone());
        }
        // One that nothing was heard of may be as busy.
        let heard = able.iter().filter_map(|s| Some((backlog(s)?, *s)));
        let other = heard.min_by_key(|(wait, s)| (*wait, spread_to(s, place)));
        let Some((least, other)) = other else {
            return Some(wanted.clone());
        };
        let gain = wait.saturating_sub(least);
        let part = gain.as_secs_f64() / (2.0 * wait.as_secs_f64()).max(f64::MIN_POSITIVE);
        let moves = gain > far && unit(place) < part;
        Some(if moves { other.clone() } else { wanted.clone() })
    }
}

fn add_parts(
    shards: &mut BTreeMap<Shard, BTreeSet<CompactString>>,
    zone: Option<&Name>,
    most: usize,
    services: &BTreeSet<CompactString>,
) {
    let parts = most.div_ceil(UPSTREAMS_PER_OWNER).max(1);
    let parts = u32::try_from(parts).unwrap_or(u32::MAX);
    for part in 0..parts {
        let zone = zone.cloned();
        shards.insert(Shard { zone, part, parts }, services.clone());
    }
}

fn pick<'a>(shards: &[&'a Shard], place: u64) -> Option<&'a Shard> {
    let count = u64::try_from(shards.len()).ok()?;
    let n = place.checked_rem(count)?;
    shards.get(usize::try_from(n).ok()?).copied()
}

/// Breaks ties between shards without favouring one.
fn spread_to(shard: &Shard, place: u64) -> u64 {
    jd_types::splitmix64(place ^ shard.hash())
}

/// A number from 0 to 1.
fn unit(place: u64) -> f64 {
    (jd_types::splitmix64(place) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Shard {
    /// A number that all instances compute alike.
    pub(crate) fn hash(&self) -> u64 {
        let zone = self.zone.as_ref().map_or("", Name::as_str);
        let text = zone
            .bytes()
            .fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        jd_types::splitmix64(text) ^ (u64::from(self.parts) << 32 | u64::from(self.part))
    }
}
