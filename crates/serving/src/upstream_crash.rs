//! The crash of an upstream, and the contents that may have caused it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;
use crate::PartContent;
use crate::RunContents;
use crate::UpstreamStart;

/// Contents that are kept of one crash: the largest upstreams process 64 requests concurrently,
/// and a prompt has a few shared parts.
const MAX_CONTENTS_PER_CRASH: usize = 512;

/// Time from the beginning of an answer after which a crash of the upstream is not held against
/// the run, and the run counts as sound. Crashes in the logs came at most 130 ms after.
pub const SAFE_AFTER: Duration = Duration::from_secs(1);

/// A run that an upstream did not complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// What may have crashed the upstream.
    pub contents: RunContents,
    /// When it was sent to the upstream.
    pub began: MonoTime,
    /// When its answer began; `None` if it had not.
    pub answered: Option<MonoTime>,
}

/// The crash of an upstream, as one instance saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// The service of the upstream.
    pub service: CompactString,
    /// The upstream's identity.
    pub upstream: CompactString,
    /// The start of the upstream that crashed.
    pub start: UpstreamStart,
    /// When it crashed.
    pub at: MonoTime,
    /// The runs that were in progress.
    pub runs: Vec<BrokenRun>,
}

/// One content that was present at a crash, from all its runs there.
#[derive(Debug, Clone)]
pub(crate) struct Presence {
    /// When the earliest of these runs was sent.
    pub(crate) began: MonoTime,
    /// When the earliest of their answers began.
    pub(crate) answered: Option<MonoTime>,
    /// Its position among the contents of its run, the most specific being 0.
    pub(crate) position: usize,
    /// The same part of a prompt among all customers, for one that counts for a customer.
    pub(crate) of_all: Option<Content>,
    /// The parts of a request's prompt; none for a part.
    pub(crate) own_parts: Arc<[PartContent]>,
}

impl Presence {
    fn merge(&mut self, run: &BrokenRun) {
        // Of several runs the earliest counts: if the content had crashed the upstream, it would
        // have done so soon after that run or its answer began.
        self.began = self.began.min(run.began);
        self.answered = match (self.answered, run.answered) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
    }
}

/// The contents that were present at a crash.
pub(crate) type Presences = HashMap<Content, Presence>;

/// Adds the contents of a broken run to those that were present, as far as there is room.
pub(crate) fn add_run(present: &mut Presences, run: &BrokenRun) {
    let parts = run.contents.parts.len();
    for (position, content) in run.contents.iter().enumerate() {
        if let Some(presence) = present.get_mut(&content) {
            presence.merge(run);
            continue;
        }
        if present.len() >= MAX_CONTENTS_PER_CRASH {
            return;
        }
        let is_of_customer = (1..=parts).contains(&position);
        let part = is_of_customer.then(|| parts - position);
        let of_all = part.and_then(|n| run.contents.parts.get(n));
        present.insert(
            content,
            Presence {
                began: run.began,
                answered: run.answered,
                position,
                of_all: of_all.map(|part| part.of_all),
                own_parts: match position {
                    0 => Arc::clone(&run.contents.parts),
                    _ => Arc::default(),
                },
            },
        );
    }
}

/// A crash with the contents that were present, from all instances that reported it.
#[derive(Debug)]
pub(crate) struct KnownCrash {
    pub(crate) service: CompactString,
    pub(crate) upstream: CompactString,
    pub(crate) start: UpstreamStart,
    pub(crate) at: MonoTime,
    pub(crate) present: Presences,
    /// When the first report arrived.
    pub(crate) received_at: MonoTime,
    /// True once the upstream is no longer listed.
    pub(crate) is_confirmed: bool,
}

impl KnownCrash {
    /// True if both are of the same start of an upstream.
    pub(crate) fn is_same(&self, other: &KnownCrash) -> bool {
        self.upstream == other.upstream
            && self.start == other.start
            && self.service == other.service
    }
}
