//! The shipped desk before modelled upstreams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_serving::BatchCall;
use jd_serving::CallKey;
use jd_serving::CallResult;
use jd_serving::Content;
use jd_serving::JobKey;
use jd_serving::JobStage;
use jd_serving::PieceRequest;
use jd_serving::PieceResult;
use jd_serving::StageJob;
use jd_serving::StageScheduler;
use jd_serving::StageUpstream;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;

use crate::stages::Report;
use crate::stages::kind;
use crate::stages::kind::KINDS;
use crate::stages::kind::SERVICES;
use crate::stages::kind::StageKind;

/// Upstreams of each service.
const UPSTREAMS: usize = 5;
/// How often the desk is looked at without any event, as the shell does.
const TICK: Duration = Duration::from_millis(30);
/// How long after its stages a request's results are given up.
const RESULTS_READ: Duration = Duration::from_millis(80);
/// The part of the usual work that a piece of the first service with a small
/// result is; the users' sites have the same.
const LIGHT_WORK: f64 = 0.3;
/// The largest such result, in bytes.
const LIGHT_BYTES: u64 = 100_000;

/// How much comes, and when.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Of the mean, all the time.
    pub steady: f64,
    /// Of the mean, in the burst.
    pub burst: f64,
    /// The one kind that the burst is of, by its place in [`KINDS`]; none for all.
    pub only: Option<usize>,
    /// When the burst begins and ends.
    pub burst_in: (Duration, Duration),
    /// How long requests come.
    pub lasts: Duration,
    /// The seed of arrivals.
    pub seed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish(CallKey),
    Release(Vec<CompactString>),
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    kind: usize,
    came: MonoTime,
    in_time_by: MonoTime,
}

struct World {
    desk: StageScheduler,
    now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    calls: HashMap<CallKey, BatchCall>,
    jobs: HashMap<JobKey, Asked>,
    kinds: HashMap<CompactString, usize>,
    numbers: u64,
    rng: fastrand::Rng,
    report: Report,
}

/// Plays a load before the shipped desk.
pub fn run(load: &Load) -> Report {
    let mut world = World {
        desk: StageScheduler::default(),
        now: MonoTime::from_millis(1_000),
        events: BinaryHeap::new(),
        calls: HashMap::new(),
        jobs: HashMap::new(),
        kinds: HashMap::new(),
        numbers: 0,
        rng: fastrand::Rng::with_seed(load.seed),
        report: Report::default(),
    };
    for (n, service) in SERVICES.iter().enumerate() {
        let spec = kind::spec(n);
        world
            .desk
            .set_upstreams(world.now, service, spec, upstreams(service));
    }
    let began = world.now;
    for n in 0..KINDS.len() {
        world.next_arrival(n, load, began);
    }
    world.at(began, Event::Tick);
    let ends = began + load.lasts;
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > ends + Duration::from_secs(12) {
            break;
        }
        world.now = at;
        match event {
            Event::Arrive(n) => {
                world.arrive(n, load, began);
                if at < ends {
                    world.next_arrival(n, load, began);
                }
            }
            Event::Finish(key) => world.finish(key),
            Event::Release(handles) => world.desk.release_results(handles),
            Event::Tick => world.at(at + TICK, Event::Tick),
        }
        world.pump(load, began);
    }
    world.report
}

fn upstreams(service: &str) -> impl Iterator<Item = StageUpstream> {
    let service = CompactString::from(service);
    (1..=UPSTREAMS as u8).filter_map(move |n| {
        let zone = Name::try_from("a").ok()?;
        Some(StageUpstream {
            id: format_compact!("{service}-{n}"),
            start: UpstreamStart::UNKNOWN,
            address: SocketAddr::from(([127, 0, 0, n], 80)),
            zone,
        })
    })
}

