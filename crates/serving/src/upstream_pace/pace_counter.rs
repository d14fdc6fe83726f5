//! Counts what an instance's streams show of one start of an upstream.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jd_types::MonoTime;
use jd_types::Name;

use crate::UpstreamStart;
use crate::upstream_pace::counter_totals::CounterTotals;

/// Counts what an instance's streams show of one start of an upstream. Streams add to it without a
/// lock.
#[derive(Debug)]
pub(crate) struct PaceCounter {
    /// Distinguishes counters of the same upstream.
    pub(crate) number: u64,
    pub(crate) start: UpstreamStart,
    pub(crate) zone: Name,
    events: AtomicU64,
    streaming_us: AtomicU64,
    prompts: AtomicU64,
    prompt_tokens: AtomicU64,
    reading_us: AtomicU64,
    running: AtomicU32,
    used_at_us: AtomicU64,
}

impl PaceCounter {
    pub(crate) fn new(number: u64, start: UpstreamStart, zone: Name) -> PaceCounter {
        PaceCounter {
            number,
            start,
            zone,
            events: AtomicU64::new(0),
            streaming_us: AtomicU64::new(0),
            prompts: AtomicU64::new(0),
            prompt_tokens: AtomicU64::new(0),
            reading_us: AtomicU64::new(0),
            running: AtomicU32::new(0),
            used_at_us: AtomicU64::new(0),
        }
    }

    pub(crate) fn stream_began(&self, now: MonoTime) {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.used(now);
    }

    pub(crate) fn stream_ended(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn add_events(&self, now: MonoTime, events: u32, took: Duration) {
        self.events.fetch_add(u64::from(events), Ordering::Relaxed);
        self.streaming_us.fetch_add(micros(took), Ordering::Relaxed);
        self.used(now);
    }

    pub(crate) fn add_prompt(&self, now: MonoTime, tokens: u32, took: Duration) {
        self.prompts.fetch_add(1, Ordering::Relaxed);
        let tokens = u64::from(tokens);
        self.prompt_tokens.fetch_add(tokens, Ordering::Relaxed);
        self.reading_us.fetch_add(micros(took), Ordering::Relaxed);
        self.used(now);
    }

    /// Streams in progress.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// When it last changed.
    pub(crate) fn used_at(&self) -> MonoTime {
        MonoTime::from_micros(self.used_at_us.load(Ordering::Relaxed))
    }

    /// The totals so far. Streams may add to them meanwhile, so that events and their time can be
    /// one event apart; the next difference makes up for it.
    pub(crate) fn totals(&self) -> CounterTotals {
        CounterTotals {
            events: self.events.load(Ordering::Relaxed),
            streaming_us: self.streaming_us.load(Ordering::Relaxed),
            prompts: self.prompts.load(Ordering::Relaxed),
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
            reading_us: self.reading_us.load(Ordering::Relaxed),
        }
    }

    fn used(&self, now: MonoTime) {
        self.used_at_us
            .fetch_max(now.as_micros(), Ordering::Relaxed);
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
