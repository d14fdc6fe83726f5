//! The evidence that crashes of upstreams give against the contents that were present.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use jd_types::MonoTime;

use crate::Content;
use crate::Finding;
use crate::PROMPT_CRASH;
use crate::PartContent;
use crate::upstream_crash::KnownCrash;
use crate::upstream_crash::Presence;

/// Crashes within this time count as one, such as those of a loss of power: the time in which
/// instances detect the crashes of one moment.
const SAME_EVENT: Duration = Duration::from_millis(100);

/// The evidence against one content, from the crashes that nothing else explains.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    pub(crate) crashes: usize,
    pub(crate) answered: usize,
    /// All upstreams that crashed with it, whether or not their crashes count as one.
    pub(crate) upstreams: usize,
    /// Those of them that crashed shortly after a run of it or its answer had begun.
    pub(crate) prompt: usize,
    prompt_answered: usize,
    pub(crate) last_crash: Option<MonoTime>,
    pub(crate) longest_run: Duration,
    pub(crate) position: usize,
    pub(crate) of_all: Option<Content>,
    pub(crate) own_parts: Arc<[PartContent]>,
}

impl Evidence {
    fn count(&mut self, presence: &Presence, crashed_at: MonoTime) {
        let began = presence.answered.unwrap_or(presence.began);
        let is_prompt = crashed_at.since(began) <= PROMPT_CRASH;
        self.upstreams += 1;
        self.prompt += usize::from(is_prompt);
        self.prompt_answered += usize::from(is_prompt && presence.answered.is_some());
        let is_counted = match (self.last_crash, presence.answered) {
            (None, _) => true,
            (Some(last), Some(_)) => crashed_at.since(last) >= SAME_EVENT,
            (Some(last), None) => presence.began > last,
        };
        if !is_counted {
            return;
        }
        self.crashes += 1;
        self.answered += usize::from(presence.answered.is_some());
        self.last_crash = Some(crashed_at);
        self.longest_run = self.longest_run.max(crashed_at.since(began));
        self.position = presence.position;
        self.of_all = presence.of_all;
        self.own_parts = Arc::clone(&presence.own_parts);
    }

    /// Counts each upstream that crashed shortly after a run had begun, also those of one moment.
    pub(crate) fn count_each_upstream(&mut self) {
        if self.prompt > self.crashes {
            self.crashes = self.prompt;
            self.answered = self.prompt_answered;
        }
    }

    /// True if all runs of this content have another one: a part of its prompt, or the same part
    /// among all customers. If the other one crashes upstreams, so does this one.
    fn includes(&self, other: Content) -> bool {
        let is_part = |p: &PartContent| p.of_customer == other || p.of_all == other;
        self.of_all == Some(other) || self.own_parts.iter().any(is_part)
    }

    pub(crate) fn is_part(&self) -> bool {
        self.position > 0
    }

    pub(crate) fn finding(&self, content: Content) -> Finding {
        Finding {
            content,
            is_part: self.is_part(),
            crashes: self.crashes,
            answered: self.answered,
            upstreams: self.upstreams,
            longest_run: self.longest_run,
            last_crash: self.last_crash.unwrap_or(MonoTime::ZERO),
        }
    }
}

/// The contents that were present as often as this one, and whenever it was. What this one includes
/// is no rival: it is right to hold this one whichever of the two is the cause.
pub(crate) fn rivals(
    crashes: &[&KnownCrash],
    evidence: &HashMap<Content, Evidence>,
    content: Content,
    item: &Evidence,
) -> Vec<Content> {
    let others = evidence.iter().filter(|(other, c)| {
        c.crashes == item.crashes && **other != content && !item.includes(**other)
    });
    let rivals = others.filter(|(other, _)| is_always_with(crashes, **other, content));
    rivals.map(|(other, _)| *other).collect()
}

/// True if a content was present at each of these crashes at which another was.
fn is_always_with(crashes: &[&KnownCrash], one: Content, other: Content) -> bool {
    let mut with_other = crashes.iter().filter(|c| c.present.contains_key(&other));
    with_other.all(|c| c.present.contains_key(&one))
}

/// The evidence against each content that was present at these crashes, which are in order of
/// time.
pub(crate) fn evidence(crashes: &[&KnownCrash]) -> HashMap<Content, Evidence> {
    let mut evidence: HashMap<Content, Evidence> = HashMap::new();
    for crash in crashes {
        for (content, presence) in &crash.present {
            let item = evidence.entry(*content).or_default();
            item.count(presence, crash.at);
        }
    }
    evidence
}
