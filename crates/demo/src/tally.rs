//! What callers and operators saw.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use jd_net::lock;

use crate::operators::Accepted;

/// Attainment of one pipeline or customer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Attained {
    pub(crate) calls: u64,
    pub(crate) in_time: u64,
}

/// Plain counts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) issued: u64,
    pub(crate) ended: u64,
    pub(crate) answered: u64,
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) unreached: u64,
    pub(crate) wrong: u64,
    pub(crate) broken: u64,
    pub(crate) resent: u64,
    pub(crate) reverted: u64,
    pub(crate) changes_lost: u64,
    pub(crate) changes_unknown: u64,
    pub(crate) changes_refused: u64,
    pub(crate) changes_unanswered: u64,
}

/// A call with a key that ended.
#[derive(Debug, Clone)]
pub(crate) struct KeyedEnd {
    /// The key as upstreams get it.
    pub(crate) key: CompactString,
    /// The system said that it has not run.
    pub(crate) said_not_run: bool,
    /// The caller got its answer under this key.
    pub(crate) answered: bool,
}

/// A deferred call that was accepted.
#[derive(Debug, Clone)]
pub(crate) struct Deferred {
    pub(crate) request: CompactString,
    pub(crate) last_stage: u8,
}

/// What callers and operators saw.
#[derive(Debug)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
    pub(crate) by_pipeline: Mutex<BTreeMap<&'static str, Attained>>,
    pub(crate) by_customer: Mutex<BTreeMap<&'static str, Attained>>,
    pub(crate) refusals: Mutex<BTreeMap<CompactString, u64>>,
    pub(crate) latency: Mutex<Histogram<u64>>,
    pub(crate) keyed: Mutex<Vec<KeyedEnd>>,
    pub(crate) deferred: Mutex<Vec<Deferred>>,
    pub(crate) accepted: Mutex<Vec<Accepted>>,
    pub(crate) strange: Mutex<Vec<String>>,
}

impl Tally {
    /// Nothing seen. `None` only if the histogram's bounds were wrong.
    pub(crate) fn new() -> Option<Tally> {
        /// The longest time that is told apart, in microseconds.
        const LONGEST_US: u64 = 120_000_000;
        let latency = Histogram::new_with_bounds(1, LONGEST_US, 3).ok()?;
        Some(Tally {
            counts: Mutex::default(),
            by_pipeline: Mutex::default(),
            by_customer: Mutex::default(),
            refusals: Mutex::default(),
            latency: Mutex::new(latency),
            keyed: Mutex::default(),
            deferred: Mutex::default(),
            accepted: Mutex::default(),
            strange: Mutex::default(),
        })
    }

    /// Counts something.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut lock(&self.counts));
    }

    /// The counts so far.
    pub(crate) fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// A call ended, in time or not.
    pub(crate) fn attained(
        &self,
        pipeline: &'static str,
        customer: &'static str,
        in_time: bool,
        took: Duration,
    ) {
        let add = |a: &mut Attained| {
            a.calls += 1;
            a.in_time += u64::from(in_time);
        };
        add(lock(&self.by_pipeline).entry(pipeline).or_default());
        add(lock(&self.by_customer).entry(customer).or_default());
        lock(&self.latency).saturating_record(took.as_micros() as u64);
    }
}
