//! One job of the scheduler.

use std::collections::HashMap;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::PieceInput;
use crate::PieceKey;
use crate::PieceRequest;
use crate::job_progress::JobProgress;

/// One job of the scheduler: its progress, and the failures so far.
#[derive(Debug)]
pub(crate) struct ScheduledJob {
    pub(crate) progress: JobProgress,
    /// How often each piece has been tried; pieces that have not failed are left out.
    pub(crate) attempts: HashMap<PieceKey, u32>,
    /// How often stages were run again because their results were gone.
    pub(crate) restarts: u32,
    /// True if the job could not be on time when it was submitted. It is served only after the
    /// jobs that can be.
    pub(crate) best_effort: bool,
    /// True if an earlier owner ran some of its pieces. The job then ends sooner than expected,
    /// which says nothing about other jobs.
    pub(crate) has_adopted: bool,
    /// When the job was expected to end at its submission, without the correction for bias.
    pub(crate) expected_end: MonoTime,
}

impl ScheduledJob {
    /// True if a piece needs no results of other stages.
    pub(crate) fn is_first_stage(&self, piece: PieceKey) -> bool {
        self.progress.job().stages[piece.stage].after.is_empty()
    }

    /// True if one of the job's stages is run by one of these services.
    pub(crate) fn uses_any(&self, services: &[CompactString]) -> bool {
        let stages = self.progress.job().stages.iter();
        let mut used = stages.filter(|s| s.pieces > 0);
        used.any(|s| services.contains(&s.service))
    }

    pub(crate) fn result_bytes(&self, piece: PieceKey) -> u64 {
        self.progress.job().stages[piece.stage].result_bytes
    }

    /// The request for a piece as it is sent to an upstream.
    pub(crate) fn piece_request(&self, now: MonoTime, piece: PieceKey) -> PieceRequest {
        let job = self.progress.job();
        let input = match job.stages[piece.stage].after.is_empty() {
            true => PieceInput::Caller(job.piece_key.clone()),
            false => PieceInput::Results(self.progress.inputs(piece.stage)),
        };
        PieceRequest {
            request_id: job.request_id.clone(),
            content: job.content,
            key: piece,
            time_left: job.deadline.since(now),
            input,
        }
    }
}
