//! A simulation of the upstreams of stages in virtual time. Each upstream processes one call at a
//! time and stores results until they are released.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_serving::BatchCall;
use jd_serving::BatchSpec;
use jd_serving::CallKey;
use jd_serving::CallResult;
use jd_serving::Content;
use jd_serving::JobFailure;
use jd_serving::JobKey;
use jd_serving::JobStage;
use jd_serving::PieceInput;
use jd_serving::PieceRequest;
use jd_serving::PieceResult;
use jd_serving::StageJob;
use jd_serving::StageScheduler;
use jd_serving::StageUpstream;
use jd_serving::StorageReport;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;

/// A service with two upstreams, one in each zone, as in the users' deployments: calls take a
/// quarter of a second and hold ten pieces at most.
pub(crate) const SPEC: BatchSpec = BatchSpec {
    slots: 1,
    queue: 2,
    pieces: 10,
    base_time: Duration::from_millis(240),
    piece_time: Duration::from_millis(20),
    room_bytes: 2_000,
    result_ttl: Duration::from_secs(4),
};

/// A scheduler and simulated upstreams.
pub(crate) struct Simulation {
    pub(crate) scheduler: StageScheduler,
    pub(crate) now: MonoTime,
    /// All calls, with the time of their start.
    pub(crate) calls: Vec<(MonoTime, BatchCall)>,
    pub(crate) finished: HashMap<JobKey, (MonoTime, Result<Vec<CompactString>, JobFailure>)>,
    /// The stored results, each with its upstream and size.
    pub(crate) stored: HashMap<CompactString, (CompactString, u64)>,
    /// The upstreams that do not answer.
    pub(crate) unresponsive: HashSet<CompactString>,
    /// The results that each call produced.
    pub(crate) results_by_call: HashMap<CallKey, Vec<CompactString>>,
    /// The number of pieces that were sent with inputs that were gone.
    pub(crate) missing_inputs: usize,
    /// The number of queries for free storage.
    pub(crate) storage_queries: u32,
    /// The services whose upstreams differ from [`SPEC`].
    pub(crate) specs: HashMap<CompactString, BatchSpec>,
    /// How much longer than configured calls take at an upstream, as a factor.
    pub(crate) slowness: HashMap<CompactString, f64>,
    /// The sizes of the results of each stage, of the requests whose results differ from the
    /// others.
    pub(crate) result_sizes: HashMap<CompactString, Vec<u64>>,
    /// A service, and the part of a piece's time that one takes there whose result has at most so
    /// many bytes.
    pub(crate) light_pieces: Option<(CompactString, u64, f64)>,
    /// By service: the number of results that have been removed, the seconds for which they were
    /// stored, and their bytes.
    pub(crate) held: HashMap<CompactString, (u32, f64, u64)>,
    stored_since: HashMap<CompactString, MonoTime>,
    result_bytes: u64,
    due: BTreeMap<(MonoTime, u64), BatchCall>,
    last_id: u64,
    lost_results: HashSet<CompactString>,
    /// The upstreams with a rate limit: the interval between calls, and when the next is accepted.
    pub(crate) rate_limited: HashMap<CompactString, (Duration, MonoTime)>,
}

pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).expect("a name")
}

impl Simulation {
    /// A simulation with the given services, whose results have `bytes` bytes each.
    pub(crate) fn new(services: &[&str], bytes: u64) -> Simulation {
        let mut scheduler = StageScheduler::default();
        for service in services {
            scheduler.set_upstreams(MonoTime::ZERO, service, SPEC, upstreams(service, &[1, 2]));
        }
        Simulation {
            scheduler,
            now: MonoTime::from_millis(1_000),
            calls: Vec::new(),
            finished: HashMap::new(),
            stored: HashMap::new(),
            unresponsive: HashSet::new(),
            results_by_call: HashMap::new(),
            missing_inputs: 0,
            storage_queries: 0,
            specs: HashMap::new(),
            slowness: HashMap::new(),
            result_sizes: HashMap::new(),
            light_pieces: None,
            held: HashMap::new(),
            stored_since: HashMap::new(),
            result_bytes: bytes,
            due: BTreeMap::new(),
            last_id: 0,
            lost_results: HashSet::new(),
            rate_limited: HashMap::new(),
        }
    }

