//! Observes one stream of an upstream.

use std::sync::Arc;
use std::time::Duration;

use jd_types::MonoTime;

use crate::upstream_pace::FirstEvent;
use crate::upstream_pace::pace_counter::PaceCounter;

/// The new tokens from which a prompt shows how fast an upstream reads: one chunk of its reading.
/// Below that the time of the first event itself decides.
const MIN_READ_TOKENS: u32 = 2_048;
/// The longest time for which the reader of a stream may be absent. Above it, the caller reads more
/// slowly than the upstream generates, and the next part is the first of a new period.
const MAX_ABSENCE: Duration = Duration::from_millis(50);

/// Observes one stream of an upstream, which counts as running until this is dropped.
#[derive(Debug)]
pub struct StreamPace {
    counter: Arc<PaceCounter>,
    sent_at: MonoTime,
    /// The new tokens of the prompt; none if the time to the first event says nothing, as for a
    /// stream that is resumed.
    new_tokens: Option<u32>,
    has_begun: bool,
    last_part: Option<MonoTime>,
}

impl StreamPace {
    pub(crate) fn new(
        counter: Arc<PaceCounter>,
        now: MonoTime,
        new_tokens: Option<u32>,
    ) -> StreamPace {
        counter.stream_began(now);
        StreamPace {
            counter,
            sent_at: now,
            new_tokens,
            has_begun: false,
            last_part: None,
        }
    }

    /// Records that the reader waits for the next part from now on.
    pub fn record_wait(&mut self, now: MonoTime) {
        let absent = self.last_part.map(|last| now.since(last));
        if absent.is_some_and(|absent| absent > MAX_ABSENCE) {
            self.last_part = None;
        }
    }

    /// Records that a part with this number of events arrived. Returns the first event if it is in
    /// this part.
    pub fn record_part(&mut self, now: MonoTime, events: u32) -> Option<FirstEvent> {
        if let Some(last) = self.last_part.replace(now) {
            self.counter.add_events(now, events, now.since(last));
        }
        if std::mem::replace(&mut self.has_begun, true) {
            return None;
        }
        let first = FirstEvent {
            tokens: self.new_tokens?,
            took: now.since(self.sent_at),
        };
        if first.tokens >= MIN_READ_TOKENS {
            self.counter.add_prompt(now, first.tokens, first.took);
        }
        Some(first)
    }
}

impl Drop for StreamPace {
    fn drop(&mut self) {
        self.counter.stream_ended();
    }
}
