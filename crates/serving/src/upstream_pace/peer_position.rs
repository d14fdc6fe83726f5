//! What one peer has been sent of the counters.

use std::collections::HashMap;

use jd_types::MonoTime;

use crate::upstream_pace::counter_totals::CounterTotals;

/// What one peer has been sent of the counters.
#[derive(Debug, Default)]
pub(crate) struct PeerPosition {
    /// When it was last sent anything.
    pub(crate) sent_at: Option<MonoTime>,
    /// By the number of the counter.
    pub(crate) counters: HashMap<u64, SentCounter>,
}

/// What one peer has been sent of one counter.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SentCounter {
    pub(crate) sent_at: MonoTime,
    pub(crate) totals: CounterTotals,
    pub(crate) running: u32,
}
