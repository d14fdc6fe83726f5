//! The scheduler that gathers pieces of stages into calls and assigns these to upstreams.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::BatchCall;
use crate::CallKey;
use crate::CallResult;
use crate::FinishedJob;
use crate::JobFailure;
use crate::JobKey;
use crate::PieceKey;
use crate::StageJob;
use crate::estimate_bias::EstimateBias;
use crate::job_progress::JobProgress;
use crate::open_call::OpenCall;
use crate::open_call::PendingRelease;
use crate::rank::Feasibility;
use crate::rank::Rank;
use crate::refused_requests::RefusedRequests;
use crate::result_storage::ResultStorage;
use crate::scheduled_job::ScheduledJob;
use crate::scheduler_results::INPUT_READ_TIME;
use crate::scheduler_results::SHARED_PERIOD;
use crate::stage_handover::ResultHandover;
use crate::stage_handover::Transfers;
use crate::stage_queue::QueuedPiece;
use crate::stage_queue::StageQueue;

/// How much later a piece is ranked for each step of lower priority. About the duration of one
/// call: enough that a burst of less urgent requests does not delay more urgent ones, and too
/// little to starve requests that can still be on time.
const PRIORITY_STEP: Duration = Duration::from_millis(400);

/// Schedules the stages of all requests of a shard, on the instance that owns it.
///
/// A call takes a quarter of a second however few pieces it holds, and each upstream processes
/// one call at a time. If each instance batched on its own, all of them would send small calls
/// into each other's queues. Here all pieces wait in one place and are assigned to an upstream
/// only when it is free, so that calls get fuller as load grows.
#[derive(Debug, Default)]
pub struct StageScheduler {
    pub(crate) queues: HashMap<CompactString, StageQueue>,
    pub(crate) jobs: HashMap<JobKey, ScheduledJob>,
    pub(crate) open_calls: HashMap<CallKey, OpenCall>,
    pub(crate) finished: Vec<FinishedJob>,
    pub(crate) unused_results: Vec<CompactString>,
    pub(crate) storage: ResultStorage,
    pub(crate) pending_releases: Vec<PendingRelease>,
    pub(crate) estimate_bias: EstimateBias,
    pub(crate) refused: RefusedRequests,
    pub(crate) handover: ResultHandover,
    pub(crate) transfers: Transfers,
    pub(crate) shared_until: MonoTime,
    pub(crate) last_id: u64,
    /// The latest time that was passed in, for calls that pass none.
    pub(crate) now: MonoTime,
}

impl StageScheduler {
    /// Accepts the stages of a request, or returns at once why they are refused.
    pub fn submit(&mut self, now: MonoTime, job: StageJob) -> Result<JobKey, JobFailure> {
        let mut stages = job.stages.iter().filter(|s| s.pieces > 0);
        let is_served = |service| {
            let queue: Option<&StageQueue> = self.queues.get(service);
            queue.is_some_and(|q| !q.upstreams.is_empty())
        };
        if !stages.all(|s| is_served(&s.service)) {
            return Err(JobFailure::NoUpstream);
        }
        // A result after the deadline is of no use, also where the objective is later.
        let objective = self.refused.objective(now, &job).min(job.deadline);
        let progress = JobProgress::new(StageJob { objective, ..job });
        let expected_end = self.expected_end(now, &progress);
        let (length, priority) = (progress.chain_length(), progress.job().priority);
        let correction = self.estimate_bias.correction(now, length, priority);
        let best_effort = expected_end + correction > progress.job().objective;
        if best_effort
            && !self.has_transferred(progress.job())
            && let Err(refusal) = self.check_late_wait(now, &progress, correction)
        {
            self.refused.record(now, progress.job());
            return Err(refusal);
        }
        // A previous owner of the shard may still have calls in progress at the upstreams.
        if self.jobs.is_empty() && self.open_calls.is_empty() {
            self.shared_until = now + SHARED_PERIOD;
        }
        self.last_id += 1;
        let key = JobKey(self.last_id);
        let job = ScheduledJob {
            progress,
            attempts: HashMap::new(),
            restarts: 0,
            best_effort,
            has_adopted: false,
            expected_end,
        };
        self.jobs.insert(key, job);
        self.adopt_results(now, key);
        self.advance(now, key);
        Ok(key)
    }