impl World {
    fn at(&mut self, at: MonoTime, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((at, self.numbers, event)));
    }

    fn next_arrival(&mut self, n: usize, load: &Load, began: MonoTime) {
        let rate = KINDS[n].per_second * load.at(self.now.since(began), n);
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrive(n));
    }

    fn arrive(&mut self, n: usize, load: &Load, began: MonoTime) {
        let kind = &KINDS[n];
        let stages: Vec<JobStage> = kind.stages.iter().map(|s| self.stage(s)).collect();
        let in_burst = load.is_burst(self.now.since(began));
        self.report.asked(n, in_burst);
        if stages.iter().all(|s| s.pieces == 0) {
            self.report.ended(n, in_burst, true);
            return;
        }
        self.numbers += 1;
        let asked = Asked {
            kind: n,
            came: self.now,
            in_time_by: self.now + kind.objective,
        };
        let job = StageJob {
            request_id: format_compact!("{}", self.numbers),
            content: Content::from_number(self.numbers),
            piece_key: "key".into(),
            stages,
            objective: asked.in_time_by,
            deadline: self.now + kind.patience,
            priority: kind.priority,
            zone: None,
            customer: 0,
            prompt: None,
            runs_again: false,
        };
        self.kinds.insert(job.request_id.clone(), n);
        match self.desk.submit(self.now, job) {
            Ok(key) => {
                self.jobs.insert(key, asked);
            }
            Err(_) => self.report.refused(n, in_burst),
        }
    }

    fn stage(&mut self, stage: &StageKind) -> JobStage {
        // Uniform about the mean: what matters is that calls differ in size.
        let pieces = match self.rng.f64() < stage.share {
            true => stage.pieces * (0.5 + self.rng.f64()),
            false => 0.0,
        };
        let has = pieces > 0.0;
        JobStage {
            service: SERVICES[stage.service].into(),
            after: stage.after.into_iter().collect(),
            pieces: (pieces.round() as usize)
                .min(stage.most)
                .max(usize::from(has)),
            result_bytes: stage.bytes,
        }
    }

    fn finish(&mut self, key: CallKey) {
        let Some(call) = self.calls.remove(&key) else {
            return;
        };
        let made = call.pieces.iter().map(|p| {
            let at = (call.upstream.as_str(), p.request_id.as_str());
            PieceResult::Done(format_compact!(
                "{}/{}/{}.{}",
                at.0,
                at.1,
                p.key.stage,
                p.key.piece
            ))
        });
        let made = CallResult::Answered(made.collect());
        self.desk.complete_call(self.now, key, made);
    }

    fn pump(&mut self, load: &Load, began: MonoTime) {
        self.desk.expire(self.now);
        for question in self.desk.storage_queries(self.now) {
            // Nobody else's results lie at these upstreams.
            self.desk.record_storage_report(self.now, &question, None);
        }
        while let Some(call) = self.desk.next_call(self.now) {
            let service = SERVICES.iter().position(|s| *s == call.service);
            let spec = kind::spec(service.unwrap_or(0));
            let light = call.pieces.iter().filter(|p| self.is_light(p)).count();
            let heavy = call.pieces.len() - light;
            let work = heavy as f64 + light as f64 * LIGHT_WORK;
            let takes = spec.base_time + spec.piece_time.mul_f64(work);
            self.report.call(call.pieces.len(), takes);
            self.at(self.now + takes, Event::Finish(call.key));
            self.calls.insert(call.key, call);
        }
        for end in self.desk.take_finished() {
            let Some(asked) = self.jobs.remove(&end.key) else {
                continue;
            };
            let in_burst = load.is_burst(asked.came.since(began));
            match end.outcome {
                Ok(results) => {
                    self.report
                        .ended(asked.kind, in_burst, self.now <= asked.in_time_by);
                    self.at(self.now + RESULTS_READ, Event::Release(results));
                }
                Err(_) => self.report.given_up(asked.kind, in_burst),
            }
        }
        // What nobody needs is told to upstreams; these have no state here.
        drop(self.desk.take_unused_results());
    }

    fn is_light(&self, piece: &PieceRequest) -> bool {
        let kind = self.kinds.get(&piece.request_id);
        let stage = kind.and_then(|n| KINDS[*n].stages.get(piece.key.stage));
        stage.is_some_and(|s| s.service == 0 && s.bytes <= LIGHT_BYTES)
    }
}

impl Load {
    fn is_burst(&self, at: Duration) -> bool {
        let (from, to) = self.burst_in;
        (from..to).contains(&at)
    }

    fn at(&self, at: Duration, kind: usize) -> f64 {
        let is_of = self.only.is_none_or(|only| only == kind);
        match is_of && self.is_burst(at) {
            true => self.burst,
            false => self.steady,
        }
    }
}
