//! One job at the desk.

use std::collections::HashMap;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::PieceInput;
use crate::PieceKey;
use crate::PieceRequest;
use crate::stage_job::JobProgress;

/// One job at the desk: how far it is and what went wrong with it.
#[derive(Debug)]
pub(crate) struct ScheduledJob {
    pub(crate) progress: JobProgress,
    pub(crate) tries: HashMap<PieceKey, u32>,
    pub(crate) starts_over: u32,
    /// True if it could not be in time when it came, so that it is worked on
    /// only beside those that can.
    pub(crate) beside: bool,
    pub(crate) expected: MonoTime,
}

impl ScheduledJob {
    pub(crate) fn is_first(&self, piece: PieceKey) -> bool {
        self.progress.job().stages[piece.stage].after.is_empty()
    }

    /// True if one of its stages is done by one of these services.
    pub(crate) fn leads_to(&self, services: &[CompactString]) -> bool {
        let stages = self.progress.job().stages.iter();
        let mut used = stages.filter(|s| s.pieces > 0);
        used.any(|s| services.contains(&s.service))
    }

    pub(crate) fn result_bytes(&self, piece: PieceKey) -> u64 {
        self.progress.job().stages[piece.stage].result_bytes
    }

    pub(crate) fn order(&self, now: MonoTime, piece: PieceKey) -> PieceRequest {
        let job = self.progress.job();
        let source = match job.stages[piece.stage].after.is_empty() {
            true => PieceInput::Caller(job.piece_key.clone()),
            false => PieceInput::Results(self.progress.inputs(piece.stage)),
        };
        PieceRequest {
            request_id: job.request_id.clone(),
            content: job.content,
            key: piece,
            time_left: job.deadline.since(now),
            input: source,
        }
    }
}
