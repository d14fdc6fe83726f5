//! Which pieces of which requests go to which upstream, and when.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::BatchSpec;
use crate::PieceKey;
use crate::StageJob;
use crate::batch_upstream::BatchUpstream;
use crate::result_room::ResultRoom;
use crate::stage_job::JobProgress;

/// What a step of priority is worth in waiting. Half a call of the users'
/// stages: enough that a burst of the less urgent does not delay the more
/// urgent, too little to starve what could still be in time.
const PRIORITY_STEP: Duration = Duration::from_millis(400);
/// A new wait counts one in this many: about the pieces of a few calls.
const WAIT_WEIGHT: u32 = 64;
/// How often one piece is tried. A third failure is rarely the upstream's.
const PIECE_TRIES: u32 = 3;
/// How often the stages of one job start over because results were gone.
const MAX_STARTS_OVER: u32 = 2;
/// How long after a call began its inputs have been read. Upstreams read them
/// first of all; a whole call's inputs take a few milliseconds on their links.
const INPUTS_READ: Duration = Duration::from_millis(35);
/// How long it is assumed that upstreams also work for another owner, after a
/// sign of it. A call then waits behind another's, and its inputs are read when
/// its turn comes and not at once.
const SHARED_FOR: Duration = Duration::from_millis(1_500);
/// The part of its spare time, in hundredths, by which a stage beside a longer
/// chain is put off. Done at once, its results would take room all the while.
const PUT_OFF_PERCENT: u32 = 60;
/// The part of an upstream's room, in hundredths, that results are planned to
/// take. Their sizes are known only about.
const USED_ROOM_PERCENT: u64 = 96;
/// Above this part of an upstream's room, in hundredths, results there are given
/// up as early as possible: from there a full call may not fit beside them.
const SCARCE_ROOM_PERCENT: u64 = 45;
/// The part of its spare time, in hundredths, that a piece waits for an upstream
/// in the zone where its inputs lie. Every piece reads all of its inputs, so a
/// stage elsewhere moves megabytes between zones.
const NEAR_WAIT_PERCENT: u32 = 20;
/// The longest such wait: about half a call.
const NEAR_WAIT_MOST: Duration = Duration::from_millis(200);
/// How long a piece waits after an upstream had no room for its result.
const ROOM_PAUSE: Duration = Duration::from_millis(60);

/// A job at the desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(u64);

/// A call at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(u64);

/// One piece as an upstream is asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceOrder {
    /// The identity of the caller's attempt.
    pub request_id: CompactString,
    /// Which piece.
    pub key: PieceKey,
    /// How long its request waits for it.
    pub left: Duration,
    /// What it works on.
    pub source: PieceSource,
}

/// What a piece works on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceSource {
    /// What the caller named.
    Caller(CompactString),
    /// Results of earlier stages.
    Results(Vec<CompactString>),
}

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchCall {
    /// To tell its outcome by.
    pub key: CallKey,
    /// The service that does the stage.
    pub service: CompactString,
    /// Pieces that wait for that service beside these.
    pub waiting: usize,
    /// Bytes of results at the upstream, those of this call included.
    pub room_used: u64,
    /// The upstream's identity.
    pub upstream: CompactString,
    /// Where it answers.
    pub address: SocketAddr,
    /// The pieces, in the order of the answers.
    pub pieces: Vec<PieceOrder>,
    /// How long to wait for the answer before the pieces go elsewhere.
    pub patience: Duration,
}

/// What became of one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceResult {
    /// Its result lies there.
    Done(CompactString),
    /// Its time had passed at its turn.
    Late,
    /// Something that it works on is gone.
    InputGone,
    /// The upstream has no room for the result.
    NoRoom,
    /// It failed.
    Failed,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// One result for each piece, in order.
    Answered(Vec<PieceResult>),
    /// The upstream was full and did nothing.
    Full,
    /// The upstream is another one, or not there.
    Gone,
    /// Nothing usable came back in time.
    Failed,
}

