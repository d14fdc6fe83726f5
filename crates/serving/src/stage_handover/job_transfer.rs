//! Begun jobs that pass from an owner which goes on running to the next owner of the shard.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::HandoverEvent;
use crate::JobFailure;
use crate::JobKey;
use crate::MAX_RESULTS_PER_UPDATE;
use crate::StageJob;
use crate::StageScheduler;
use crate::StoredResult;
use crate::scheduled_job::ScheduledJob;
use crate::stage_handover::owner_replica::OwnerReplica;

/// How long the results of a transferred job are kept for it. The instance that waits for the job
/// submits it to the next owner at once, or as soon as it has heard of that one.
const CLAIM_TIME: Duration = Duration::from_millis(1_500);

/// Begun jobs that the next owner continues, and their results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobTransfer {
    jobs: Vec<JobKey>,
    /// The results that pass to the next owner.
    pub results: Vec<StoredResult>,
}

/// The state of transfers at one scheduler.
#[derive(Debug, Default)]
pub(crate) struct Transfers {
    /// True while another instance owns the shard, and this one hands its begun jobs over.
    is_handing_over: bool,
    /// The jobs whose results are on their way to the next owner.
    in_flight: HashSet<JobKey>,
    /// The results that an earlier owner transferred and no job has claimed.
    received: Option<OwnerReplica>,
    /// When these are released, in the order of their arrival.
    release_at: VecDeque<(MonoTime, CompactString)>,
}

impl StageScheduler {
    /// Begins to hand all jobs over to the next owner. No calls are made from now on; those in
    /// progress end, and each job is handed over once none of its pieces is at an upstream.
    ///
    /// While instances stop in turn, several owners would otherwise work on their begun jobs at a
    /// time. Each counts its own calls and results alone, so that upstreams reject calls as full or
    /// have no storage for results, and the time of these calls is lost.
    pub fn begin_transfer(&mut self) {
        self.transfers.is_handing_over = true;
        self.hand_over();
    }

    /// Ends the transfer, because this instance owns the shard again or nobody else takes the jobs.
    pub fn end_transfer(&mut self) {
        self.transfers.is_handing_over = false;
    }

    /// True while jobs are handed over to the next owner.
    pub fn is_transferring(&self) -> bool {
        self.transfers.is_handing_over
    }

    /// The next jobs to hand over, if there are any. They stay here until
    /// [`finish_transfer`](Self::finish_transfer).
    pub fn next_transfer(&mut self) -> Option<JobTransfer> {
        if !self.transfers.is_handing_over {
            return None;
        }
        let in_flight = &self.transfers.in_flight;
        let is_due = |key: &JobKey, job: &ScheduledJob| {
            !in_flight.contains(key) && !job.progress.has_sent_pieces()
        };
        let mut jobs = Vec::new();
        let mut results: Vec<StoredResult> = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(key, job)| is_due(key, job)) {
            let stored = job.progress.stored_results();
            let of_job = stored.filter_map(|(piece, handle)| self.describe(job, piece, handle));
            let of_job: Vec<StoredResult> = of_job.collect();
            if !jobs.is_empty() && results.len() + of_job.len() > MAX_RESULTS_PER_UPDATE {
                break;
            }
            jobs.push(*key);
            results.extend(of_job);
        }
        results.truncate(MAX_RESULTS_PER_UPDATE);
        self.transfers.in_flight.extend(&jobs);
        (!jobs.is_empty()).then_some(JobTransfer { jobs, results })
    }

    /// Ends the jobs of a transfer as moved. Their results belong to the next owner if it has
    /// `accepted` them; else they are released, and the next owner runs the pieces again.
    pub fn finish_transfer(&mut self, transfer: JobTransfer, accepted: bool) {
        let passed_on = transfer.results.into_iter().filter(|_| accepted);
        let passed_on: HashSet<CompactString> = passed_on.map(|r| r.handle).collect();
        for key in transfer.jobs {
            self.transfers.in_flight.remove(&key);
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            for handle in job.progress.all_results() {
                if passed_on.contains(&handle) {
                    self.handover.adopted.remove(&handle);
                    self.stop_tracking(&handle);
                }
            }
            self.fail_keeping(key, JobFailure::Moved, &passed_on);
        }
    }

    /// Takes over results of jobs that an earlier owner hands over. They count as used storage from
    /// now on, and are released here.
    pub fn accept_transfer(
        &mut self,
        now: MonoTime,
        owner: Incarnation,
        results: Vec<StoredResult>,
    ) {
        self.handover.events.push(HandoverEvent::Transferred {
            owner,
            results: results.len(),
        });
        for result in results {
            if !result.is_replicable() || !self.is_stored(&result) {
                continue;
            }
            // The earlier owner replicated them, too; unclaimed replicas are released.
            for replica in &mut self.handover.replicas {
                replica.remove(&result.handle);
            }
            self.handover.adopted.remove(&result.handle);
            self.count(now, &result);
            let release_at = (now + CLAIM_TIME, result.handle.clone());
            self.transfers.release_at.push_back(release_at);
            let received = &mut self.transfers.received;
            let received = received.get_or_insert_with(|| OwnerReplica::new(owner));
            received.insert(result);
        }
    }

    /// True if an earlier owner had begun this job and handed it over.
    pub(crate) fn has_transferred(&self, job: &StageJob) -> bool {
        let received = self.transfers.received.as_ref();
        received.is_some_and(|r| r.has_results_of(&job.request_id))
    }

    /// Gives a new job the results that an earlier owner transferred for it.
    pub(crate) fn claim_transferred(&mut self, now: MonoTime, key: JobKey) {
        let Some(job) = self.jobs.get(&key).map(|j| j.progress.job()) else {
            return;
        };
        let (request_id, content) = (job.request_id.clone(), job.content);
        let Some(received) = &mut self.transfers.received else {
            return;
        };
        for result in received.take(&request_id, content) {
            let is_usable = self.is_stored(&result) && result.is_readable(now);
            if !(is_usable && self.adopt(key, &result)) {
                self.release_results(vec![result.handle]);
            }
        }
    }

    /// Releases the transferred results that no job has claimed in time.
    pub(crate) fn release_unclaimed(&mut self, now: MonoTime) {
        while let Some((at, _)) = self.transfers.release_at.front()
            && *at <= now
        {
            let Some((_, handle)) = self.transfers.release_at.pop_front() else {
                return;
            };
            let received = &mut self.transfers.received;
            if received.as_mut().and_then(|r| r.remove(&handle)).is_some() {
                self.release_results(vec![handle]);
            }
        }
    }

    /// True if transfers need attention as time passes.
    pub(crate) fn has_pending_transfers(&self) -> bool {
        let hands_over = self.transfers.is_handing_over && !self.jobs.is_empty();
        hands_over || !self.transfers.release_at.is_empty()
    }
}
