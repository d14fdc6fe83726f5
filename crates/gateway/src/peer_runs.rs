//! Ends of upstreams, and what is held against requests, in messages between instances.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use jd_serving::BrokenRun;
use jd_serving::Content;
use jd_serving::Standing;
use jd_serving::UpstreamEnd;
use jd_serving::UpstreamStart;
use jd_serving::Verdict;
use jd_types::MonoTime;
use jd_wire::BrokenRun as WireRun;
use jd_wire::Standing as WireStanding;
use jd_wire::Survivor;
use jd_wire::UpstreamEnd as WireEnd;
use jd_wire::WitnessRequest;

use crate::quarantine::Quarantine;
use crate::quarantine::Told;

/// What one instance tells who judges.
#[derive(Debug, Clone, Default)]
pub(crate) struct Witness {
    pub(crate) ends: Vec<UpstreamEnd>,
    pub(crate) survivors: Vec<(CompactString, Content)>,
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
    let survivors = witness.survivors.iter().map(|(service, content)| Survivor {
        service: service.to_string(),
        content: content.number(),
    });
    WitnessRequest {
        ends: ends.collect(),
        survivors: survivors.collect(),
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
    let survivors = req.survivors.into_iter();
    let survivors = survivors.map(|s| {
        let content = Content::from_number(s.content);
        (s.service.to_compact_string(), content)
    });
    Witness {
        ends: ends.collect(),
        survivors: survivors.collect(),
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