/// Why the stages of a request will not be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFailure {
    /// They would end too late; there may be room after that time.
    WouldMiss(Duration),
    /// The time is over.
    TooLate,
    /// No upstream does one of the stages.
    NoUpstream,
    /// A piece failed too often.
    PieceFailed,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobEnd {
    /// Which job.
    pub key: JobKey,
    /// The results that the request needs, or why there are none.
    pub outcome: Result<Vec<CompactString>, JobFailure>,
}

/// Whether a piece's job can still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Chance {
    /// It can.
    InTime,
    /// It cannot, but earlier stages have been done for it. Left behind, their
    /// results expire, and the work has to be done twice.
    LateBegun,
    /// It cannot, and nothing has been done for it.
    Late,
}

/// The order in which pieces are served: those that can still be in time
/// first, and among them those that have to start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    chance: Chance,
    start_by: MonoTime,
    job: JobKey,
    piece: PieceKey,
}

impl Chance {
    fn of(is_late: bool, is_first: bool) -> Chance {
        match (is_late, is_first) {
            (false, _) => Chance::InTime,
            (true, false) => Chance::LateBegun,
            (true, true) => Chance::Late,
        }
    }
}

#[derive(Debug)]
struct Waiting {
    since: MonoTime,
    not_before: MonoTime,
    zone: Option<Name>,
    anywhere_from: MonoTime,
}

impl Waiting {
    /// True if an upstream in `zone` may work on the piece now.
    fn suits(&self, now: MonoTime, zone: &Name) -> bool {
        let near = self.zone.as_ref().is_none_or(|z| z == zone);
        self.not_before <= now && (near || self.anywhere_from <= now)
    }
}

#[derive(Debug)]
struct Queue {
    spec: BatchSpec,
    upstreams: Vec<BatchUpstream>,
    waiting: BTreeMap<Rank, Waiting>,
    /// How long pieces that could be in time have waited lately.
    usual_wait: Duration,
}

#[derive(Debug)]
struct Job {
    progress: JobProgress,
    tries: HashMap<PieceKey, u32>,
    starts_over: u32,
}

/// Results that will have been read by then.
#[derive(Debug)]
struct Reading {
    until: MonoTime,
    job: JobKey,
    stage: usize,
}

#[derive(Debug)]
struct OpenCall {
    service: CompactString,
    upstream: CompactString,
    pieces: Vec<(JobKey, PieceKey)>,
    bytes: u64,
    began: MonoTime,
    expected: Duration,
}

/// The desk of the instance that fills batches for a deployment.
///
/// The load that it answers: a call costs a quarter of a second however little
/// it holds, and every upstream works on one call at a time. Instances that
/// each batch for themselves send small calls into each other's queues. Here
/// all pieces wait in one place and are bound to an upstream only when it is
/// free, so that calls fill by themselves as load grows.
#[derive(Debug, Default)]
pub struct StageDesk {
    queues: HashMap<CompactString, Queue>,
    jobs: HashMap<JobKey, Job>,
    calls: HashMap<CallKey, OpenCall>,
    ended: Vec<JobEnd>,
    unused: Vec<CompactString>,
    room: ResultRoom,
    reading: Vec<Reading>,
    shared_until: MonoTime,
    numbers: u64,
}

impl StageDesk {
    /// A service's upstreams, as they are now.
    pub fn set_upstreams(
        &mut self,
        service: &str,
        spec: BatchSpec,
        upstreams: impl Iterator<Item = (CompactString, SocketAddr, Name)>,
    ) {
        let queue = self.queues.entry(service.into()).or_insert_with(|| Queue {
            spec,
            upstreams: Vec::new(),
            waiting: BTreeMap::new(),
            usual_wait: Duration::ZERO,
        });
        queue.spec = spec;
        let mut old = std::mem::take(&mut queue.upstreams);
        queue.upstreams = upstreams
            .map(|(id, address, zone)| {
                let same = old.iter().position(|u| u.id == id);
                same.map_or_else(
                    || BatchUpstream::new(id, address, zone),
                    |n| old.swap_remove(n),
                )
            })
            .collect();
    }

