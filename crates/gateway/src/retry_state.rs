//! The attempts at one request, and the runs that its route allows.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use jd_serving::RunBudget;
use jd_serving::SoftwareVersion;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::caller_api::may_have_run;
use crate::caller_request::CallerRequest;
use crate::placed_prompt::PlacedPrompt;
use crate::state::State;
use crate::upstream_client::SendPermit;
use crate::upstream_record::SelectedUpstream;

/// The attempts at one request so far.
#[derive(Debug)]
pub(crate) struct RetryState {
    /// The upstreams that it was sent to, including those that did not run it.
    pub(crate) tried: Vec<CompactString>,
    /// Its runs, against what its route allows.
    runs: RunBudget,
    /// True once its first send adds to the retry budget.
    pub(crate) counted: bool,
    /// The software version that began the stream, at which alone it may resume; none while it has
    /// no event.
    pub(crate) software: Option<SoftwareVersion>,
    /// How many upstreams could not be connected to.
    pub(crate) unreachable: usize,
    /// The instances that it was forwarded to and that have not failed.
    pub(crate) forward_targets: Vec<SocketAddr>,
    /// The instances that did not take it, or that did not respond.
    pub(crate) forward_failures: Vec<SocketAddr>,
    /// How many sends to selected upstreams were withheld.
    pub(crate) withheld: u32,
    /// When the caller may retry if no upstream is left.
    retry_after: Duration,
    /// The upstream of the first attempt and its permit, if reserved before the stages.
    pub(crate) reserved: Option<(SelectedUpstream, SendPermit)>,
    /// The upstream that the owner of a shard selected for the prompt.
    pub(crate) placed: PlacedPrompt,
}

impl RetryState {
    /// The attempts at a request that is to be retried after `retry_after` if no upstream is
    /// left.
    pub(crate) fn new(request: &CallerRequest, retry_after: Duration) -> RetryState {
        let from = request.forwarded.as_ref();
        RetryState {
            tried: Vec::new(),
            runs: match from {
                Some(from) => RunBudget::of_forwarded(from.further_runs),
                None => RunBudget::of_route(request.route()),
            },
            counted: from.is_some_and(|f| f.counted),
            software: from.and_then(|f| f.software.clone()),
            unreachable: 0,
            forward_targets: Vec::new(),
            forward_failures: Vec::new(),
            withheld: 0,
            retry_after,
            reserved: None,
            placed: PlacedPrompt::default(),
        }
    }

    /// How often the request may have run, by what was sent from here.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.runs.begun()
    }

    /// Runs that may still begin here, by the configuration that the request was admitted by and
    /// by the one that is in force now.
    pub(crate) fn runs_left(&mut self, state: &State, request: &CallerRequest) -> u32 {
        if let Some(allowed) = request.changed_allowed_runs(state) {
            self.runs.lower_to(allowed);
        }
        self.runs.left()
    }

    /// True if the request may run again beside the current run, here or at the instance that
    /// forwarded it.
    pub(crate) fn may_run_again(&self) -> bool {
        self.runs.left_anywhere() > 0
    }

    /// Counts a run that is about to begin, or refuses the request.
    pub(crate) fn begin_run(
        &mut self,
        state: &State,
        request: &CallerRequest,
    ) -> Result<(), Refusal> {
        if self.runs_left(state, request) > 0 && self.runs.begin() {
            request.begun_runs.fetch_add(1, Ordering::Relaxed);
            state.metrics.run("begun");
            return Ok(());
        }
        state.metrics.run("refused");
        let detail = "the route allows no further attempt";
        Err(self.refuse(RefusalKind::UpstreamFailed, detail))
    }

    /// Records a send to an upstream, so that attempts beside it select others.
    pub(crate) fn record_tried(&mut self, upstream: &CompactString) {
        self.tried.push(upstream.clone());
    }

    /// Has an upstream selected again that was sent nothing, or that may run the request now.
    pub(crate) fn forget_tried(&mut self, upstream: &CompactString) {
        self.tried.retain(|id| id != upstream);
    }

    /// Has the upstreams selected again that proved that they did not run the request.
    pub(crate) fn forget_refused(&mut self, ran_at: &[CompactString]) {
        self.tried.retain(|id| ran_at.contains(id));
    }

    /// Takes back the latest run, because it is proved that no upstream ran the request.
    pub(crate) fn take_back_run(&mut self, state: &State, request: &CallerRequest) {
        state.metrics.run("not-run");
        request.begun_runs.fetch_sub(1, Ordering::Relaxed);
        self.runs.take_back();
    }

    /// Changes a refusal to say that the request may have run, if it was sent before.
    pub(crate) fn after_runs(&self, refusal: Refusal) -> Refusal {
        match (self.possible_runs(), refusal.run) {
            (0, _) | (_, RunState::MayHaveRun) => refusal,
            _ => may_have_run(RefusalKind::UpstreamFailed, refusal.detail),
        }
    }

    /// The refusal of a request that all upstreams reject for `wait`, because of rate limits
    /// or backoffs.
    pub(crate) fn refuse_limited(&self, wait: Duration) -> Refusal {
        let detail = "the upstreams take no more for now";
        match self.possible_runs() {
            0 => Refusal::not_run(RefusalKind::Limited, detail).with_retry_after(wait),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        }
    }

    /// The refusal of a request for which no upstream can be selected.
    pub(crate) fn refuse(&self, kind: RefusalKind, detail: &'static str) -> Refusal {
        match (self.possible_runs(), kind) {
            (0, RefusalKind::DeadlinePassed) => Refusal::not_run(RefusalKind::WouldMiss, detail),
            (0, kind) => Refusal::not_run(kind, detail).with_retry_after(self.retry_after),
            (_, RefusalKind::DeadlinePassed) => may_have_run(kind, detail),
            _ => may_have_run(RefusalKind::UpstreamFailed, detail),
        }
    }
}
