//! Filling batches of pieces, on the instance that owns them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::BatchCall;
use jd_serving::CallResult;
use jd_serving::Content;
use jd_serving::JobFailure;
use jd_serving::JobKey;
use jd_serving::PieceResult;
use jd_serving::Shard;
use jd_serving::StageJob;
use jd_serving::StageScheduler;
use jd_serving::StorageQuery;
use jd_serving::StorageReport;
use jd_types::MonoTime;

use crate::result_free_queue::ResultFreeQueue;
use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_client::SendFailure;
use crate::upstream_client::SendPurpose;
use crate::upstream_client::Withheld;
use crate::upstream_table::UpstreamTable;

/// How often waiting pieces are looked at without any event: for upstreams
/// that were left alone for a while and for jobs whose time is over.
const TICK: Duration = Duration::from_millis(30);
/// Ticks from one look at who owns a shard to the next.
const TICKS_PER_LOOK: u32 = 4;
/// How long an upstream may take to tell its room: several round trips between
/// availability zones.
const ROOM_WITHIN: Duration = Duration::from_millis(80);
/// The largest answer to a call for pieces, in bytes.
const MAX_ANSWER: usize = 1 << 20;

type JobOutcome = Result<Vec<CompactString>, JobFailure>;

#[derive(Debug, Default)]
struct Desk {
    desk: StageScheduler,
    waiters: HashMap<JobKey, Sender<JobOutcome>>,
    table: Option<Arc<UpstreamTable>>,
    /// True while this instance is the one that is asked first.
    owned: bool,
}

/// Fills batches: the desk's decisions, carried out.
#[derive(Debug)]
pub(crate) struct BatchDispatcher {
    state: Arc<State>,
    free_queue: Arc<ResultFreeQueue>,
    /// One desk for each part of the upstreams that this instance works on.
    desks: Mutex<BTreeMap<Shard, Desk>>,
}

/// Cancels a job when its caller does not wait any more.
struct JobGuard {
    dispatcher: Arc<BatchDispatcher>,
    shard: Shard,
    key: JobKey,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let mut desks = lock(&self.dispatcher.desks);
        if let Some(desk) = desks.get_mut(&self.shard)
            && desk.waiters.remove(&self.key).is_some()
        {
            desk.desk.cancel(self.key);
        }
    }
}

impl BatchDispatcher {
    pub(crate) fn new(state: Arc<State>, free_queue: Arc<ResultFreeQueue>) -> BatchDispatcher {
        BatchDispatcher {
            state,
            free_queue,
            desks: Mutex::default(),
        }
    }

    /// Does the stages of a request on one part of the upstreams. Dropping the
    /// future cancels them.
    pub(crate) async fn run(self: &Arc<Self>, shard: Shard, job: StageJob) -> JobOutcome {
        self.state.mark_shard_used(&shard);
        let (tx, rx) = async_channel::bounded(1);
        let key = {
            let now = self.state.now();
            let mut desks = lock(&self.desks);
            let desk = desks.entry(shard.clone()).or_insert_with(|| Desk {
                owned: self.state.owns(&shard),
                ..Desk::default()
            });
            self.follow_upstreams(&shard, desk);
            if let Some(left) = self.state.quarantine.time_left(now, job.content) {
                return Err(JobFailure::Quarantined(left));
            }
            let key = desk.desk.submit(now, job)?;
            desk.waiters.insert(key, tx);
            key
        };
        let _guard = JobGuard {
            dispatcher: Arc::clone(self),
            shard: shard.clone(),
            key,
        };
        self.pump(&shard);
        // Fails only if the desk was dropped with the process.
        rx.recv().await.unwrap_or(Err(JobFailure::PieceFailed))
    }

    /// Nobody works on these results any more.
    pub(crate) fn release(self: &Arc<Self>, handles: Vec<CompactString>) {
        let mut desks = lock(&self.desks);
        let mut unknown = Vec::new();
        for handle in handles {
            match desks.values_mut().find(|d| d.desk.holds_result(&handle)) {
                Some(desk) => desk.desk.release_results(vec![handle]),
                None => unknown.push(handle),
            }
        }
        drop(desks);
        self.free_queue.add(unknown);
        self.pump_all();
    }

    /// How long pieces wait at each shard that this instance works on.
    pub(crate) fn backlogs(&self) -> Vec<(Shard, Duration)> {
        let now = self.state.now();
        let desks = lock(&self.desks);
        let all = desks.iter();
        all.map(|(shard, d)| (shard.clone(), d.desk.backlog(now)))
            .collect()
    }