    /// Takes the stages of a request in, or says at once why not.
    pub fn submit(&mut self, now: MonoTime, job: StageJob) -> Result<JobKey, JobFailure> {
        let served = |s: &crate::JobStage| {
            s.pieces == 0
                || self
                    .queues
                    .get(&s.service)
                    .is_some_and(|q| !q.upstreams.is_empty())
        };
        if !job.stages.iter().all(served) {
            return Err(JobFailure::NoUpstream);
        }
        let progress = JobProgress::new(job);
        self.check_wait(now, &progress)?;
        // An owner of jobs before may still have calls at the upstreams.
        if self.jobs.is_empty() && self.calls.is_empty() {
            self.shared_until = now + SHARED_FOR;
        }
        self.numbers += 1;
        let key = JobKey(self.numbers);
        let job = Job {
            progress,
            tries: HashMap::new(),
            starts_over: 0,
        };
        self.jobs.insert(key, job);
        self.advance(now, key);
        Ok(key)
    }

    /// Nobody waits for the job any more.
    pub fn cancel(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release(job.progress.all());
            self.forget_pieces(key);
        }
    }

    /// The next call to make, if an upstream is free and pieces wait.
    pub fn next_call(&mut self, now: MonoTime) -> Option<BatchCall> {
        let services: Vec<CompactString> = self.queues.keys().cloned().collect();
        services.iter().find_map(|s| self.next_call_of(now, s))
    }

    /// A call came back.
    pub fn finish(&mut self, now: MonoTime, key: CallKey, result: CallResult) {
        let Some(call) = self.calls.remove(&key) else {
            return;
        };
        let mut keep = Duration::ZERO;
        if let Some(queue) = self.queues.get_mut(&call.service) {
            keep = queue.spec.keep;
            if let Some(upstream) = queue.upstream(&call.upstream) {
                upstream.finished(now, now.since(call.began), call.expected, &result);
                upstream.give_room(call.bytes);
            }
        }
        self.count_room(now + keep, key, &call, &result);
        match result {
            CallResult::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    self.take_result(now, *job, *piece, result);
                }
            }
            CallResult::Full | CallResult::Gone => {
                for (job, piece) in call.pieces {
                    self.ask_again(now, job, piece, now);
                }
            }
            CallResult::Failed => {
                for (job, piece) in call.pieces {
                    self.try_again(now, job, piece, now);
                }
            }
        }
    }

    /// Ends jobs whose time is over. Their pieces would be worked on in vain.
    pub fn expire(&mut self, now: MonoTime) {
        for (service, upstream, bytes) in self.room.expire(now) {
            self.give_room(&service, &upstream, bytes);
        }
        self.release_read(now);
        let over = |job: &Job| job.progress.job().deadline <= now;
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, j)| over(j))
            .map(|(k, _)| *k)
            .collect();
        for key in keys {
            self.fail(key, JobFailure::TooLate);
        }
    }

    /// Nobody works on these results any more.
    pub fn release(&mut self, handles: Vec<CompactString>) {
        for handle in handles {
            self.discard(handle);
        }
    }

    /// The jobs that ended since the last question.
    pub fn take_ended(&mut self) -> Vec<JobEnd> {
        std::mem::take(&mut self.ended)
    }

    /// Results that nobody needs any more, since the last question.
    pub fn take_unused(&mut self) -> Vec<CompactString> {
        std::mem::take(&mut self.unused)
    }

    /// True if time alone may bring something to decide.
    pub fn is_waiting(&self) -> bool {
        !self.reading.is_empty() || self.queues.values().any(|q| !q.waiting.is_empty())
    }

    /// Refuses at once what would wait longer than its caller does. Held and
    /// refused later it would have cost the caller its time as well.
    fn check_wait(&self, now: MonoTime, progress: &JobProgress) -> Result<(), JobFailure> {
        let first = (0..progress.job().stages.len())
            .filter(|s| progress.job().stages[*s].pieces > 0)
            .map(|s| self.path_time(progress, s))
            .max()
            .unwrap_or_default();
        let longest = progress
            .job()
            .stages
            .iter()
            .filter(|s| s.pieces > 0)
            .filter_map(|s| self.queues.get(&s.service))
            .map(|q| q.backlog(now))
            .max()
            .unwrap_or_default();
        let end = now + first + longest;
        match end > progress.job().deadline {
            true => Err(JobFailure::WouldMiss(longest)),
            false => Ok(()),
        }
    }

    /// How long the stages from `stage` on take, its own wait not counted and
    /// those at later stages as they have been lately. Without these, upstreams
    /// would be kept busy with what is in time now and late one stage later.
    fn path_time(&self, progress: &JobProgress, stage: usize) -> Duration {
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.spec.call_time(pieces) + q.usual_wait)
        };
        let service = &progress.job().stages[stage].service;
        let own_wait = self.queues.get(service).map(|q| q.usual_wait);
        let path = progress.path_time(stage, &call_time);
        path.saturating_sub(own_wait.unwrap_or_default())
    }

    fn advance(&mut self, now: MonoTime, key: JobKey) {
        loop {
            let Some(job) = self.jobs.get_mut(&key) else {
                return;
            };
            if let Some(results) = job.progress.outcome() {
                self.jobs.remove(&key);
                let outcome = Ok(results);
                self.ended.push(JobEnd { key, outcome });
                return;
            }
            let ready = job.progress.start_ready();
            if ready.is_empty() {
                return;
            }
            let counted = |s: usize| (s, job.progress.job().stages[s].pieces);
            let stages: Vec<(usize, usize)> = ready.into_iter().map(counted).collect();
            for (stage, pieces) in stages {
                let begin = now + self.put_off(key, stage);
                for piece in 0..pieces {
                    self.enqueue(now, key, PieceKey { stage, piece }, begin);
                }
            }
        }
    }

    fn enqueue(&mut self, now: MonoTime, key: JobKey, piece: PieceKey, not_before: MonoTime) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.progress.is_open(piece)) else {
            return;
        };
        let path = self.path_time(&job.progress, piece.stage);
        let spec = job.progress.job();
        let start_by = spec.objective.before(path);
        let rank = Rank {
            chance: Chance::of(start_by < now, spec.stages[piece.stage].after.is_empty()),
            start_by: start_by + PRIORITY_STEP * u32::from(spec.priority),
            job: key,
            piece,
        };
        let service = spec.stages[piece.stage].service.clone();
        let near_wait = start_by.since(now) * NEAR_WAIT_PERCENT / 100;
        let waiting = Waiting {
            since: now,
            not_before,
            zone: self.wanted_zone(job, piece.stage),
            anywhere_from: not_before + near_wait.min(NEAR_WAIT_MOST),
        };
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.waiting.insert(rank, waiting);
        }
    }

    /// Services where more late work waits than fits into one call. Late jobs are
    /// not begun that lead there: their results would expire before their turn.
    fn clogged(&self) -> Vec<CompactString> {
        let clogged = self.queues.iter().filter(|(_, q)| {
            let begun = q.waiting.keys().filter(|r| r.chance == Chance::LateBegun);
            begun.count() > q.spec.pieces
        });
        clogged.map(|(service, _)| service.clone()).collect()
    }

    /// The zone where a piece of a stage is best worked on: where its inputs
    /// lie, or where its result is wanted.
    fn wanted_zone(&self, job: &Job, stage: usize) -> Option<Name> {
        if let Some(input) = job.progress.inputs(stage).first() {
            let (service, upstream) = self.room.place(input)?;
            let mut upstreams = self.queues.get(service)?.upstreams.iter();
            let upstream = upstreams.find(|u| u.id == *upstream);
            return upstream.map(|u| u.zone.clone());
        }
        let last = !job.progress.is_needed(stage);
        last.then(|| job.progress.job().zone.clone()).flatten()
    }

    fn next_call_of(&mut self, now: MonoTime, service: &str) -> Option<BatchCall> {
        let clogged = self.clogged();
        let queue = self.queues.get_mut(service)?;
        queue.mark_late(now, &self.jobs);
        let (upstream, ranks) = queue.next_batch(now, &self.jobs, &clogged)?;
        self.numbers += 1;
        let key = CallKey(self.numbers);
        let mut orders = Vec::with_capacity(ranks.len());
        let mut pieces = Vec::with_capacity(ranks.len());
        let mut bytes = 0;
        for rank in ranks {
            if let Some(waiting) = queue.waiting.remove(&rank) {
                queue.note_wait(&rank, now.since(waiting.since));
            }
            if let Some(job) = self.jobs.get_mut(&rank.job) {
                job.progress.sent(rank.piece);
                for stage in job.progress.job().stages[rank.piece.stage].after.clone() {
                    if job.progress.is_read_by_all(stage) {
                        self.reading.push(Reading {
                            until: now + INPUTS_READ,
                            job: rank.job,
                            stage,
                        });
                    }
                }
                orders.push(job.order(now, rank.piece));
                pieces.push((rank.job, rank.piece));
                bytes += job.result_bytes(rank.piece);
            }
        }
        let expected = queue.spec.call_time(orders.len());
        let upstream = &mut queue.upstreams[upstream];
        upstream.started();
        upstream.take_room(bytes);
        let call = BatchCall {
            key,
            service: service.into(),
            waiting: queue.waiting.len(),
            room_used: upstream.room_used(),
            upstream: upstream.id.clone(),
            address: upstream.address,
            pieces: orders,
            patience: upstream.patience(expected),
        };
        let open = OpenCall {
            service: service.into(),
            upstream: call.upstream.clone(),
            pieces,
            bytes,
            began: now,
            expected,
        };
        self.calls.insert(key, open);
        Some(call)
    }

    /// Counts the results of a call against the room of their upstream. One
    /// that did not answer may have made all of them.
    fn count_room(&mut self, until: MonoTime, key: CallKey, call: &OpenCall, result: &CallResult) {
        let place = (&call.service, &call.upstream);
        let mut made: Vec<(CompactString, u64)> = Vec::new();
        match result {
            CallResult::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    if let PieceResult::Done(handle) = result {
                        let bytes = self.jobs.get(job).map_or(0, |j| j.result_bytes(*piece));
                        made.push((handle.clone(), bytes));
                    }
                }
            }
            CallResult::Failed => {
                let unknown = compact_str::format_compact!("call {}", key.0);
                made.push((unknown, call.bytes));
            }
            CallResult::Full | CallResult::Gone => {}
        }
        self.learn_of_others(until, key, call, result);
        for (handle, bytes) in made {
            let queue = self.queues.get_mut(place.0);
            if let Some(upstream) = queue.and_then(|q| q.upstream(place.1)) {
                upstream.take_room(bytes);
                self.room.put(handle, place, bytes, until);
            }
        }
    }

    /// An upstream without room where some was expected keeps results that are
    /// not counted here, another owner's. Half of what seemed free is counted
    /// as taken for as long as a call lasts, so that pieces are not sent again
    /// and again into an upstream that refuses them.
    fn learn_of_others(
        &mut self,
        until: MonoTime,
        key: CallKey,
        call: &OpenCall,
        result: &CallResult,
    ) {
        let refused = match result {
            CallResult::Answered(results) => results.contains(&PieceResult::NoRoom),
            _ => false,
        };
        let Some(queue) = self.queues.get_mut(&call.service).filter(|_| refused) else {
            return;
        };
        let until = until.before(queue.spec.keep) + queue.spec.call_time(queue.spec.pieces);
        let room = queue.spec.room_bytes;
        if let Some(upstream) = queue.upstream(&call.upstream) {
            let bytes = room.saturating_sub(upstream.room_used()) / 2;
            upstream.take_room(bytes);
            let others = compact_str::format_compact!("others {}", key.0);
            self.room
                .put(others, (&call.service, &call.upstream), bytes, until);
        }
    }

    fn discard(&mut self, handle: CompactString) {
        if let Some((service, upstream, bytes)) = self.room.take(&handle) {
            self.give_room(&service, &upstream, bytes);
        }
        self.unused.push(handle);
    }

    fn give_room(&mut self, service: &str, upstream: &str, bytes: u64) {
        let queue = self.queues.get_mut(service);
        if let Some(upstream) = queue.and_then(|q| q.upstream(upstream)) {
            upstream.give_room(bytes);
        }
    }

    fn take_result(&mut self, now: MonoTime, key: JobKey, piece: PieceKey, result: PieceResult) {
        match result {
            PieceResult::Done(handle) => self.take_handle(now, key, piece, handle),
            PieceResult::Late => self.fail(key, JobFailure::TooLate),
            PieceResult::NoRoom => self.ask_again(now, key, piece, now + ROOM_PAUSE),
            PieceResult::InputGone => {
                self.shared_until = now + SHARED_FOR;
                self.start_over(now, key, piece);
            }
            PieceResult::Failed => self.try_again(now, key, piece, now),
        }
    }

    fn take_handle(&mut self, now: MonoTime, key: JobKey, piece: PieceKey, handle: CompactString) {
        let job = self.jobs.get_mut(&key);
        let Some(job) = job.filter(|j| j.progress.is_wanted(piece)) else {
            self.discard(handle);
            return;
        };
        job.progress.done(piece, handle);
        if job.progress.is_done(piece.stage) {
            for read in job.progress.job().stages[piece.stage].after.clone() {
                self.reading.push(Reading {
                    until: now,
                    job: key,
                    stage: read,
                });
            }
            self.release_read(now);
            self.advance(now, key);
        }
    }

    fn try_again(&mut self, now: MonoTime, key: JobKey, piece: PieceKey, not_before: MonoTime) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let tries = job.tries.entry(piece).or_insert(1);
        *tries += 1;
        if *tries > PIECE_TRIES {
            self.fail(key, JobFailure::PieceFailed);
            return;
        }
        self.ask_again(now, key, piece, not_before);
    }

    /// Puts a piece back that an upstream was asked for in vain.
    fn ask_again(&mut self, now: MonoTime, key: JobKey, piece: PieceKey, not_before: MonoTime) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.progress.open(piece);
        // Its inputs may have been given up in the belief that they were read.
        // A piece must never be asked for with only some of them.
        match job.progress.is_ready(piece.stage) {
            // It is asked for with the others once the inputs are made again.
            false => {}
            true if job.progress.lacks_inputs(piece.stage) => self.start_over(now, key, piece),
            true => self.enqueue(now, key, piece, not_before),
        }
    }

    /// Has the results that a piece works on made again: the upstream that kept
    /// them is gone, or they were given up too early.
    fn start_over(&mut self, now: MonoTime, key: JobKey, piece: PieceKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.progress.open(piece);
        if !job.progress.is_ready(piece.stage) {
            return;
        }
        job.starts_over += 1;
        if job.starts_over > MAX_STARTS_OVER {
            self.fail(key, JobFailure::PieceFailed);
            return;
        }
        let left = job.progress.start_over(piece.stage);
        for queue in self.queues.values_mut() {
            let stale = |r: &Rank| r.job == key && r.piece.stage == piece.stage;
            queue.waiting.retain(|rank, _| !stale(rank));
        }
        self.release(left);
        self.advance(now, key);
    }

    /// Gives up results that everything that needs them has read by now, if the
    /// room where they lie is getting scarce, or once nothing can need them
    /// again. Given up early, a call that fails has them made again.
    fn release_read(&mut self, now: MonoTime) {
        let due = self.reading.extract_if(.., |r| r.until <= now);
        let due: Vec<Reading> = due.collect();
        for reading in due {
            let Some(job) = self.jobs.get(&reading.job) else {
                continue;
            };
            if !job.progress.is_read_by_all(reading.stage) {
                continue;
            }
            let over = job.progress.is_used_up(reading.stage);
            if !over
                && (now < self.shared_until
                    || !self.is_scarce(&job.progress.results_of(reading.stage)))
            {
                let until = now + INPUTS_READ;
                self.reading.push(Reading { until, ..reading });
                continue;
            }
            let job = self.jobs.get_mut(&reading.job);
            let handles = job.map_or_else(Vec::new, |j| j.progress.read(reading.stage));
            self.release(handles);
        }
    }

    /// True if one of the upstreams where these results lie is short of room.
    fn is_scarce(&self, handles: &[CompactString]) -> bool {
        handles.iter().any(|handle| {
            let place = self.room.place(handle);
            place.is_none_or(|(service, upstream)| {
                let queue = self.queues.get(service);
                queue.is_none_or(|q| q.is_scarce(upstream))
            })
        })
    }

    /// How long the pieces of a stage wait because another chain of stages of
    /// the same job takes longer.
    fn put_off(&self, key: JobKey, stage: usize) -> Duration {
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.spec.call_time(pieces))
        };
        let Some(job) = self.jobs.get(&key) else {
            return Duration::ZERO;
        };
        let first = job.progress.job().stages[stage].after.is_empty();
        match first && job.starts_over == 0 {
            true => job.progress.spare_time(stage, &call_time) * PUT_OFF_PERCENT / 100,
            false => Duration::ZERO,
        }
    }

    fn fail(&mut self, key: JobKey, failure: JobFailure) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release(job.progress.all());
            self.forget_pieces(key);
            let outcome = Err(failure);
            self.ended.push(JobEnd { key, outcome });
        }
    }

    fn forget_pieces(&mut self, key: JobKey) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|rank, _| rank.job != key);
        }
    }
}

