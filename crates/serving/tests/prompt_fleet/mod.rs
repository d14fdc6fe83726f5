//! A simulated fleet of generation upstreams that read prompts in chunks between the steps of
//! their streams.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use jd_serving::GenerationSpec;
use jd_serving::PlacementCandidate;
use jd_serving::PromptDemand;
use jd_serving::PromptPlanner;
use jd_serving::PromptUpstream;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamStart;
use jd_serving::place_prompt;
use jd_types::MonoTime;
use jd_types::splitmix64;

const STRIDE: u32 = 7;
const MAX_PAUSE: Duration = Duration::from_millis(400);
const STEP_MS: f64 = 4.23;
const TOKENS_PER_MS: f64 = 64.0;
const CHUNK: u32 = 2_048;
/// A slow period lasts this long and slows an upstream by this factor.
const SLOW_PERIOD_MS: u64 = 600;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_PERCENT: u64 = 15;
/// The half-life of measured paces.
const PACE_HALF_LIFE_MS: f64 = 4_000.0;

pub(crate) fn spec() -> GenerationSpec {
    GenerationSpec {
        slots: 32,
        memory_tokens: 443_882,
        tokens_per_event: NonZeroU32::new(STRIDE),
        token_bytes: 163_840,
        link_bits_per_s: 1_100_000_000_000,
    }
}

/// A prompt that is being read, or its stream.
#[derive(Debug, Clone)]
struct Stream {
    arrived_ms: f64,
    /// Tokens that are fetched arrive by then.
    readable_ms: f64,
    session: u64,
    unread: u32,
    tokens: u64,
    left: u32,
    last_event_ms: f64,
    longest_pause_ms: f64,
    objective_ms: f64,
    first_ms: Option<f64>,
}

#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) ratio: f64,
    at_ms: f64,
    reading: VecDeque<Stream>,
    running: Vec<Stream>,
    held: HashMap<u64, f64>,
    measured_ratio: f64,
    received: u32,
    read_tokens: u64,
    most_tokens: u64,
}

/// What became of the streams.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) streams: u32,
    pub(crate) paused: u32,
    pub(crate) late: u32,
    pub(crate) fetches: u32,
    pub(crate) busiest_to_mean: f64,
    pub(crate) read_tokens: u64,
    pub(crate) most_tokens: u64,
}

impl Outcome {
    /// The sum of two outcomes, with the higher of their peaks.
    pub(crate) fn plus(self, other: Outcome) -> Outcome {
        Outcome {
            streams: self.streams + other.streams,
            paused: self.paused + other.paused,
            late: self.late + other.late,
            fetches: self.fetches + other.fetches,
            busiest_to_mean: self.busiest_to_mean.max(other.busiest_to_mean),
            read_tokens: self.read_tokens + other.read_tokens,
            most_tokens: self.most_tokens.max(other.most_tokens),
        }
    }

