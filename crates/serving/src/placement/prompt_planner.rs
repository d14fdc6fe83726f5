//! The planner of the prompts of one service in one shard.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use super::PlacementCandidate;
use super::PlacementDecision;
use super::PlacementReason;
use super::PromptPlacement;
use super::prompt_preference::median_pace;
use super::prompt_preference::preference;
use super::session_holders::Holder;
use super::session_holders::SessionHolders;
use super::upstream_load::UpstreamLoad;
use crate::GenerationSpec;
use crate::PromptDemand;
use crate::SoftwareVersion;
use crate::UpstreamStart;

/// Upstreams that are compared for one prompt. Bounds the time of a decision in shards with many
/// upstreams; a session gets the same ones each time.
pub const MAX_CANDIDATES: usize = 64;
/// Upstreams read a prompt in chunks of this many tokens, each between two steps of the streams.
const CHUNK_TOKENS: f64 = 2_048.0;
/// The part of an upstream's memory that is filled, in percent. An upstream crashes if its requests
/// exceed its memory, and what runs there is only estimated.
const MEMORY_PERCENT: u64 = 90;
/// How much better, in late requests, another upstream has to be for a prompt to leave the one that
/// its session prefers. Less than one request, and more than the rounding of the estimates.
const MIN_GAIN: f64 = 0.5;
/// The cost of a prompt at an upstream without memory or slots for it; more than all streams of an
/// upstream.
const FULL_COST: f64 = 1e6;
/// Bounds transfer times, against configurations that would overflow them.
const MAX_TRANSFER_SECONDS: f64 = 3_600.0;
/// How long an upstream that fetches tokens may take to begin its response. A source that hangs
/// costs a caller no more; reading a prompt whose shared tokens are fetched takes a third of this.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The weight of one prompt in the mean of their tokens, which thus follows the last 50 or so.
const MEAN_WEIGHT: f64 = 0.02;
/// How much more upstreams may slow down than the slowest one shows: figures are means of seconds.
const UNSEEN_SLOWDOWN: f64 = 1.5;
/// The bounds of the factor by which upstreams may be slower than their figures show. Faults slow
/// them down by 4 to 5 before any figure shows it; in an even fleet, half a pause is left for that.
const MIN_SLOWDOWN: f64 = 2.0;
const MAX_SLOWDOWN: f64 = 4.0;
/// Pace below which an upstream is taken as not reading at all, in tokens a millisecond.
const MIN_PACE: f64 = 0.01;

/// Places the prompts of one service among the upstreams of one shard.
///
/// An upstream that reads a long prompt delays the events of all of its streams. Rendezvous hashing
/// alone gave slow upstreams as many long prompts as fast ones, and each of them made the streams
/// there late. The planner knows what it has placed and how fast upstreams are, and leaves the
/// upstream that a session prefers only if other requests would be late there.
#[derive(Debug, Default)]
pub struct PromptPlanner {
    loads: HashMap<CompactString, UpstreamLoad>,
    sessions: SessionHolders,
    /// The moving average of the tokens of a prompt and its answer.
    mean_tokens: f64,
}

/// What a prompt would meet at one upstream.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    read_tokens: u32,
    /// The wait for a fetch and its duration, if tokens are fetched.
    fetch: Option<Duration>,
    first_event: Duration,
    pause: Duration,
    streams: u32,
    is_long: bool,
    is_full: bool,
    cost: f64,
}

/// A holder of the session's tokens that others may fetch from.
#[derive(Debug, Clone, Copy)]
struct FetchSource<'a> {
    id: &'a CompactString,
    start: UpstreamStart,
    software: &'a SoftwareVersion,
    address: SocketAddr,
    /// The wait for earlier fetches.
    wait: Duration,
    transfer: Duration,
}