impl Job {
    fn is_first(&self, piece: PieceKey) -> bool {
        self.progress.job().stages[piece.stage].after.is_empty()
    }

    /// True if one of its stages is done by one of these services.
    fn leads_to(&self, services: &[CompactString]) -> bool {
        let stages = self.progress.job().stages.iter();
        let mut used = stages.filter(|s| s.pieces > 0);
        used.any(|s| services.contains(&s.service))
    }

    fn result_bytes(&self, piece: PieceKey) -> u64 {
        self.progress.job().stages[piece.stage].result_bytes
    }

    fn order(&self, now: MonoTime, piece: PieceKey) -> PieceOrder {
        let job = self.progress.job();
        let source = match job.stages[piece.stage].after.is_empty() {
            true => PieceSource::Caller(job.piece_key.clone()),
            false => PieceSource::Results(self.progress.inputs(piece.stage)),
        };
        PieceOrder {
            request_id: job.request_id.clone(),
            key: piece,
            left: job.deadline.since(now),
            source,
        }
    }
}

impl Queue {
    /// How long what waits now takes to be served.
    fn backlog(&self, now: MonoTime) -> Duration {
        let able = self.upstreams.iter().filter(|u| !u.is_blocked(now)).count();
        let calls = self.waiting.len() as f64 / self.spec.pieces.max(1) as f64;
        let full = self.spec.call_time(self.spec.pieces);
        full.mul_f64(calls / able.max(1) as f64)
    }

