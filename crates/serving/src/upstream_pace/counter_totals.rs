//! The totals of a counter at one time.

/// The totals of a [`PaceCounter`](super::pace_counter::PaceCounter) at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CounterTotals {
    pub(crate) events: u64,
    pub(crate) streaming_us: u64,
    pub(crate) prompts: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) reading_us: u64,
}

impl CounterTotals {
    /// What was counted since an earlier time.
    pub(crate) fn since(self, earlier: CounterTotals) -> CounterTotals {
        CounterTotals {
            events: self.events.saturating_sub(earlier.events),
            streaming_us: self.streaming_us.saturating_sub(earlier.streaming_us),
            prompts: self.prompts.saturating_sub(earlier.prompts),
            prompt_tokens: self.prompt_tokens.saturating_sub(earlier.prompt_tokens),
            reading_us: self.reading_us.saturating_sub(earlier.reading_us),
        }
    }
}
