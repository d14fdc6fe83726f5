//! Carries out what a [`PipelineRun`] decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_backing::WorkRequest;
use jd_coord::Answer;
use jd_coord::RunAnswer;
use jd_net::lock;
use jd_policy::AttemptCost;
use jd_policy::Pick;
use jd_policy::PickRequest;
use jd_policy::PipelineRun;
use jd_policy::RoutingPolicy;
use jd_policy::RunEnd;
use jd_policy::RunStep;
use jd_types::AttemptId;
use jd_types::AttemptOutcome;
use jd_types::CompiledCustomer;
use jd_types::CompiledPipeline;
use jd_types::CompiledStage;
use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::PipelineKey;
use jd_types::Priority;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::StageKind;

use crate::output::Output;
use crate::output::upstream_text;
use crate::pool_runtime::PoolRuntime;
use crate::pool_runtime::SlotRequest;
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::upstream_client::AttemptTimes;
use crate::upstream_client::Attempted;
use crate::upstream_client::attempt;
use crate::upstream_client::look_up;

/// A request that has been let in.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) request: RequestId,
    pub(crate) pipeline: PipelineKey,
    pub(crate) customer: CustomerKey,
    pub(crate) priority: Priority,
    pub(crate) deadline: MonoTime,
    pub(crate) body: String,
    /// The key that upstreams of non-idempotent stages get.
    pub(crate) key: Option<CompactString>,
    /// True if the caller wants the last stage's parts as they come.
    pub(crate) stream: bool,
    pub(crate) snapshot: Arc<Snapshot>,
}

impl Admitted {
    pub(crate) fn pipeline(&self) -> Option<&CompiledPipeline> {
        self.snapshot.compiled.pipelines.get(self.pipeline.index())
    }

    pub(crate) fn customer(&self) -> Option<&CompiledCustomer> {
        self.snapshot.compiled.customers.get(self.customer.index())
    }
}

/// Carries out one request.
pub(crate) struct RunDriver<'a> {
    shared: &'a Shared,
    req: &'a Admitted,
    out: &'a Sender<Output>,
    run: PipelineRun,
    input: String,
    lines: Vec<AttemptCost>,
    last_address: Option<SocketAddr>,
    parts_sent: usize,
}

impl<'a> RunDriver<'a> {
    pub(crate) fn new(shared: &'a Shared, req: &'a Admitted, out: &'a Sender<Output>) -> Self {
        let stages: Vec<CompiledStage> =
            req.pipeline().map(|p| p.stages.clone()).unwrap_or_default();
        let timing = |s: &CompiledStage| req.snapshot.pool(s.pool).map(|p| p.timing());
        let timings = stages
            .iter()
            .map(|s| timing(s).unwrap_or_default())
            .collect();
        RunDriver {
            shared,
            req,
            out,
            run: PipelineRun::new(req.request, req.deadline, stages, timings),
            input: req.body.clone(),
            lines: Vec::new(),
            last_address: None,
            parts_sent: 0,
        }
    }

    /// Runs to the end, whatever it is.
    pub(crate) async fn drive(mut self) -> RunAnswer {
        let mut step = self.run.start(self.shared.now());
        let end = loop {
            step = match step {
                RunStep::Dispatch {
                    attempt,
                    latest_start,
                    timeout,
                } => self.dispatch(attempt, latest_start, timeout).await,
                RunStep::LookUp { attempt } => self.look_up(attempt).await,
                RunStep::End(end) => break end,
            };
        };
        let answered = end == RunEnd::Answered;
        lock(&self.shared.ledger).record(&self.lines, answered);
        match end {
            RunEnd::Answered => {
                let output = self.input.into_bytes().into();
                RunAnswer::Whole(Answer {
                    request: self.req.request,
                    output,
                })
            }
            RunEnd::Refused(refusal) => RunAnswer::Refused(refusal),
        }
    }

    async fn dispatch(
        &mut self,
        attempt: AttemptId,
        latest_start: MonoTime,
        patience: Duration,
    ) -> RunStep {
        let snapshot = Arc::clone(&self.req.snapshot);
        let stage = self.run.stage();
        let pool = stage.and_then(|s| snapshot.pool(s.pool));
        let (Some(stage), Some(pool)) = (stage, pool) else {
            return self
                .run
                .attempt_not_sent(RefusalKind::NoUpstream, "the pool is gone", None);
        };
        if attempt.attempt == 1 {
            pool.budget.deposit();
        }
        let slot = match pool
            .slot(self.shared.now(), self.slot_request(latest_start))
            .await
        {
            Ok(slot) => slot,
            Err(no) => {
                let detail = format_compact!("no slot of {} in time", pool.name);
                return self.run.attempt_not_sent(no.kind, &detail, Some(no.after));
            }
        };
        let Some(pick) = self.pick(&snapshot, stage) else {
            let detail = format_compact!("no upstream of {} left to try", pool.name);
            let after = Some(pool.estimate.mean());
            return self
                .run
                .attempt_not_sent(RefusalKind::NoUpstream, &detail, after);
        };
        self.note_pick(attempt, pool, &pick);
        self.run.attempt_sent(pick.key);
        let ended = self.send(attempt, stage, pool, &pick, patience).await;
        drop(slot);
        self.settle(attempt, pool, ended).await
    }

    fn slot_request(&self, latest_start: MonoTime) -> SlotRequest {
        let weight = self.req.customer().map_or(1, |c| c.weight);
        let (customer, priority) = (self.req.customer, self.req.priority);
        SlotRequest {
            customer,
            weight,
            priority,
            latest_start,
        }
    }

