//! The time from the send of a prompt to the first event of its stream.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

use crate::upstream_pace::FirstEvent;
use crate::upstream_pace::reading_figure::quantile;

/// The estimate while too few streams have begun: the fixed time that stages left before.
const DEFAULT: Duration = Duration::from_millis(200);
/// The shortest estimate: a connection, one event and the reading of a short prompt.
const MIN: Duration = Duration::from_millis(50);
/// Streams that are remembered: those of about a minute at an instance with two streams a second.
const MAX_SAMPLES: usize = 128;
/// How long a stream is remembered. Long enough for a few streams at an instance with little load.
const LIFETIME: Duration = Duration::from_secs(30);
/// Streams that are needed for an estimate.
const MIN_SAMPLES: usize = 8;
/// Streams after which the estimate is computed again.
const FIT_EVERY: u32 = 8;
/// The longest time that is counted for one stream. Upstreams that hang are handled elsewhere.
const MAX_TIME_S: f64 = 5.0;
/// The quantile of streams that begin within the estimate. Stages that take all of the time left to
/// them are then on time for four of five requests; one more of five would cost stages as much time
/// as all prompts whose session an upstream has not read yet.
const QUANTILE: f64 = 0.8;
/// The difference in tokens between short and long prompts from which the time per token is
/// computed. Below it, the time of one event more or less decides.
const MIN_SPREAD: f64 = 512.0;
/// The longest time per token, in seconds: 5 tokens per millisecond, a tenth of a usual upstream.
const MAX_PER_TOKEN_S: f64 = 0.000_2;

/// The time from the send of a prompt to its first event, learned from an instance's own streams of
/// one service: a constant, and a time for each token that belongs to the request alone.
#[derive(Debug, Default)]
pub struct FirstEventEstimate {
    samples: VecDeque<(MonoTime, FirstEvent)>,
    fit: Option<Fit>,
    since_fit: u32,
}

#[derive(Debug, Clone, Copy)]
struct Fit {
    at: MonoTime,
    constant_s: f64,
    per_token_s: f64,
}

impl FirstEventEstimate {
    /// Records the first event of a stream.
    pub fn record(&mut self, now: MonoTime, first: FirstEvent) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, first));
        self.since_fit += 1;
        if self.since_fit >= FIT_EVERY {
            self.since_fit = 0;
            self.samples.retain(|(at, _)| now.since(*at) < LIFETIME);
            self.fit = self.fitted(now);
        }
    }

    /// The expected time to the first event of a prompt with this number of new tokens: 200 ms
    /// while too few recent streams are known, and at least 50 ms.
    pub fn estimate(&self, now: MonoTime, tokens: u32) -> Duration {
        let current = self.fit.filter(|fit| now.since(fit.at) < LIFETIME);
        let Some(fit) = current else {
            return DEFAULT;
        };
        let seconds = fit.constant_s + fit.per_token_s * f64::from(tokens);
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME_S)).max(MIN)
    }

    /// Fits a line through the medians of short and of long prompts, and raises it so that most
    /// streams are below it. Medians, since many prompts are read in part from a cache and some
    /// wait for others.
    fn fitted(&self, now: MonoTime) -> Option<Fit> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let samples = self.samples.iter().map(|(_, first)| {
            let took = first.took.as_secs_f64().min(MAX_TIME_S);
            (f64::from(first.tokens), took)
        });
        let mut samples: Vec<(f64, f64)> = samples.collect();
        samples.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let quarter = samples.len() / 4;
        let short = medians(&samples[..quarter * 2])?;
        let long = medians(&samples[samples.len() - quarter..])?;
        let spread = long.0 - short.0;
        let per_token_s = match spread >= MIN_SPREAD {
            true => ((long.1 - short.1) / spread).clamp(0.0, MAX_PER_TOKEN_S),
            false => 0.0,
        };
        let constants = samples.iter().map(|(x, y)| y - x * per_token_s);
        Some(Fit {
            at: now,
            constant_s: quantile(constants.collect(), QUANTILE)?,
            per_token_s,
        })
    }
}

/// The medians of tokens and of times.
fn medians(samples: &[(f64, f64)]) -> Option<(f64, f64)> {
    let tokens = quantile(samples.iter().map(|s| s.0).collect(), 0.5)?;
    let time = quantile(samples.iter().map(|s| s.1).collect(), 0.5)?;
    Some((tokens, time))
}
