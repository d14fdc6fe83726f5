//! Runs the stages of a request on the instance that owns their shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::ToCompactString;
use futures_lite::FutureExt;
use futures_lite::future::pending;
use jd_net::with_timeout;
use jd_serving::JobFailure;
use jd_serving::JobStage;
use jd_serving::PromptDemand;
use jd_serving::PromptPlacement;
use jd_serving::RequestStep;
use jd_serving::Shard;
use jd_serving::ShutdownPlan;
use jd_serving::StageJob;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Refusal;

use crate::batch_dispatcher::BatchDispatcher;
use crate::caller_request::CallerRequest;
use crate::job_waiter::JobOutcome;
use crate::job_waiter::StageOutcome;
use crate::open_requests::Wait;
use crate::peer_client::PeerClient;
use crate::result_release_queue::ResultReleaseQueue;
use crate::stage_failures::failure_name;
use crate::stage_failures::refusal_for;
use crate::stage_results::StageResults;
use crate::state::State;
use crate::stop_checks::stopping;

/// Callers abandon a stream that does not begin within this many objectives.
const ABANDON_OBJECTIVES: u32 = 4;
/// The percentage of that time, or of the time to the deadline, that stages may take.
const STAGES_PERCENT: u32 = 85;
/// The percentage of the time that is left to a request whose stages run again which is kept for the
/// request itself.
const LEFT_PERCENT: u32 = 100 - STAGES_PERCENT;
/// How often a pending request to an owner checks that the owner is still live.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long after the deadline of a job its owner may take to reply that it has passed: a tick of its
/// scheduler and several round trips between availability zones.
const OWNER_REPLY_GRACE: Duration = Duration::from_millis(200);
/// How often a job is sent to one owner while that owner answers heartbeats.
const ATTEMPTS_PER_OWNER: u32 = 2;
/// The pause before a job is submitted again after it was moved. The instance that moved it may have
/// heard of the next owner before this one.
const MOVE_PAUSE: Duration = Duration::from_millis(25);
/// How long a request without stages waits for the owner of a shard to select its upstream: several
/// round trips between availability zones, and a twentieth of the shortest objective of prompts.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(50);

/// Why the stages of a request run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StageRun {
    /// It was not sent to an upstream.
    First,
    /// Another upstream is tried beside one that is silent.
    Beside,
    /// No upstream runs it any more.
    Again,
}

/// Runs the stages of requests on the instance that schedules their batches.
#[derive(Debug)]
pub(crate) struct StageRunner {
    pub(crate) state: Arc<State>,
    pub(crate) dispatcher: Arc<BatchDispatcher>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) release_queue: Arc<ResultReleaseQueue>,
}

impl StageRunner {
    /// Runs the stages of a request, and has the owner of their shard select the upstream of its
    /// prompt where paces matter. If this returns a refusal, the request itself has not run.
    pub(crate) async fn run(&self, request: &CallerRequest) -> Result<StageResults, Refusal> {
        let run = (StageRun::First, false);
        self.run_with(request, request.prompt_demand(), run).await
    }

    /// Runs the stages of a request again whose first attempt has failed. The upstream of its
    /// prompt is then selected by this instance.
    pub(crate) async fn run_again(
        &self,
        request: &CallerRequest,
        run: StageRun,
        has_begun: bool,
    ) -> Result<StageResults, Refusal> {
        self.run_with(request, None, (run, has_begun)).await
    }

    /// The results of a request whose stages are not run here.
    pub(crate) fn no_results(&self) -> StageResults {
        let owner = self.state.own_entry.peer_address;
        let release_queue = Arc::clone(&self.release_queue);
        StageResults::skipped(owner, release_queue)
    }

    async fn run_with(
        &self,
        request: &CallerRequest,
        prompt: Option<PromptDemand>,
        (run, has_begun): (StageRun, bool),
    ) -> Result<StageResults, Refusal> {
        // A refusal would cut off a stream that has begun.
        let stages_until: fn(&ShutdownPlan) -> MonoTime = match has_begun {
            true => |plan| plan.begun_stages_until,
            false => |plan| plan.stages_until,
        };
        request.check_quarantine(&self.state, 0)?;
        if !has_begun {
            request.check_stop(&self.state, RequestStep::Stages)?;
        }
        request.in_flight.waits_for(Wait::Stages, "");
        let quarantined = async { Err(request.until_quarantined(&self.state).await) };
        let ending = async {
            self.until_stages_end(request, stages_until).await;
            Err(stopping("the instance stops; ask another one"))
        };
        let running = self.run_or_place(request, prompt, run, stages_until);
        let (owner, outcome) = running.or(quarantined).or(ending).await?;
        request.in_flight.waits_for(Wait::Permit, "");
        Ok(StageResults::new(
            outcome,
            owner,
            Arc::clone(&self.release_queue),
        ))
    }