    pub(crate) fn paused_share(&self) -> f64 {
        f64::from(self.paused) / f64::from(self.streams.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placing {
    /// By rendezvous hashing alone.
    Hashing,
    /// By the planner.
    Planner,
}

#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at_ms: f64,
    pub(crate) prompt: PromptDemand,
    pub(crate) objective: Duration,
}

/// A generator of uniform numbers.
#[derive(Debug)]
struct Numbers(u64);

impl Numbers {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        (splitmix64(self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

pub(crate) fn prompt(session: u64, shared: u32, own: u32, tokens_out: u32) -> PromptDemand {
    PromptDemand {
        service: "writer".into(),
        session,
        tokens_in: shared + own,
        tokens_out,
        shared_tokens: shared,
        max_pause: MAX_PAUSE,
    }
}

/// The load of one of three zones: drafts with long prompts, and short prompts of two other kinds.
pub(crate) fn zone_load(seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut numbers = Numbers(seed << 32);
    let mut arrivals = Vec::new();
    // Drafts: a few thousand shared tokens, up to 54,600 in total; a session has five of them in
    // eight seconds on average.
    poisson(seconds, 10.5, &mut numbers, |at_ms, numbers| {
        let session = splitmix64((numbers.unit() * 17.0) as u64 + 100 * (at_ms / 8e3) as u64);
        let size = splitmix64(session) as f64 / u64::MAX as f64;
        // Mean of about 5,400.
        let shared = (1_600.0 / (1.0 - size).powf(0.72)).min(53_000.0) as u32;
        let own = 400 + (numbers.unit() * 1_650.0) as u32;
        let tokens_out = 200 + (numbers.unit() * 300.0) as u32;
        arrivals.push(Arrival {
            at_ms,
            prompt: prompt(session, shared, own, tokens_out),
            objective: Duration::from_millis(1_700),
        });
    });
    poisson(seconds, 46.0, &mut numbers, |at_ms, numbers| {
        let session = splitmix64(1_000_000 + (numbers.unit() * 400.0) as u64);
        let own = 150 + (numbers.unit() * 200.0) as u32;
        let tokens_out = 60 + (numbers.unit() * 120.0) as u32;
        arrivals.push(Arrival {
            at_ms,
            prompt: prompt(session, 1_210, own, tokens_out),
            objective: Duration::from_millis(2_000),
        });
    });
    arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    arrivals
}

fn poisson(
    seconds: f64,
    per_s: f64,
    numbers: &mut Numbers,
    mut arrive: impl FnMut(f64, &mut Numbers),
) {
    let mut at_ms = 0.0;
    loop {
        at_ms -= (1.0 - numbers.unit()).ln() / per_s * 1e3;
        if at_ms > seconds * 1e3 {
            return;
        }
        arrive(at_ms, numbers);
    }
}

/// Five slow upstreams of twenty, as a quarter of the page's fleet.
pub(crate) fn uneven() -> Vec<f64> {
    let ratio = |n: usize| if n.is_multiple_of(4) { 0.55 } else { 1.2 };
    (0..20).map(ratio).collect()
}

/// Runs a load on upstreams with these paces. `change` may change an upstream's pace at a time.
pub(crate) fn replay(
    ratios: &[f64],
    arrivals: &[Arrival],
    placing: Placing,
    change: impl Fn(f64, &mut [Upstream]),
) -> Outcome {
    let mut upstreams: Vec<Upstream> = ratios.iter().map(|r| Upstream::new(*r)).collect();
    let mut planner = PromptPlanner::default();
    let mut outcome = Outcome::default();
    let spec = spec();
    for arrival in arrivals {
        change(arrival.at_ms, &mut upstreams);
        for (n, upstream) in upstreams.iter_mut().enumerate() {
            upstream.run(n as u64, arrival.at_ms, &mut outcome);
        }
        let now = MonoTime::from_micros((arrival.at_ms * 1e3) as u64 + 1_000_000);
        let prompt = &arrival.prompt;
        let (chosen, fetch) = match placing {
            Placing::Hashing => (hashed(prompt.session, &upstreams), None),
            Placing::Planner => {
                let candidates: Vec<PlacementCandidate> = upstreams
                    .iter()
                    .enumerate()
                    .map(|(n, u)| u.candidate(n))
                    .collect();
                let by = now + arrival.objective;
                let decision = planner.place(now, prompt, by, &spec, &candidates);
                let placement = decision.expect("a candidate").placement;
                (number(&placement.upstream), placement.fetch_from)
            }
        };
        let fetched = fetch.is_some_and(|source| {
            let mut all = upstreams.iter().enumerate();
            let holder = all.find(|(n, _)| address(*n) == source);
            holder.is_some_and(|(_, u)| u.held.contains_key(&prompt.session))
        });
        outcome.fetches += u32::from(fetched);
        upstreams[chosen].receive(arrival, fetched);
    }
    for (n, upstream) in upstreams.iter_mut().enumerate() {
        upstream.run(n as u64, f64::MAX, &mut outcome);
    }
    let received = upstreams.iter().map(|u| f64::from(u.received));
    let mean = received.clone().sum::<f64>() / upstreams.len() as f64;
    outcome.busiest_to_mean = received.fold(0.0, f64::max) / mean;
    outcome.read_tokens = upstreams.iter().map(|u| u.read_tokens).sum();
    outcome.most_tokens = upstreams
        .iter()
        .map(|u| u.most_tokens)
        .max()
        .unwrap_or_default();
    outcome
}

fn address(n: usize) -> SocketAddr {
    let last = u8::try_from(n + 1).expect("few upstreams");
    SocketAddr::from(([127, 0, 1, last], 9_000))
}

fn number(id: &str) -> usize {
    id.trim_start_matches("g-").parse().expect("an id")
}

fn hashed(session: u64, upstreams: &[Upstream]) -> usize {
    let views = upstreams.iter().enumerate().map(|(n, u)| PromptUpstream {
        address: address(n),
        in_flight: u.streams() / 73,
        usable: true,
    });
    let views: Vec<PromptUpstream> = views.collect();
    place_prompt(session, &views, 32, 73)[0]
}

impl Upstream {
    pub(crate) fn new(ratio: f64) -> Upstream {
        Upstream {
            ratio,
            measured_ratio: ratio,
            ..Upstream::default()
        }
    }

    pub(crate) fn candidate(&self, n: usize) -> PlacementCandidate {
        let interval = STEP_MS * f64::from(STRIDE) / self.measured_ratio;
        PlacementCandidate {
            id: format!("g-{n}").into(),
            start: UpstreamStart::UNKNOWN,
            software: SoftwareVersion::default(),
            address: address(n),
            read_tokens_per_ms: TOKENS_PER_MS * self.measured_ratio,
            event_interval: Duration::from_secs_f64(interval / 1e3),
            running: self.streams(),
            observed: true,
        }
    }

    fn streams(&self) -> u32 {
        u32::try_from(self.running.len() + self.reading.len()).expect("few streams")
    }

    fn receive(&mut self, arrival: &Arrival, fetched: bool) {
        let prompt = &arrival.prompt;
        let is_held = self.held.contains_key(&prompt.session);
        let unread = match is_held || fetched {
            true => prompt.tokens_in - prompt.shared_tokens,
            false => prompt.tokens_in,
        };
        let bits = f64::from(prompt.shared_tokens) * 163_840.0 * 8.0;
        let fetch_ms = if fetched { bits / 1.1e12 * 1e3 } else { 0.0 };
        self.at_ms = self.at_ms.max(arrival.at_ms);
        self.received += 1;
        self.read_tokens += u64::from(unread);
        self.reading.push_back(Stream {
            arrived_ms: arrival.at_ms,
            readable_ms: arrival.at_ms + fetch_ms,
            session: prompt.session,
            unread,
            tokens: u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out),
            left: prompt.tokens_out,
            last_event_ms: 0.0,
            longest_pause_ms: 0.0,
            objective_ms: arrival.objective.as_secs_f64() * 1e3,
            first_ms: None,
        });
        let all = self.reading.iter().chain(&self.running);
        self.most_tokens = self.most_tokens.max(all.map(|s| s.tokens).sum());
    }

    /// Makes steps until a time: each reads one chunk and adds a token to each stream.
    fn run(&mut self, n: u64, until_ms: f64, outcome: &mut Outcome) {
        while self.at_ms < until_ms && self.streams() > 0 {
            let period = self.at_ms as u64 / SLOW_PERIOD_MS;
            let is_slow = splitmix64(n * 7_919 + period) % 100 < SLOW_PERCENT;
            let pace = self.ratio / if is_slow { SLOW_FACTOR } else { 1.0 };
            let mut step_ms = STEP_MS / pace;
            let mut done = false;
            if let Some(first) = self.reading.front_mut()
                && first.readable_ms <= self.at_ms
            {
                let chunk = first.unread.min(CHUNK);
                step_ms += f64::from(chunk) / (TOKENS_PER_MS * pace);
                first.unread -= chunk;
                done = first.unread == 0;
            }
            self.at_ms += step_ms;
            let kept = 0.5_f64.powf(step_ms / PACE_HALF_LIFE_MS);
            self.measured_ratio = self.measured_ratio * kept + pace * (1.0 - kept);
            let now = self.at_ms;
            for stream in &mut self.running {
                stream.left -= 1;
                if stream.left.is_multiple_of(STRIDE) {
                    let pause = now - stream.last_event_ms;
                    stream.longest_pause_ms = stream.longest_pause_ms.max(pause);
                    stream.last_event_ms = now;
                }
            }
            let ended = self.running.extract_if(.., |s| s.left == 0);
            for stream in ended {
                outcome.streams += 1;
                outcome.paused += u32::from(stream.longest_pause_ms > 400.0);
                let first = stream.first_ms.expect("a first event");
                outcome.late += u32::from(first - stream.arrived_ms > stream.objective_ms);
            }
            if done && let Some(mut read) = self.reading.pop_front() {
                self.held.insert(read.session, now);
                read.first_ms = Some(now);
                read.last_event_ms = now;
                self.running.push(read);
            }
        }
        if until_ms < f64::MAX {
            self.at_ms = self.at_ms.max(until_ms);
        }
    }
}
