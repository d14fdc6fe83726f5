//! The pieces that wait for one service, and its upstreams.

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
use crate::zone_availability::ZoneAvailability;

/// A new wait counts one in this many: about the pieces of a few calls.
const WAIT_WEIGHT: u32 = 64;
/// The weight of a new call in the pace: calls of a second or two count.
const PACE_WEIGHT: f64 = 0.05;
/// The least and the most that one call counts for. One that hung says nothing of
/// the others.
const PACE_LEAST: f64 = 0.5;
const PACE_MOST: f64 = 2.0;
/// The part of an upstream's room, in hundredths, that results are planned to
/// take. Their sizes are known only about.
const USED_ROOM_PERCENT: u64 = 96;
/// Above this part of an upstream's room, in hundredths, results there are given
/// up as early as possible: from there a full call may not fit beside them.
const SCARCE_ROOM_PERCENT: u64 = 45;

/// A piece that waits.
#[derive(Debug)]
pub(crate) struct QueuedPiece {
    pub(crate) since: MonoTime,
    pub(crate) not_before: MonoTime,
    /// When it has to start for its job to be in time, whatever its priority.
    pub(crate) start_by: MonoTime,
    /// When its job cannot end before its deadline any more.
    pub(crate) worthless_from: MonoTime,
    pub(crate) zone: Option<Name>,
    pub(crate) anywhere_from: MonoTime,
}

impl QueuedPiece {
    /// True if the piece loses nothing in `zone`.
    fn is_near(&self, zone: &Name) -> bool {
        self.zone.as_ref().is_none_or(|z| z == zone)
    }

    /// True if an upstream in `zone` may work on the piece now: one of its own zone,
    /// or any if none of its own is free, or will be in the time that it waits for
    /// that. To wait longer for one that comes too late gains nothing.
    pub(crate) fn suits(&self, now: MonoTime, zone: &Name, turns: &ZoneAvailability) -> bool {
        let near = self.zone.as_ref().and_then(|z| turns.next(z));
        let worth_waiting = near.is_some_and(|at| at <= now.max(self.anywhere_from));
        self.not_before <= now && (self.is_near(zone) || !worth_waiting)
    }
}

/// The pieces that wait for one service, and its upstreams.
#[derive(Debug)]
pub(crate) struct StageQueue {
    pub(crate) spec: BatchSpec,
    pub(crate) upstreams: Vec<BatchUpstream>,
    pub(crate) waiting: BTreeMap<Rank, QueuedPiece>,
    /// What calls took lately, as a part of what the operator's figures say.
    pub(crate) pace: f64,
    /// How long pieces that could be in time have waited lately.
    pub(crate) usual_wait: Duration,
}

impl StageQueue {
    pub(crate) fn new(spec: BatchSpec) -> StageQueue {
        StageQueue {
            spec,
            upstreams: Vec::new(),
            waiting: BTreeMap::new(),
            pace: 1.0,
            usual_wait: Duration::ZERO,
        }
    }

    /// How long what waits now takes to be served, after what is being worked on.
    pub(crate) fn backlog(&self, now: MonoTime) -> Duration {
        self.time_for(now, self.waiting.len())
    }

    /// How long so many pieces take, after what is being worked on.
    pub(crate) fn time_for(&self, now: MonoTime, pieces: usize) -> Duration {
        let able = self.upstreams.iter().filter(|u| !u.is_blocked(now));
        let free = able.clone().map(|u| u.free_in(now, self.spec.slots)).min();
        let calls = pieces as f64 / self.spec.pieces.max(1) as f64;
        let turns = calls / able.count().max(1) as f64;
        let turn = self.call_time(self.spec.pieces);
        let free = free.unwrap_or_else(|| turn.max(self.withheld_for(now)));
        free + turn.mul_f64(turns)
    }

    /// How long until the first upstream takes calls again by its own word; zero if one
    /// does.
    pub(crate) fn withheld_for(&self, now: MonoTime) -> Duration {
        let left = self.upstreams.iter().map(|u| u.withheld_for(now));
        left.min().unwrap_or_default()
    }

    /// How long a call of so many pieces takes, by the calls of lately.
    pub(crate) fn call_time(&self, pieces: usize) -> Duration {
        self.spec.call_time(pieces).mul_f64(self.pace)
    }

    /// A call took so long instead of what the operator's figures say.
    pub(crate) fn note_call(&mut self, took: Duration, planned: Duration) {
        let ratio = took.as_secs_f64() / planned.as_secs_f64().max(f64::MIN_POSITIVE);
        let ratio = ratio.clamp(PACE_LEAST, PACE_MOST);
        self.pace += (ratio - self.pace) * PACE_WEIGHT;
    }

    pub(crate) fn note_wait(&mut self, rank: &Rank, wait: Duration) {
        if rank.chance == Feasibility::InTime {
            self.usual_wait = (self.usual_wait * (WAIT_WEIGHT - 1) + wait) / WAIT_WEIGHT;
        }
    }

    /// Puts behind the others what can no longer be in time. Served first, it
    /// would make the next one late as well, and so all of them.
    pub(crate) fn mark_late(&mut self, now: MonoTime, jobs: &HashMap<JobKey, ScheduledJob>) {
        let over = |(rank, w): &(&Rank, &QueuedPiece)| {
            rank.chance == Feasibility::InTime && w.start_by < now
        };
        let late: Vec<Rank> = self.waiting.iter().filter(over).map(|(r, _)| *r).collect();
        for rank in late {
            let first = jobs.get(&rank.job).is_none_or(|j| j.is_first(rank.piece));
            if let Some(waiting) = self.waiting.remove(&rank) {
                let chance = Feasibility::of(true, first);
                self.waiting.insert(Rank { chance, ..rank }, waiting);
            }
        }
    }

