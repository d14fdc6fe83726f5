//! Converts stages of requests to and from messages between instances.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use jd_serving::Content;
use jd_serving::JobFailure;
use jd_serving::JobStage;
use jd_serving::PromptDemand;
use jd_serving::PromptPlacement;
use jd_serving::Shard;
use jd_serving::StageJob;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::Name;
use jd_wire::Placement as WirePlacement;
use jd_wire::PromptDemand as WirePromptDemand;
use jd_wire::Shard as WireShard;
use jd_wire::Stage;
use jd_wire::StagesReply;
use jd_wire::StagesRequest;
use tonic::Status;

use crate::job_waiter::JobOutcome;
use crate::job_waiter::StageOutcome;

/// Encodes a shard.
pub(crate) fn wire_shard(shard: &Shard) -> WireShard {
    WireShard {
        zone: shard.zone.as_ref().map_or("", Name::as_str).into(),
        part: shard.part,
        parts: shard.parts,
    }
}

/// Decodes a shard.
pub(crate) fn shard_of(shard: WireShard) -> Shard {
    Shard {
        // The name is empty if the shard covers all zones.
        zone: Name::try_from(shard.zone.as_str()).ok(),
        part: shard.part,
        parts: shard.parts,
    }
}

/// Encodes a job; times are given as the time left at `now`.
pub(crate) fn stages_request(job: &StageJob, shard: &Shard, now: MonoTime) -> StagesRequest {
    let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    let stages = job.stages.iter().map(|s| Stage {
        service: s.service.to_string(),
        after: s.after.iter().map(|a| *a as u32).collect(),
        pieces: s.pieces as u32,
        result_bytes: s.result_bytes,
    });
    StagesRequest {
        request_id: job.request_id.to_string(),
        piece_key: job.piece_key.to_string(),
        stages: stages.collect(),
        objective_ms: millis(job.objective.since(now)),
        deadline_ms: millis(job.deadline.since(now)),
        priority: u32::from(job.priority),
        zone: job
            .zone
            .as_ref()
            .map_or(String::new(), |z| z.as_str().into()),
        shard: Some(wire_shard(shard)),
        content: job.content.number(),
        customer: job.customer,
        prompt: job.prompt.as_ref().map(wire_prompt),
        runs_again: job.runs_again,
    }
}

fn wire_prompt(prompt: &PromptDemand) -> WirePromptDemand {
    WirePromptDemand {
        service: prompt.service.to_string(),
        session: prompt.session,
        tokens_in: prompt.tokens_in,
        tokens_out: prompt.tokens_out,
        shared_tokens: prompt.shared_tokens,
        max_pause_ms: u32::try_from(prompt.max_pause.as_millis()).unwrap_or(u32::MAX),
    }
}

fn prompt_of(prompt: WirePromptDemand) -> PromptDemand {
    PromptDemand {
        service: prompt.service.into(),
        session: prompt.session,
        tokens_in: prompt.tokens_in,
        tokens_out: prompt.tokens_out,
        shared_tokens: prompt.shared_tokens.min(prompt.tokens_in),
        max_pause: Duration::from_millis(u64::from(prompt.max_pause_ms)),
    }
}

fn wire_placement(placement: PromptPlacement) -> WirePlacement {
    WirePlacement {
        upstream: placement.upstream.into(),
        start_ms: placement.start.millis().unwrap_or(0),
        fetch_from: placement
            .fetch_from
            .map_or(String::new(), |a| a.to_string()),
    }
}

fn placement_of(placement: WirePlacement) -> PromptPlacement {
    PromptPlacement {
        upstream: placement.upstream.into(),
        start: match placement.start_ms {
            0 => UpstreamStart::UNKNOWN,
            ms => UpstreamStart::at_millis(ms),
        },
        // Without a readable address there is no fetch.
        fetch_from: placement.fetch_from.parse().ok(),
    }
}

/// Encodes the outcome of a job.
pub(crate) fn outcome_reply(outcome: StageOutcome) -> StagesReply {
    let results = outcome.results.into_iter();
    StagesReply {
        results: results.map(String::from).collect(),
        placement: outcome.placement.map(wire_placement),
        ..StagesReply::default()
    }
}

/// Decodes the reply to a job.
pub(crate) fn outcome_of(reply: StagesReply) -> JobOutcome {
    let wait = Duration::from_millis(u64::from(reply.retry_after_ms));
    match reply.failure {
        0 => Ok(StageOutcome {
            results: reply.results.into_iter().map(CompactString::from).collect(),
            placement: reply.placement.map(placement_of),
        }),
        1 => Err(JobFailure::WouldMiss(wait)),
        2 => Err(JobFailure::TooLate),
        3 => Err(JobFailure::NoUpstream),
        5 => Err(JobFailure::Moved),
        6 => Err(JobFailure::Quarantined(wait)),
        _ => Err(JobFailure::PieceFailed),
    }
}

/// Decodes a job that arrived at `now`.
pub(crate) fn job_of(req: StagesRequest, now: MonoTime) -> Result<StageJob, Status> {
    let count = req.stages.len();
    let mut stages = Vec::with_capacity(count);
    for (n, stage) in req.stages.into_iter().enumerate() {
        let after: Vec<usize> = stage.after.into_iter().map(|a| a as usize).collect();
        if after.iter().any(|a| *a >= n) {
            return Err(Status::invalid_argument("a stage follows a later one"));
        }
        stages.push(JobStage {
            service: stage.service.into(),
            after,
            pieces: stage.pieces as usize,
            result_bytes: stage.result_bytes,
        });
    }
    Ok(StageJob {
        request_id: req.request_id.into(),
        content: Content::from_number(req.content),
        piece_key: req.piece_key.into(),
        stages,
        objective: now + Duration::from_millis(u64::from(req.objective_ms)),
        deadline: now + Duration::from_millis(u64::from(req.deadline_ms)),
        priority: u8::try_from(req.priority).unwrap_or(u8::MAX),
        zone: Name::try_from(req.zone.to_compact_string()).ok(),
        customer: req.customer,
        prompt: req.prompt.map(prompt_of),
        runs_again: req.runs_again,
    })
}

/// Encodes the failure of a job.
pub(crate) fn failure_reply(failure: JobFailure) -> StagesReply {
    let (failure, wait) = match failure {
        JobFailure::WouldMiss(wait) => (1, wait),
        JobFailure::TooLate => (2, Duration::ZERO),
        JobFailure::NoUpstream => (3, Duration::ZERO),
        JobFailure::PieceFailed => (4, Duration::ZERO),
        JobFailure::Moved => (5, Duration::ZERO),
        JobFailure::Quarantined(left) => (6, left),
    };
    StagesReply {
        results: Vec::new(),
        failure,
        retry_after_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        placement: None,
    }
}
