//! What the desk expects: waits, paths and what is worth beginning.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::JobFailure;
use crate::JobKey;
use crate::StageScheduler;
use crate::rank::Feasibility;
use crate::scheduled_job::ScheduledJob;
use crate::stage_job::JobProgress;

/// The part of its spare time, in hundredths, by which a stage beside a longer
/// chain is put off. Done at once, its results would take room all the while.
const PUT_OFF_PERCENT: u32 = 60;

/// The part of the time that its caller waits, in hundredths, in which a request
/// that cannot be in time has to be expected to end. What comes later goes before
/// it, so the backlog when it came is the least that it waits for. With a larger
/// part as many are served, and more are held in vain.
const LATE_WAIT_PERCENT: u32 = 30;

impl StageScheduler {
    /// Refuses at once what cannot be in time and would wait long. Held and
    /// refused later it would have cost the caller its time as well.
    pub(crate) fn check_wait(
        &self,
        now: MonoTime,
        progress: &JobProgress,
        correction: Duration,
    ) -> Result<(), JobFailure> {
        let end = self.end_behind(now, progress, |_| true) + correction;
        let left = progress.job().deadline.since(now);
        if end <= now + left * LATE_WAIT_PERCENT / 100 {
            return Ok(());
        }
        let stages = progress.job().stages.iter().filter(|s| s.pieces > 0);
        let queues = stages.filter_map(|s| self.queues.get(&s.service));
        let longest = queues.map(|q| q.backlog(now)).max();
        Err(JobFailure::WouldMiss(longest.unwrap_or_default()))
    }

    /// How long what waits now takes to be served at the service where it waits
    /// longest.
    pub fn backlog(&self, now: MonoTime) -> Duration {
        let waits = self.queues.values().map(|q| match q.waiting.is_empty() {
            true => q.withheld_for(now),
            false => q.backlog(now),
        });
        waits.max().unwrap_or_default()
    }

    /// When the stages of a job that comes now would be done, behind all that is
    /// to be done for the jobs that can be in time and are as urgent.
    ///
    /// The load that it answers: a burst that is more than the upstreams can do.
    /// Served in the order of their deadlines, all requests end just too late.
    pub(crate) fn expected_end(&self, now: MonoTime, progress: &JobProgress) -> MonoTime {
        let priority = progress.job().priority;
        let rival = |j: &ScheduledJob| !j.beside && j.progress.job().priority <= priority;
        self.end_behind(now, progress, rival)
    }

    /// When the stages of a job would be done behind all that is to be done for the
    /// `rivals` among the others.
    fn end_behind(
        &self,
        now: MonoTime,
        progress: &JobProgress,
        rivals: impl Fn(&ScheduledJob) -> bool,
    ) -> MonoTime {
        let spec = progress.job();
        let mut ends: Vec<MonoTime> = Vec::with_capacity(spec.stages.len());
        for stage in &spec.stages {
            let inputs = stage.after.iter().filter_map(|a| ends.get(*a)).copied();
            let ready = inputs.max().unwrap_or(now);
            let queue = self.queues.get(&stage.service).filter(|_| stage.pieces > 0);
            ends.push(match queue {
                Some(queue) => {
                    let ahead = self.ahead(&stage.service, &rivals);
                    let free = now + queue.time_for(now, ahead);
                    ready.max(free) + queue.call_time(stage.pieces)
                }
                None => ready,
            });
        }
        ends.into_iter().max().unwrap_or(now)
    }

    /// Pieces of the `rivals` that no upstream was asked for yet, also those of stages
    /// that have not begun.
    fn ahead(&self, service: &str, rivals: impl Fn(&ScheduledJob) -> bool) -> usize {
        let jobs = self.jobs.values().filter(|j| rivals(j));
        jobs.map(|j| j.progress.unasked(service)).sum()
    }

    /// How long the stages from `stage` on take, its own wait not counted and
    /// those at later stages as they have been lately. Without these, upstreams
    /// would be kept busy with what is in time now and late one stage later.
    pub(crate) fn path_time(&self, progress: &JobProgress, stage: usize) -> Duration {
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.call_time(pieces) + q.usual_wait)
        };
        let service = &progress.job().stages[stage].service;
        let own_wait = self.queues.get(service).map(|q| q.usual_wait);
        let path = progress.path_time(stage, &call_time);
        path.saturating_sub(own_wait.unwrap_or_default())
    }

    /// How long the stages from `stage` on take at the very least: calls for one piece,
    /// without a wait, no slower than the operator's figures say.
    pub(crate) fn least_time(&self, progress: &JobProgress, stage: usize) -> Duration {
        let call_time = |service: &str, _pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| {
                q.spec.call_time(1).mul_f64(q.pace.min(1.0))
            })
        };
        progress.path_time(stage, &call_time)
    }

    /// Services where more late work waits than fits into one call. Late jobs are
    /// not begun that lead there: their results would expire before their turn.
    pub(crate) fn clogged(&self) -> Vec<CompactString> {
        let clogged = self.queues.iter().filter(|(_, q)| {
            let begun = q
                .waiting
                .keys()
                .filter(|r| r.chance == Feasibility::LateBegun);
            begun.count() > q.spec.pieces
        });
        clogged.map(|(service, _)| service.clone()).collect()
    }

    /// How long the pieces of a stage wait because another chain of stages of
    /// the same job takes longer.
    pub(crate) fn put_off(&self, key: JobKey, stage: usize) -> Duration {
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.call_time(pieces))
        };
        let Some(job) = self.jobs.get(&key) else {
            return Duration::ZERO;
        };
        let first = job.progress.job().stages[stage].after.is_empty();
        match first && job.starts_over == 0 {
            true => job.progress.spare_time(stage, &call_time) * PUT_OFF_PERCENT / 100,
            false => Duration::ZERO,
        }
    }
}