    /// Looks at waiting pieces for good.
    pub(crate) async fn tick(self: Arc<Self>) {
        let mut ticks: u32 = 0;
        loop {
            Timer::after(TICK).await;
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(TICKS_PER_LOOK) {
                self.hand_over();
            }
            self.pump_all();
        }
    }

    /// Hands over what waits at desks that this instance owns no more.
    fn hand_over(&self) {
        let mut desks = lock(&self.desks);
        for (shard, desk) in desks.iter_mut() {
            let owns = self.state.owns(shard);
            match (std::mem::replace(&mut desk.owned, owns), owns) {
                (true, false) => {
                    log::info!(shard:? = shard; "stages are done elsewhere now");
                    desk.desk.hand_over();
                }
                (false, true) => {
                    log::info!(shard:? = shard; "stages are done here now");
                    desk.desk.take_over();
                }
                (true, true) | (false, false) => {}
            }
        }
    }

    /// Looks at all desks where time alone may bring something to decide.
    fn pump_all(self: &Arc<Self>) {
        let waiting: Vec<Shard> = {
            let desks = lock(&self.desks);
            let waiting = desks.iter().filter(|(_, d)| d.desk.has_pending_work());
            waiting.map(|(shard, _)| shard.clone()).collect()
        };
        for shard in waiting {
            self.pump(&shard);
        }
    }

    /// Carries out everything that a desk decides now.
    fn pump(self: &Arc<Self>, shard: &Shard) {
        let now = self.state.now();
        let mut desks = lock(&self.desks);
        let Some(desk) = desks.get_mut(shard) else {
            return;
        };
        self.follow_upstreams(shard, desk);
        let quarantine = &self.state.quarantine;
        desk.desk
            .fail_quarantined(|content| quarantine.time_left(now, content));
        desk.desk.expire(now);
        for question in desk.desk.storage_queries(now) {
            let asking = Arc::clone(self).ask_room(shard.clone(), question);
            self.state.executor.spawn(asking).detach();
        }
        while let Some(call) = desk.desk.next_call(now) {
            let dispatcher = Arc::clone(self);
            self.state
                .executor
                .spawn(dispatcher.make(shard.clone(), call))
                .detach();
        }
        for end in desk.desk.take_finished() {
            if let Some(tx) = desk.waiters.remove(&end.key) {
                // Fails only if nobody waits any more.
                let _ = tx.try_send(end.outcome);
            }
        }
        self.free_queue.add(desk.desk.take_unused_results());
    }

    /// Asks an upstream how much room it has.
    async fn ask_room(self: Arc<Self>, shard: Shard, question: StorageQuery) {
        let told = self.room_told(&question).await;
        log::info!(
            service = question.service.as_str(),
            upstream = question.upstream.as_str(),
            free:? = told.map(|t| t.free_bytes);
            "room asked"
        );
        if let Some(desk) = lock(&self.desks).get_mut(&shard) {
            let now = self.state.now();
            desk.desk.record_storage_report(now, &question, told);
        }
        self.pump(&shard);
    }

    async fn room_told(&self, question: &StorageQuery) -> Option<StorageReport> {
        let (state, dialect) = (&self.state, &self.state.dialect);
        let upstream = UpstreamRef {
            service: question.service.clone(),
            id: question.upstream.clone(),
            start: question.start,
            address: question.address,
        };
        let permit = state
            .upstream_client
            .permit(state, upstream, SendPurpose::Maintenance)
            .await;
        let req = dialect.storage_request(&question.upstream);
        let sending = state
            .upstream_client
            .send(state, permit.ok()?, req, ROOM_WITHIN, || {});
        let response = sending.await.ok()?;
        if !response.status.is_success() {
            return None;
        }
        let body = with_timeout(ROOM_WITHIN, response.read_all(MAX_ANSWER)).await?;
        dialect.storage_report(&body.ok()?)
    }

    async fn make(self: Arc<Self>, shard: Shard, call: BatchCall) {
        let began = self.state.now();
        let result = self.ask(&call).await;
        let now = self.state.now();
        self.note_runs(&call, &result, began);
        log::info!(
            service = call.service.as_str(),
            upstream = call.upstream.as_str(),
            pieces = call.pieces.len(),
            waiting = call.queued,
            room_used = call.storage_used,
            far_bytes = call.cross_zone_bytes,
            outcome = outcome_of(&result).as_str(),
            ms = now.since(began).as_millis() as u64;
            "call for pieces"
        );
        if let Some(desk) = lock(&self.desks).get_mut(&shard) {
            desk.desk.complete_call(now, call.key, result);
        }
        self.pump(&shard);
    }