    /// A job with one chain of stages, each given by its service and number of pieces.
    #[allow(dead_code, reason = "not every test file submits chains")]
    pub(crate) fn chain(&self, id: u64, stages: &[(&str, usize)], objective_ms: u64) -> StageJob {
        let chain = stages
            .iter()
            .enumerate()
            .map(|(n, (service, pieces))| JobStage {
                service: (*service).into(),
                after: n.checked_sub(1).into_iter().collect(),
                pieces: *pieces,
                result_bytes: self.result_bytes,
            });
        StageJob {
            request_id: format_compact!("request-{id}"),
            content: Content::from_number(id),
            piece_key: "key".into(),
            stages: chain.collect(),
            objective: self.now + Duration::from_millis(objective_ms),
            deadline: self.now + Duration::from_millis(objective_ms * 4),
            priority: 0,
            zone: None,
            customer: 0,
            prompt: None,
            runs_again: false,
        }
    }

    pub(crate) fn submit(&mut self, job: StageJob) -> Result<JobKey, JobFailure> {
        let key = self.scheduler.submit(self.now, job)?;
        self.step();
        Ok(key)
    }

    /// Loses the results at an upstream, as its crash would.
    #[allow(dead_code, reason = "not every test file loses results")]
    pub(crate) fn lose_results(&mut self, upstream: &str) {
        let lost = self.stored.extract_if(|_, (at, _)| at == upstream);
        let lost: Vec<CompactString> = lost.map(|(handle, _)| handle).collect();
        self.lost_results.extend(lost);
    }

    /// Replaces the scheduler, as the death of its instance does: open calls are lost, and results
    /// stay at the upstreams.
    #[allow(dead_code, reason = "used by the tests of owners that die")]
    pub(crate) fn replace_scheduler(&mut self, successor: StageScheduler) {
        self.scheduler = successor;
        self.due.clear();
        self.finished.clear();
    }

    /// Runs the simulation for `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            while let Some(entry) = self.due.first_entry()
                && entry.key().0 <= self.now
            {
                let call = entry.remove();
                let result = self.process_call(&call);
                self.scheduler.complete_call(self.now, call.key, result);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.expire_results();
        self.scheduler.expire(self.now);
        for query in self.scheduler.storage_queries(self.now) {
            let stored_bytes = self.stored_bytes(&query.upstream);
            let room = self.spec(&query.service).room_bytes;
            let free = room.saturating_sub(stored_bytes);
            self.storage_queries += 1;
            let report = StorageReport {
                free_bytes: free,
                start: UpstreamStart::UNKNOWN,
            };
            self.scheduler
                .record_storage_report(self.now, &query, Some(report));
        }
        while let Some(call) = self.scheduler.next_call(self.now) {
            if let Some((every, next)) = self.rate_limited.get_mut(&call.upstream) {
                let wait = next.since(self.now);
                if !wait.is_zero() {
                    let withheld = CallResult::Withheld(wait);
                    self.scheduler.complete_call(self.now, call.key, withheld);
                    continue;
                }
                *next = self.now + *every;
            }
            self.last_id += 1;
            let duration = match self.unresponsive.contains(&call.upstream) {
                true => call.timeout,
                false => self.duration(&call),
            };
            self.due
                .insert((self.now + duration, self.last_id), call.clone());
            self.calls.push((self.now, call));
        }
        for job in self.scheduler.take_finished() {
            self.finished.insert(job.key, (self.now, job.outcome));
        }
        for handle in self.scheduler.take_unused_results() {
            let stored = self.stored.remove(&handle);
            let since = self.stored_since.remove(&handle);
            if let (Some((upstream, bytes)), Some(since)) = (stored, since) {
                let service = upstream.rsplit_once('-').map_or("", |(s, _)| s);
                let (count, seconds, sum) = self.held.entry(service.into()).or_default();
                *count += 1;
                *seconds += self.now.since(since).as_secs_f64();
                *sum += bytes;
            }
        }
    }

