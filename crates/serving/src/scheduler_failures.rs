//! Jobs that end without results: late, moved, quarantined or failed ones.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;
use crate::FinishedJob;
use crate::JobFailure;
use crate::JobKey;
use crate::StageScheduler;
use crate::scheduled_job::ScheduledJob;

impl StageScheduler {
    /// Ends the jobs that have not been started, because another instance has become the owner of
    /// the shard and can run them.
    ///
    /// A change of the owner leaves a backlog of seconds behind. If the previous owner worked
    /// through it, two owners would send to the same upstreams for as long: upstreams would
    /// reject calls as full, and results would be gone before they are read.
    pub fn hand_over(&mut self) {
        let unstarted = self.jobs.iter().filter(|(_, j)| j.progress.is_unstarted());
        let keys: Vec<JobKey> = unstarted.map(|(key, _)| *key).collect();
        for key in keys {
            self.fail(key, JobFailure::Moved);
        }
    }

    /// Ends all jobs, because this instance can reach none of the upstreams. Other instances that
    /// sent jobs then submit them to the next owner.
    pub fn abandon(&mut self) {
        let keys: Vec<JobKey> = self.jobs.keys().copied().collect();
        for key in keys {
            self.fail(key, JobFailure::NoUpstream);
        }
    }

    /// Ends jobs that are past their deadline or cannot meet it any more, and jobs that need a
    /// service without upstreams. Also frees the storage of expired and fully read results.
    pub fn expire(&mut self, now: MonoTime) {
        self.now = self.now.max(now);
        for (service, upstream, bytes) in self.storage.remove_expired(now) {
            self.free_storage(&service, &upstream, bytes);
        }
        self.release_read_results(now);
        self.release_unclaimed(now);
        self.fail_stranded();
        for (key, failure) in self.overdue_jobs(now) {
            if let Some(job) = self.jobs.get(&key) {
                self.refused.record(now, job.progress.job());
            }
            self.fail(key, failure);
        }
    }

    /// Returns the jobs that are past their deadline, and those with a queued piece that can no
    /// longer be processed in time for it, each with the failure to report.
    fn overdue_jobs(&self, now: MonoTime) -> BTreeMap<JobKey, JobFailure> {
        let expired = |job: &ScheduledJob| job.progress.job().deadline <= now;
        let expired = self.jobs.iter().filter(|(_, job)| expired(job));
        let expired = expired.map(|(key, _)| (*key, JobFailure::TooLate));
        let too_late = self.queues.values().flat_map(|queue| {
            let wait = queue.backoff_left(now);
            let failure = match wait.is_zero() {
                true => JobFailure::TooLate,
                false => JobFailure::WouldMiss(wait),
            };
            let queued = queue.queued.iter();
            let too_late = queued.filter(move |(_, p)| p.latest_useful_start < now + wait);
            too_late.map(move |(rank, _)| (rank.job, failure))
        });
        expired.chain(too_late).collect()
    }

    /// Ends jobs that need a service which has no upstreams left in this shard, so that they are
    /// submitted to another shard.
    ///
    /// When all upstreams of a zone are taken out of use at once, such jobs would otherwise wait
    /// until their deadline, while other zones could serve them.
    fn fail_stranded(&mut self) {
        let unserved = self.queues.iter().filter(|(_, q)| q.upstreams.is_empty());
        let unserved: Vec<&CompactString> = unserved.map(|(service, _)| service).collect();
        let needs = |job: &ScheduledJob| unserved.iter().any(|s| job.progress.unsent_pieces(s) > 0);
        let stranded = self.jobs.iter().filter(|(_, job)| needs(job));
        let stranded: Vec<JobKey> = stranded.map(|(key, _)| *key).collect();
        for key in stranded {
            self.fail(key, JobFailure::Moved);
        }
    }

    /// Ends the jobs of quarantined requests. `remaining` returns for how much longer a request
    /// is quarantined, if it is.
    pub fn fail_quarantined(&mut self, remaining: impl Fn(Content) -> Option<Duration>) {
        let remaining = |job: &ScheduledJob| remaining(job.progress.job().content);
        let quarantined = self.jobs.iter();
        let quarantined = quarantined.filter_map(|(key, job)| Some((*key, remaining(job)?)));
        let quarantined: Vec<(JobKey, Duration)> = quarantined.collect();
        for (key, remaining) in quarantined {
            self.fail(key, JobFailure::Quarantined(remaining));
        }
    }

    /// Ends a job with a failure, and releases its results and queued pieces.
    pub(crate) fn fail(&mut self, key: JobKey, failure: JobFailure) {
        self.fail_keeping(key, failure, &HashSet::new());
    }

    /// The same, without releasing the results in `kept`.
    pub(crate) fn fail_keeping(
        &mut self,
        key: JobKey,
        failure: JobFailure,
        kept: &HashSet<CompactString>,
    ) {
        if let Some(job) = self.jobs.remove(&key) {
            let mut results = job.progress.all_results();
            results.retain(|handle| !kept.contains(handle));
            self.release_results(results);
            self.remove_queued(key);
            let outcome = Err(failure);
            self.finished.push(FinishedJob { key, outcome });
        }
    }
}
