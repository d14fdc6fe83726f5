//! What was placed at one upstream.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use jd_types::MonoTime;

use crate::UpstreamStart;

/// The longest time for which a prompt counts as being read, whatever was estimated. Callers
/// abandon streams that do not begin within a few seconds.
const MAX_READING: Duration = Duration::from_secs(8);
/// The longest time for which a stream counts as running: longer than the deadlines of routes with
/// short pauses.
const MAX_RUNNING: Duration = Duration::from_secs(20);
/// Streams that are tracked at one upstream; several times its slots.
const MAX_TRACKED: usize = 512;

/// The prompts that were placed at one start of an upstream. Each entry ends at its estimated end,
/// so that wrong estimates do not add up.
#[derive(Debug)]
pub(crate) struct UpstreamLoad {
    pub(crate) start: UpstreamStart,
    /// When the prompts that were placed there have been read.
    reads_until: MonoTime,
    /// When the long prompts among them have been read.
    reads_long_until: MonoTime,
    /// When the fetches from this upstream have ended.
    pub(crate) sends_until: MonoTime,
    /// The ends of the streams there, with the tokens that each occupies.
    running: BinaryHeap<Reverse<(MonoTime, u64)>>,
    tokens: u64,
}

impl UpstreamLoad {
    pub(crate) fn new(start: UpstreamStart) -> UpstreamLoad {
        UpstreamLoad {
            start,
            reads_until: MonoTime::ZERO,
            reads_long_until: MonoTime::ZERO,
            sends_until: MonoTime::ZERO,
            running: BinaryHeap::new(),
            tokens: 0,
        }
    }

    /// Removes the streams that have ended.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        while let Some(Reverse((end, _))) = self.running.peek()
            && *end <= now
        {
            self.remove_first();
        }
    }

    /// The time until the prompts that are being read have been read.
    pub(crate) fn reading_left(&self, now: MonoTime) -> Duration {
        self.reads_until.since(now)
    }

    /// True while a long prompt is being read.
    pub(crate) fn reads_long(&self, now: MonoTime) -> bool {
        self.reads_long_until > now
    }

    /// The tokens of the streams that were placed there.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The streams that were placed there.
    pub(crate) fn streams(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// True if nothing that was placed there is still in progress.
    pub(crate) fn is_idle(&self, now: MonoTime) -> bool {
        self.running.is_empty() && self.sends_until <= now
    }

    /// Adds a prompt of `tokens` that is read at `read_at` and whose stream ends at `end`.
    pub(crate) fn add(
        &mut self,
        now: MonoTime,
        read_at: MonoTime,
        end: MonoTime,
        tokens: u64,
        is_long: bool,
    ) {
        let read_at = read_at.min(now + MAX_READING);
        self.reads_until = self.reads_until.max(read_at);
        if is_long {
            self.reads_long_until = self.reads_long_until.max(read_at);
        }
        if self.running.len() >= MAX_TRACKED {
            self.remove_first();
        }
        self.running
            .push(Reverse((end.min(now + MAX_RUNNING), tokens)));
        self.tokens += tokens;
    }

    fn remove_first(&mut self) {
        if let Some(Reverse((_, tokens))) = self.running.pop() {
            self.tokens -= tokens;
        }
    }
}
