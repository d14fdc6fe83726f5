//! Converts crash reports and quarantines to and from messages between instances.

use std::time::Duration;

use jd_serving::BrokenRun;
use jd_serving::Content;
use jd_serving::PartContent;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::RunContents;
use jd_serving::SoundRun;
use jd_serving::TrialEnd;
use jd_serving::UpstreamCrash;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_wire::BrokenRun as WireRun;
use jd_wire::CompletedRun as WireSoundRun;
use jd_wire::CrashReport;
use jd_wire::PromptPart as WirePart;
use jd_wire::Quarantine as WireQuarantine;
use jd_wire::TrialStep as WireTrial;
use jd_wire::UpstreamEnd as WireEnd;

use crate::quarantine::Quarantine;
use crate::quarantine::QuarantineUpdate;
use crate::trials::TrialStep;

/// An instance's report to the coordinators of the quarantine.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunReport {
    pub(crate) crashes: Vec<UpstreamCrash>,
    /// Upstreams that may have crashed, or that the reporting instance has no path to.
    pub(crate) possible_crashes: Vec<UpstreamCrash>,
    pub(crate) sound_runs: Vec<SoundRun>,
}

/// Encodes a report; times are given as their age at `now`.
pub(crate) fn wire_report(report: &RunReport, now: MonoTime) -> CrashReport {
    let wire_crash = |crash: &UpstreamCrash| WireEnd {
        service: crash.service.to_string(),
        upstream: crash.upstream.to_string(),
        start_ms: crash.start.millis().unwrap_or(0),
        ended_ms_ago: millis(now.since(crash.at)),
        runs: crash.runs.iter().map(|r| wire_run(r, now)).collect(),
    };
    let sound_runs = report.sound_runs.iter().map(|run| WireSoundRun {
        service: run.service.to_string(),
        content: run.contents.request.number(),
        ended_ms_ago: millis(now.since(run.at)),
        parts: wire_parts(&run.contents),
    });
    CrashReport {
        ends: report.crashes.iter().map(wire_crash).collect(),
        possible_ends: report.possible_crashes.iter().map(wire_crash).collect(),
        completed_runs: sound_runs.collect(),
        trial: None,
    }
}

/// Encodes a step of a run of a suspected request.
pub(crate) fn wire_trial(content: Content, step: &TrialStep) -> WireTrial {
    let (step, service) = match step {
        TrialStep::Begin(service) => (1, service.as_str()),
        TrialStep::End(TrialEnd::NotSent) => (2, ""),
        TrialStep::End(TrialEnd::Sent) => (3, ""),
    };
    WireTrial {
        content: content.number(),
        step,
        service: service.into(),
    }
}

/// Decodes a step of a run of a suspected request; none for one that is unknown here.
pub(crate) fn trial_of(wire: WireTrial) -> Option<(Content, TrialStep)> {
    let step = match wire.step {
        1 => TrialStep::Begin(wire.service.into()),
        2 => TrialStep::End(TrialEnd::NotSent),
        3 => TrialStep::End(TrialEnd::Sent),
        _ => return None,
    };
    Some((Content::from_number(wire.content), step))
}

fn wire_parts(contents: &RunContents) -> Vec<WirePart> {
    let parts = contents.parts.iter().map(|part| WirePart {
        of_customer: part.of_customer.number(),
        of_all: part.of_all.number(),
    });
    parts.collect()
}

fn wire_run(run: &BrokenRun, now: MonoTime) -> WireRun {
    WireRun {
        content: run.contents.request.number(),
        began_ms_ago: millis(now.since(run.began)),
        answered_ms_ago: run.answered.map(|at| millis(now.since(at))),
        parts: wire_parts(&run.contents),
    }
}

fn run_contents(request: u64, parts: &[WirePart]) -> RunContents {
    let parts = parts.iter().map(|part| PartContent {
        of_customer: Content::from_number(part.of_customer),
        of_all: Content::from_number(part.of_all),
    });
    RunContents {
        request: Content::from_number(request),
        parts: parts.collect(),
    }
}

/// Decodes a report that arrived at `now`.
pub(crate) fn report_of(req: CrashReport, now: MonoTime) -> RunReport {
    let ago = |ms: u32| now.before(Duration::from_millis(u64::from(ms)));
    let run_of = |run: WireRun| BrokenRun {
        contents: run_contents(run.content, &run.parts),
        began: ago(run.began_ms_ago),
        answered: run.answered_ms_ago.map(ago),
    };
    let crash_of = |end: WireEnd| UpstreamCrash {
        service: end.service.into(),
        upstream: end.upstream.into(),
        start: match end.start_ms {
            0 => UpstreamStart::UNKNOWN,
            ms => UpstreamStart::at_millis(ms),
        },
        at: ago(end.ended_ms_ago),
        runs: end.runs.into_iter().map(run_of).collect(),
    };
    let sound_runs = req.completed_runs.into_iter().map(|run| SoundRun {
        service: run.service.into(),
        contents: run_contents(run.content, &run.parts),
        at: ago(run.ended_ms_ago),
    });
    RunReport {
        crashes: req.ends.into_iter().map(crash_of).collect(),
        possible_crashes: req.possible_ends.into_iter().map(crash_of).collect(),
        sound_runs: sound_runs.collect(),
    }
}

/// All quarantine states of this instance, for a heartbeat.
pub(crate) fn wire_quarantine(quarantine: &Quarantine, now: MonoTime) -> Vec<WireQuarantine> {
    let list = quarantine.list();
    let states = list.entries(now).map(|(content, held)| WireQuarantine {
        content: content.number(),
        round: held.state.round,
        phase: match held.state.phase {
            QuarantinePhase::Suspected => 1,
            QuarantinePhase::Quarantined => 2,
            QuarantinePhase::Released => 3,
        },
        lapses_in_ms: millis(held.expires_at.since(now)),
    });
    states.collect()
}

/// Decodes the quarantine states of a heartbeat; phases of a later version that are
/// unknown here are left out.
pub(crate) fn quarantine_of(states: Vec<WireQuarantine>) -> impl Iterator<Item = QuarantineUpdate> {
    states.into_iter().filter_map(|wire| {
        let phase = match wire.phase {
            1 => QuarantinePhase::Suspected,
            2 => QuarantinePhase::Quarantined,
            3 => QuarantinePhase::Released,
            _ => return None,
        };
        let state = QuarantineState {
            round: wire.round,
            phase,
        };
        Some(QuarantineUpdate {
            content: Content::from_number(wire.content),
            state,
            left: Duration::from_millis(u64::from(wire.lapses_in_ms)),
        })
    })
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}
