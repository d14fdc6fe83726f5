//! The pace of all upstreams of an owner's availability zone.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::UpstreamStart;
use crate::upstream_pace::ListedPaceUpstream;
use crate::upstream_pace::Pace;
use crate::upstream_pace::PaceRecord;
use crate::upstream_pace::UpstreamPace;
use crate::upstream_pace::reading_figure::quantile;
use crate::upstream_pace::service_figures::ServiceFigures;
use crate::upstream_pace::upstream_figures::UpstreamFigures;

/// Reports older than this are dropped: an instance that was partitioned for longer knows nothing
/// of the present.
const MAX_AGE: Duration = Duration::from_secs(4);
/// How often the medians of services are computed. Heartbeats come at 400 ms.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// The bounds of a pace relative to the median. Upstreams of one service differ by a factor of 2
/// for good, and by 4 to 5 while one is slowed down.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 4.0;
/// The bounds of a report while no median is known, in events per second of one stream.
const MIN_PER_S: f64 = 0.1;
const MAX_PER_S: f64 = 10_000.0;
/// The confidence from which an upstream counts in the median: about a tenth of a second of streams.
const MIN_CONFIDENCE: f64 = 0.2;
/// The most tokens of one prompt that are counted. No upstream's memory holds more.
const MAX_PROMPT_TOKENS: f64 = 1_000_000.0;
/// The part of the time to a first event that is counted as reading, at least. The rest is the time
/// of the first event itself, which is only known on average.
const MIN_READING_PART: f64 = 0.25;
/// Upstreams that are listed at most.
const MAX_UPSTREAMS: usize = 8_192;

/// The pace of upstreams, merged from what all instances observe.
///
/// Figures have a weight that halves every 4 s. Each is a median of groups of instances, so that one
/// instance moves it at most to the figure of another group; an upstream that only one instance
/// observes is at most two thirds what that one reports, on a logarithmic scale.
#[derive(Debug, Default)]
pub struct PaceTable {
    upstreams: HashMap<CompactString, Entry>,
    services: HashMap<CompactString, ServiceFigures>,
    refreshed_at: MonoTime,
}

#[derive(Debug)]
struct Entry {
    service: CompactString,
    start: UpstreamStart,
    /// None until an instance observed the upstream.
    figures: Option<Box<UpstreamFigures>>,
}

impl PaceTable {
    /// Replaces the list of upstreams. Figures of an upstream with another start are discarded.
    pub fn set_upstreams(&mut self, listed: impl Iterator<Item = ListedPaceUpstream>) {
        let mut before = std::mem::take(&mut self.upstreams);
        for upstream in listed.take(MAX_UPSTREAMS) {
            let kept = before.remove(&upstream.id);
            let kept = kept.filter(|e| e.start == upstream.start && e.service == upstream.service);
            let entry = kept.unwrap_or_else(|| Entry {
                service: upstream.service,
                start: upstream.start,
                figures: None,
            });
            self.upstreams.insert(upstream.id, entry);
        }
        let entries = &self.upstreams;
        self.services
            .retain(|service, _| entries.values().any(|e| e.service == *service));
    }

