//! Handling of the results of calls: their storage, retries, and their release.

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

/// How often one piece is tried. A third failure is rarely due to the upstream.
const MAX_PIECE_ATTEMPTS: u32 = 3;
/// How often stages of one job are run again because their results were gone.
const MAX_JOB_RESTARTS: u32 = 2;
/// How long after the start of a call its inputs have been read. Upstreams read them first, and
/// the inputs of a whole call take a few milliseconds on their links.
pub(crate) const INPUT_READ_TIME: Duration = Duration::from_millis(35);
/// How long upstreams are assumed to serve another owner as well, after a sign of it. A call may
/// then wait behind a call of the other owner, and reads its inputs only when it is processed.
pub(crate) const SHARED_PERIOD: Duration = Duration::from_millis(1_500);
/// How long a piece waits after an upstream had no storage for its result.
const STORAGE_FULL_DELAY: Duration = Duration::from_millis(60);

impl StageScheduler {
    /// Counts the results of a call as used storage of the upstream until `until`. A call that
    /// broke or failed counts as a whole: the upstream may have stored all of its results.
    pub(crate) fn record_results(
        &mut self,
        until: MonoTime,
        key: CallKey,
        call: &OpenCall,
        result: &CallResult,
    ) {
        let location = (&call.service, &call.upstream);
        let mut stored: Vec<(CompactString, u64)> = Vec::new();
        match result {
            CallResult::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    if let PieceResult::Done(handle) = result {
                        let bytes = self.jobs.get(job).map_or(0, |j| j.result_bytes(*piece));
                        stored.push((handle.clone(), bytes));
                    }
                }
            }
            CallResult::Broken | CallResult::Failed => {
                let placeholder = format_compact!("call {}", key.0);
                stored.push((placeholder, call.reserved_bytes));
            }
            CallResult::Full | CallResult::Withheld(_) | CallResult::Gone => {}
        }
        let storage_full = match result {
            CallResult::Answered(results) => results.contains(&PieceResult::StorageFull),
            _ => false,
        };
        let queue = self.queues.get_mut(location.0);
        if let Some(upstream) = queue
            .and_then(|q| q.upstream(location.1))
            .filter(|_| storage_full)
        {
            upstream.untracked.mark_unknown();
        }
        for (handle, bytes) in stored {
            let queue = self.queues.get_mut(location.0);
            if let Some(upstream) = queue.and_then(|q| q.upstream(location.1)) {
                upstream.reserve_storage(bytes);
                let period = (call.started_at, until);
                self.storage.insert(handle, location, bytes, period);
            }
        }
    }

    /// Releases a result, to be deleted at its upstream.
    pub(crate) fn discard(&mut self, handle: CompactString) {
        if self.handover.end_claim(&handle) {
            return;
        }
        if let Some(((service, upstream, bytes), since)) = self.storage.remove(&handle) {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.storage_use.record(bytes, self.now.since(since));
            }
            self.free_storage(&service, &upstream, bytes);
        }
        self.unused_results.push(handle);
    }

    /// Counts storage at an upstream as free again.
    pub(crate) fn free_storage(&mut self, service: &str, upstream: &str, bytes: u64) {
        let queue = self.queues.get_mut(service);
        if let Some(upstream) = queue.and_then(|q| q.upstream(upstream)) {
            upstream.free_storage(bytes);
        }
    }

    /// Processes the result of one piece of a call.
    pub(crate) fn handle_piece_result(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        result: PieceResult,
    ) {
        match result {
            PieceResult::Done(handle) => self.accept_result(now, key, piece, handle),
            PieceResult::Expired => self.fail(key, JobFailure::TooLate),
            PieceResult::StorageFull => self.requeue(now, key, piece, now + STORAGE_FULL_DELAY),
            PieceResult::InputMissing => {
                self.shared_until = now + SHARED_PERIOD;
                self.restart_inputs(now, key, piece);
            }
            PieceResult::Failed => self.retry(now, key, piece, now),
        }
    }

    /// Stores the result of a piece. If it completes its stage, releases the inputs of the stage
    /// and starts the stages that depend on it.
    fn accept_result(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        handle: CompactString,
    ) {
        let job = self.jobs.get_mut(&key);
        let Some(job) = job.filter(|j| j.progress.is_unfinished(piece)) else {
            self.discard(handle);
            return;
        };
        job.progress.mark_done(piece, handle);
        if job.progress.is_done(piece.stage) {
            for input in job.progress.job().stages[piece.stage].after.clone() {
                self.pending_releases.push(PendingRelease {
                    due: now,
                    job: key,
                    stage: input,
                });
            }
            self.release_read_results(now);
            self.advance(now, key);
        }
    }

    /// Requeues a piece that failed, or fails its job after too many attempts.
    pub(crate) fn retry(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        not_before: MonoTime,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let attempts = job.attempts.entry(piece).or_insert(1);
        *attempts += 1;
        if *attempts > MAX_PIECE_ATTEMPTS {
            self.fail(key, JobFailure::PieceFailed);
            return;
        }
        self.requeue(now, key, piece, not_before);
    }

    /// Queues a piece again that was sent without a result.
    pub(crate) fn requeue(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        not_before: MonoTime,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.progress.reopen(piece);
        // Its inputs may have been released because they were assumed to have been read. A piece
        // must never be sent with only some of its inputs.
        match job.progress.is_ready(piece.stage) {
            // The whole stage is queued once its inputs have been produced again.
            false => {}
            true if job.progress.has_released_inputs(piece.stage) => {
                self.restart_inputs(now, key, piece)
            }
            true => self.enqueue(now, key, piece, not_before),
        }
    }

    /// Runs the stages again that produce the inputs of a piece, after the upstream that stored
    /// these is gone or they were released too early.
    fn restart_inputs(&mut self, now: MonoTime, key: JobKey, piece: PieceKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.progress.reopen(piece);
        if !job.progress.is_ready(piece.stage) {
            return;
        }
        job.restarts += 1;
        if job.restarts > MAX_JOB_RESTARTS {
            self.fail(key, JobFailure::PieceFailed);
            return;
        }
        let remaining = job.progress.restart_inputs(piece.stage);
        for queue in self.queues.values_mut() {
            let is_stale = |r: &Rank| r.job == key && r.piece.stage == piece.stage;
            queue.queued.retain(|rank, _| !is_stale(rank));
        }
        self.release_results(remaining);
        self.advance(now, key);
    }

    /// Releases results that all pieces that need them have read by now, if the storage of their
    /// upstream is low or once no piece can need them again. If a call fails after an early
    /// release, the results have to be produced again.
    pub(crate) fn release_read_results(&mut self, now: MonoTime) {
        let due = self.pending_releases.extract_if(.., |r| r.due <= now);
        let due: Vec<PendingRelease> = due.collect();
        for release in due {
            let Some(job) = self.jobs.get(&release.job) else {
                continue;
            };
            if !job.progress.all_readers_sent(release.stage) {
                continue;
            }
            let unneeded = job.progress.all_readers_done(release.stage);
            if !unneeded
                && (now < self.shared_until
                    || !self.is_storage_low(&job.progress.results_of(release.stage)))
            {
                let due = now + INPUT_READ_TIME;
                self.pending_releases
                    .push(PendingRelease { due, ..release });
                continue;
            }
            let job = self.jobs.get_mut(&release.job);
            let handles = job.map_or_else(Vec::new, |j| j.progress.mark_read(release.stage));
            self.release_results(handles);
        }
    }

    /// True if one of the upstreams that store these results is low on storage.
    pub(crate) fn is_storage_low(&self, handles: &[CompactString]) -> bool {
        handles.iter().any(|handle| {
            let location = self.storage.location(handle);
            location.is_none_or(|(service, upstream, _)| {
                let queue = self.queues.get(service);
                queue.is_none_or(|q| q.is_storage_low(upstream))
            })
        })
    }
}