    pub(crate) fn is_scarce(&self, id: &str) -> bool {
        let upstream = self.upstreams.iter().find(|u| u.id == id);
        let scarce = self.spec.room_bytes * SCARCE_ROOM_PERCENT / 100;
        upstream.is_none_or(|u| u.room_used() > scarce)
    }

    pub(crate) fn upstream(&mut self, id: &str) -> Option<&mut BatchUpstream> {
        self.upstreams.iter_mut().find(|u| u.id == id)
    }

    /// The next batch and the upstream that is to work on it: one in the zone
    /// where the most urgent result is wanted if it can, and never one without
    /// room for the results. Pieces that another free upstream in their own zone
    /// can work on are left to that.
    pub(crate) fn next_batch(
        &self,
        now: MonoTime,
        jobs: &HashMap<JobKey, ScheduledJob>,
        clogged: &[CompactString],
    ) -> Option<(usize, Vec<Rank>)> {
        let mut waiting = self.waiting.iter();
        let (_, first) = waiting.find(|(_, w)| w.not_before <= now)?;
        let slots = self.spec.slots.max(1);
        let able = self.upstreams.iter().enumerate();
        let able = able.filter(|(_, u)| u.open_calls() < slots && !u.is_blocked(now));
        let able = able.filter(|(_, u)| !u.others.is_unknown(now));
        let mut able: Vec<(usize, &BatchUpstream)> = able.collect();
        let far = |u: &BatchUpstream| first.zone.as_ref().is_some_and(|z| u.zone != *z);
        able.sort_by_key(|(_, u)| (far(u), u.room_used()));
        let mut turns = self.turns(now);
        for (n, upstream) in able {
            let ranks = self.batch_for(now, upstream, &turns, jobs, clogged);
            if !ranks.is_empty() {
                return Some((n, ranks));
            }
            turns.no_room(now, &upstream.zone);
        }
        None
    }

    /// When the upstreams that are well can take another call.
    fn turns(&self, now: MonoTime) -> ZoneAvailability {
        let well = self.upstreams.iter().filter(|u| !u.is_blocked(now));
        let well = well.filter(|u| !u.others.is_unknown(now));
        let turn = |u: &BatchUpstream| (u.zone.clone(), now + u.free_in(now, self.spec.slots));
        ZoneAvailability::new(well.map(turn))
    }

    /// Those of the waiting pieces that an upstream may work on, in the order in
    /// which they are taken: what is near or cannot wait for another call goes
    /// before what is far, so that a backlog sorts itself by zone while nothing
    /// that could be in time becomes late for it.
    fn ready_for(
        &self,
        now: MonoTime,
        upstream: &BatchUpstream,
        turns: &ZoneAvailability,
    ) -> Vec<&Rank> {
        let another_call = now + self.spec.call_time(self.spec.pieces);
        let suits = |(_, w): &(&Rank, &QueuedPiece)| w.suits(now, &upstream.zone, turns);
        let ready = self.waiting.iter().filter(suits);
        let first =
            |(_, w): &(&Rank, &QueuedPiece)| w.is_near(&upstream.zone) || w.start_by < another_call;
        let (first, far): (Vec<_>, Vec<_>) = ready.partition(first);
        first.into_iter().chain(far).map(|(rank, _)| rank).collect()
    }

    /// The most urgent pieces that fit into one call and into the room there.
    ///
    /// Pieces of one stage of a job go together where they fit: apart, the
    /// first of them would lie there and take room until the last is made.
    pub(crate) fn batch_for(
        &self,
        now: MonoTime,
        upstream: &BatchUpstream,
        turns: &ZoneAvailability,
        jobs: &HashMap<JobKey, ScheduledJob>,
        clogged: &[CompactString],
    ) -> Vec<Rank> {
        let usable = self.spec.room_bytes * USED_ROOM_PERCENT / 100;
        let mut room = usable.saturating_sub(upstream.room_used());
        let mut batch: Vec<Rank> = Vec::with_capacity(self.spec.pieces);
        let mut left_out = 0;
        let ready = self.ready_for(now, upstream, turns);
        let same_stage = |a: &&Rank, b: &&Rank| a.job == b.job && a.piece.stage == b.piece.stage;
        for group in ready.chunk_by(same_stage) {
            let slots = self.spec.pieces - batch.len();
            let first = group.first().and_then(|r| jobs.get(&r.job).map(|j| (r, j)));
            let Some((rank, job)) = first else {
                continue;
            };
            if rank.chance == Feasibility::Late && job.leads_to(clogged) {
                continue;
            }
            let bytes = job.result_bytes(rank.piece).max(1);
            // One result that is larger than the room planned for goes to an empty
            // upstream: it alone knows whether it fits, and nothing else will help.
            let alone = batch.is_empty() && upstream.room_used() == 0;
            let fitting = usize::try_from(room / bytes).unwrap_or(usize::MAX);
            let fitting = fitting.max(usize::from(alone));
            let taken = match group.len() {
                n if n <= slots.min(fitting) => n,
                _ if batch.is_empty() => slots.min(fitting),
                _ => 0,
            };
            if group.len() > fitting {
                left_out += group.len() - taken;
            }
            room = room.saturating_sub(bytes * taken as u64);
            batch.extend(group.iter().take(taken).map(|r| **r));
            if batch.len() == self.spec.pieces {
                return batch;
            }
        }
        // A call that holds little for want of room makes the room scarcer: it
        // costs almost as much as a full one. Results are given up soon.
        let scant = batch.len() * 2 < self.spec.pieces.min(batch.len() + left_out);
        match scant && upstream.room_used() > 0 {
            true => Vec::new(),
            false => batch,
        }
    }
}
