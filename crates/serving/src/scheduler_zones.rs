//! Where pieces are best worked on, and how long they wait for that.

use std::time::Duration;

use jd_types::Name;

use crate::JobKey;
use crate::StageScheduler;
use crate::scheduled_job::ScheduledJob;
use crate::stage_job::JobProgress;

/// The part of its spare time, in hundredths, that a piece waits for an upstream in
/// the zone where its inputs lie or its result is read, if one will be free by then.
/// Every piece reads all of its inputs, so a stage elsewhere moves megabytes between
/// zones. Mean of six days of 34 s: 11.2 GB crossed zones with 20 and 200 ms at most,
/// 8.2 GB so, with as much in time; 5.9 GB with 75, and less in time.
const NEAR_WAIT_PERCENT: u32 = 50;
/// The longest such wait: a call, after which each upstream is free once.
const NEAR_WAIT_MOST: Duration = Duration::from_millis(350);

impl StageScheduler {
    /// How long a piece with so much spare time waits for an upstream in its zone: not
    /// at all while what it works on takes room that is scarce.
    ///
    /// The load that it answers: a burst that fills the room of a stage's upstreams.
    /// Their results waited for the zone that they were to be read in, the room stayed
    /// taken, and the next calls waited for it, a fifth of the time.
    pub(crate) fn near_wait(
        &self,
        progress: &JobProgress,
        stage: usize,
        spare: Duration,
    ) -> Duration {
        match self.is_scarce(&progress.inputs(stage)) {
            true => Duration::ZERO,
            false => (spare * NEAR_WAIT_PERCENT / 100).min(NEAR_WAIT_MOST),
        }
    }

    /// The zone where a piece of a stage is best worked on: where the fewest bytes
    /// cross zones, of its inputs and its result. Every piece reads all inputs.
    pub(crate) fn wanted_zone(&self, job: &ScheduledJob, stage: usize) -> Option<Name> {
        // Of equal sums the first counts, an input's.
        let most = self.zone_bytes(job, stage).into_iter().rev();
        most.max_by_key(|(_, size)| *size).map(|(zone, _)| zone)
    }

    /// The bytes that a piece of a stage reads, by the zone where they lie, and
    /// last those of its result, where that is wanted.
    fn zone_bytes(&self, job: &ScheduledJob, stage: usize) -> Vec<(Name, u64)> {
        let mut bytes: Vec<(Name, u64)> = Vec::new();
        let mut add = |zone: Name, size: u64| match bytes.iter_mut().find(|(z, _)| *z == zone) {
            Some((_, sum)) => *sum += size,
            None => bytes.push((zone, size)),
        };
        for input in job.progress.inputs(stage) {
            if let Some((zone, size)) = self.result_at(&input) {
                add(zone, size);
            }
        }
        let spec = job.progress.job();
        if let Some(zone) = spec.zone.clone().filter(|_| !job.progress.is_needed(stage)) {
            add(zone, spec.stages[stage].result_bytes);
        }
        bytes
    }

    /// Bytes that cross zones if an upstream in `zone` works on a piece.
    pub(crate) fn far_bytes(&self, key: JobKey, stage: usize, zone: &Name) -> u64 {
        let Some(job) = self.jobs.get(&key) else {
            return 0;
        };
        let bytes = self.zone_bytes(job, stage);
        let far = bytes.iter().filter(|(z, _)| z != zone);
        far.map(|(_, size)| size).sum()
    }

    /// The zone where a result lies, and its size.
    fn result_at(&self, handle: &str) -> Option<(Name, u64)> {
        let (service, upstream, size) = self.room.place(handle)?;
        let mut upstreams = self.queues.get(service)?.upstreams.iter();
        let upstream = upstreams.find(|u| u.id == *upstream)?;
        Some((upstream.zone.clone(), size))
    }
}
