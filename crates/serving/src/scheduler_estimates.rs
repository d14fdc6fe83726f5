//! Estimates of the scheduler: waits, critical paths, and which work to delay or refuse.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::JobFailure;
use crate::JobKey;
use crate::StageScheduler;
use crate::job_progress::JobProgress;
use crate::rank::Feasibility;
use crate::scheduled_job::ScheduledJob;

/// The part of its slack, in percent, by which a stage is delayed that runs in parallel to a longer
/// chain of stages. If the stage ran at once, its results would occupy storage until the chain
/// ends.
const START_DELAY_PERCENT: u32 = 60;

/// A request that cannot be on time is accepted only if it is expected to end within this part, in
/// percent, of the time until its deadline. Later requests that can be on time are served before
/// it, so it waits at least for the current backlog. With a larger part, no more requests are
/// served, and more of them wait in vain.
const MAX_LATE_WAIT_PERCENT: u32 = 30;

impl StageScheduler {
    /// Refuses a job that cannot be on time and would wait long. A refusal after a long wait would
    /// also have cost the caller its time. A job that runs again is refused only if it would end
    /// after its deadline: its caller has waited already.
    pub(crate) fn check_late_wait(
        &self,
        now: MonoTime,
        progress: &JobProgress,
        correction: Duration,
    ) -> Result<(), JobFailure> {
        let end = self.end_behind(now, progress, |_| true) + correction;
        let left = progress.job().deadline.since(now);
        let percent = match progress.job().runs_again {
            true => 100,
            false => MAX_LATE_WAIT_PERCENT,
        };
        if end <= now + left * percent / 100 {
            return Ok(());
        }
        let stages = progress.job().stages.iter().filter(|s| s.pieces > 0);
        let queues = stages.filter_map(|s| self.queues.get(&s.service));
        let longest = queues.map(|q| q.backlog(now)).max();
        Err(JobFailure::WouldMiss(longest.unwrap_or_default()))
    }

    /// How long it takes to process all queued pieces, at the service with the longest wait.
    pub fn backlog(&self, now: MonoTime) -> Duration {
        let waits = self.queues.values().map(|q| match q.queued.is_empty() {
            true => q.backoff_left(now),
            false => q.backlog(now),
        });
        waits.max().unwrap_or_default()
    }

    /// When a job that is submitted now is expected to end, after all work for the jobs that can be
    /// on time and are at least as urgent.
    ///
    /// In a burst beyond the capacity of the upstreams, all requests would end just too late if
    /// every request were accepted and they were served in the order of their deadlines.
    pub(crate) fn expected_end(&self, now: MonoTime, progress: &JobProgress) -> MonoTime {
        let priority = progress.job().priority;
        let competes = |j: &ScheduledJob| !j.best_effort && j.progress.job().priority <= priority;
        self.end_behind(now, progress, competes)
    }

    /// When a job is expected to end, after all work for the jobs that are `competing`.
    fn end_behind(
        &self,
        now: MonoTime,
        progress: &JobProgress,
        competing: impl Fn(&ScheduledJob) -> bool,
    ) -> MonoTime {
        let spec = progress.job();
        let mut ends: Vec<MonoTime> = Vec::with_capacity(spec.stages.len());
        for stage in &spec.stages {
            let inputs = stage.after.iter().filter_map(|a| ends.get(*a)).copied();
            let ready = inputs.max().unwrap_or(now);
            let queue = self.queues.get(&stage.service).filter(|_| stage.pieces > 0);
            ends.push(match queue {
                Some(queue) => {
                    let ahead = self.pieces_ahead(&stage.service, &competing);
                    let available = now + queue.drain_time(now, ahead);
                    ready.max(available) + queue.call_time(stage.pieces)
                }
                None => ready,
            });
        }
        ends.into_iter().max().unwrap_or(now)
    }

    /// The number of unsent pieces of the `competing` jobs, including those of stages that have not
    /// started.
    fn pieces_ahead(&self, service: &str, competing: impl Fn(&ScheduledJob) -> bool) -> usize {
        let jobs = self.jobs.values().filter(|j| competing(j));
        jobs.map(|j| j.progress.unsent_pieces(service)).sum()
    }

    /// How long the stages from `stage` on take, including the recent mean wait at each later
    /// stage, but not the wait at `stage` itself. Without the waits at later stages, upstreams
    /// would be kept busy with jobs that are on time now and late one stage later.
    pub(crate) fn critical_path(&self, progress: &JobProgress, stage: usize) -> Duration {
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.call_time(pieces) + q.mean_wait)
        };
        let service = &progress.job().stages[stage].service;
        let own_wait = self.queues.get(service).map(|q| q.mean_wait);
        let total = progress.critical_path(stage, &call_time);
        total.saturating_sub(own_wait.unwrap_or_default())
    }

    /// The least time that the stages from `stage` on can take: calls with one piece, without
    /// waits, and no slower than configured.
    pub(crate) fn min_critical_path(&self, progress: &JobProgress, stage: usize) -> Duration {
        let call_time = |service: &str, _pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| {
                q.spec.call_time(1).mul_f64(q.duration_ratio.min(1.0))
            })
        };
        progress.critical_path(stage, &call_time)
    }

    /// The services where more late pieces of started jobs are queued than fit into one call. Late
    /// jobs that use these services are not started: their results would expire while they wait.
    pub(crate) fn congested_services(&self) -> Vec<CompactString> {
        let congested = self.queues.iter().filter(|(_, q)| {
            let late_started = q
                .queued
                .keys()
                .filter(|r| r.feasibility == Feasibility::LateStarted);
            late_started.count() > q.spec.pieces
        });
        congested.map(|(service, _)| service.clone()).collect()
    }

    /// How long a first stage is delayed because another chain of stages of the same job takes
    /// longer.
    pub(crate) fn start_delay(&self, key: JobKey, stage: usize) -> Duration {
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.call_time(pieces))
        };
        let Some(job) = self.jobs.get(&key) else {
            return Duration::ZERO;
        };
        let is_first = job.progress.job().stages[stage].after.is_empty();
        match is_first && job.restarts == 0 {
            true => job.progress.slack(stage, &call_time) * START_DELAY_PERCENT / 100,
            false => Duration::ZERO,
        }
    }
}
