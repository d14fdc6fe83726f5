//! How fast the upstreams of a service read prompts.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::splitmix64;

/// Groups into which reporting instances are divided, by hash, so that one instance decides nothing
/// beside two others.
const GROUPS: usize = 8;
/// Reports that are kept of each group.
const MAX_SAMPLES: usize = 8;
/// How long a report counts. Reading depends on the kind of upstream and changes little; prompts
/// with many new tokens are rare.
const LIFETIME: Duration = Duration::from_secs(30);
/// Reports that are needed for a figure.
const MIN_SAMPLES: usize = 4;
/// The quantile of a group's reports that counts. Prompts whose shared parts had to be read again,
/// or that waited for other prompts, make an upstream look slower than it is, never faster.
const QUANTILE: f64 = 0.75;

/// How fast an upstream of median pace reads prompts, in tokens per millisecond.
#[derive(Debug, Default)]
pub(crate) struct ReadingFigure {
    groups: [VecDeque<(MonoTime, f64)>; GROUPS],
    tokens_per_ms: Option<f64>,
    refreshed_at: MonoTime,
}

impl ReadingFigure {
    /// Records a report, converted to an upstream of median pace.
    pub(crate) fn add(&mut self, now: MonoTime, instance: Incarnation, tokens_per_ms: f64) {
        let group = (splitmix64(instance.get()) % GROUPS as u64) as usize;
        let samples = &mut self.groups[group];
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, tokens_per_ms));
    }

    /// Computes the figure from the reports that still count.
    pub(crate) fn refresh(&mut self, now: MonoTime) {
        self.refreshed_at = now;
        let mut figures: Vec<f64> = Vec::new();
        let mut count = 0;
        for samples in &mut self.groups {
            samples.retain(|(at, _)| now.since(*at) < LIFETIME);
            count += samples.len();
            let rates = samples.iter().map(|(_, rate)| *rate);
            figures.extend(quantile(rates.collect(), QUANTILE));
        }
        self.tokens_per_ms = match count < MIN_SAMPLES {
            true => None,
            false => quantile(figures, 0.5),
        };
    }

    /// The figure when it was last computed; none if that was too long ago.
    pub(crate) fn tokens_per_ms(&self, now: MonoTime) -> Option<f64> {
        let is_current = now.since(self.refreshed_at) < LIFETIME;
        self.tokens_per_ms.filter(|_| is_current)
    }
}

/// The value at a quantile, which is at least 0 and at most 1.
pub(crate) fn quantile(mut values: Vec<f64>, quantile: f64) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    let index = (last as f64 * quantile).round() as usize;
    values.get(index).copied()
}
