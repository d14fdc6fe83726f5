//! Having the stages of a request done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use futures_lite::FutureExt;
use jd_serving::JobFailure;
use jd_serving::JobStage;
use jd_serving::Shard;
use jd_serving::StageJob;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::batch_dispatcher::BatchDispatcher;
use crate::caller_request::CallerRequest;
use crate::peer_client::PeerClient;
use crate::result_release_queue::ResultReleaseQueue;
use crate::signal::Signal;
use crate::state::State;

/// What an upstream takes from the request to its first event, about: the part
/// of the objective that stages leave it.
const GENERATION_START: Duration = Duration::from_millis(200);
/// Callers leave a stream that does not begin within that many objectives.
const ABANDON_OBJECTIVES: u32 = 4;
/// The part of that time, or of the deadline, that stages may take.
const GIVE_UP_PERCENT: u32 = 85;
/// How long after a request was sent its upstream has read the results that it
/// works on, which it does before it reads the prompt.
const RESULTS_READ: Duration = Duration::from_millis(50);
/// How often it is looked whether the owner is still there.
const OWNER_CHECK: Duration = Duration::from_millis(200);
/// How often one owner is asked while it answers heartbeats.
const ASKS_OF_OWNER: u32 = 2;
/// How often a request follows its stages from owner to owner. After all
/// instances have started they agree within two changes.
const MAX_MOVES: u32 = 4;
/// When to come back after no upstream was listed: entries that lapsed with the
/// store are back within two seconds, most within one.
const LISTED_AGAIN: Duration = Duration::from_millis(1_200);
/// When to come back after stages could not be done.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Has the stages of requests done by the instance that fills the batches.
#[derive(Debug)]
pub(crate) struct StageRunner {
    pub(crate) state: Arc<State>,
    pub(crate) dispatcher: Arc<BatchDispatcher>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) release_queue: Arc<ResultReleaseQueue>,
}

/// Results of stages that a request works on; given up once, at the latest when
/// dropped.
#[derive(Debug)]
pub(crate) struct StageResults {
    handles: Vec<CompactString>,
    held: AtomicBool,
    owner: SocketAddr,
    release_queue: Arc<ResultReleaseQueue>,
}

impl StageResults {
    pub(crate) fn handles(&self) -> &[CompactString] {
        &self.handles
    }

    /// Nobody works on them any more.
    pub(crate) fn release(&self) {
        if self.held.swap(false, Ordering::Relaxed) {
            self.release_queue.add(self.owner, self.handles.to_vec());
        }
    }

    /// Gives them up once the upstream that was asked has most likely read them. It
    /// does so before it reads the prompt, which can take many times longer.
    ///
    /// Guards against results that are given up before anybody could read them:
    /// counted from the choice of an upstream, a connection that would not open
    /// outlasted them, the next upstream found them gone, and all stages were done
    /// again, in a fleet that had just lost a part of its upstreams.
    pub(crate) async fn release_when_read<T>(&self, written: &Signal) -> T {
        written.wait().await;
        Timer::after(RESULTS_READ).await;
        self.release();
        futures_lite::future::pending().await
    }
}

impl Drop for StageResults {
    fn drop(&mut self) {
        self.release();
    }
}

impl StageRunner {
    /// Has the stages of a request done. Nothing of the request itself has run
    /// when this refuses.
    pub(crate) async fn run(&self, request: &CallerRequest) -> Result<StageResults, Refusal> {
        request.check_quarantine(&self.state, 0)?;
        let (owner, handles) = match self.job(request) {
            None => (self.state.own_entry.peer_address, Vec::new()),
            Some(job) => self.run_job(request, &job).await?,
        };
        Ok(StageResults {
            held: AtomicBool::new(true),
            handles,
            owner,
            release_queue: Arc::clone(&self.release_queue),
        })
    }

    async fn run_job(
        &self,
        request: &CallerRequest,
        job: &StageJob,
    ) -> Result<(SocketAddr, Vec<CompactString>), Refusal> {
        let began = self.state.now();
        let mut ended = self.ask_owners(job).await;
        let mut moves = 0;
        while matches!(ended, Err(JobFailure::Moved)) && moves < MAX_MOVES {
            moves += 1;
            ended = self.ask_owners(job).await;
        }
        let took = self.state.now().since(began);
        let outcome = match &ended {
            Ok(_) => "done",
            Err(failure) => name_of(*failure),
        };
        self.state.metrics.stages(outcome, took);
        log::info!(
            request = request.id(),
            outcome,
            ms = took.as_millis() as u64;
            "stages ended"
        );
        ended.map_err(refusal_of)
    }

