//! Which pieces of which requests go to which upstream, and when.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::BatchCall;
use crate::CallKey;
use crate::CallResult;
use crate::Content;
use crate::FinishedJob;
use crate::JobFailure;
use crate::JobKey;
use crate::PieceKey;
use crate::StageJob;
use crate::estimate_bias::EstimateBias;
use crate::open_call::OpenCall;
use crate::open_call::PendingRelease;
use crate::rank::Feasibility;
use crate::rank::Rank;
use crate::refused_requests::RefusedRequests;
use crate::result_storage::ResultStorage;
use crate::scheduled_job::ScheduledJob;
use crate::scheduler_results::INPUTS_READ;
use crate::scheduler_results::SHARED_FOR;
use crate::stage_job::JobProgress;
use crate::stage_queue::QueuedPiece;
use crate::stage_queue::StageQueue;

/// What a step of priority is worth in waiting. About a call of the users'
/// stages: enough that a burst of the less urgent does not delay the more
/// urgent, too little to starve what could still be in time.
const PRIORITY_STEP: Duration = Duration::from_millis(400);

/// The desk of the instance that fills batches for a deployment.
///
/// The load that it answers: a call costs a quarter of a second however little
/// it holds, and every upstream works on one call at a time. Instances that
/// each batch for themselves send small calls into each other's queues. Here
/// all pieces wait in one place and are bound to an upstream only when it is
/// free, so that calls fill by themselves as load grows.
#[derive(Debug, Default)]
pub struct StageScheduler {
    pub(crate) queues: HashMap<CompactString, StageQueue>,
    pub(crate) jobs: HashMap<JobKey, ScheduledJob>,
    pub(crate) calls: HashMap<CallKey, OpenCall>,
    pub(crate) ended: Vec<FinishedJob>,
    pub(crate) unused: Vec<CompactString>,
    pub(crate) room: ResultStorage,
    pub(crate) reading: Vec<PendingRelease>,
    pub(crate) expectation: EstimateBias,
    pub(crate) returning: RefusedRequests,
    pub(crate) shared_until: MonoTime,
    pub(crate) numbers: u64,
}

impl StageScheduler {
    /// Takes the stages of a request in, or says at once why not.
    pub fn submit(&mut self, now: MonoTime, job: StageJob) -> Result<JobKey, JobFailure> {
        let mut used = job.stages.iter().filter(|s| s.pieces > 0);
        let is_served = |service| {
            let queue: Option<&StageQueue> = self.queues.get(service);
            queue.is_some_and(|q| !q.upstreams.is_empty())
        };
        if !used.all(|s| is_served(&s.service)) {
            return Err(JobFailure::NoUpstream);
        }
        // One whose deadline comes first cannot gain anything after it.
        let objective = self.returning.objective(now, &job).min(job.deadline);
        let progress = JobProgress::new(StageJob { objective, ..job });
        let expected = self.expected_end(now, &progress);
        let (depth, priority) = (progress.depth(), progress.job().priority);
        let correction = self.expectation.correction(now, depth, priority);
        let beside = expected + correction > progress.job().objective;
        if beside && let Err(refusal) = self.check_wait(now, &progress, correction) {
            self.returning.refused(now, progress.job());
            return Err(refusal);
        }
        // An owner of jobs before may still have calls at the upstreams.
        if self.jobs.is_empty() && self.calls.is_empty() {
            self.shared_until = now + SHARED_FOR;
        }
        self.numbers += 1;
        let key = JobKey(self.numbers);
        let job = ScheduledJob {
            progress,
            tries: HashMap::new(),
            starts_over: 0,
            beside,
            expected,
        };
        self.jobs.insert(key, job);
        self.advance(now, key);
        Ok(key)
    }

