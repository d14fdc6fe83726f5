//! The stages of one request.

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::Content;
use crate::PromptDemand;

/// One stage of a [`StageJob`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStage {
    /// The service that runs it.
    pub service: CompactString,
    /// The stages whose results it needs.
    pub after: Vec<usize>,
    /// The number of pieces; a stage with 0 pieces is skipped.
    pub pieces: usize,
    /// The approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// The stages of one request, with everything that an owner needs to run them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageJob {
    /// The request id of the caller's attempt.
    pub request_id: CompactString,
    /// The content of the request, which is the same for each attempt of its caller.
    pub content: Content,
    /// The key that names the input of the first stages.
    pub piece_key: CompactString,
    /// The stages. Their positions are their numbers.
    pub stages: Vec<JobStage>,
    /// When all stages have to be done for the request to be on time.
    pub objective: MonoTime,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The availability zone in which the results will be read.
    pub zone: Option<Name>,
    /// A hash of the customer; 0 if unknown.
    pub customer: u64,
    /// Set if the owner is to select the upstream of the request's prompt.
    pub prompt: Option<PromptDemand>,
    /// True if the stages ran before, and no upstream runs the request any more.
    pub runs_again: bool,
}

impl StageJob {
    /// True if there is nothing to run, as for a request that only asks where its prompt is placed.
    pub fn is_empty(&self) -> bool {
        self.stages.iter().all(|s| s.pieces == 0)
    }

    /// Bytes of the results that the request itself needs.
    pub fn output_bytes(&self) -> u64 {
        let numbered = self.stages.iter().enumerate();
        let outputs = numbered.filter(|(n, _)| !self.stages.iter().any(|s| s.after.contains(n)));
        outputs.map(|(_, s)| s.result_bytes * s.pieces as u64).sum()
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
