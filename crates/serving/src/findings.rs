//! What the crashes of upstreams say about the contents that were present.

use std::collections::HashMap;
use std::time::Duration;

use jd_types::MonoTime;

use crate::Content;
use crate::PROMPT_CRASH;
use crate::content_evidence::Evidence;

/// The result of evaluating the crashes of upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Contents that may have crashed upstreams.
    pub suspected: Vec<Finding>,
    /// Contents that have crashed upstreams.
    pub quarantined: Vec<Finding>,
    /// Contents that were quarantined and turned out not to have crashed upstreams.
    pub released: Vec<Content>,
}

impl Findings {
    /// Adds contents that may have crashed upstreams, each once.
    pub(crate) fn add_suspects(
        &mut self,
        suspects: impl Iterator<Item = Content>,
        evidence: &HashMap<Content, Evidence>,
    ) {
        for suspect in suspects {
            let is_new = self.suspected.iter().all(|f| f.content != suspect);
            if let Some(item) = evidence.get(&suspect).filter(|_| is_new) {
                self.suspected.push(item.finding(suspect));
            }
        }
    }
}

/// What all instances were told of a content that is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// When they were told.
    pub since: MonoTime,
    /// True if the store records it.
    pub is_recorded: bool,
}

/// A content with the evidence against it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The request, or the part of prompts.
    pub content: Content,
    /// True for a part of prompts.
    pub is_part: bool,
    /// Upstream crashes with it that count.
    pub crashes: usize,
    /// How many of these came after an answer to it had begun.
    pub answered: usize,
    /// All upstreams that crashed with it: those of one moment count as one crash.
    pub upstreams: usize,
    /// The longest time to such a crash from the beginning of an answer, or else from sending.
    pub longest_run: Duration,
    /// The time of the last such crash.
    pub last_crash: MonoTime,
}

impl Finding {
    /// True if the content most likely is the cause: it was present at several moments, and each crash
    /// came right after an answer to it had begun.
    pub fn is_strong(&self) -> bool {
        self.crashes > 1 && self.answered == self.crashes && self.longest_run <= PROMPT_CRASH
    }
}
