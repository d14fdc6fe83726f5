//! The stage services of one availability zone of two deployments, and their load, in virtual time.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_serving::BatchSpec;
use jd_serving::Content;
use jd_serving::JobKey;
use jd_serving::JobStage;
use jd_serving::StageJob;
use jd_types::MonoTime;

use crate::stage_simulation::Simulation;
use crate::stage_simulation::upstreams;

/// The services of both deployments, in the order of their stages.
pub(crate) const SERVICES: [&str; 3] = ["first", "middle", "last"];
/// How long after its stages a request has read their results.
const RESULTS_READ: Duration = Duration::from_millis(80);
/// The part of an objective that is left for the first event of an answer.
const FIRST_EVENT_MS: u64 = 200;
/// The size of the largest result of a piece that takes 0.3 of a piece's time.
const LIGHT_BYTES: u64 = 100_000;

/// One stage of a kind of request: service, stage that it follows, mean number of pieces, the
/// part of the requests that have it, bytes of a result.
type Stage = (usize, Option<usize>, f64, f64, u64);

const DRAFT: &[Stage] = &[(0, None, 2.5, 0.7, 800_000)];
const SUMMARY: &[Stage] = &[
    (0, None, 1.0, 1.0, 8_000),
    (1, Some(0), 4.0, 1.0, 60_000),
    (2, Some(1), 6.0, 1.0, 6_000),
];
const CLASSIFICATION: &[Stage] = &[
    (0, None, 1.5, 0.4, 800_000),
    (0, None, 1.0, 1.0, 8_000),
    (1, Some(1), 4.0, 1.0, 60_000),
    (2, Some(2), 6.0, 1.0, 6_000),
];

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) per_s: f64,
    priority: u8,
    pub(crate) objective_ms: u64,
    deadline_ms: u64,
    stages: &'static [Stage],
}

/// One availability zone of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deployment {
    /// By service: upstreams, pieces of a call, microseconds of a piece, bytes for results.
    services: [(u16, usize, u64, u64); 3],
    pub(crate) kinds: [Kind; 3],
}

const fn kind(
    name: &'static str,
    per_s: f64,
    priority: u8,
    objective_ms: u64,
    deadline_ms: u64,
    stages: &'static [Stage],
) -> Kind {
    Kind {
        name,
        per_s,
        priority,
        objective_ms,
        deadline_ms,
        stages,
    }
}

pub(crate) const VERZOEKWERK: Deployment = Deployment {
    services: [
        (6, 10, 21_000, 12_000_000),
        (5, 32, 6_400, 3_500_000),
        (5, 40, 5_100, 440_000),
    ],
    kinds: [
        kind("draft", 31.6 / 3.0, 1, 1_700, 15_000, DRAFT),
        kind("summary", 73.8 / 3.0, 0, 2_000, 15_000, SUMMARY),
        kind("class", 64.1 / 3.0, 2, 2_200, 6_000, CLASSIFICATION),
    ],
};

pub(crate) const NILECREST: Deployment = Deployment {
    services: [
        (6, 18, 11_000, 22_000_000),
        (5, 66, 3_100, 7_200_000),
        (6, 82, 2_500, 890_000),
    ],
    kinds: [
        kind("draft", 30.8 / 3.0, 0, 1_000, 10_000, DRAFT),
        kind("answer", 200.0 / 3.0, 1, 2_000, 12_000, SUMMARY),
        kind("tag", 83.3 / 3.0, 2, 4_000, 6_000, CLASSIFICATION),
    ],
};

/// The requests of one kind: all, on time, late, refused or ended by the deadline.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) all: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

/// What one service did.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceReport {
    pub(crate) pieces_per_s: f64,
    /// The pieces per second that its upstreams can process in full calls.
    pub(crate) call_bound: f64,
    /// The pieces per second for which there is storage.
    pub(crate) storage_bound: f64,
    pub(crate) pieces_per_call: f64,
    /// The part of the time in which its upstreams worked.
    pub(crate) busy: f64,
}