    /// Loses the results that their upstreams have kept for as long as they keep any.
    fn expire_results(&mut self) {
        let now = self.now;
        let expired = self
            .stored_since
            .extract_if(|_, since| now.since(*since) >= SPEC.result_ttl);
        let expired: Vec<CompactString> = expired.map(|(handle, _)| handle).collect();
        for handle in expired {
            self.stored.remove(&handle);
            self.lost_results.insert(handle);
        }
    }

    fn spec(&self, service: &str) -> BatchSpec {
        self.specs.get(service).copied().unwrap_or(SPEC)
    }

    fn result_size(&self, piece: &PieceRequest) -> u64 {
        let sizes = self.result_sizes.get(&piece.request_id);
        sizes.map_or(self.result_bytes, |s| s[piece.key.stage])
    }

    /// How long an upstream takes for a call.
    pub(crate) fn duration(&self, call: &BatchCall) -> Duration {
        let spec = self.spec(&call.service);
        let slowness = self.slowness.get(&call.upstream).copied().unwrap_or(1.0);
        let light = self.light_pieces.as_ref();
        let work = |piece: &PieceRequest| match light {
            Some((service, bytes, part))
                if *service == call.service && self.result_size(piece) <= *bytes =>
            {
                *part
            }
            _ => 1.0,
        };
        let pieces = spec
            .piece_time
            .mul_f64(call.pieces.iter().map(work).sum::<f64>());
        (spec.base_time + pieces).mul_f64(slowness)
    }

    /// Bytes of the results that are stored at an upstream.
    fn stored_bytes(&self, upstream: &str) -> u64 {
        let stored_bytes = self.stored.values().filter(|(at, _)| *at == upstream);
        stored_bytes.map(|(_, bytes)| bytes).sum()
    }

    /// Returns the answer of an upstream to a call. Fails the test if a piece lacks inputs, or if
    /// results exceed the storage of the upstream.
    fn process_call(&mut self, call: &BatchCall) -> CallResult {
        if self.unresponsive.contains(&call.upstream) {
            return CallResult::Failed;
        }
        let mut results = Vec::new();
        for piece in &call.pieces {
            if let PieceInput::Results(inputs) = &piece.input {
                assert!(!inputs.is_empty(), "a later stage needs inputs");
                if inputs.iter().any(|i| self.lost_results.contains(i)) {
                    self.missing_inputs += 1;
                    results.push(PieceResult::InputMissing);
                    continue;
                }
            }
            self.last_id += 1;
            let handle = format_compact!("{}/{}", call.upstream, self.last_id);
            let location = (call.upstream.clone(), self.result_size(piece));
            self.stored.insert(handle.clone(), location);
            self.stored_since.insert(handle.clone(), self.now);
            self.results_by_call
                .entry(call.key)
                .or_default()
                .push(handle.clone());
            results.push(PieceResult::Done(handle));
        }
        let stored_bytes = self.stored_bytes(&call.upstream);
        assert!(
            stored_bytes <= self.spec(&call.service).room_bytes,
            "{stored_bytes} bytes are stored at {}",
            call.upstream
        );
        CallResult::Answered(results)
    }
}

/// Upstreams of a service. Those with odd numbers are in zone `a`, the others in `b`.
pub(crate) fn upstreams(service: &str, numbers: &[u16]) -> impl Iterator<Item = StageUpstream> {
    let upstreams: Vec<StageUpstream> = numbers
        .iter()
        .map(|n| {
            let zone = if n % 2 == 1 { "a" } else { "b" };
            StageUpstream {
                id: format_compact!("{service}-{n}"),
                start: UpstreamStart::UNKNOWN,
                address: SocketAddr::from(([127, 0, 0, 1], *n)),
                zone: name(zone),
            }
        })
        .collect();
    upstreams.into_iter()
}