    /// The results, and the owner that had them made.
    async fn ask_owners(
        &self,
        job: &StageJob,
    ) -> Result<(SocketAddr, Vec<CompactString>), JobFailure> {
        let me = self.state.own_entry.peer_address;
        let shard = self.shard(job).ok_or(JobFailure::NoUpstream)?;
        self.state.mark_shard_used(&shard);
        for owner in self.state.owner_order(&shard) {
            if owner == me {
                break;
            }
            // A connection can break although the owner is well. Another owner
            // would fill calls beside it, so it is asked once more first.
            for _ in 0..ASKS_OF_OWNER {
                match self.ask_owner(owner, &shard, job).await {
                    // It has started and not read the store, while here upstreams
                    // are known: the next owner is asked.
                    Some(Err(JobFailure::NoUpstream)) => break,
                    Some(outcome) => return outcome.map(|handles| (owner, handles)),
                    None => {}
                }
                if !self.is_heard(owner) {
                    break;
                }
            }
            log::warn!(owner:% = owner, request = job.request_id.as_str(); "owner of stages silent");
        }
        let handles = self.dispatcher.run(shard, job.clone()).await?;
        Ok((me, handles))
    }

    /// Asks one owner; none if it does not answer.
    async fn ask_owner(
        &self,
        owner: SocketAddr,
        shard: &Shard,
        job: &StageJob,
    ) -> Option<Result<Vec<CompactString>, JobFailure>> {
        let asking = async { self.peers.run_stages(owner, shard, job).await };
        let gone = async {
            self.until_gone(owner).await;
            None
        };
        asking.or(gone).await
    }

    fn is_heard(&self, owner: SocketAddr) -> bool {
        let now = self.state.now();
        self.state.cluster().instances.is_present_at(now, owner)
    }

    /// The shard that a job goes to; none if no shard does all of its stages.
    fn shard(&self, job: &StageJob) -> Option<Shard> {
        let bytes = job.request_id.bytes();
        let place = bytes.fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let used = job.stages.iter().filter(|s| s.pieces > 0);
        let services: Vec<&str> = used.map(|s| s.service.as_str()).collect();
        let bytes = job.output_bytes();
        let shards = self.state.shards.load();
        let backlog = |shard: &Shard| self.state.backlog(shard);
        shards.choose(place, &services, job.zone.as_ref(), bytes, backlog)
    }

    /// Returns once an owner does not answer heartbeats any more.
    async fn until_gone(&self, owner: SocketAddr) {
        loop {
            Timer::after(OWNER_CHECK).await;
            if !self.is_heard(owner) {
                return;
            }
        }
    }

    fn job(&self, request: &CallerRequest) -> Option<StageJob> {
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
        if stages.iter().all(|s| s.pieces == 0) {
            return None;
        }
        Some(StageJob {
            request_id: request.id().into(),
            content: request.content,
            piece_key: request.head.piece_key.clone().unwrap_or_default(),
            stages,
            objective: request.objective_deadline().before(GENERATION_START),
            deadline: give_up_at(request),
            priority: request.priority,
            zone: self.wanted_zone(request),
        })
    }

    /// The zone of the upstream that keeps the session's prompt, also while that is
    /// cold. Else all stages would go to the other zones after a zone came back, and
    /// its upstreams of stages, which are never cold, would have nothing to do.
    fn wanted_zone(&self, request: &CallerRequest) -> Option<Name> {
        let prompt = request.head.prompt.as_ref()?;
        let (now, instances) = (self.state.now(), self.state.instance_count());
        let table = self.state.upstreams.load();
        let check = self.state.unfiltered();
        let chosen = table.pick_for_session(
            &request.service,
            now,
            prompt.session(),
            instances,
            &[],
            &check,
        )?;
        Some(chosen.upstream.zone.clone())
    }
}

/// When the stages of a request are given up: early enough for the request
/// itself to run, and for its caller to hear of it while it still waits.
fn give_up_at(request: &CallerRequest) -> MonoTime {
    let route = request.route();
    let abandoned = route.objective * ABANDON_OBJECTIVES;
    let waited = abandoned.min(request.deadline.since(request.arrived));
    request.arrived + waited * GIVE_UP_PERCENT / 100
}

/// The name of a failure in logs and metrics.
const fn name_of(failure: JobFailure) -> &'static str {
    match failure {
        JobFailure::WouldMiss(_) => "would-miss",
        JobFailure::TooLate => "too-late",
        JobFailure::NoUpstream => "no-upstream",
        JobFailure::PieceFailed => "piece-failed",
        JobFailure::Moved => "moved",
        JobFailure::Quarantined(_) => "quarantined",
    }
}

fn refusal_of(failure: JobFailure) -> Refusal {
    let (kind, wait, detail) = match failure {
        JobFailure::WouldMiss(wait) => (
            RefusalKind::WouldMiss,
            wait,
            "the stages would end after the deadline",
        ),
        JobFailure::TooLate => (
            RefusalKind::WouldMiss,
            FAILED_PAUSE,
            "the stages did not end before the deadline",
        ),
        JobFailure::NoUpstream => (
            RefusalKind::NoUpstream,
            LISTED_AGAIN,
            "no upstream does one of the stages",
        ),
        JobFailure::PieceFailed => (
            RefusalKind::Overloaded,
            FAILED_PAUSE,
            "a piece of a stage failed too often",
        ),
        JobFailure::Quarantined(left) => (
            RefusalKind::Quarantined,
            left,
            "upstreams that ran this request ended, one after the other",
        ),
        JobFailure::Moved => (
            RefusalKind::Overloaded,
            FAILED_PAUSE,
            "the instance that does stages changed too often",
        ),
    };
    Refusal::not_run(kind, detail).with_retry_after(wait)
}