/// The load of one deployment.
pub(crate) struct Replay {
    pub(crate) sim: Simulation,
    deployment: Deployment,
    rng: fastrand::Rng,
    requests: HashMap<JobKey, (usize, MonoTime)>,
    pub(crate) counts: [Counts; 3],
    reading: Vec<(MonoTime, Vec<CompactString>)>,
    last_id: u64,
}

impl Replay {
    pub(crate) fn new(deployment: Deployment, seed: u64) -> Replay {
        let mut sim = Simulation::new(&[], 0);
        for (service, (count, pieces, piece_us, room_bytes)) in
            SERVICES.into_iter().zip(deployment.services)
        {
            let spec = BatchSpec {
                slots: 1,
                queue: 2,
                pieces,
                base_time: Duration::from_millis(240),
                piece_time: Duration::from_micros(piece_us),
                room_bytes,
                result_ttl: Duration::from_secs(4),
            };
            // Odd numbers are all in one availability zone.
            let numbers: Vec<u16> = (0..count).map(|n| 2 * n + 1).collect();
            let all = upstreams(service, &numbers);
            sim.scheduler.set_upstreams(sim.now, service, spec, all);
            sim.specs.insert(service.into(), spec);
        }
        sim.light_pieces = Some((SERVICES[0].into(), LIGHT_BYTES, 0.3));
        Replay {
            sim,
            deployment,
            rng: fastrand::Rng::with_seed(seed),
            requests: HashMap::new(),
            counts: [Counts::default(); 3],
            reading: Vec::new(),
            last_id: 0,
        }
    }

    /// Runs for `ms` milliseconds with a multiple of the usual rate of each kind.
    pub(crate) fn run(&mut self, ms: u64, rates: [f64; 3]) {
        for _ in 0..ms / 5 {
            for (kind, rate) in rates.into_iter().enumerate() {
                let mut expected = self.deployment.kinds[kind].per_s * rate * 0.005;
                while expected > 0.0 {
                    if self.rng.f64() < expected.min(1.0) {
                        self.submit(kind);
                    }
                    expected -= 1.0;
                }
            }
            self.sim.run(5);
            self.collect();
        }
    }

    fn submit(&mut self, kind: usize) {
        self.last_id += 1;
        let spec = self.deployment.kinds[kind];
        self.counts[kind].all += 1;
        let mut stages = Vec::new();
        for (service, after, mean, share, result_bytes) in spec.stages {
            let spread = mean.min(3.0) - 1.0;
            let drawn = (mean + spread * (2.0 * self.rng.f64() - 1.0)).round() as usize;
            let exact = *share == 1.0;
            let has = exact || self.rng.f64() < *share;
            stages.push(JobStage {
                service: SERVICES[*service].into(),
                after: after.iter().copied().collect(),
                pieces: match (has, exact) {
                    (false, _) => 0,
                    (true, true) => *mean as usize,
                    (true, false) => drawn.max(1),
                },
                result_bytes: *result_bytes,
            });
        }
        if stages.iter().all(|s| s.pieces == 0) {
            self.counts[kind].on_time += 1;
            return;
        }
        let request_id = format_compact!("request-{}", self.last_id);
        let sizes = stages.iter().map(|s| s.result_bytes).collect();
        self.sim.result_sizes.insert(request_id.clone(), sizes);
        let ms = |ms: u64| self.sim.now + Duration::from_millis(ms);
        let objective = ms(spec.objective_ms - FIRST_EVENT_MS);
        let job = StageJob {
            request_id,
            content: Content::from_number(self.last_id),
            piece_key: "key".into(),
            stages,
            objective,
            deadline: ms(spec.deadline_ms),
            priority: spec.priority,
            zone: None,
            customer: 0,
            prompt: None,
            runs_again: false,
        };
        match self.sim.submit(job) {
            Ok(key) => {
                self.requests.insert(key, (kind, objective));
            }
            Err(_) => self.counts[kind].refused += 1,
        }
    }

