//! Schedules stage pieces into batches and sends them, on the instance that owns the shard.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::JobFailure;
use jd_serving::JobKey;
use jd_serving::Shard;
use jd_serving::StageJob;
use jd_serving::StageScheduler;
use jd_serving::StorageQuery;
use jd_serving::StorageReport;
use jd_types::MonoTime;

use crate::job_waiter::JobOutcome;
use crate::job_waiter::JobWaiter;
use crate::load_warnings::LoadWarnings;
use crate::prompt_plans::PromptPlans;
use crate::result_free_queue::ResultFreeQueue;
use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_client::SendPurpose;
use crate::upstream_table::UpstreamTable;

/// How often waiting pieces are scheduled without an event: for upstreams that were avoided
/// for a while and for jobs whose deadline has passed.
const TICK: Duration = Duration::from_millis(30);
/// How many ticks pass between two checks of shard ownership.
const TICKS_PER_OWNERSHIP_CHECK: u32 = 4;
/// How long an instance that no longer owns a shard refuses its jobs: until all others have heard of
/// the next owner.
const REPLACED_TIME: Duration = Duration::from_millis(2_000);
/// The timeout of a query for free result storage: several round trips between availability
/// zones.
const STORAGE_QUERY_TIMEOUT: Duration = Duration::from_millis(80);
/// The largest response to a batch or a query, in bytes.
pub(crate) const MAX_RESPONSE: usize = 1 << 20;

#[derive(Debug, Default)]
pub(crate) struct ShardScheduler {
    pub(crate) scheduler: StageScheduler,
    waiters: HashMap<JobKey, JobWaiter>,
    table: Option<Arc<UpstreamTable>>,
    /// True while this instance is the first owner of the shard.
    pub(crate) owned: bool,
    /// When this instance began to hand its jobs over to the next owner.
    replaced_at: MonoTime,
    /// True once a job was submitted here. A successor that only holds results knows nothing of the
    /// shard's backlog.
    is_used: bool,
}

/// Sends the batches that the schedulers of the shards form, and passes results on to the
/// jobs that wait for them.
#[derive(Debug)]
pub(crate) struct BatchDispatcher {
    pub(crate) state: Arc<State>,
    pub(crate) free_queue: Arc<ResultFreeQueue>,
    plans: PromptPlans,
    /// One scheduler for each shard that this instance runs jobs on, or holds results of.
    pub(crate) schedulers: Mutex<BTreeMap<Shard, ShardScheduler>>,
    pub(crate) load_warnings: LoadWarnings,
}

/// Cancels a job when its caller stops waiting.
struct JobGuard {
    dispatcher: Arc<BatchDispatcher>,
    shard: Shard,
    key: JobKey,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let mut schedulers = lock(&self.dispatcher.schedulers);
        if let Some(entry) = schedulers.get_mut(&self.shard)
            && entry.waiters.remove(&self.key).is_some()
        {
            entry.scheduler.cancel(self.key);
        }
    }
}

impl BatchDispatcher {
    pub(crate) fn new(state: Arc<State>, free_queue: Arc<ResultFreeQueue>) -> BatchDispatcher {
        BatchDispatcher {
            state,
            free_queue,
            plans: PromptPlans::default(),
            schedulers: Mutex::default(),
            load_warnings: LoadWarnings::default(),
        }
    }

    /// Runs the stages of a request on the upstreams of a shard. Dropping the future cancels
    /// the job.
    pub(crate) async fn run(self: &Arc<Self>, shard: Shard, job: StageJob) -> JobOutcome {
        self.state.mark_shard_used(&shard);
        if self.state.path.is_lost() && !job.is_empty() {
            return Err(JobFailure::NoUpstream);
        }
        if job.is_empty() {
            return Ok(self.plans.place_only(&self.state, &shard, &job));
        }
        let (tx, rx) = async_channel::bounded(1);
        let key = {
            let now = self.state.now();
            let mut schedulers = lock(&self.schedulers);
            let entry = schedulers
                .entry(shard.clone())
                .or_insert_with(|| ShardScheduler {
                    owned: self.state.owns(&shard),
                    ..ShardScheduler::default()
                });
            entry.is_used = true;
            self.update_upstreams(&shard, entry);
            if entry.scheduler.is_transferring() {
                if now.since(entry.replaced_at) < REPLACED_TIME {
                    return Err(JobFailure::Moved);
                }
                // The next owner does not answer the instance that submits this job.
                entry.scheduler.end_transfer();
            }
            if let Some(left) = self.state.quarantine.time_left(now, job.content) {
                return Err(JobFailure::Quarantined(left));
            }
            let waiter = JobWaiter::new(tx, &job);
            let key = entry.scheduler.submit(now, job)?;
            entry.waiters.insert(key, waiter);
            key
        };
        let _guard = JobGuard {
            dispatcher: Arc::clone(self),
            shard: shard.clone(),
            key,
        };
        self.schedule(&shard);
        // Fails only if the scheduler was dropped with the process.
        rx.recv().await.unwrap_or(Err(JobFailure::PieceFailed))
    }

    /// Releases results that no request needs any more.
    pub(crate) fn release(self: &Arc<Self>, handles: Vec<CompactString>) {
        let mut schedulers = lock(&self.schedulers);
        let mut unknown = Vec::new();
        for handle in handles {
            match schedulers
                .values_mut()
                .find(|entry| entry.scheduler.holds_result(&handle))
            {
                Some(entry) => entry.scheduler.release_results(vec![handle]),
                None => unknown.push(handle),
            }
        }
        drop(schedulers);
        self.free_queue.add(unknown);
        self.schedule_waiting();
    }