impl PromptPlanner {
    /// Places a prompt at one of `candidates`, and remembers that. Returns `None` if there are
    /// none. `first_event_by` is when the answer has to begin to be on time.
    pub fn place(
        &mut self,
        now: MonoTime,
        prompt: &PromptDemand,
        first_event_by: MonoTime,
        spec: &GenerationSpec,
        candidates: &[PlacementCandidate],
    ) -> Option<PlacementDecision> {
        self.expire(now, candidates);
        let median = median_pace(candidates);
        let session_tokens = match prompt.shared_tokens {
            0 => prompt.tokens_in,
            shared => shared,
        };
        let is_long_session = read_time(session_tokens, median) > prompt.max_pause / 2;
        let weighting = is_long_session.then_some(median);
        let holders: Vec<&Holder> = match prompt.shared_tokens {
            0 => Vec::new(),
            _ => self.sessions.holders(now, prompt.session).collect(),
        };
        let holds = |c: &PlacementCandidate| {
            let mut holders = holders.iter();
            holders.any(|h| h.upstream == c.id && h.start == c.start)
        };
        let sources = self.fetch_sources(now, prompt, spec, &holders, candidates);
        let source_for = |c: &PlacementCandidate| {
            let sources = sources.iter().filter(|s| *s.software == c.software);
            sources.min_by_key(|s| s.wait).copied()
        };
        let left = first_event_by.since(now);
        let slowdown = slowdown(candidates, median);
        // Holders first, then by preference.
        let mut ordered: Vec<(bool, f64, &PlacementCandidate, Estimate)> = candidates
            .iter()
            .map(|c| {
                let held = holds(c);
                let rank = preference(prompt.session, c, weighting);
                let source = source_for(c).filter(|_| !held);
                let estimate = self.estimate(now, prompt, left, spec, c, held, source, slowdown);
                (!held, rank, c, estimate)
            })
            .collect();
        ordered.sort_unstable_by(|a, b| (a.0.cmp(&b.0)).then(a.1.total_cmp(&b.1)));
        let least = ordered.iter().map(|(_, _, _, e)| e.cost);
        let least = least.min_by(f64::total_cmp)?;
        let position = ordered
            .iter()
            .position(|(_, _, _, e)| e.cost <= least + MIN_GAIN)?;
        let (not_held, _, chosen, estimate) = ordered[position];
        let reason = match position {
            _ if estimate.is_full => PlacementReason::Full,
            0 if not_held => PlacementReason::Preferred,
            _ if !not_held => PlacementReason::Held,
            _ => PlacementReason::Moved,
        };
        let source = source_for(chosen).filter(|_| estimate.fetch.is_some());
        self.record(now, prompt, spec, chosen, &estimate, source);
        Some(PlacementDecision {
            placement: PromptPlacement {
                upstream: chosen.id.clone(),
                start: chosen.start,
                fetch_from: source.map(|s| s.address),
            },
            reason,
            read_tokens: estimate.read_tokens,
            first_event: estimate.first_event,
            pause: estimate.pause,
            streams: estimate.streams,
            cost: estimate.cost,
        })
    }

    /// The number of sessions and upstreams that are remembered.
    pub fn remembered(&self) -> (usize, usize) {
        (self.sessions.len(), self.loads.len())
    }

    /// Removes what has ended, and upstreams that are neither candidates nor in use.
    fn expire(&mut self, now: MonoTime, candidates: &[PlacementCandidate]) {
        for candidate in candidates {
            let start = candidate.start;
            let load = self.loads.get_mut(&candidate.id);
            if let Some(load) = load {
                if load.start != start {
                    *load = UpstreamLoad::new(start);
                }
                load.expire(now);
            }
        }
        if self.loads.len() > 2 * MAX_CANDIDATES.max(candidates.len()) {
            self.loads.retain(|_, load| {
                load.expire(now);
                !load.is_idle(now)
            });
        }
    }