    fn collect(&mut self) {
        for (key, (at, outcome)) in std::mem::take(&mut self.sim.finished) {
            let Some((kind, objective)) = self.requests.remove(&key) else {
                continue;
            };
            let counts = &mut self.counts[kind];
            match outcome {
                Ok(results) => {
                    match at <= objective {
                        true => counts.on_time += 1,
                        false => counts.late += 1,
                    }
                    self.reading.push((at + RESULTS_READ, results));
                }
                Err(_) => counts.refused += 1,
            }
        }
        let now = self.sim.now;
        for (_, results) in self.reading.extract_if(.., |(at, _)| *at <= now) {
            self.sim.scheduler.release_results(results);
        }
    }

    /// The part of the requests of a kind that were on time.
    pub(crate) fn on_time(&self, kind: usize) -> f64 {
        let counts = self.counts[kind];
        f64::from(counts.on_time) / f64::from(counts.all.max(1))
    }

    /// What a service did from `from` until now.
    pub(crate) fn service_report(&self, n: usize, from: MonoTime) -> ServiceReport {
        let (count, pieces, _, room) = self.deployment.services[n];
        let service = SERVICES[n];
        let seconds = self.sim.now.since(from).as_secs_f64();
        let calls = self.sim.calls.iter();
        let calls = calls.filter(|(at, c)| c.service == service && *at >= from);
        let calls: Vec<_> = calls.collect();
        let sum: usize = calls.iter().map(|(_, c)| c.pieces.len()).sum();
        let worked = calls.iter().map(|(_, c)| self.sim.duration(c));
        let worked: f64 = worked.map(|d| d.as_secs_f64()).sum();
        // The time that the pieces of this load take; some of them are light.
        let piece_s = (worked - 0.24 * calls.len() as f64) / sum.max(1) as f64;
        let (held_count, held_s, bytes) =
            self.sim.held.get(service).copied().unwrap_or((1, 1.0, 1));
        // A result occupies storage from the start of its call.
        let call_s = worked / calls.len().max(1) as f64;
        let mean_held = held_s / f64::from(held_count) + call_s;
        let mean_bytes = bytes as f64 / f64::from(held_count);
        let full = 0.24 + piece_s * pieces as f64;
        ServiceReport {
            pieces_per_s: sum as f64 / seconds,
            call_bound: f64::from(count) * pieces as f64 / full,
            storage_bound: f64::from(count) * room as f64 * 0.96 / mean_bytes / mean_held,
            pieces_per_call: sum as f64 / calls.len().max(1) as f64,
            busy: worked / seconds / f64::from(count),
        }
    }

    /// A line for each service: what it did from `from` until now.
    pub(crate) fn service_table(&self, from: MonoTime) -> String {
        let mut text = String::new();
        for (n, service) in SERVICES.iter().enumerate() {
            let r = self.service_report(n, from);
            let _ = writeln!(
                text,
                "  {service:6} {:5.0}/s, bounds {:5.0} by calls, {:5.0} by storage; {:4.1} a call, busy {:.2}",
                r.pieces_per_s, r.call_bound, r.storage_bound, r.pieces_per_call, r.busy
            );
        }
        text
    }

    /// A line for each kind: what became of its requests.
    pub(crate) fn kind_table(&self) -> String {
        let mut text = String::new();
        for (kind, c) in self.deployment.kinds.iter().zip(self.counts) {
            let part = |n: u32| f64::from(n) / f64::from(c.all.max(1));
            let _ = writeln!(
                text,
                "  {:7} {:5} on time {:.2} late {:.2} refused {:.2}",
                kind.name,
                c.all,
                part(c.on_time),
                part(c.late),
                part(c.refused)
            );
        }
        text
    }
}
