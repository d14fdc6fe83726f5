//! The stages of one request, and how far they are.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::Content;

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
    /// What the request is, the same for each attempt of its caller at it.
    pub content: Content,
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

impl StageJob {
    /// Bytes of the results that the request itself works on.
    pub fn output_bytes(&self) -> u64 {
        let numbered = self.stages.iter().enumerate();
        let last = numbered.filter(|(n, _)| !self.stages.iter().any(|s| s.after.contains(n)));
        last.map(|(_, s)| s.result_bytes * s.pieces as u64).sum()
    }
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
    results: Vec<Vec<PieceState>>,
    started: Vec<bool>,
}

/// How far one piece is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum PieceState {
    /// It waits, or its stage has not begun.
    #[default]
    Open,
    /// An upstream was asked for it.
    Sent,
    /// Its result lies there.
    Done(CompactString),
    /// Its result has been read by everything that needs it.
    Read,
}

impl JobProgress {
    pub(crate) fn new(job: StageJob) -> JobProgress {
        let results = job
            .stages
            .iter()
            .map(|s| vec![PieceState::Open; s.pieces])
            .collect();
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
            .filter(|s| self.is_ready(*s))
            .collect();
        for stage in &ready {
            self.started[*stage] = true;
        }
        ready
    }

    pub(crate) fn is_done(&self, stage: usize) -> bool {
        let made = |p: &PieceState| matches!(p, PieceState::Done(_) | PieceState::Read);
        self.results.get(stage).is_some_and(|r| r.iter().all(made))
    }

    /// An upstream was asked for the piece.
    pub(crate) fn sent(&mut self, key: PieceKey) {
        self.set(key, PieceState::Sent);
    }

    /// The piece has to be asked for again.
    pub(crate) fn open(&mut self, key: PieceKey) {
        self.set(key, PieceState::Open);
    }

    pub(crate) fn done(&mut self, key: PieceKey, handle: CompactString) {
        self.set(key, PieceState::Done(handle));
    }

    /// True if nobody has been asked for the piece.
    pub(crate) fn is_open(&self, key: PieceKey) -> bool {
        self.state(key) == Some(&PieceState::Open)
    }

    /// True if the piece's result is wanted.
    pub(crate) fn is_wanted(&self, key: PieceKey) -> bool {
        matches!(self.state(key), Some(PieceState::Open | PieceState::Sent))
    }

    /// True if no upstream was asked for any piece, or all have to be asked for
    /// again.
    pub(crate) fn is_untouched(&self) -> bool {
        let mut pieces = self.results.iter().flatten();
        pieces.all(|p| *p == PieceState::Open)
    }

    /// Pieces of a service that no upstream was asked for yet.
    pub(crate) fn unasked(&self, service: &str) -> usize {
        let stages = self.job.stages.iter().zip(&self.results);
        let own = stages.filter(|(s, _)| s.service == service);
        let open = |pieces: &Vec<PieceState>| {
            let open = pieces.iter().filter(|p| **p == PieceState::Open);
            open.count()
        };
        own.map(|(_, pieces)| open(pieces)).sum()
    }

    /// True if every piece that works on the results of `stage` has been asked
    /// for, and none has to be asked for again.
    pub(crate) fn is_read_by_all(&self, stage: usize) -> bool {
        let asked = |s: usize| self.results[s].iter().all(|p| *p != PieceState::Open);
        self.is_needed(stage) && self.dependents(stage).all(asked)
    }

    /// True if every stage that works on the results of `stage` is done.
    pub(crate) fn is_used_up(&self, stage: usize) -> bool {
        self.dependents(stage).all(|d| self.is_done(d))
    }

    /// The results of `stage` that lie somewhere.
    pub(crate) fn results_of(&self, stage: usize) -> Vec<CompactString> {
        let pieces = self.results[stage].iter();
        pieces.filter_map(PieceState::handle).collect()
    }

    /// Everything that needs the results of `stage` has read them; returns them.
    pub(crate) fn read(&mut self, stage: usize) -> Vec<CompactString> {
        let pieces = self.results[stage].iter_mut();
        let read = pieces.map(|p| std::mem::replace(p, PieceState::Read));
        read.filter_map(PieceState::into_handle).collect()
    }