    /// Merges what `instance` observed of an upstream.
    pub fn record(
        &mut self,
        now: MonoTime,
        instance: Incarnation,
        observed: UpstreamPace,
    ) -> PaceRecord {
        let Some(entry) = self.upstreams.get_mut(&observed.upstream) else {
            return PaceRecord::UnknownUpstream;
        };
        let age = now.since(observed.observed_at);
        if entry.start != observed.start {
            return PaceRecord::OtherStart;
        }
        if age > MAX_AGE {
            return PaceRecord::Expired;
        }
        let service = self.services.entry(entry.service.clone()).or_default();
        let figures = entry.figures.get_or_insert_default();
        figures.set_running(now, instance, observed.running);
        let change = add_events(service, figures, now, instance, &observed);
        add_prompts(service, figures, now, instance, &observed);
        let median = service.median_per_s;
        if now.since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.refresh(now);
        }
        match (change, median) {
            (Some((before, now)), Some(median)) => PaceRecord::Changed {
                before: bounded_ratio(before, median),
                now: bounded_ratio(now, median),
            },
            _ => PaceRecord::Merged,
        }
    }

    /// The pace of one start of an upstream; [`Pace::UNKNOWN`] if it is not listed or was never
    /// observed.
    pub fn pace(&self, now: MonoTime, id: &str, start: UpstreamStart) -> Pace {
        let entry = self.upstreams.get(id).filter(|e| e.start == start);
        let Some(entry) = entry else {
            return Pace::UNKNOWN;
        };
        let service = self.services.get(&entry.service);
        let figures = entry.figures.as_deref();
        let ratio = figures.map_or(1.0, |figures| {
            let median = service.and_then(|s| s.median_per_s);
            let ratio = figures.rate().zip(median);
            let ratio = ratio.map_or(1.0, |(rate, median)| bounded_ratio(rate, median));
            ratio.powf(figures.confidence(now))
        });
        let reading = service.and_then(|s| s.reading.tokens_per_ms(now));
        Pace {
            events_ratio: ratio,
            read_tokens_per_ms: reading.map(|median| median * ratio),
            running: figures.map_or(0, |f| f.running(now)),
        }
    }

    /// Computes the medians of all services.
    fn refresh(&mut self, now: MonoTime) {
        self.refreshed_at = now;
        let mut rates: HashMap<&str, Vec<f64>> = HashMap::new();
        for entry in self.upstreams.values() {
            let figures = entry.figures.as_deref();
            let current = figures.filter(|f| f.confidence(now) >= MIN_CONFIDENCE);
            if let Some(rate) = current.and_then(UpstreamFigures::rate) {
                rates.entry(&entry.service).or_default().push(rate);
            }
        }
        for (name, service) in &mut self.services {
            service.reading.refresh(now);
            if let Some(rates) = rates.remove(name.as_str()) {
                service.median_per_s = quantile(rates, 0.5);
            }
        }
    }
}

/// Adds the events of a report. Returns the rates before and after it if they show a lasting change.
fn add_events(
    service: &ServiceFigures,
    figures: &mut UpstreamFigures,
    now: MonoTime,
    instance: Incarnation,
    observed: &UpstreamPace,
) -> Option<(f64, f64)> {
    let seconds = observed.streaming.as_secs_f64();
    if observed.events == 0 || seconds <= 0.0 {
        return None;
    }
    let per_s = f64::from(observed.events) / seconds;
    let per_s = match service.median_per_s {
        Some(median) => bounded_ratio(per_s, median) * median,
        None => per_s.clamp(MIN_PER_S, MAX_PER_S),
    };
    let age_s = now.since(observed.observed_at).as_secs_f64();
    let neutral = service.median_per_s;
    figures.add(now, instance, per_s, seconds, age_s, neutral)
}

/// Adds the prompts of a report, once the pace of the upstream is known. The time of the first event
/// itself is subtracted, since it takes as long as reading a few thousand tokens.
fn add_prompts(
    service: &mut ServiceFigures,
    figures: &UpstreamFigures,
    now: MonoTime,
    instance: Incarnation,
    observed: &UpstreamPace,
) {
    let (Some(per_s), Some(median)) = (figures.rate(), service.median_per_s) else {
        return;
    };
    let prompts = f64::from(observed.prompts);
    let total_ms = observed.reading.as_secs_f64() * 1e3;
    if observed.prompts == 0 || observed.prompt_tokens == 0 || total_ms <= 0.0 {
        return;
    }
    let tokens = f64::from(observed.prompt_tokens).min(prompts * MAX_PROMPT_TOKENS);
    let first_events_ms = prompts * 1e3 / per_s;
    let reading_ms = (total_ms - first_events_ms).max(total_ms * MIN_READING_PART);
    let ratio = bounded_ratio(per_s, median);
    service
        .reading
        .add(now, instance, tokens / reading_ms / ratio);
}

fn bounded_ratio(rate: f64, median: f64) -> f64 {
    (rate / median.max(f64::MIN_POSITIVE)).clamp(MIN_RATIO, MAX_RATIO)
}