    /// What a call says of the requests whose pieces it held.
    fn note_runs(&self, call: &BatchCall, result: &CallResult, began: MonoTime) {
        let quarantine = &self.state.quarantine;
        let now = self.state.now();
        let contents: BTreeSet<Content> = call.pieces.iter().map(|p| p.content).collect();
        for content in contents {
            match result {
                CallResult::Answered(_) => quarantine.record_completed(now, &call.service, content),
                CallResult::Broken => {
                    self.state
                        .report_broken_run(upstream_of(call), content, began)
                }
                CallResult::Full
                | CallResult::Withheld(_)
                | CallResult::Gone
                | CallResult::Failed => {}
            }
        }
    }

    async fn ask(&self, call: &BatchCall) -> CallResult {
        let (state, dialect) = (&self.state, &self.state.dialect);
        let permit = state
            .upstream_client
            .permit(state, upstream_of(call), SendPurpose::Pieces);
        let permit = match permit.await {
            Ok(permit) => permit,
            Err(why) => return withheld(why),
        };
        // Room that the desk counts as free has to be free when the call comes.
        self.free_queue.flush(call.address).await;
        let req = dialect.stage_request(&call.upstream, &call.pieces);
        let sent = state
            .upstream_client
            .send(state, permit, req, call.timeout, || {});
        let response = match sent.await {
            Ok(response) => response,
            Err(SendFailure::Withheld(why)) => return withheld(why),
            Err(SendFailure::ConnectFailed) => return CallResult::Gone,
            Err(SendFailure::ConnectionLost) => return CallResult::Broken,
            Err(SendFailure::TimedOut) => return CallResult::Failed,
        };
        let head = dialect.response_head(response.status, &response.headers);
        match head.status {
            http::StatusCode::MISDIRECTED_REQUEST => return CallResult::Gone,
            status if head.not_run || !status.is_success() => return self.refused(call),
            _ => {}
        }
        match with_timeout(call.timeout, response.read_all(MAX_ANSWER)).await {
            Some(Ok(body)) => match dialect.stage_results(&body, call.pieces.len()) {
                Some(results) => CallResult::Answered(results),
                None => CallResult::Failed,
            },
            Some(Err(_)) => CallResult::Broken,
            None => CallResult::Failed,
        }
    }

    /// What a refused call says: that its upstream was full, and maybe for how long it
    /// wants nothing more.
    fn refused(&self, call: &BatchCall) -> CallResult {
        let state = &self.state;
        let (now, backoffs) = (state.now(), &state.backoffs);
        match backoffs.backoff(now, call.address, &call.upstream, call.start) {
            Some(left) => CallResult::Withheld(left),
            None => CallResult::Full,
        }
    }

    fn follow_upstreams(&self, shard: &Shard, desk: &mut Desk) {
        let table = self.state.upstreams.load_full();
        let known = desk.table.as_ref();
        if known.is_some_and(|t| Arc::ptr_eq(t, &table)) {
            return;
        }
        let router = self.state.router.load();
        let Some(router) = router.as_ref() else {
            return;
        };
        for service in router.services() {
            if let Some(spec) = service.batch {
                let all = table.upstreams(&service.name);
                let own = shard.select_upstreams(all, |u| &u.zone);
                let now = self.state.now();
                desk.desk.set_upstreams(now, &service.name, spec, own);
            }
        }
        desk.table = Some(table);
    }
}

fn withheld(why: Withheld) -> CallResult {
    match why.retry_after {
        Some(wait) => CallResult::Withheld(wait),
        None => CallResult::Gone,
    }
}

fn upstream_of(call: &BatchCall) -> UpstreamRef {
    UpstreamRef {
        service: call.service.clone(),
        id: call.upstream.clone(),
        start: call.start,
        address: call.address,
    }
}

/// What came of a call, for its log line: how many pieces ended how.
fn outcome_of(result: &CallResult) -> CompactString {
    let results = match result {
        CallResult::Answered(results) => results,
        other => return format_compact!("{other:?}"),
    };
    let mut counts = [0; 5];
    for result in results {
        let kind = match result {
            PieceResult::Done(_) => 0,
            PieceResult::Expired => 1,
            PieceResult::InputMissing => 2,
            PieceResult::StorageFull => 3,
            PieceResult::Failed => 4,
        };
        counts[kind] += 1;
    }
    let names = ["done", "late", "input-gone", "no-room", "failed"];
    let named = names.iter().zip(counts).filter(|(_, n)| *n > 0);
    let parts: Vec<CompactString> = named
        .map(|(name, n)| format_compact!("{n} {name}"))
        .collect();
    parts.join(", ").into()
}