    fn note_wait(&mut self, rank: &Rank, wait: Duration) {
        if rank.chance == Chance::InTime {
            self.usual_wait = (self.usual_wait * (WAIT_WEIGHT - 1) + wait) / WAIT_WEIGHT;
        }
    }

    /// Puts behind the others what can no longer be in time. Served first, it
    /// would make the next one late as well, and so all of them.
    fn mark_late(&mut self, now: MonoTime, jobs: &HashMap<JobKey, Job>) {
        while let Some((rank, _)) = self.waiting.first_key_value()
            && rank.chance == Chance::InTime
            && rank.start_by < now
        {
            let mut late = *rank;
            let first = jobs.get(&rank.job).is_none_or(|j| j.is_first(rank.piece));
            late.chance = Chance::of(true, first);
            if let Some((_, waiting)) = self.waiting.pop_first() {
                self.waiting.insert(late, waiting);
            }
        }
    }

    fn is_scarce(&self, id: &str) -> bool {
        let upstream = self.upstreams.iter().find(|u| u.id == id);
        let scarce = self.spec.room_bytes * SCARCE_ROOM_PERCENT / 100;
        upstream.is_none_or(|u| u.room_used() > scarce)
    }

    fn upstream(&mut self, id: &str) -> Option<&mut BatchUpstream> {
        self.upstreams.iter_mut().find(|u| u.id == id)
    }