    /// How long pieces wait in each shard that this instance runs jobs on.
    pub(crate) fn backlogs(&self) -> Vec<(Shard, Duration)> {
        let now = self.state.now();
        let schedulers = lock(&self.schedulers);
        let all = schedulers.iter();
        let used = all.filter(|(_, entry)| entry.is_used && !entry.scheduler.is_transferring());
        used.map(|(shard, entry)| (shard.clone(), entry.scheduler.backlog(now)))
            .collect()
    }

    /// Schedules waiting pieces on every tick. Never returns.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        let mut ticks: u32 = 0;
        loop {
            Timer::after(TICK).await;
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(TICKS_PER_OWNERSHIP_CHECK) {
                self.update_ownership();
            }
            self.schedule_waiting();
        }
    }

    /// Hands over the waiting jobs of shards that this instance no longer owns, and takes
    /// shards over that it has come to own.
    fn update_ownership(&self) {
        let mut schedulers = lock(&self.schedulers);
        for (shard, entry) in schedulers.iter_mut() {
            let owns = self.state.owns(shard);
            if self.state.path.is_lost() {
                entry.scheduler.abandon();
            }
            match (entry.owned, owns) {
                (true, false) if self.next_owner(shard).is_some() => {
                    log::info!(shard:? = shard; "shard is owned by another instance now");
                    entry.owned = false;
                    entry.replaced_at = self.state.now();
                    entry.scheduler.begin_transfer();
                }
                (false, true) => {
                    log::info!(shard:? = shard; "shard is owned by this instance now");
                    entry.owned = true;
                    entry.scheduler.end_transfer();
                    entry.scheduler.take_over();
                }
                // Where nobody takes the jobs, as while all instances stop, they are worked off here.
                (true, _) | (false, false) => {}
            }
            self.update_handover(shard, entry);
        }
    }

    /// Schedules all shards in which pieces wait.
    fn schedule_waiting(self: &Arc<Self>) {
        let waiting: Vec<Shard> = {
            let schedulers = lock(&self.schedulers);
            let waiting = schedulers
                .iter()
                .filter(|(_, entry)| entry.scheduler.has_pending_work());
            waiting.map(|(shard, _)| shard.clone()).collect()
        };
        for shard in waiting {
            self.schedule(&shard);
        }
    }

    /// Expires jobs of a shard, sends the batches and storage queries that are due, and
    /// delivers finished jobs.
    pub(crate) fn schedule(self: &Arc<Self>, shard: &Shard) {
        let now = self.state.now();
        let mut schedulers = lock(&self.schedulers);
        let Some(entry) = schedulers.get_mut(shard) else {
            return;
        };
        self.update_upstreams(shard, entry);
        let quarantine = &self.state.quarantine;
        entry
            .scheduler
            .fail_quarantined(|content| quarantine.time_left(now, content));
        entry.scheduler.expire(now);
        for query in entry.scheduler.storage_queries(now) {
            let task = Arc::clone(self).query_storage(shard.clone(), query);
            self.state.executor.spawn(task).detach();
        }
        while let Some(call) = entry.scheduler.next_call(now) {
            let dispatcher = Arc::clone(self);
            self.state
                .executor
                .spawn(dispatcher.run_batch(shard.clone(), call))
                .detach();
        }
        let mut ended = Vec::new();
        for end in entry.scheduler.take_finished() {
            let waiter = entry.waiters.remove(&end.key);
            ended.extend(waiter.map(|w| (w, end.outcome)));
        }
        self.start_transfers(shard, entry);
        self.free_queue.add(entry.scheduler.take_unused_results());
        self.report_handover(shard, entry);
        drop(schedulers);
        self.plans.deliver(&self.state, shard, ended);
    }

    /// Queries an upstream for its free result storage.
    async fn query_storage(self: Arc<Self>, shard: Shard, query: StorageQuery) {
        let report = self.storage_report(&query).await;
        log::info!(
            service = query.service.as_str(),
            upstream = query.upstream.as_str(),
            free:? = report.map(|t| t.free_bytes);
            "storage queried"
        );
        if let Some(entry) = lock(&self.schedulers).get_mut(&shard) {
            let now = self.state.now();
            entry.scheduler.record_storage_report(now, &query, report);
        }
        self.schedule(&shard);
    }

    async fn storage_report(&self, query: &StorageQuery) -> Option<StorageReport> {
        let (state, dialect) = (&self.state, &self.state.dialect);
        let upstream = UpstreamRef {
            service: query.service.clone(),
            id: query.upstream.clone(),
            start: query.start,
            address: query.address,
        };
        let permit = state
            .upstream_client
            .permit(state, upstream, SendPurpose::Maintenance)
            .await;
        let req = dialect.report_request(&query.upstream).ok()?;
        let sending =
            state
                .upstream_client
                .send(state, permit.ok()?, req, STORAGE_QUERY_TIMEOUT, |_| {});
        let response = sending.await.ok()?;
        if !response.status.is_success() {
            return None;
        }
        let body = with_timeout(STORAGE_QUERY_TIMEOUT, response.read_all(MAX_RESPONSE)).await?;
        dialect.storage_report(&body.ok()?)
    }

    pub(crate) fn update_upstreams(&self, shard: &Shard, entry: &mut ShardScheduler) {
        let table = self.state.upstreams.load_full();
        let known = entry.table.as_ref();
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
                entry.scheduler.set_upstreams(now, &service.name, spec, own);
            }
        }
        entry.table = Some(table);
    }
}
