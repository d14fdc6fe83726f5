//! The progress of the stages of one request.

use std::time::Duration;

use compact_str::CompactString;

use crate::PieceKey;
use crate::StageJob;

/// The progress of the stages of one request.
#[derive(Debug)]
pub(crate) struct JobProgress {
    job: StageJob,
    pieces: Vec<Vec<PieceState>>,
    started: Vec<bool>,
}

/// The state of one piece.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum PieceState {
    /// The piece waits to be sent, or its stage has not started.
    #[default]
    Pending,
    /// The piece has been sent to an upstream.
    Sent,
    /// The piece is done, and its result is stored under this handle.
    Done(CompactString),
    /// All pieces that need the result have read it, and it is released.
    Read,
}

impl JobProgress {
    pub(crate) fn new(job: StageJob) -> JobProgress {
        let pieces = job
            .stages
            .iter()
            .map(|s| vec![PieceState::Pending; s.pieces])
            .collect();
        let started = vec![false; job.stages.len()];
        JobProgress {
            job,
            pieces,
            started,
        }
    }

    pub(crate) fn job(&self) -> &StageJob {
        &self.job
    }

    /// Marks the stages whose inputs are all done as started, and returns them. Stages that have
    /// been started before are left out.
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

    /// True if all pieces of a stage are done.
    pub(crate) fn is_done(&self, stage: usize) -> bool {
        let is_done = |p: &PieceState| matches!(p, PieceState::Done(_) | PieceState::Read);
        self.pieces
            .get(stage)
            .is_some_and(|r| r.iter().all(is_done))
    }

    /// Records that a piece has been sent to an upstream.
    pub(crate) fn mark_sent(&mut self, key: PieceKey) {
        self.set(key, PieceState::Sent);
    }

    /// Records that a piece has to be sent again.
    pub(crate) fn reopen(&mut self, key: PieceKey) {
        self.set(key, PieceState::Pending);
    }

    /// Records the result of a piece.
    pub(crate) fn mark_done(&mut self, key: PieceKey, handle: CompactString) {
        self.set(key, PieceState::Done(handle));
    }

    /// True if the piece has not been sent, or has to be sent again.
    pub(crate) fn is_unsent(&self, key: PieceKey) -> bool {
        self.state(key) == Some(&PieceState::Pending)
    }

    /// True if the piece has no result yet.
    pub(crate) fn is_unfinished(&self, key: PieceKey) -> bool {
        matches!(
            self.state(key),
            Some(PieceState::Pending | PieceState::Sent)
        )
    }

    /// True if no piece has been sent, or all of them have to be sent again.
    pub(crate) fn is_unstarted(&self) -> bool {
        let mut pieces = self.pieces.iter().flatten();
        pieces.all(|p| *p == PieceState::Pending)
    }

    /// True if a piece has been sent and has no result yet.
    pub(crate) fn has_sent_pieces(&self) -> bool {
        self.pieces.iter().flatten().any(|p| *p == PieceState::Sent)
    }

    /// The number of pieces of a service that have not been sent.
    pub(crate) fn unsent_pieces(&self, service: &str) -> usize {
        let stages = self.job.stages.iter().zip(&self.pieces);
        let of_service = stages.filter(|(s, _)| s.service == service);
        let count_unsent = |pieces: &Vec<PieceState>| {
            let unsent = pieces.iter().filter(|p| **p == PieceState::Pending);
            unsent.count()
        };
        of_service.map(|(_, pieces)| count_unsent(pieces)).sum()
    }

    /// True if all pieces that need the results of `stage` have been sent, and none has to be sent
    /// again.
    pub(crate) fn all_readers_sent(&self, stage: usize) -> bool {
        let all_sent = |s: usize| self.pieces[s].iter().all(|p| *p != PieceState::Pending);
        self.has_dependents(stage) && self.dependents(stage).all(all_sent)
    }

    /// True if all stages that need the results of `stage` are done.
    pub(crate) fn all_readers_done(&self, stage: usize) -> bool {
        self.dependents(stage).all(|d| self.is_done(d))
    }

    /// The results of `stage` that are stored at upstreams.
    pub(crate) fn results_of(&self, stage: usize) -> Vec<CompactString> {
        let pieces = self.pieces[stage].iter();
        pieces.filter_map(PieceState::handle).collect()
    }

    /// Records that all pieces that need the results of `stage` have read them, and returns the
    /// results.
    pub(crate) fn mark_read(&mut self, stage: usize) -> Vec<CompactString> {
        let pieces = self.pieces[stage].iter_mut();
        let read = pieces.map(|p| std::mem::replace(p, PieceState::Read));
        read.filter_map(PieceState::into_handle).collect()
    }

    /// Resets the stages that `stage` depends on, directly or not, because inputs are gone. Their
    /// pieces have to be run again, and the unfinished pieces of `stage` wait for them. Returns the
    /// results of the reset stages that are still stored.
    pub(crate) fn restart_inputs(&mut self, stage: usize) -> Vec<CompactString> {
        self.started[stage] = false;
        let mut stored = Vec::new();
        for input_stage in self.job.stages[stage].after.clone() {
            if !self.is_done(input_stage) {
                continue;
            }
            let was_read = self.pieces[input_stage].contains(&PieceState::Read);
            let pieces = self.pieces[input_stage].iter_mut();
            stored.extend(
                pieces
                    .map(std::mem::take)
                    .filter_map(PieceState::into_handle),
            );
            self.started[input_stage] = false;
            if was_read || !self.job.stages[input_stage].after.is_empty() {
                stored.extend(self.restart_inputs(input_stage));
            }
        }
        stored
    }

