//! The queue of one service: its waiting pieces and its upstreams.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::BatchSpec;
use crate::JobKey;
use crate::batch_upstream::BatchUpstream;
use crate::rank::Feasibility;
use crate::rank::Rank;
use crate::scheduled_job::ScheduledJob;
use crate::scheduler_results::INPUT_READ_TIME;
use crate::stage_flow::PieceLimit;
use crate::stage_flow::StorageUse;
use crate::zone_availability::ZoneAvailability;

/// The number of waits that the moving mean covers: about the pieces of a few calls.
const MEAN_WAIT_SAMPLES: u32 = 64;
/// The weight of a new call in the moving mean of `duration_ratio`, which so covers the calls of
/// the last second or two.
const RATIO_WEIGHT: f64 = 0.05;
/// The lower bound of one call's ratio. An outlier says nothing about other calls.
const MIN_RATIO: f64 = 0.5;
/// The upper bound of one call's ratio. A call that hung says nothing about other calls.
const MAX_RATIO: f64 = 2.0;
/// The part of an upstream's result storage, in percent, that is filled. The sizes of results
/// are known only approximately.
const USABLE_STORAGE_PERCENT: u64 = 96;
/// The part of an upstream's result storage, in percent, above which results there are released
/// as early as possible: beyond it, the results of a full call may not fit any more.
const LOW_STORAGE_PERCENT: u64 = 45;
/// A call is held back until results are released if storage limits it to less than a quarter of
/// its pieces: below that, its fixed duration outweighs the earlier start.
const MIN_CALL_DIVISOR: usize = 4;
/// The same while results of another owner occupy storage. Their size is known only approximately,
/// and a call for which there is no storage is processed in vain.
const MIN_CALL_DIVISOR_UNTRACKED: usize = 2;

/// A piece that waits to be sent.
#[derive(Debug)]
pub(crate) struct QueuedPiece {
    pub(crate) queued_at: MonoTime,
    /// When the piece may be sent at the earliest.
    pub(crate) not_before: MonoTime,
    /// When the piece has to start for its job to meet its objective; priority does not count.
    pub(crate) latest_start: MonoTime,
    /// When the piece has to start for its job to end before the deadline.
    pub(crate) latest_useful_start: MonoTime,
    /// True if the objective leaves too little time to wait for a full call.
    pub(crate) cannot_wait: bool,
    /// The zone in which processing the piece moves the fewest bytes between zones.
    pub(crate) preferred_zone: Option<Name>,
    /// When the piece stops waiting for an upstream in its preferred zone.
    pub(crate) any_zone_from: MonoTime,
}

impl QueuedPiece {
    /// True if `zone` is the preferred zone, or the piece has none.
    fn accepts_zone(&self, zone: &Name) -> bool {
        self.preferred_zone.as_ref().is_none_or(|z| z == zone)
    }

    /// True if the piece may be sent to an upstream in `zone` now. It may go to any zone if no
    /// upstream of its preferred zone is available, or will be by `any_zone_from`: waiting for an
    /// upstream that becomes available only later gains nothing.
    pub(crate) fn can_run_in(&self, now: MonoTime, zone: &Name, zones: &ZoneAvailability) -> bool {
        let preferred_at = self
            .preferred_zone
            .as_ref()
            .and_then(|z| zones.next_available(z));
        let worth_waiting = preferred_at.is_some_and(|at| at <= now.max(self.any_zone_from));
        self.not_before <= now && (self.accepts_zone(zone) || !worth_waiting)
    }
}

/// The waiting pieces of one service, in the order in which they are served, and its upstreams.
#[derive(Debug)]
pub(crate) struct StageQueue {
    pub(crate) spec: BatchSpec,
    pub(crate) upstreams: Vec<BatchUpstream>,
    pub(crate) queued: BTreeMap<Rank, QueuedPiece>,
    /// The moving mean of the duration of calls, relative to the configured duration.
    pub(crate) duration_ratio: f64,
    /// The moving mean of the wait of pieces that could be on time.
    pub(crate) mean_wait: Duration,
    /// How much storage results occupy, and for how long.
    pub(crate) storage_use: StorageUse,
}