    /// Nobody waits for the job any more.
    pub fn cancel(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release_results(job.progress.all());
            self.forget_pieces(key);
        }
    }

    /// The next call to make, if an upstream is free and pieces wait.
    pub fn next_call(&mut self, now: MonoTime) -> Option<BatchCall> {
        let services: Vec<CompactString> = self.queues.keys().cloned().collect();
        services.iter().find_map(|s| self.next_call_of(now, s))
    }

    /// A call came back.
    pub fn complete_call(&mut self, now: MonoTime, key: CallKey, result: CallResult) {
        let Some(call) = self.calls.remove(&key) else {
            return;
        };
        let mut keep = Duration::ZERO;
        if let Some(queue) = self.queues.get_mut(&call.service) {
            keep = queue.spec.result_ttl;
            if let CallResult::Answered(_) = &result {
                queue.note_call(now.since(call.began), call.planned);
            }
            if let Some(upstream) = queue.upstream(&call.upstream) {
                upstream.finished(now, now.since(call.began), call.expected, &result);
                upstream.give_room(call.bytes);
            }
        }
        self.count_room(now + keep, key, &call, &result);
        match result {
            CallResult::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    self.take_result(now, *job, *piece, result);
                }
            }
            CallResult::Full | CallResult::Withheld(_) | CallResult::Gone => {
                for (job, piece) in call.pieces {
                    self.ask_again(now, job, piece, now);
                }
            }
            CallResult::Broken | CallResult::Failed => {
                for (job, piece) in call.pieces {
                    self.try_again(now, job, piece, now);
                }
            }
        }
    }

    /// Another instance fills the batches now: jobs of which nothing has been done
    /// are to be asked for there.
    ///
    /// Guards against two owners of the same upstreams, which show as calls that
    /// are refused for want of a place and results that are gone before they are
    /// read. Each change of the owner left a backlog of seconds behind, and with
    /// it a second owner for as long.
    pub fn hand_over(&mut self) {
        let untouched = self.jobs.iter().filter(|(_, j)| j.progress.is_untouched());
        let keys: Vec<JobKey> = untouched.map(|(key, _)| *key).collect();
        for key in keys {
            self.fail(key, JobFailure::Moved);
        }
    }

    /// Ends jobs whose time is over, and those that nobody here can do. Their pieces
    /// would be worked on or wait in vain.
    pub fn expire(&mut self, now: MonoTime) {
        for (service, upstream, bytes) in self.room.expire(now) {
            self.give_room(&service, &upstream, bytes);
        }
        self.release_read(now);
        self.move_stranded();
        for (key, failure) in self.too_late(now) {
            if let Some(job) = self.jobs.get(&key) {
                self.returning.refused(now, job.progress.job());
            }
            self.fail(key, failure);
        }
    }

    /// The jobs whose time is over, and those with a piece that waits for a call which
    /// cannot bring their end before that any more; how each is to end.
    fn too_late(&self, now: MonoTime) -> BTreeMap<JobKey, JobFailure> {
        let over = |job: &ScheduledJob| job.progress.job().deadline <= now;
        let over = self.jobs.iter().filter(|(_, job)| over(job));
        let over = over.map(|(key, _)| (*key, JobFailure::TooLate));
        let worthless = self.queues.values().flat_map(|queue| {
            let wait = queue.withheld_for(now);
            let failure = match wait.is_zero() {
                true => JobFailure::TooLate,
                false => JobFailure::WouldMiss(wait),
            };
            let waiting = queue.waiting.iter();
            let worthless = waiting.filter(move |(_, w)| w.worthless_from < now + wait);
            worthless.map(move |(rank, _)| (rank.job, failure))
        });
        over.chain(worthless).collect()
    }

    /// Ends jobs that need a service which has no upstream here any more, so that
    /// they are asked for where there are some.
    ///
    /// Guards against requests that wait until their deadline after all of a zone's
    /// upstreams were taken out of use at once, while other zones could serve them.
    fn move_stranded(&mut self) {
        let emptied = self.queues.iter().filter(|(_, q)| q.upstreams.is_empty());
        let emptied: Vec<&CompactString> = emptied.map(|(service, _)| service).collect();
        let needs = |job: &ScheduledJob| emptied.iter().any(|s| job.progress.unasked(s) > 0);
        let stranded = self.jobs.iter().filter(|(_, job)| needs(job));
        let stranded: Vec<JobKey> = stranded.map(|(key, _)| *key).collect();
        for key in stranded {
            self.fail(key, JobFailure::Moved);
        }
    }

    /// Ends the jobs of requests that are kept from upstreams from now on.
    /// `left` tells for how long.
    pub fn fail_quarantined(&mut self, left: impl Fn(Content) -> Option<Duration>) {
        let left = |job: &ScheduledJob| left(job.progress.job().content);
        let kept = self.jobs.iter();
        let kept = kept.filter_map(|(key, job)| Some((*key, left(job)?)));
        let kept: Vec<(JobKey, Duration)> = kept.collect();
        for (key, left) in kept {
            self.fail(key, JobFailure::Quarantined(left));
        }
    }

    /// True if a result is counted here.
    pub fn holds_result(&self, handle: &str) -> bool {
        self.room.place(handle).is_some()
    }

    /// Nobody works on these results any more.
    pub fn release_results(&mut self, handles: Vec<CompactString>) {
        for handle in handles {
            self.discard(handle);
        }
    }

    /// The jobs that ended since the last question.
    pub fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.ended)
    }

    /// Results that nobody needs any more, since the last question.
    pub fn take_unused_results(&mut self) -> Vec<CompactString> {
        std::mem::take(&mut self.unused)
    }

    /// True if time alone may bring something to decide, or something is to be told.
    pub fn has_pending_work(&self) -> bool {
        let to_tell = !self.ended.is_empty() || !self.unused.is_empty();
        let waiting = || self.queues.values().any(|q| !q.waiting.is_empty());
        to_tell || !self.reading.is_empty() || waiting()
    }

    pub(crate) fn advance(&mut self, now: MonoTime, key: JobKey) {
        loop {
            let Some(job) = self.jobs.get_mut(&key) else {
                return;
            };
            if let Some(results) = job.progress.outcome() {
                if !job.beside {
                    let (depth, priority) = (job.progress.depth(), job.progress.job().priority);
                    let expected = job.expected;
                    self.expectation.record(now, expected, depth, priority);
                }
                self.jobs.remove(&key);
                let outcome = Ok(results);
                self.ended.push(FinishedJob { key, outcome });
                return;
            }
            let ready = job.progress.start_ready();
            if ready.is_empty() {
                return;
            }
            let counted = |s: usize| (s, job.progress.job().stages[s].pieces);
            let stages: Vec<(usize, usize)> = ready.into_iter().map(counted).collect();
            for (stage, pieces) in stages {
                let begin = now + self.put_off(key, stage);
                for piece in 0..pieces {
                    self.enqueue(now, key, PieceKey { stage, piece }, begin);
                }
            }
        }
    }

    pub(crate) fn enqueue(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: PieceKey,
        not_before: MonoTime,
    ) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.progress.is_open(piece)) else {
            return;
        };
        let path = self.path_time(&job.progress, piece.stage);
        let spec = job.progress.job();
        let start_by = spec.objective.before(path);
        let hopeless = job.beside || start_by < now;
        let rank = Rank {
            chance: Feasibility::of(hopeless, spec.stages[piece.stage].after.is_empty()),
            start_by: start_by + PRIORITY_STEP * u32::from(spec.priority),
            job: key,
            piece,
        };
        let service = spec.stages[piece.stage].service.clone();
        let near_wait = self.near_wait(&job.progress, piece.stage, start_by.since(now));
        let waiting = QueuedPiece {
            since: now,
            not_before,
            start_by,
            worthless_from: spec
                .deadline
                .before(self.least_time(&job.progress, piece.stage)),
            zone: self.wanted_zone(job, piece.stage),
            anywhere_from: not_before + near_wait,
        };
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.waiting.insert(rank, waiting);
        }
    }

    pub(crate) fn next_call_of(&mut self, now: MonoTime, service: &str) -> Option<BatchCall> {
        let clogged = self.clogged();
        let queue = self.queues.get_mut(service)?;
        queue.mark_late(now, &self.jobs);
        let (upstream, ranks) = queue.next_batch(now, &self.jobs, &clogged)?;
        let zone = queue.upstreams[upstream].zone.clone();
        let far = ranks.iter();
        let far = far.map(|r| self.far_bytes(r.job, r.piece.stage, &zone));
        let far_bytes = far.sum();
        let queue = self.queues.get_mut(service)?;
        self.numbers += 1;
        let key = CallKey(self.numbers);
        let mut orders = Vec::with_capacity(ranks.len());
        let mut pieces = Vec::with_capacity(ranks.len());
        let mut bytes = 0;
        for rank in ranks {
            if let Some(waiting) = queue.waiting.remove(&rank) {
                queue.note_wait(&rank, now.since(waiting.since));
            }
            if let Some(job) = self.jobs.get_mut(&rank.job) {
                job.progress.sent(rank.piece);
                for stage in job.progress.job().stages[rank.piece.stage].after.clone() {
                    if job.progress.is_read_by_all(stage) {
                        self.reading.push(PendingRelease {
                            until: now + INPUTS_READ,
                            job: rank.job,
                            stage,
                        });
                    }
                }
                orders.push(job.order(now, rank.piece));
                pieces.push((rank.job, rank.piece));
                bytes += job.result_bytes(rank.piece);
            }
        }
        let planned = queue.spec.call_time(orders.len());
        let expected = queue.call_time(orders.len());
        let upstream = &mut queue.upstreams[upstream];
        upstream.started(now + expected);
        upstream.take_room(bytes);
        let call = BatchCall {
            key,
            service: service.into(),
            queued: queue.waiting.len(),
            storage_used: upstream.room_used(),
            cross_zone_bytes: far_bytes,
            upstream: upstream.id.clone(),
            start: upstream.start,
            address: upstream.address,
            pieces: orders,
            timeout: upstream.patience(expected),
        };
        let open = OpenCall {
            service: service.into(),
            upstream: call.upstream.clone(),
            pieces,
            bytes,
            began: now,
            expected,
            planned,
        };
        self.calls.insert(key, open);
        Some(call)
    }

    pub(crate) fn fail(&mut self, key: JobKey, failure: JobFailure) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release_results(job.progress.all());
            self.forget_pieces(key);
            let outcome = Err(failure);
            self.ended.push(FinishedJob { key, outcome });
        }
    }

    pub(crate) fn forget_pieces(&mut self, key: JobKey) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|rank, _| rank.job != key);
        }
    }
}
