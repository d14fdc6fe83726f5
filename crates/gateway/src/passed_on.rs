//! What of a stream was passed on to its caller.

use std::time::Duration;

use jd_types::MonoTime;

/// What of a stream was passed on to its caller.
#[derive(Debug, Default)]
pub(crate) struct PassedOn {
    pub(crate) parts: u64,
    /// When the first and the last part were passed on.
    pub(crate) first: Option<MonoTime>,
    pub(crate) last: Option<MonoTime>,
    /// The longest time between two parts.
    pub(crate) longest_pause: Duration,
}

impl PassedOn {
    /// Records a part that is passed on now.
    pub(crate) fn record(&mut self, now: MonoTime) {
        let pause = now.since(self.last.unwrap_or(now));
        self.longest_pause = self.longest_pause.max(pause);
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.parts += 1;
    }
}
