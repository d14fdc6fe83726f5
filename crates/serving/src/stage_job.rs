//! The stages of one request, and how far they are.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

/// One stage of a [`StageJob`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStage {
    /// The service that does it.
    pub service: CompactString,
    /// The stages whose results it needs.
    pub after: Vec<usize>,
    /// How many pieces it has; 0 leaves it out.
    pub pieces: usize,
    /// The approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// The stages of one request: everything an owner needs to run them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageJob {
    /// The identity of the caller's attempt.
    pub request_id: CompactString,
    /// What first stages work on.
    pub piece_key: CompactString,
    /// The stages, by number.
    pub stages: Vec<JobStage>,
    /// When all of them have to be done for an answer in time.
    pub objective: MonoTime,
    /// After that nobody waits any more.
    pub deadline: MonoTime,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The availability zone where the results are wanted.
    pub zone: Option<Name>,
}

/// One piece of one stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceKey {
    /// The stage's number.
    pub stage: usize,
    /// The piece's number in its stage.
    pub piece: usize,
}

/// How far the stages of one request are.
#[derive(Debug)]
pub(crate) struct JobProgress {
    job: StageJob,
    results: Vec<Vec<Option<CompactString>>>,
    started: Vec<bool>,
}

impl JobProgress {
    pub(crate) fn new(job: StageJob) -> JobProgress {
        let results = job.stages.iter().map(|s| vec![None; s.pieces]).collect();
        let started = vec![false; job.stages.len()];
        JobProgress {
            job,
            results,
            started,
        }
    }

    pub(crate) fn job(&self) -> &StageJob {
        &self.job
    }

    /// Stages whose inputs are all there and that were not returned before.
    pub(crate) fn start_ready(&mut self) -> Vec<usize> {
        let ready: Vec<usize> = (0..self.job.stages.len())
            .filter(|s| !self.started[*s])
            .filter(|s| self.job.stages[*s].after.iter().all(|a| self.is_done(*a)))
            .collect();
        for stage in &ready {
            self.started[*stage] = true;
        }
        ready
    }

    pub(crate) fn is_done(&self, stage: usize) -> bool {
        let results = self.results.get(stage);
        results.is_some_and(|r| r.iter().all(Option::is_some))
    }

    pub(crate) fn done(&mut self, key: PieceKey, handle: CompactString) {
        if let Some(slot) = self
            .results
            .get_mut(key.stage)
            .and_then(|r| r.get_mut(key.piece))
        {
            *slot = Some(handle);
        }
    }

    pub(crate) fn has(&self, key: PieceKey) -> bool {
        let stage = self.results.get(key.stage);
        stage.is_some_and(|r| r.get(key.piece).is_some_and(Option::is_some))
    }

    /// The results that a stage works on.
    pub(crate) fn inputs(&self, stage: usize) -> Vec<CompactString> {
        let after = &self.job.stages[stage].after;
        let results = after.iter().flat_map(|a| self.results[*a].iter());
        results.flatten().cloned().collect()
    }

    /// All results so far.
    pub(crate) fn all(&self) -> Vec<CompactString> {
        self.results.iter().flatten().flatten().cloned().collect()
    }

    /// The results that no other stage works on, once all stages are done.
    pub(crate) fn outcome(&self) -> Option<Vec<CompactString>> {
        let stages = 0..self.job.stages.len();
        if !stages.clone().all(|s| self.is_done(s)) {
            return None;
        }
        let last = stages.filter(|s| !self.is_needed(*s));
        let results = last.flat_map(|s| self.results[s].iter());
        Some(results.flatten().cloned().collect())
    }

    /// The results that were only for stages which are done now.
    pub(crate) fn used_up(&self, stage: usize) -> Vec<CompactString> {
        let after = self.job.stages[stage].after.iter();
        let used = after.filter(|a| self.dependents(**a).all(|d| self.is_done(d)));
        let results = used.flat_map(|a| self.results[*a].iter());
        results.flatten().cloned().collect()
    }

    /// How long the stages from `stage` on take at least, by `call_time` of
    /// each service and without waiting.
    pub(crate) fn path_time(
        &self,
        stage: usize,
        call_time: &impl Fn(&str, usize) -> Duration,
    ) -> Duration {
        let spec = &self.job.stages[stage];
        let own = match spec.pieces {
            0 => Duration::ZERO,
            n => call_time(&spec.service, n),
        };
        let rest = self.dependents(stage).map(|d| self.path_time(d, call_time));
        own + rest.max().unwrap_or(Duration::ZERO)
    }

    fn is_needed(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_some()
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        let all = 0..self.job.stages.len();
        // A stage only follows earlier ones, so that this ends.
        all.filter(move |d| *d > stage && self.job.stages[*d].after.contains(&stage))
    }
}