    /// Returns when the stages of a request have to end because this instance stops.
    async fn until_stages_end(
        &self,
        request: &CallerRequest,
        stages_until: fn(&ShutdownPlan) -> MonoTime,
    ) {
        let State {
            shutdown, clock, ..
        } = &*self.state;
        match request.has_stages() {
            true => shutdown.until(*clock, stages_until).await,
            false => pending().await,
        }
    }

    async fn run_or_place(
        &self,
        request: &CallerRequest,
        prompt: Option<PromptDemand>,
        run: StageRun,
        stages_until: fn(&ShutdownPlan) -> MonoTime,
    ) -> Result<(SocketAddr, StageOutcome), Refusal> {
        if request.has_stages() {
            let mut job = self.job(request, prompt, run);
            if let Some(plan) = self.state.shutdown.plan() {
                job.deadline = job.deadline.min(stages_until(&plan));
            }
            return self.run_job(request, &job).await;
        }
        let placement = match prompt {
            Some(prompt) => self.place_only(&self.job(request, Some(prompt), run)).await,
            None => None,
        };
        let outcome = StageOutcome {
            placement,
            ..StageOutcome::default()
        };
        Ok((self.state.own_entry.peer_address, outcome))
    }

    async fn run_job(
        &self,
        request: &CallerRequest,
        job: &StageJob,
    ) -> Result<(SocketAddr, StageOutcome), Refusal> {
        let began = self.state.now();
        let (mut owner, mut ended) = self.run_on_owners(request, job).await;
        let mut moves = 0;
        while matches!(ended, Err(JobFailure::Moved)) && self.state.now() < job.deadline {
            moves += 1;
            Timer::after(MOVE_PAUSE).await;
            (owner, ended) = self.run_on_owners(request, job).await;
        }
        let took = self.state.now().since(began);
        let outcome = match &ended {
            Ok(_) => "done",
            Err(failure) => failure_name(*failure),
        };
        self.state.metrics.stages(outcome, took);
        log::info!(
            request = request.id(),
            owner:%,
            outcome,
            moves,
            first_event_ms = request.objective_deadline().since(job.objective).as_millis() as u64,
            ms = took.as_millis() as u64;
            "stages ended"
        );
        let outcome = ended.map_err(refusal_for)?;
        Ok((owner, outcome))
    }

    /// Returns the owner that ran the stages, and their outcome.
    async fn run_on_owners(
        &self,
        request: &CallerRequest,
        job: &StageJob,
    ) -> (SocketAddr, JobOutcome) {
        let me = self.state.own_entry.peer_address;
        let Some(shard) = self.shard(job) else {
            return (me, Err(JobFailure::NoUpstream));
        };
        self.state.mark_shard_used(&shard);
        let mut is_owner = false;
        for owner in self.state.owner_order(&shard) {
            let asked = owner.to_compact_string();
            request.in_flight.waits_for(Wait::Stages, &asked);
            if owner == me {
                is_owner = true;
                break;
            }
            // A connection can break although the owner is live. A second owner would form
            // batches for the same upstreams, so the job is sent to this one again first.
            for _ in 0..ATTEMPTS_PER_OWNER {
                match self.run_on_owner(owner, &shard, job).await {
                    // The owner has just started and has not read the store, while this
                    // instance knows upstreams: try the next owner.
                    Some(Err(JobFailure::NoUpstream)) => break,
                    Some(outcome) => return (owner, outcome),
                    None => {}
                }
                if !self.is_live(owner) {
                    break;
                }
            }
            log::warn!(owner:% = owner, request = job.request_id.as_str(); "owner of stages does not answer");
        }
        let mut job = job.clone();
        if !is_owner {
            // What others have placed is not known here.
            job.prompt = None;
        }
        (me, self.dispatcher.run(shard, job).await)
    }

    /// Has the owner of a shard select the upstream of a prompt without stages; none if it does not
    /// answer soon.
    async fn place_only(&self, job: &StageJob) -> Option<PromptPlacement> {
        // In another zone, the prompt would leave the upstreams that hold its session.
        let in_zone = |s: &Shard| s.zone.is_none() || s.zone == job.zone;
        let shard = self.shard(job).filter(in_zone)?;
        self.state.mark_shard_used(&shard);
        let owner = *self.state.owner_order(&shard).first()?;
        let placing = async {
            match owner == self.state.own_entry.peer_address {
                true => self.dispatcher.run(shard, job.clone()).await.ok(),
                false => self.peers.run_stages(owner, &shard, job).await?.ok(),
            }
        };
        let Some(outcome) = with_timeout(PLACEMENT_TIMEOUT, placing).await.flatten() else {
            self.state.metrics.placement("unanswered");
            log::info!(
                request = job.request_id.as_str(),
                owner:% = owner;
                "prompt is placed without its owner"
            );
            return None;
        };
        outcome.placement
    }

