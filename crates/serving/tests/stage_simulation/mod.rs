//! Upstreams of stages in virtual time: each works on one call at a time and
//! keeps results until they are given up.

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
use jd_serving::PieceResult;
use jd_serving::StageJob;
use jd_serving::StageScheduler;
use jd_serving::StageUpstream;
use jd_serving::StorageReport;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;

/// A service of two upstreams, one in each zone, as the users have them: calls
/// of a quarter of a second, ten pieces at most.
pub(crate) const SPEC: BatchSpec = BatchSpec {
    slots: 1,
    queue: 2,
    pieces: 10,
    base_time: Duration::from_millis(240),
    piece_time: Duration::from_millis(20),
    room_bytes: 2_000,
    result_ttl: Duration::from_secs(4),
};

pub(crate) struct Simulation {
    pub(crate) desk: StageScheduler,
    pub(crate) now: MonoTime,
    /// Every call that was made.
    pub(crate) calls: Vec<(MonoTime, BatchCall)>,
    pub(crate) ended: HashMap<JobKey, (MonoTime, Result<Vec<CompactString>, JobFailure>)>,
    /// Results that lie somewhere, and how large they are.
    pub(crate) lying: HashMap<CompactString, (CompactString, u64)>,
    /// Upstreams that do not answer.
    pub(crate) silent: HashSet<CompactString>,
    /// The results of each call.
    pub(crate) made: HashMap<CallKey, Vec<CompactString>>,
    /// Pieces that were to work on results that were gone.
    pub(crate) gone: usize,
    /// How often an upstream was asked for its room.
    pub(crate) questions: u32,
    bytes: u64,
    due: BTreeMap<(MonoTime, u64), BatchCall>,
    numbers: u64,
    lost: HashSet<CompactString>,
    /// Upstreams that take a call each time so long, and when the next one.
    pub(crate) limited: HashMap<CompactString, (Duration, MonoTime)>,
}

pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).expect("a name")
}

impl Simulation {
    /// A world whose results have `bytes` each.
    pub(crate) fn new(services: &[&str], bytes: u64) -> Simulation {
        let mut desk = StageScheduler::default();
        for service in services {
            desk.set_upstreams(MonoTime::ZERO, service, SPEC, upstreams(service, &[1, 2]));
        }
        Simulation {
            desk,
            now: MonoTime::from_millis(1_000),
            calls: Vec::new(),
            ended: HashMap::new(),
            lying: HashMap::new(),
            silent: HashSet::new(),
            made: HashMap::new(),
            gone: 0,
            questions: 0,
            bytes,
            due: BTreeMap::new(),
            numbers: 0,
            lost: HashSet::new(),
            limited: HashMap::new(),
        }
    }

    /// A job of one chain of stages, with `pieces` in each.
    pub(crate) fn chain(&self, id: u64, stages: &[(&str, usize)], objective_ms: u64) -> StageJob {
        let chain = stages
            .iter()
            .enumerate()
            .map(|(n, (service, pieces))| JobStage {
                service: (*service).into(),
                after: n.checked_sub(1).into_iter().collect(),
                pieces: *pieces,
                result_bytes: self.bytes,
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
        }
    }

    pub(crate) fn submit(&mut self, job: StageJob) -> Result<JobKey, JobFailure> {
        let key = self.desk.submit(self.now, job)?;
        self.pump();
        Ok(key)
    }

    /// Takes the results at an upstream away, as its end would.
    #[allow(dead_code, reason = "not every test file loses results")]
    pub(crate) fn lose_results(&mut self, upstream: &str) {
        let lost = self.lying.extract_if(|_, (at, _)| at == upstream);
        let lost: Vec<CompactString> = lost.map(|(handle, _)| handle).collect();
        self.lost.extend(lost);
    }

    /// Runs until `ms` later.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            while let Some(entry) = self.due.first_entry()
                && entry.key().0 <= self.now
            {
                let call = entry.remove();
                let result = self.work(&call);
                self.desk.complete_call(self.now, call.key, result);
            }
            self.pump();
        }
    }

    fn pump(&mut self) {
        self.desk.expire(self.now);
        for question in self.desk.storage_queries(self.now) {
            let used = self.used(&question.upstream);
            let free = SPEC.room_bytes.saturating_sub(used);
            self.questions += 1;
            let told = StorageReport {
                free_bytes: free,
                start: UpstreamStart::UNKNOWN,
            };
            self.desk
                .record_storage_report(self.now, &question, Some(told));
        }
        while let Some(call) = self.desk.next_call(self.now) {
            if let Some((every, next)) = self.limited.get_mut(&call.upstream) {
                let wait = next.since(self.now);
                if !wait.is_zero() {
                    let withheld = CallResult::Withheld(wait);
                    self.desk.complete_call(self.now, call.key, withheld);
                    continue;
                }
                *next = self.now + *every;
            }
            self.numbers += 1;
            let took = match self.silent.contains(&call.upstream) {
                true => call.timeout,
                false => SPEC.call_time(call.pieces.len()),
            };
            self.due
                .insert((self.now + took, self.numbers), call.clone());
            self.calls.push((self.now, call));
        }
        for end in self.desk.take_finished() {
            self.ended.insert(end.key, (self.now, end.outcome));
        }
        for handle in self.desk.take_unused_results() {
            self.lying.remove(&handle);
        }
    }

    /// Bytes of results that lie at an upstream.
    fn used(&self, upstream: &str) -> u64 {
        let used = self.lying.values().filter(|(at, _)| *at == upstream);
        used.map(|(_, bytes)| bytes).sum()
    }

    /// What an upstream answers; checks what it was asked.
    fn work(&mut self, call: &BatchCall) -> CallResult {
        if self.silent.contains(&call.upstream) {
            return CallResult::Failed;
        }
        let mut results = Vec::new();
        for piece in &call.pieces {
            if let PieceInput::Results(inputs) = &piece.input {
                assert!(!inputs.is_empty(), "a later stage needs inputs");
                if inputs.iter().any(|i| self.lost.contains(i)) {
                    self.gone += 1;
                    results.push(PieceResult::InputMissing);
                    continue;
                }
            }
            self.numbers += 1;
            let handle = format_compact!("{}/{}", call.upstream, self.numbers);
            let place = (call.upstream.clone(), self.bytes);
            self.lying.insert(handle.clone(), place);
            self.made.entry(call.key).or_default().push(handle.clone());
            results.push(PieceResult::Done(handle));
        }
        let used = self.used(&call.upstream);
        assert!(
            used <= SPEC.room_bytes,
            "{used} bytes lie at {}",
            call.upstream
        );
        CallResult::Answered(results)
    }
}

/// Upstreams of a service; the odd ones stand in zone `a`, the others in `b`.
pub(crate) fn upstreams(service: &str, numbers: &[u16]) -> impl Iterator<Item = StageUpstream> {
    let made: Vec<StageUpstream> = numbers
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
    made.into_iter()
}