    /// The holders that the session's tokens can be fetched from: those that have read them.
    fn fetch_sources<'a>(
        &self,
        now: MonoTime,
        prompt: &PromptDemand,
        spec: &GenerationSpec,
        holders: &[&Holder],
        candidates: &'a [PlacementCandidate],
    ) -> Vec<FetchSource<'a>> {
        let bits =
            u64::from(prompt.shared_tokens).saturating_mul(spec.token_bytes.saturating_mul(8));
        if bits == 0 || spec.link_bits_per_s == 0 {
            return Vec::new();
        }
        let transfer = bits as f64 / spec.link_bits_per_s as f64;
        let transfer = Duration::from_secs_f64(transfer.min(MAX_TRANSFER_SECONDS));
        let holders = holders.iter().filter(|h| h.may_be_source(now));
        let sources = holders.filter_map(|h| {
            let mut listed = candidates.iter();
            let source = listed.find(|c| c.id == h.upstream && c.start == h.start)?;
            let load = self.loads.get(&source.id);
            source.observed.then(|| FetchSource {
                id: &source.id,
                start: source.start,
                software: &source.software,
                address: source.address,
                wait: load.map_or(Duration::ZERO, |l| l.sends_until.since(now)),
                transfer,
            })
        });
        sources.collect()
    }

    #[allow(clippy::too_many_arguments, reason = "the inputs of one estimate")]
    fn estimate(
        &self,
        now: MonoTime,
        prompt: &PromptDemand,
        left: Duration,
        spec: &GenerationSpec,
        candidate: &PlacementCandidate,
        held: bool,
        source: Option<FetchSource<'_>>,
        slowdown: f64,
    ) -> Estimate {
        let load = self.loads.get(&candidate.id);
        let pace = candidate.read_tokens_per_ms;
        let unshared = prompt.tokens_in.saturating_sub(prompt.shared_tokens);
        let shared_time = read_time(prompt.shared_tokens, pace);
        let reading = load.map_or(Duration::ZERO, |l| l.reading_left(now));
        let first_event = |fetch: Duration, read_time: Duration| {
            reading.max(fetch) + read_time + candidate.event_interval
        };
        let fetch = source.map(|s| s.wait + s.transfer);
        let fetch = fetch.filter(|time| {
            let first_event = first_event(*time, read_time(unshared, pace));
            *time < shared_time && first_event <= FETCH_TIMEOUT
        });
        let read_tokens = match held || fetch.is_some() {
            true => unshared,
            false => prompt.tokens_in,
        };
        let read_time = read_time(read_tokens, pace);
        let first_event = first_event(fetch.unwrap_or_default(), read_time);
        let stride = spec.tokens_per_event.map_or(1, |n| n.get());
        let event_reads = CHUNK_TOKENS * f64::from(stride) / pace.max(MIN_PACE);
        let event_reads = Duration::from_secs_f64(event_reads / 1e3);
        let pause = candidate.event_interval + (reading + read_time).min(event_reads);
        let placed = load.map_or(0, UpstreamLoad::streams);
        let streams = candidate.running.max(placed);
        let tokens = u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out);
        // Streams that run longer than estimated, or that others placed, occupy memory as well.
        let unplanned = f64::from(streams.saturating_sub(placed)) * self.mean_tokens;
        let placed_tokens = load.map_or(0, UpstreamLoad::tokens) + tokens + unplanned as u64;
        let room = spec.memory_tokens.saturating_mul(MEMORY_PERCENT) / 100;
        let is_full = placed_tokens > room || streams >= spec.slots;
        let is_long = read_time > prompt.max_pause / 2;
        let mut cost = f64::from(streams) * severity(pause, prompt.max_pause, slowdown);
        // The stream of the prompt itself would be late. Where all upstreams are equally fast, no
        // other one is earlier by more than the error of the estimate.
        cost += f64::from(u8::from(slowdown > MIN_SLOWDOWN && first_event > left));
        cost += f64::from(u8::from(candidate.event_interval > prompt.max_pause));
        // A second long prompt delays the first one and doubles the time of the pauses.
        cost += f64::from(u8::from(is_long && load.is_some_and(|l| l.reads_long(now))));
        if is_full {
            let filled = placed_tokens as f64 / (room as f64).max(1.0);
            cost += FULL_COST * filled.max(f64::from(streams) / f64::from(spec.slots.max(1)));
        }
        Estimate {
            read_tokens,
            fetch,
            first_event,
            pause,
            streams,
            is_long,
            is_full,
            cost,
        }
    }

    fn record(
        &mut self,
        now: MonoTime,
        prompt: &PromptDemand,
        spec: &GenerationSpec,
        chosen: &PlacementCandidate,
        estimate: &Estimate,
        source: Option<FetchSource<'_>>,
    ) {
        if let Some(source) = source {
            let load = self.loads.entry(source.id.clone());
            let load = load.or_insert_with(|| UpstreamLoad::new(source.start));
            load.sends_until = now + source.wait + source.transfer;
        }
        let stride = spec.tokens_per_event.map_or(1, |n| n.get());
        let events = prompt.tokens_out.div_ceil(stride);
        let first_event = now + estimate.first_event;
        let read_at = first_event.before(chosen.event_interval);
        let end = first_event + chosen.event_interval.saturating_mul(events);
        let tokens = u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out);
        let load = self.loads.entry(chosen.id.clone());
        let load = load.or_insert_with(|| UpstreamLoad::new(chosen.start));
        load.add(now, read_at, end, tokens, estimate.is_long);
        self.mean_tokens = match self.mean_tokens {
            0.0 => tokens as f64,
            mean => mean + (tokens as f64 - mean) * MEAN_WEIGHT,
        };
        if prompt.shared_tokens > 0 {
            let held_from = now + estimate.first_event;
            let (session, start) = (prompt.session, chosen.start);
            self.sessions
                .record(now, session, &chosen.id, start, held_from);
        }
    }
}

/// The time in which an upstream reads tokens.
fn read_time(tokens: u32, tokens_per_ms: f64) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / tokens_per_ms.max(MIN_PACE) / 1e3)
}

/// The factor by which upstreams may be slower than their figures show: somewhat more than the
/// slowest one is below the median now.
fn slowdown(candidates: &[PlacementCandidate], median: f64) -> f64 {
    let paces = candidates.iter().map(|c| c.read_tokens_per_ms);
    let slowest = paces.min_by(f64::total_cmp).unwrap_or(median);
    (UNSEEN_SLOWDOWN * median / slowest.max(MIN_PACE)).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
}

/// The part of the streams that is late with a pause.
///
/// Paces change for a moment before any figure shows it. So a pause counts from the longest timely
/// one divided by `slowdown` on, in proportion.
fn severity(pause: Duration, max_pause: Duration, slowdown: f64) -> f64 {
    let (pause, longest) = (pause.as_secs_f64(), max_pause.as_secs_f64());
    let from = longest / slowdown;
    let range = (longest - from).max(f64::MIN_POSITIVE);
    ((pause - from) / range).clamp(0.0, 1.0)
}
