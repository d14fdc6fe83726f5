//! Ends of upstreams, and what is held against requests, in messages between instances.

use std::time::Duration;

use jd_serving::BrokenRun;
use jd_serving::Content;
use jd_serving::GoodRun;
use jd_serving::Standing;
use jd_serving::UpstreamEnd;
use jd_serving::UpstreamStart;
use jd_serving::Verdict;
use jd_types::MonoTime;
use jd_wire::BrokenRun as WireRun;
use jd_wire::GoodRun as WireGoodRun;
use jd_wire::Standing as WireStanding;
use jd_wire::UpstreamEnd as WireEnd;
use jd_wire::WitnessRequest;

use crate::quarantine::Quarantine;
use crate::quarantine::Told;

/// What one instance tells who judges.
#[derive(Debug, Clone, Default)]
pub(crate) struct Witness {
    pub(crate) ends: Vec<UpstreamEnd>,
    pub(crate) good_runs: Vec<GoodRun>,
}

/// The message that tells it; times are counted back from `now`.
pub(crate) fn witness_request(witness: &Witness, now: MonoTime) -> WitnessRequest {
    let ends = witness.ends.iter().map(|end| WireEnd {
        service: end.service.to_string(),
        upstream: end.upstream.to_string(),
        start_ms: end.start.millis().unwrap_or(0),
        ended_ms_ago: millis(now.since(end.at)),
        runs: end.runs.iter().map(|r| wire_run(r, now)).collect(),
    });
    let good_runs = witness.good_runs.iter().map(|run| WireGoodRun {
        service: run.service.to_string(),
        content: run.content.number(),
        ended_ms_ago: millis(now.since(run.at)),
    });
    WitnessRequest {
        ends: ends.collect(),
        good_runs: good_runs.collect(),
    }
}

fn wire_run(run: &BrokenRun, now: MonoTime) -> WireRun {
    WireRun {
        content: run.content.number(),
        began_ms_ago: millis(now.since(run.began)),
    }
}

/// What such a message says, now.
pub(crate) fn witness_of(req: WitnessRequest, now: MonoTime) -> Witness {
    let ago = |ms: u32| now.before(Duration::from_millis(u64::from(ms)));
    let run_of = |run: WireRun| BrokenRun {
        content: Content::from_number(run.content),
        began: ago(run.began_ms_ago),
    };
    let ends = req.ends.into_iter().map(|end| UpstreamEnd {
        service: end.service.into(),
        upstream: end.upstream.into(),
        start: match end.start_ms {
            0 => UpstreamStart::UNTOLD,
            ms => UpstreamStart::at_millis(ms),
        },
        at: ago(end.ended_ms_ago),
        runs: end.runs.into_iter().map(run_of).collect(),
    });
    let good_runs = req.good_runs.into_iter().map(|run| GoodRun {
        service: run.service.into(),
        content: Content::from_number(run.content),
        at: ago(run.ended_ms_ago),
    });
    Witness {
        ends: ends.collect(),
        good_runs: good_runs.collect(),
    }
}

/// All that is held here against requests, for a heartbeat.
pub(crate) fn wire_standings(quarantine: &Quarantine, now: MonoTime) -> Vec<WireStanding> {
    let standings = quarantine.standings();
    let told = standings.all(now).map(|(content, held)| WireStanding {
        content: content.number(),
        round: held.standing.round,
        verdict: match held.standing.verdict {
            Verdict::Suspected => 1,
            Verdict::Quarantined => 2,
            Verdict::Released => 3,
        },
        lapses_in_ms: millis(held.lapses.since(now)),
    });
    told.collect()
}

/// What a heartbeat holds against requests; what a later version says and this one does
/// not know is left out.
pub(crate) fn standings_of(told: Vec<WireStanding>) -> impl Iterator<Item = Told> {
    told.into_iter().filter_map(|t| {
        let verdict = match t.verdict {
            1 => Verdict::Suspected,
            2 => Verdict::Quarantined,
            3 => Verdict::Released,
            _ => return None,
        };
        let standing = Standing {
            round: t.round,
            verdict,
        };
        Some(Told {
            content: Content::from_number(t.content),
            standing,
            left: Duration::from_millis(u64::from(t.lapses_in_ms)),
        })
    })
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}
