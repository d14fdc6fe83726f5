//! What calls bring, and what becomes of results.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_types::MonoTime;

use crate::CallKey;
use crate::CallResult;
use crate::JobFailure;
use crate::JobKey;
use crate::PieceKey;
use crate::PieceResult;
use crate::StageScheduler;
use crate::open_call::OpenCall;
use crate::open_call::PendingRelease;
use crate::rank::Rank;

/// How often one piece is tried. A third failure is rarely the upstream's.
const PIECE_TRIES: u32 = 3;
/// How often the stages of one job start over because results were gone.
const MAX_STARTS_OVER: u32 = 2;
/// How long after a call began its inputs have been read. Upstreams read them
/// first of all; a whole call's inputs take a few milliseconds on their links.
pub(crate) const INPUTS_READ: Duration = Duration::from_millis(35);
/// How long it is assumed that upstreams also work for another owner, after a
/// sign of it. A call then waits behind another's, and its inputs are read when
/// its turn comes and not at once.
pub(crate) const SHARED_FOR: Duration = Duration::from_millis(1_500);
/// How long a piece waits after an upstream had no room for its result.
const ROOM_PAUSE: Duration = Duration::from_millis(60);

impl StageScheduler {
    /// Counts the results of a call against the room of their upstream. One
    /// that did not answer may have made all of them.
    pub(crate) fn count_room(
        &mut self,
        until: MonoTime,
        key: CallKey,
        call: &OpenCall,
        result: &CallResult,
    ) {
        let place = (&call.service, &call.upstream);
        let mut made: Vec<(CompactString, u64)> = Vec::new();
        match result {
            CallResult::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    if let PieceResult::Done(handle) = result {
                        let bytes = self.jobs.get(job).map_or(0, |j| j.result_bytes(*piece));
                        made.push((handle.clone(), bytes));
                    }
                }
            }
            CallResult::Broken | CallResult::Failed => {
                let unknown = format_compact!("call {}", key.0);
                made.push((unknown, call.bytes));
            }
            CallResult::Full | CallResult::Withheld(_) | CallResult::Gone => {}
        }
        let refused = match result {
            CallResult::Answered(results) => results.contains(&PieceResult::StorageFull),
            _ => false,
        };
        let queue = self.queues.get_mut(place.0);
        if let Some(upstream) = queue.and_then(|q| q.upstream(place.1)).filter(|_| refused) {
            upstream.others.doubt();
        }
        for (handle, bytes) in made {
            let queue = self.queues.get_mut(place.0);
            if let Some(upstream) = queue.and_then(|q| q.upstream(place.1)) {
                upstream.take_room(bytes);
                self.room.put(handle, place, bytes, until);
            }
        }
    }

    pub(crate) fn discard(&mut self, handle: CompactString) {
        if let Some((service, upstream, bytes)) = self.room.take(&handle) {
            self.give_room(&service, &upstream, bytes);
        }
        self.unused.push(handle);
    }

    pub(crate) fn give_room(&mut self, service: &str, upstream: &str, bytes: u64) {
        let queue = self.queues.get_mut(service);
        if let Some(upstream) = queue.and_then(|q| q.upstream(upstream)) {
            upstream.give_room(bytes);
        }
    }

    pub(crate) fn take_result(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        result: PieceResult,
    ) {
        match result {
            PieceResult::Done(handle) => self.take_handle(now, key, piece, handle),
            PieceResult::Expired => self.fail(key, JobFailure::TooLate),
            PieceResult::StorageFull => self.ask_again(now, key, piece, now + ROOM_PAUSE),
            PieceResult::InputMissing => {
                self.shared_until = now + SHARED_FOR;
                self.start_over(now, key, piece);
            }
            PieceResult::Failed => self.try_again(now, key, piece, now),
        }
    }

    fn take_handle(&mut self, now: MonoTime, key: JobKey, piece: PieceKey, handle: CompactString) {
        let job = self.jobs.get_mut(&key);
        let Some(job) = job.filter(|j| j.progress.is_wanted(piece)) else {
            self.discard(handle);
            return;
        };
        job.progress.done(piece, handle);
        if job.progress.is_done(piece.stage) {
            for read in job.progress.job().stages[piece.stage].after.clone() {
                self.reading.push(PendingRelease {
                    until: now,
                    job: key,
                    stage: read,
                });
            }
            self.release_read(now);
            self.advance(now, key);
        }
    }

    pub(crate) fn try_again(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        not_before: MonoTime,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let tries = job.tries.entry(piece).or_insert(1);
        *tries += 1;
        if *tries > PIECE_TRIES {
            self.fail(key, JobFailure::PieceFailed);
            return;
        }
        self.ask_again(now, key, piece, not_before);
    }

    /// Puts a piece back that an upstream was asked for in vain.
    pub(crate) fn ask_again(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        not_before: MonoTime,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.progress.open(piece);
        // Its inputs may have been given up in the belief that they were read.
        // A piece must never be asked for with only some of them.
        match job.progress.is_ready(piece.stage) {
            // It is asked for with the others once the inputs are made again.
            false => {}
            true if job.progress.lacks_inputs(piece.stage) => self.start_over(now, key, piece),
            true => self.enqueue(now, key, piece, not_before),
        }
    }

    /// Has the results that a piece works on made again: the upstream that kept
    /// them is gone, or they were given up too early.
    fn start_over(&mut self, now: MonoTime, key: JobKey, piece: PieceKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.progress.open(piece);
        if !job.progress.is_ready(piece.stage) {
            return;
        }
        job.starts_over += 1;
        if job.starts_over > MAX_STARTS_OVER {
            self.fail(key, JobFailure::PieceFailed);
            return;
        }
        let left = job.progress.start_over(piece.stage);
        for queue in self.queues.values_mut() {
            let stale = |r: &Rank| r.job == key && r.piece.stage == piece.stage;
            queue.waiting.retain(|rank, _| !stale(rank));
        }
        self.release_results(left);
        self.advance(now, key);
    }

    /// Gives up results that everything that needs them has read by now, if the
    /// room where they lie is getting scarce, or once nothing can need them
    /// again. Given up early, a call that fails has them made again.
    pub(crate) fn release_read(&mut self, now: MonoTime) {
        let due = self.reading.extract_if(.., |r| r.until <= now);
        let due: Vec<PendingRelease> = due.collect();
        for reading in due {
            let Some(job) = self.jobs.get(&reading.job) else {
                continue;
            };
            if !job.progress.is_read_by_all(reading.stage) {
                continue;
            }
            let over = job.progress.is_used_up(reading.stage);
            if !over
                && (now < self.shared_until
                    || !self.is_scarce(&job.progress.results_of(reading.stage)))
            {
                let until = now + INPUTS_READ;
                self.reading.push(PendingRelease { until, ..reading });
                continue;
            }
            let job = self.jobs.get_mut(&reading.job);
            let handles = job.map_or_else(Vec::new, |j| j.progress.read(reading.stage));
            self.release_results(handles);
        }
    }

    /// True if one of the upstreams where these results lie is short of room.
    pub(crate) fn is_scarce(&self, handles: &[CompactString]) -> bool {
        handles.iter().any(|handle| {
            let place = self.room.place(handle);
            place.is_none_or(|(service, upstream, _)| {
                let queue = self.queues.get(service);
                queue.is_none_or(|q| q.is_scarce(upstream))
            })
        })
    }
}