    fn pick(&self, snapshot: &Snapshot, stage: CompiledStage) -> Option<Pick> {
        let req = PickRequest {
            zone: &self.shared.settings.instance.zone,
            affinity: self.prefix(stage),
            exclude: self.run.tried(),
        };
        let mut rng = fastrand::Rng::new();
        let table = snapshot.table(stage.pool)?;
        table.pick(RoutingPolicy::TwoChoices, self.shared.now(), &req, &mut rng)
    }

    /// What an engine's prompt begins with is the same for one customer's
    /// requests to one pipeline.
    fn prefix(&self, stage: CompiledStage) -> Option<u64> {
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        let pipeline = self.req.pipeline.index() as u64 + 1;
        let customer = self.req.customer.index() as u64 + 1;
        let prefix = pipeline.wrapping_mul(SPREAD) ^ customer.wrapping_mul(SPREAD.rotate_left(17));
        (stage.kind == StageKind::Generate).then_some(prefix)
    }

    fn note_pick(&self, attempt: AttemptId, pool: &PoolRuntime, pick: &Pick) {
        let upstream = &pick.upstream;
        let how = if pick.by_affinity {
            "prefix"
        } else {
            "two choices"
        };
        let why = format_compact!(
            "attempt {attempt} pool {} upstream {} by {how} of {} in flight {} mean {:?}",
            pool.name,
            upstream.address,
            pick.pool_size,
            upstream.in_flight(),
            upstream.latency(),
        );
        self.shared.decided(self.req.request, "dispatch", why);
    }

    async fn send(
        &mut self,
        id: AttemptId,
        stage: CompiledStage,
        pool: &PoolRuntime,
        pick: &Pick,
        patience: Duration,
    ) -> Attempted {
        let upstream = &pick.upstream;
        let is_last = self
            .req
            .pipeline()
            .is_some_and(|p| usize::from(id.stage) + 1 == p.stages.len());
        let work = WorkRequest {
            attempt: id,
            kind: stage.kind,
            key: self.req.key.clone().filter(|_| !stage.idempotent),
            prefix: self.prefix(stage),
            input: self.input.clone(),
            stream: stage.kind == StageKind::Generate,
        };
        let parts = (is_last && self.req.stream).then_some(self.out);
        let began = self.shared.now();
        let left = self.req.deadline.since(began);
        let times = AttemptTimes {
            patience: patience.min(left),
            left,
        };
        upstream.attempt_started();
        self.last_address = Some(upstream.address);
        let ended = attempt(self.shared, upstream.address, &work, times, parts).await;
        let now = self.shared.now();
        let took = now.since(began);
        upstream.attempt_finished(now, took, ended.outcome);
        if ended.outcome == AttemptOutcome::Answered {
            pool.estimate.record(took);
        }
        if ended.leaving {
            crate::list_sync::saw_leaving(self.shared, upstream.address);
        }
        self.enter_cost(id, upstream.address, took, &ended);
        self.shared
            .metrics
            .attempt(pool.name.as_str(), ended.outcome);
        ended
    }

    fn enter_cost(
        &mut self,
        id: AttemptId,
        address: SocketAddr,
        took: Duration,
        ended: &Attempted,
    ) {
        let (Some(customer), Some(pipeline)) = (self.req.customer(), self.req.pipeline()) else {
            return;
        };
        self.lines.push(AttemptCost {
            attempt: id,
            customer: customer.name.clone(),
            pipeline: pipeline.name.clone(),
            upstream: upstream_text(address),
            units: ended.done.as_ref().map_or(0, |d| d.units),
            held_us: took.as_micros() as u64,
            outcome: ended.outcome,
        });
    }

    /// Tells the run how the attempt ended and takes over its output.
    async fn settle(&mut self, id: AttemptId, pool: &PoolRuntime, ended: Attempted) -> RunStep {
        let caller_left = self.out.is_closed() && self.req.key.is_none();
        let outcome = match ended.outcome {
            AttemptOutcome::Answered if caller_left => AttemptOutcome::Cancelled,
            outcome => outcome,
        };
        if outcome != AttemptOutcome::Answered {
            let why = format_compact!("attempt {id} {outcome}");
            self.shared.decided(self.req.request, "attempt-ended", why);
        }
        self.parts_sent += ended.parts;
        if let Some(done) = ended.done {
            self.input = done.output;
        }
        let now = self.shared.now();
        let step = self.run.attempt_ended(now, id, outcome, &pool.budget);
        let step = step.unwrap_or_else(|| {
            self.run.attempt_not_sent(
                RefusalKind::UpstreamFailed,
                "the attempt was not waited for",
                None,
            )
        });
        if matches!(step, RunStep::Dispatch { .. }) && self.parts_sent > 0 {
            self.parts_sent = 0;
            // Errs only if the caller is gone.
            let _ = self.out.send(Output::Restart).await;
        }
        step
    }

    async fn look_up(&mut self, attempt: AttemptId) -> RunStep {
        let found = match (&self.req.key, self.last_address) {
            (Some(key), Some(address)) => look_up(self.shared, address, key).await,
            _ => None,
        };
        let why = match &found {
            Some(Some(_)) => "it ran",
            Some(None) => "it had not run",
            None => "no answer",
        };
        self.shared.decided(
            self.req.request,
            "look-up",
            format_compact!("{attempt}: {why}"),
        );
        let ran = found.as_ref().map(Option::is_some);
        if let Some(Some(output)) = found {
            self.input = output;
        }
        self.run.lookup_finished(self.shared.now(), ran)
    }
}

/// A request in progress, counted for the graceful stop.
pub(crate) struct InFlight(Arc<Shared>);

impl InFlight {
    pub(crate) fn enter(shared: &Arc<Shared>) -> InFlight {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
