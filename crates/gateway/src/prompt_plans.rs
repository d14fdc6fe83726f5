//! Places the prompts of requests whose shards this instance owns.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_serving::JobFailure;
use jd_serving::Pace;
use jd_serving::PlacementCandidate;
use jd_serving::PromptPlacement;
use jd_serving::PromptPlanner;
use jd_serving::Shard;
use jd_serving::StageJob;

use crate::job_waiter::JobPrompt;
use crate::job_waiter::JobWaiter;
use crate::job_waiter::StageOutcome;
use crate::state::State;
use crate::upstream_record::SelectedUpstream;

/// The time between two events of a stream at an upstream of median pace. It is 29 and 30 ms where
/// the upstreams of routes with short pauses are described.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Tokens that an upstream of median pace reads in a millisecond, while no figure is known: the
/// slower one of the described kinds of upstream.
const DEFAULT_READ_PACE: f64 = 64.0;
/// Bounds of an upstream's relative pace.
const PACE_RATIO_BOUNDS: (f64, f64) = (0.1, 4.0);

/// The planners of the shards that this instance owns or has owned lately, by service.
#[derive(Debug, Default)]
pub(crate) struct PromptPlans {
    planners: Mutex<HashMap<(Shard, CompactString), PromptPlanner>>,
}

impl PromptPlans {
    /// Passes jobs that have ended on to their callers, and places the prompts of those that
    /// succeeded, the most urgent first: a prompt that comes later finds upstreams reading those
    /// before it.
    pub(crate) fn deliver(
        &self,
        state: &State,
        shard: &Shard,
        mut ended: Vec<(JobWaiter, Result<Vec<CompactString>, JobFailure>)>,
    ) {
        ended.sort_by_key(|(waiter, _)| waiter.priority);
        for (waiter, outcome) in ended {
            let outcome = outcome.map(|results| StageOutcome {
                results,
                placement: self.place(state, shard, waiter.prompt.as_ref()),
            });
            // Fails only if the caller stopped waiting.
            let _ = waiter.tx.try_send(outcome);
        }
    }

    /// Places the prompt of a job that has no stages to run.
    pub(crate) fn place_only(&self, state: &State, shard: &Shard, job: &StageJob) -> StageOutcome {
        StageOutcome {
            results: Vec::new(),
            placement: self.place(state, shard, JobPrompt::of(job).as_ref()),
        }
    }

    /// Selects the upstream of a prompt among those of a shard; none if no upstream may be selected
    /// or this instance's configuration does not describe them.
    fn place(
        &self,
        state: &State,
        shard: &Shard,
        prompt: Option<&JobPrompt>,
    ) -> Option<PromptPlacement> {
        let prompt = prompt?;
        let demand = &prompt.demand;
        let now = state.now();
        let router = state.router.load_full()?;
        if !router.tracks_pace(&demand.service) {
            return None;
        }
        let spec = router.service(&demand.service)?.generation?;
        let filter = state.selection_filter(&demand.service);
        let table = state.upstreams.load();
        let usable = table.placeable(&demand.service, shard, now, demand.session, &filter);
        let started = usable.iter().map(|u| (u.id.as_str(), u.start));
        let paces = state.paces.paces(now, started);
        let candidates = usable.iter().zip(&paces);
        let candidates = candidates.map(|(upstream, pace)| candidate(upstream, *pace));
        let candidates: Vec<PlacementCandidate> = candidates.collect();
        // Instances leave about this part of an objective for the time after the stages.
        let own_tokens = demand.tokens_in.saturating_sub(demand.shared_tokens);
        let expected = state
            .paces
            .expected_first_event(now, &demand.service, own_tokens);
        let first_event_by = prompt.objective + expected;
        let decision = {
            let mut planners = lock(&self.planners);
            let key = (shard.clone(), demand.service.clone());
            if !planners.contains_key(&key) {
                // Shards change with the upstreams; forget those that no longer exist.
                let shards = state.shards.load();
                planners.retain(|(shard, _), _| shards.contains(shard));
            }
            let planner = planners.entry(key).or_default();
            planner.place(now, demand, first_event_by, &spec, &candidates)
        };
        let Some(decision) = decision else {
            state.metrics.placement("none");
            return None;
        };
        state.metrics.placement(decision.reason.as_str());
        log::info!(
            request = prompt.request_id.as_str(),
            upstream = decision.placement.upstream.as_str(),
            reason = decision.reason.as_str(),
            candidates = candidates.len(),
            fetch_from:? = decision.placement.fetch_from,
            tokens = demand.tokens_in,
            read_tokens = decision.read_tokens,
            first_ms = decision.first_event.as_millis() as u64,
            left_ms = first_event_by.since(now).as_millis() as u64,
            pause_ms = decision.pause.as_millis() as u64,
            streams = decision.streams,
            cost = decision.cost;
            "prompt placed"
        );
        Some(decision.placement)
    }
}

fn candidate(selected: &SelectedUpstream, pace: Pace) -> PlacementCandidate {
    let (low, high) = PACE_RATIO_BOUNDS;
    // `max` and `min` also replace a figure that is not a number.
    let ratio = pace.events_ratio.max(low).min(high);
    let read_pace = pace.read_tokens_per_ms;
    let own_streams = selected.upstream.in_flight();
    PlacementCandidate {
        id: selected.id.clone().into(),
        start: selected.start,
        software: selected.software.clone(),
        address: selected.upstream.address,
        read_tokens_per_ms: read_pace.unwrap_or(DEFAULT_READ_PACE * ratio),
        event_interval: EVENT_INTERVAL.div_f64(ratio),
        running: pace.running.max(own_streams),
        observed: pace.running > 0 || own_streams > 0,
    }
}