impl StageQueue {
    pub(crate) fn new(spec: BatchSpec) -> StageQueue {
        StageQueue {
            spec,
            upstreams: Vec::new(),
            queued: BTreeMap::new(),
            duration_ratio: 1.0,
            mean_wait: Duration::ZERO,
            storage_use: StorageUse::default(),
        }
    }

    /// How long it takes to process all queued pieces, after the calls in progress.
    pub(crate) fn backlog(&self, now: MonoTime) -> Duration {
        self.drain_time(now, self.queued.len())
    }

    /// How long it takes to process so many pieces, after the calls in progress.
    pub(crate) fn drain_time(&self, now: MonoTime, pieces: usize) -> Duration {
        let usable = self.upstreams.iter().filter(|u| !u.is_blocked(now));
        let available_in = usable
            .clone()
            .map(|u| u.available_in(now, self.spec.slots))
            .min();
        let call_time = self.call_time(self.spec.pieces);
        let Some(available_in) = available_in else {
            let calls = pieces as f64 / self.spec.pieces.max(1) as f64;
            return call_time.max(self.backoff_left(now)) + call_time.mul_f64(calls);
        };
        let seconds = pieces as f64 / self.pieces_per_s(now);
        available_in.saturating_add(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// The shortest backoff that the upstreams have asked for; zero if one of them accepts calls.
    pub(crate) fn backoff_left(&self, now: MonoTime) -> Duration {
        let left = self.upstreams.iter().map(|u| u.backoff_left(now));
        left.min().unwrap_or_default()
    }

    /// The expected duration of a call, from the configured one and recent calls.
    pub(crate) fn call_time(&self, pieces: usize) -> Duration {
        self.spec.call_time(pieces).mul_f64(self.duration_ratio)
    }

    /// Records the duration of a call to an upstream, and what it is by configuration.
    pub(crate) fn record_call(
        &mut self,
        now: MonoTime,
        upstream: &str,
        took: Duration,
        configured: Duration,
    ) {
        let ratio = took.as_secs_f64() / configured.as_secs_f64().max(f64::MIN_POSITIVE);
        let mean = self.duration_ratio;
        if let Some(upstream) = self.upstream(upstream) {
            upstream.record_pace(now, ratio, mean);
        }
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        self.duration_ratio += (ratio - self.duration_ratio) * RATIO_WEIGHT;
    }

    /// Records how long a piece was queued.
    pub(crate) fn record_wait(&mut self, rank: &Rank, wait: Duration) {
        if rank.feasibility == Feasibility::OnTime {
            self.mean_wait = (self.mean_wait * (MEAN_WAIT_SAMPLES - 1) + wait) / MEAN_WAIT_SAMPLES;
        }
    }

    /// Moves the pieces that can no longer be on time behind the others. Served first, each would
    /// make the next one late as well, and in the end all of them.
    pub(crate) fn demote_late(&mut self, now: MonoTime, jobs: &HashMap<JobKey, ScheduledJob>) {
        let too_late = |(rank, p): &(&Rank, &QueuedPiece)| {
            rank.feasibility == Feasibility::OnTime && p.latest_start < now
        };
        let late: Vec<Rank> = self
            .queued
            .iter()
            .filter(too_late)
            .map(|(r, _)| *r)
            .collect();
        for rank in late {
            let is_first = jobs
                .get(&rank.job)
                .is_none_or(|j| j.is_first_stage(rank.piece));
            if let Some(queued_piece) = self.queued.remove(&rank) {
                let feasibility = Feasibility::of(true, is_first);
                self.queued.insert(
                    Rank {
                        feasibility,
                        ..rank
                    },
                    queued_piece,
                );
            }
        }
    }

    /// True if results at an upstream have to be released early, or the upstream is unknown.
    pub(crate) fn is_storage_low(&self, id: &str) -> bool {
        let upstream = self.upstreams.iter().find(|u| u.id == id);
        let low = self.spec.room_bytes * LOW_STORAGE_PERCENT / 100;
        upstream.is_none_or(|u| u.storage_used() > low)
    }

    /// Bytes of results that one upstream may store.
    pub(crate) fn usable_storage(&self) -> u64 {
        self.spec.room_bytes * USABLE_STORAGE_PERCENT / 100
    }

    pub(crate) fn upstream(&mut self, id: &str) -> Option<&mut BatchUpstream> {
        self.upstreams.iter_mut().find(|u| u.id == id)
    }

    /// Selects the next batch and the upstream for it: if possible one in the preferred zone of
    /// the most urgent piece, and only one with storage for the results. Pieces for which an
    /// upstream in their preferred zone is available are left to it.
    pub(crate) fn next_batch(
        &self,
        now: MonoTime,
        jobs: &HashMap<JobKey, ScheduledJob>,
        congested: &[CompactString],
    ) -> Option<(usize, Vec<Rank>)> {
        let mut queued = self.queued.iter();
        let (_, first) = queued.find(|(_, p)| p.not_before <= now)?;
        let slots = self.spec.slots.max(1);
        let usable = self.upstreams.iter().enumerate();
        let usable = usable.filter(|(_, u)| u.open_calls() < slots && !u.is_blocked(now));
        let usable = usable.filter(|(_, u)| !u.untracked.is_unknown(now));
        let mut usable: Vec<(usize, &BatchUpstream)> = usable.collect();
        let crosses_zones =
            |u: &BatchUpstream| first.preferred_zone.as_ref().is_some_and(|z| u.zone != *z);
        usable.sort_by_cached_key(|(_, u)| {
            (crosses_zones(u), self.is_slow(now, u), u.storage_used())
        });
        let mut zones = self.zone_availability(now);
        for (n, upstream) in usable {
            let ranks = match self.piece_limit(now, upstream) {
                PieceLimit::None => Vec::new(),
                limit => self.batch_for(now, upstream, limit, &zones, jobs, congested),
            };
            if !ranks.is_empty() {
                return Some((n, ranks));
            }
            zones.remove_available(now, &upstream.zone);
        }
        None
    }

    /// When the upstreams that are in use can take another call.
    fn zone_availability(&self, now: MonoTime) -> ZoneAvailability {
        let usable = self.upstreams.iter().filter(|u| !u.is_blocked(now));
        let usable = usable.filter(|u| !u.untracked.is_unknown(now));
        let availability =
            |u: &BatchUpstream| (u.zone.clone(), now + u.available_in(now, self.spec.slots));
        ZoneAvailability::new(usable.map(availability))
    }

    /// The queued pieces that may be sent to an upstream, in the order in which they are taken.
    /// Pieces that prefer its zone, or would be late if they waited for another call, go first, so
    /// that a backlog is sorted by zone without making any piece late.
    fn eligible_pieces(
        &self,
        now: MonoTime,
        upstream: &BatchUpstream,
        limit: PieceLimit,
        zones: &ZoneAvailability,
    ) -> Vec<&Rank> {
        let another_call = now + self.spec.call_time(self.spec.pieces);
        let is_allowed = |rank: &Rank, p: &QueuedPiece| match limit {
            PieceLimit::Any => true,
            PieceLimit::LatestStartFrom(from) => {
                rank.feasibility != Feasibility::OnTime || p.latest_start >= from
            }
            PieceLimit::None => false,
        };
        let can_run = |(r, p): &(&Rank, &QueuedPiece)| {
            is_allowed(r, p) && p.can_run_in(now, &upstream.zone, zones)
        };
        let eligible = self.queued.iter().filter(can_run);
        let first = |(_, p): &(&Rank, &QueuedPiece)| {
            p.accepts_zone(&upstream.zone) || p.latest_start < another_call
        };
        let (first, rest): (Vec<_>, Vec<_>) = eligible.partition(first);
        first
            .into_iter()
            .chain(rest)
            .map(|(rank, _)| rank)
            .collect()
    }

    /// Selects the most urgent pieces that fit into one call and into the storage of the upstream.
    ///
    /// Pieces of the same stage of a job are sent in one call if they fit. In separate calls, the
    /// first results would occupy storage until the last one is done.
    pub(crate) fn batch_for(
        &self,
        now: MonoTime,
        upstream: &BatchUpstream,
        limit: PieceLimit,
        zones: &ZoneAvailability,
        jobs: &HashMap<JobKey, ScheduledJob>,
        congested: &[CompactString],
    ) -> Vec<Rank> {
        let usable = self.usable_storage();
        let mut free = usable.saturating_sub(upstream.storage_used());
        let mut batch: Vec<Rank> = Vec::with_capacity(self.spec.pieces);
        let mut left_out = 0;
        let mut latest_start: Option<MonoTime> = None;
        let eligible = self.eligible_pieces(now, upstream, limit, zones);
        let same_stage = |a: &&Rank, b: &&Rank| a.job == b.job && a.piece.stage == b.piece.stage;
        for group in eligible.chunk_by(same_stage) {
            let slots = self.spec.pieces - batch.len();
            let first = group.first().and_then(|r| jobs.get(&r.job).map(|j| (r, j)));
            let Some((rank, job)) = first else {
                continue;
            };
            if rank.feasibility == Feasibility::Late && job.uses_any(congested) {
                continue;
            }
            let bytes = job.result_bytes(rank.piece).max(1);
            // A result that is larger than the usable storage is tried at an empty upstream:
            // only the upstream knows whether it fits, and waiting cannot make more storage free.
            let alone = batch.is_empty() && upstream.storage_used() == 0;
            let fitting = usize::try_from(free / bytes).unwrap_or(usize::MAX);
            let fitting = fitting.max(usize::from(alone));
            let taken = match group.len() {
                n if n <= slots.min(fitting) => n,
                _ if batch.is_empty() => slots.min(fitting),
                _ => 0,
            };
            if group.len() > fitting {
                left_out += group.len() - taken;
            }
            if taken == 0 {
                continue;
            }
            // The pieces so far end later with each further one.
            let added = u32::try_from(batch.len() + taken).unwrap_or(u32::MAX);
            let added = self.spec.piece_time.mul_f64(self.duration_ratio) * added;
            if !batch.is_empty() && latest_start.is_some_and(|at| at < now + added) {
                break;
            }
            if let Some(p) = self.queued.get(rank)
                && p.cannot_wait
                && p.latest_start >= now
            {
                latest_start = Some(latest_start.map_or(p.latest_start, |l| l.min(p.latest_start)));
            }
            free = free.saturating_sub(bytes * taken as u64);
            batch.extend(group.iter().take(taken).map(|r| **r));
            if batch.len() == self.spec.pieces {
                return batch;
            }
        }
        // If storage for results limits the call to a small part of its pieces, wait until results
        // are released: such a call costs almost as much as a full one, and its results make
        // storage scarcer still. A piece that is late unless it starts now is not held back.
        let divisor = match upstream.untracked.bytes() {
            0 => MIN_CALL_DIVISOR,
            _ => MIN_CALL_DIVISOR_UNTRACKED,
        };
        let is_small = batch.len() * divisor < self.spec.pieces.min(batch.len() + left_out);
        // Results are released at the earliest when a call that starts now has read its inputs.
        let starts_late = now + INPUT_READ_TIME;
        let is_due = |r: &Rank| {
            let queued_piece = self.queued.get(r);
            r.feasibility == Feasibility::OnTime
                && queued_piece.is_some_and(|p| p.latest_start < starts_late)
        };
        match is_small && upstream.storage_used() > 0 && !batch.iter().any(is_due) {
            true => Vec::new(),
            false => batch,
        }
    }
}