    /// The next batch and the upstream that is to work on it: one in the zone
    /// where the most urgent result is wanted if it can, and never one without
    /// room for the results.
    fn next_batch(
        &self,
        now: MonoTime,
        jobs: &HashMap<JobKey, Job>,
        clogged: &[CompactString],
    ) -> Option<(usize, Vec<Rank>)> {
        let mut waiting = self.waiting.iter();
        let (_, first) = waiting.find(|(_, w)| w.not_before <= now)?;
        let slots = self.spec.slots.max(1);
        let able = self.upstreams.iter().enumerate();
        let able = able.filter(|(_, u)| u.open_calls() < slots && !u.is_blocked(now));
        let mut able: Vec<(usize, &BatchUpstream)> = able.collect();
        let far = |u: &BatchUpstream| first.zone.as_ref().is_some_and(|z| u.zone != *z);
        able.sort_by_key(|(_, u)| (far(u), u.room_used()));
        able.into_iter().find_map(|(n, upstream)| {
            let ranks = self.batch_for(now, upstream, jobs, clogged);
            (!ranks.is_empty()).then_some((n, ranks))
        })
    }

    /// The most urgent pieces that fit into one call and into the room there.
    ///
    /// Pieces of one stage of a job go together where they fit: apart, the
    /// first of them would lie there and take room until the last is made.
    fn batch_for(
        &self,
        now: MonoTime,
        upstream: &BatchUpstream,
        jobs: &HashMap<JobKey, Job>,
        clogged: &[CompactString],
    ) -> Vec<Rank> {
        let usable = self.spec.room_bytes * USED_ROOM_PERCENT / 100;
        let mut room = usable.saturating_sub(upstream.room_used());
        let mut batch: Vec<Rank> = Vec::with_capacity(self.spec.pieces);
        let mut left_out = 0;
        let suits = |(_, w): &(&Rank, &Waiting)| w.suits(now, &upstream.zone);
        let ready = self.waiting.iter().filter(suits);
        let ready: Vec<&Rank> = ready.map(|(rank, _)| rank).collect();
        let same_stage = |a: &&Rank, b: &&Rank| a.job == b.job && a.piece.stage == b.piece.stage;
        for group in ready.chunk_by(same_stage) {
            let slots = self.spec.pieces - batch.len();
            let first = group.first().and_then(|r| jobs.get(&r.job).map(|j| (r, j)));
            let Some((rank, job)) = first else {
                continue;
            };
            if rank.chance == Chance::Late && job.leads_to(clogged) {
                continue;
            }
            let bytes = job.result_bytes(rank.piece).max(1);
            let fitting = usize::try_from(room / bytes).unwrap_or(usize::MAX);
            let taken = match group.len() {
                n if n <= slots.min(fitting) => n,
                _ if batch.is_empty() => slots.min(fitting),
                _ => 0,
            };
            if group.len() > fitting {
                left_out += group.len() - taken;
            }
            room -= bytes * taken as u64;
            batch.extend(group.iter().take(taken).map(|r| **r));
            if batch.len() == self.spec.pieces {
                return batch;
            }
        }
        // A call that holds little for want of room makes the room scarcer: it
        // costs almost as much as a full one. Results are given up soon.
        let scant = batch.len() * 2 < self.spec.pieces.min(batch.len() + left_out);
        match scant && upstream.room_used() > 0 {
            true => Vec::new(),
            false => batch,
        }
    }
}