    /// Cancels a job whose caller no longer waits for it.
    pub fn cancel(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release_results(job.progress.all_results());
            self.remove_queued(key);
        }
    }

    /// Returns the next call to make, if there are an available upstream and queued pieces for it.
    pub fn next_call(&mut self, now: MonoTime) -> Option<BatchCall> {
        if self.is_transferring() {
            return None;
        }
        let services: Vec<CompactString> = self.queues.keys().cloned().collect();
        services.iter().find_map(|s| self.next_call_for(now, s))
    }

    /// Processes the result of a call.
    pub fn complete_call(&mut self, now: MonoTime, key: CallKey, result: CallResult) {
        let Some(call) = self.open_calls.remove(&key) else {
            return;
        };
        let mut result_ttl = Duration::ZERO;
        if let Some(queue) = self.queues.get_mut(&call.service) {
            result_ttl = queue.spec.result_ttl;
            if let CallResult::Answered(_) = &result {
                let took = now.since(call.started_at);
                queue.record_call(now, &call.upstream, took, call.configured_time);
            }
            if let Some(upstream) = queue.upstream(&call.upstream) {
                upstream.call_finished(
                    now,
                    now.since(call.started_at),
                    call.expected_time,
                    &result,
                );
                upstream.free_storage(call.reserved_bytes);
            }
        }
        self.now = self.now.max(now);
        self.record_results(now + result_ttl, key, &call, &result);
        match result {
            CallResult::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    self.handle_piece_result(now, *job, *piece, result);
                }
            }
            CallResult::Full | CallResult::Withheld(_) | CallResult::Gone => {
                for (job, piece) in call.pieces {
                    self.requeue(now, job, piece, now);
                }
            }
            CallResult::Broken | CallResult::Failed => {
                for (job, piece) in call.pieces {
                    self.retry(now, job, piece, now);
                }
            }
        }
    }

    /// True if this scheduler tracks the storage of a result.
    pub fn holds_result(&self, handle: &str) -> bool {
        self.storage.location(handle).is_some()
    }

    /// Releases results that are no longer needed.
    pub fn release_results(&mut self, handles: Vec<CompactString>) {
        for handle in handles {
            self.discard(handle);
        }
    }

    /// Returns the jobs that have ended since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    /// Returns the results that have become unneeded since the last call, to be deleted at their
    /// upstreams.
    pub fn take_unused_results(&mut self) -> Vec<CompactString> {
        std::mem::take(&mut self.unused_results)
    }

    /// True if the scheduler has something to report, or may have to act as time passes.
    pub fn has_pending_work(&self) -> bool {
        let has_news = !self.finished.is_empty() || !self.unused_results.is_empty();
        let has_queued = || self.queues.values().any(|q| !q.queued.is_empty());
        let has_pending = !self.pending_releases.is_empty() || self.has_pending_transfers();
        has_news || has_pending || has_queued()
    }

    /// Queues the pieces of all stages of a job that have become ready, or finishes the job if all
    /// of its stages are done.
    pub(crate) fn advance(&mut self, now: MonoTime, key: JobKey) {
        loop {
            let Some(job) = self.jobs.get_mut(&key) else {
                return;
            };
            if let Some(results) = job.progress.final_results() {
                if !job.best_effort && !job.has_adopted {
                    let (length, priority) =
                        (job.progress.chain_length(), job.progress.job().priority);
                    let expected_end = job.expected_end;
                    self.estimate_bias
                        .record(now, expected_end, length, priority);
                }
                self.jobs.remove(&key);
                let outcome = Ok(results);
                self.finished.push(FinishedJob { key, outcome });
                return;
            }
            let ready = job.progress.start_ready();
            if ready.is_empty() {
                return;
            }
            let with_pieces = |s: usize| (s, job.progress.job().stages[s].pieces);
            let stages: Vec<(usize, usize)> = ready.into_iter().map(with_pieces).collect();
            for (stage, pieces) in stages {
                let not_before = now + self.start_delay(key, stage);
                for piece in 0..pieces {
                    self.enqueue(now, key, PieceKey { stage, piece }, not_before);
                }
            }
        }
    }

    /// Adds a piece to the queue of its service, to be sent at `not_before` at the earliest.
    pub(crate) fn enqueue(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        not_before: MonoTime,
    ) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.progress.is_unsent(piece)) else {
            return;
        };
        let critical_path = self.critical_path(&job.progress, piece.stage);
        let spec = job.progress.job();
        let latest_start = spec.objective.before(critical_path);
        let is_late = job.best_effort || latest_start < now;
        let rank = Rank {
            feasibility: Feasibility::of(is_late, spec.stages[piece.stage].after.is_empty()),
            latest_start: latest_start + PRIORITY_STEP * u32::from(spec.priority),
            job: key,
            piece,
        };
        let service = spec.stages[piece.stage].service.clone();
        let zone_wait = self.zone_wait(&job.progress, piece.stage, latest_start.since(now));
        let queued_piece = QueuedPiece {
            queued_at: now,
            cannot_wait: self.cannot_wait(now, &job.progress, piece.stage),
            not_before,
            latest_start,
            latest_useful_start: spec
                .deadline
                .before(self.min_critical_path(&job.progress, piece.stage)),
            preferred_zone: self.preferred_zone(job, piece.stage),
            any_zone_from: not_before + zone_wait,
        };
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.queued.insert(rank, queued_piece);
        }
    }

    /// Assembles the next call for a service, and reserves storage for its results.
    pub(crate) fn next_call_for(&mut self, now: MonoTime, service: &str) -> Option<BatchCall> {
        let congested = self.congested_services();
        let queue = self.queues.get_mut(service)?;
        queue.demote_late(now, &self.jobs);
        let (upstream, ranks) = queue.next_batch(now, &self.jobs, &congested)?;
        let zone = queue.upstreams[upstream].zone.clone();
        let read_bytes = ranks.iter();
        let read_bytes = read_bytes.map(|r| self.cross_zone_bytes(r.job, r.piece.stage, &zone));
        let cross_zone_bytes = read_bytes.sum();
        let queue = self.queues.get_mut(service)?;
        self.last_id += 1;
        let key = CallKey(self.last_id);
        let mut requests = Vec::with_capacity(ranks.len());
        let mut pieces = Vec::with_capacity(ranks.len());
        let mut reserved_bytes = 0;
        for rank in ranks {
            if let Some(queued_piece) = queue.queued.remove(&rank) {
                queue.record_wait(&rank, now.since(queued_piece.queued_at));
            }
            if let Some(job) = self.jobs.get_mut(&rank.job) {
                job.progress.mark_sent(rank.piece);
                for stage in job.progress.job().stages[rank.piece.stage].after.clone() {
                    if job.progress.all_readers_sent(stage) {
                        self.pending_releases.push(PendingRelease {
                            due: now + INPUT_READ_TIME,
                            job: rank.job,
                            stage,
                        });
                    }
                }
                requests.push(job.piece_request(now, rank.piece));
                pieces.push((rank.job, rank.piece));
                reserved_bytes += job.result_bytes(rank.piece);
            }
        }
        let configured_time = queue.spec.call_time(requests.len());
        let expected_time = queue.call_time_at(now, &queue.upstreams[upstream], requests.len());
        let upstream = &mut queue.upstreams[upstream];
        upstream.call_started(now + expected_time);
        upstream.reserve_storage(reserved_bytes);
        let call = BatchCall {
            key,
            service: service.into(),
            queued: queue.queued.len(),
            storage_used: upstream.storage_used(),
            cross_zone_bytes,
            upstream: upstream.id.clone(),
            start: upstream.start,
            address: upstream.address,
            pieces: requests,
            expected_time,
            load_age: upstream.load_age(now),
            timeout: upstream.call_timeout(expected_time),
        };
        let open_call = OpenCall {
            service: service.into(),
            upstream: call.upstream.clone(),
            pieces,
            reserved_bytes,
            started_at: now,
            expected_time,
            configured_time,
        };
        self.open_calls.insert(key, open_call);
        Some(call)
    }

    pub(crate) fn remove_queued(&mut self, key: JobKey) {
        for queue in self.queues.values_mut() {
            queue.queued.retain(|rank, _| rank.job != key);
        }
    }
}