    /// Sends the job to one owner; none if that owner does not answer heartbeats, or the connection
    /// breaks. An owner that answers heartbeats has to reply shortly after the deadline of the job.
    async fn run_on_owner(
        &self,
        owner: SocketAddr,
        shard: &Shard,
        job: &StageJob,
    ) -> Option<JobOutcome> {
        let asking = async { self.peers.run_stages(owner, shard, job).await };
        let gone = async {
            self.wait_until_gone(owner).await;
            None
        };
        let overdue = async {
            let left = job.deadline.since(self.state.now());
            Timer::after(left + OWNER_REPLY_GRACE).await;
            log::warn!(owner:%, request = job.request_id.as_str(); "owner of stages did not reply by the deadline");
            Some(Err(JobFailure::TooLate))
        };
        asking.or(gone).or(overdue).await
    }

    fn is_live(&self, owner: SocketAddr) -> bool {
        let now = self.state.now();
        self.state.cluster().instances.is_present_at(now, owner)
    }

    /// The shard that a job runs on; none if no shard serves all of its stages.
    fn shard(&self, job: &StageJob) -> Option<Shard> {
        let bytes = job.request_id.bytes();
        let place = bytes.fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let used = job.stages.iter().filter(|s| s.pieces > 0);
        let services: Vec<&str> = used.map(|s| s.service.as_str()).collect();
        let bytes = job.output_bytes();
        let shards = self.state.shards.load();
        // Only pieces wait for the backlog of stages.
        let backlog = |shard: &Shard| match job.is_empty() {
            true => None,
            false => self.state.backlog(shard),
        };
        let shard = shards.choose(place, &services, job.zone.as_ref(), bytes, backlog)?;
        Some(match &job.prompt {
            Some(prompt) => shard.for_session(prompt.session),
            None => shard,
        })
    }

    /// Returns once an owner stops answering heartbeats.
    async fn wait_until_gone(&self, owner: SocketAddr) {
        loop {
            Timer::after(OWNER_CHECK_INTERVAL).await;
            if !self.is_live(owner) {
                return;
            }
        }
    }

    fn job(
        &self,
        request: &CallerRequest,
        prompt: Option<PromptDemand>,
        run: StageRun,
    ) -> StageJob {
        let route = request.route();
        let pieces = |n: usize| request.head.pieces.get(n).copied().unwrap_or(0);
        let numbered = route.stages.iter().enumerate();
        let stages: Vec<JobStage> = numbered
            .map(|(n, s)| JobStage {
                service: s.service.clone(),
                after: s.after.clone(),
                pieces: pieces(n),
                result_bytes: s.result_bytes,
            })
            .collect();
        let now = self.state.now();
        let time_to_first_event = self.state.paces.time_to_first_event(now, request);
        StageJob {
            request_id: request.id().into(),
            content: request.contents.request,
            piece_key: request.head.piece_key.clone().unwrap_or_default(),
            stages,
            objective: request.objective_deadline().before(time_to_first_event),
            deadline: stages_deadline(request, run, now),
            priority: request.priority,
            zone: self.preferred_zone(request),
            customer: request.customer_hash(),
            prompt,
            runs_again: run == StageRun::Again,
        }
    }

    /// The zone of the upstream that caches the session's prompt, even while that upstream
    /// is cold. Otherwise all stages would run in the other zones after a zone came back, and
    /// its stage upstreams, which are never cold, would stay idle.
    fn preferred_zone(&self, request: &CallerRequest) -> Option<Name> {
        let prompt = request.head.prompt.as_ref()?;
        let (now, instances) = (self.state.now(), self.state.instance_count());
        let table = self.state.upstreams.load();
        let filter = self.state.unfiltered();
        let chosen = table.pick_for_session(
            &request.service,
            now,
            prompt.session(),
            instances,
            &[],
            &filter,
        )?;
        Some(chosen.upstream.zone.clone())
    }
}

/// The deadline of the stages of a request: early enough for the request itself to run, and
/// for the caller to get a refusal before it abandons the request.
fn stages_deadline(request: &CallerRequest, run: StageRun, now: MonoTime) -> MonoTime {
    if run != StageRun::First {
        let kept = request.time_left(now) * LEFT_PERCENT / 100;
        return request.deadline.before(kept);
    }
    let route = request.route();
    let abandoned = route.objective * ABANDON_OBJECTIVES;
    let waited = abandoned.min(request.deadline.since(request.arrived));
    request.arrived + waited * STAGES_PERCENT / 100
}