    /// True if all inputs of a stage are done.
    pub(crate) fn is_ready(&self, stage: usize) -> bool {
        let mut after = self.job.stages[stage].after.iter();
        after.all(|a| self.is_done(*a))
    }

    /// True if inputs of a stage have been released.
    pub(crate) fn has_released_inputs(&self, stage: usize) -> bool {
        let mut after = self.job.stages[stage].after.iter();
        after.any(|a| self.pieces[*a].contains(&PieceState::Read))
    }

    fn state(&self, key: PieceKey) -> Option<&PieceState> {
        self.pieces.get(key.stage)?.get(key.piece)
    }

    fn set(&mut self, key: PieceKey, state: PieceState) {
        let stage = self.pieces.get_mut(key.stage);
        if let Some(slot) = stage.and_then(|r| r.get_mut(key.piece)) {
            *slot = state;
        }
    }

    /// The inputs of a stage.
    pub(crate) fn inputs(&self, stage: usize) -> Vec<CompactString> {
        let after = self.job.stages[stage].after.iter();
        after.flat_map(|a| self.results_of(*a)).collect()
    }

    /// The pieces that produced any of these results.
    pub(crate) fn producers(&self, handles: &[CompactString]) -> Vec<PieceKey> {
        let mut producers = Vec::new();
        for (stage, pieces) in self.pieces.iter().enumerate() {
            for (piece, state) in pieces.iter().enumerate() {
                if matches!(state, PieceState::Done(h) if handles.contains(h)) {
                    producers.push(PieceKey { stage, piece });
                }
            }
        }
        producers
    }

    /// Records that the result of a piece is gone, and returns the stages that have to wait for it
    /// again.
    pub(crate) fn mark_lost(&mut self, piece: PieceKey) -> Vec<usize> {
        self.reopen(piece);
        let dependents: Vec<usize> = self.dependents(piece.stage).collect();
        for stage in &dependents {
            self.started[*stage] = false;
        }
        dependents
    }

    /// The results that are stored at upstreams, each with the piece that produced it.
    pub(crate) fn stored_results(&self) -> impl Iterator<Item = (PieceKey, &CompactString)> {
        let stages = self.pieces.iter().enumerate();
        stages.flat_map(|(stage, pieces)| {
            let pieces = pieces.iter().enumerate();
            pieces.filter_map(move |(piece, state)| match state {
                PieceState::Done(handle) => Some((PieceKey { stage, piece }, handle)),
                _ => None,
            })
        })
    }

    /// Marks the stages as read whose results are needed by no unfinished stage, and returns the
    /// results that are still stored. Without this, a stage would run again whose results another
    /// scheduler released after all of their readers were done.
    pub(crate) fn mark_read_stages(&mut self) -> Vec<CompactString> {
        let mut read = Vec::new();
        for stage in (0..self.pieces.len()).rev() {
            let readers = self.dependents(stage);
            let readers: Vec<usize> = readers.filter(|d| !self.pieces[*d].is_empty()).collect();
            if !readers.is_empty() && readers.iter().all(|d| self.is_done(*d)) {
                read.extend(self.mark_read(stage));
            }
        }
        read
    }

    /// All results that are stored at upstreams.
    pub(crate) fn all_results(&self) -> Vec<CompactString> {
        let results = self.pieces.iter().flatten();
        results.filter_map(PieceState::handle).collect()
    }

    /// The results that no other stage reads, once all stages are done.
    pub(crate) fn final_results(&self) -> Option<Vec<CompactString>> {
        let stages = 0..self.job.stages.len();
        if !stages.clone().all(|s| self.is_done(s)) {
            return None;
        }
        let outputs = stages.filter(|s| !self.has_dependents(*s));
        let results = outputs.flat_map(|s| self.pieces[s].iter());
        Some(results.filter_map(PieceState::handle).collect())
    }

    /// The duration of the longest chain of stages that begins with `stage`. `call_time` returns
    /// the time that a service takes for a number of pieces.
    pub(crate) fn critical_path(
        &self,
        stage: usize,
        call_time: &impl Fn(&str, usize) -> Duration,
    ) -> Duration {
        let spec = &self.job.stages[stage];
        let own = match spec.pieces {
            0 => Duration::ZERO,
            n => call_time(&spec.service, n),
        };
        let rest = self
            .dependents(stage)
            .map(|d| self.critical_path(d, call_time));
        own + rest.max().unwrap_or(Duration::ZERO)
    }

    /// The number of stages in the longest chain; stages without pieces do not count.
    pub(crate) fn chain_length(&self) -> usize {
        let mut depths: Vec<usize> = Vec::with_capacity(self.job.stages.len());
        for stage in &self.job.stages {
            let before = stage.after.iter().filter_map(|a| depths.get(*a)).max();
            depths.push(before.copied().unwrap_or(0) + usize::from(stage.pieces > 0));
        }
        depths.into_iter().max().unwrap_or(0)
    }

    /// How much later than the longest chain of stages `stage` may start without being the last to
    /// end.
    pub(crate) fn slack(
        &self,
        stage: usize,
        call_time: &impl Fn(&str, usize) -> Duration,
    ) -> Duration {
        let all = 0..self.job.stages.len();
        let longest = all.map(|s| self.critical_path(s, call_time)).max();
        let own = self.critical_path(stage, call_time);
        longest.unwrap_or_default().saturating_sub(own)
    }

    /// True if another stage reads the results of `stage`.
    pub(crate) fn has_dependents(&self, stage: usize) -> bool {
        self.dependents(stage).next().is_some()
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        let all = 0..self.job.stages.len();
        // A stage depends only on earlier ones, so recursion over dependents ends.
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