    /// The results that `stage` works on are gone: the stages before it start
    /// over, and what is left of it waits for them. Returns the results of
    /// those stages that still lie somewhere.
    pub(crate) fn start_over(&mut self, stage: usize) -> Vec<CompactString> {
        self.started[stage] = false;
        let mut left = Vec::new();
        for before in self.job.stages[stage].after.clone() {
            if !self.is_done(before) {
                continue;
            }
            let was_read = self.results[before].contains(&PieceState::Read);
            let pieces = self.results[before].iter_mut();
            left.extend(
                pieces
                    .map(std::mem::take)
                    .filter_map(PieceState::into_handle),
            );
            self.started[before] = false;
            if was_read || !self.job.stages[before].after.is_empty() {
                left.extend(self.start_over(before));
            }
        }
        left
    }

    /// True if all results that a stage works on have been made.
    pub(crate) fn is_ready(&self, stage: usize) -> bool {
        let mut after = self.job.stages[stage].after.iter();
        after.all(|a| self.is_done(*a))
    }

    /// True if results that a stage works on have been given up.
    pub(crate) fn lacks_inputs(&self, stage: usize) -> bool {
        let mut after = self.job.stages[stage].after.iter();
        after.any(|a| self.results[*a].contains(&PieceState::Read))
    }

    fn state(&self, key: PieceKey) -> Option<&PieceState> {
        self.results.get(key.stage)?.get(key.piece)
    }

    fn set(&mut self, key: PieceKey, state: PieceState) {
        let stage = self.results.get_mut(key.stage);
        if let Some(slot) = stage.and_then(|r| r.get_mut(key.piece)) {
            *slot = state;
        }
    }

    /// The results that a stage works on.
    pub(crate) fn inputs(&self, stage: usize) -> Vec<CompactString> {
        let after = self.job.stages[stage].after.iter();
        after.flat_map(|a| self.results_of(*a)).collect()
    }

    /// The pieces whose results are among these.
    pub(crate) fn makers(&self, handles: &[CompactString]) -> Vec<PieceKey> {
        let mut makers = Vec::new();
        for (stage, pieces) in self.results.iter().enumerate() {
            for (piece, state) in pieces.iter().enumerate() {
                if matches!(state, PieceState::Done(h) if handles.contains(h)) {
                    makers.push(PieceKey { stage, piece });
                }
            }
        }
        makers
    }

    /// The result of a piece is gone; returns the stages that have to wait for it
    /// again.
    pub(crate) fn lost(&mut self, piece: PieceKey) -> Vec<usize> {
        self.open(piece);
        let waiting: Vec<usize> = self.dependents(piece.stage).collect();
        for stage in &waiting {
            self.started[*stage] = false;
        }
        waiting
    }

    /// All results that lie somewhere.
    pub(crate) fn all(&self) -> Vec<CompactString> {
        let results = self.results.iter().flatten();
        results.filter_map(PieceState::handle).collect()
    }

    /// The results that no other stage works on, once all stages are done.
    pub(crate) fn outcome(&self) -> Option<Vec<CompactString>> {
        let stages = 0..self.job.stages.len();
        if !stages.clone().all(|s| self.is_done(s)) {
            return None;
        }
        let last = stages.filter(|s| !self.is_needed(*s));
        let results = last.flat_map(|s| self.results[s].iter());
        Some(results.filter_map(PieceState::handle).collect())
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

    /// The stages of the longest chain that has pieces.
    pub(crate) fn depth(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.job.stages.len());
        for stage in &self.job.stages {
            let before = stage.after.iter().filter_map(|a| depths.get(*a)).max();
            depths.push(before.copied().unwrap_or(0) + usize::from(stage.pieces > 0));
        }
        depths.into_iter().max().unwrap_or(0)
    }

    /// How much later than the longest chain of stages `stage` may begin and
    /// still not be the last to end.
    pub(crate) fn spare_time(
        &self,
        stage: usize,
        call_time: &impl Fn(&str, usize) -> Duration,
    ) -> Duration {
        let all = 0..self.job.stages.len();
        let longest = all.map(|s| self.path_time(s, call_time)).max();
        let own = self.path_time(stage, call_time);
        longest.unwrap_or_default().saturating_sub(own)
    }

    /// True if another stage works on the results of `stage`.
    pub(crate) fn is_needed(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_some()
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        let all = 0..self.job.stages.len();
        // A stage only follows earlier ones, so that this ends.
        all.filter(move |d| *d > stage && self.job.stages[*d].after.contains(&stage))
    }
}

impl PieceState {
    fn handle(&self) -> Option<CompactString> {
        match self {
            PieceState::Done(handle) => Some(handle.clone()),
            _ => None,
        }
    }

    fn into_handle(self) -> Option<CompactString> {
        match self {
            PieceState::Done(handle) => Some(handle),
            _ => None,
        }
    }
}
