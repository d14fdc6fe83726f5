//! Converts the observed pace of upstreams to and from heartbeats.

use std::time::Duration;

use compact_str::CompactString;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_wire::UpstreamPace;

/// Reports that are read from one heartbeat. Instances send at most as many.
const MAX_REPORTS: usize = 64;

/// What an instance observed, for a heartbeat.
pub(crate) fn wire_paces(
    observed: Vec<jd_serving::UpstreamPace>,
    now: MonoTime,
) -> Vec<UpstreamPace> {
    let observed = observed.into_iter();
    observed.map(|pace| wire_pace(pace, now)).collect()
}

/// Reads what another instance observed.
pub(crate) fn paces_of(
    paces: Vec<UpstreamPace>,
    now: MonoTime,
) -> impl Iterator<Item = jd_serving::UpstreamPace> {
    let paces = paces.into_iter().take(MAX_REPORTS);
    paces.map(move |pace| pace_of(pace, now))
}

fn wire_pace(pace: jd_serving::UpstreamPace, now: MonoTime) -> UpstreamPace {
    UpstreamPace {
        upstream: pace.upstream.into(),
        start_ms: pace.start.millis().unwrap_or(0),
        events: pace.events,
        streaming_ms: millis(pace.streaming),
        prompt_tokens: pace.prompt_tokens,
        reading_ms: millis(pace.reading),
        running: pace.running,
        observed_ms_ago: millis(now.since(pace.observed_at)),
        prompts: pace.prompts,
    }
}

fn pace_of(pace: UpstreamPace, now: MonoTime) -> jd_serving::UpstreamPace {
    let start = match pace.start_ms {
        0 => UpstreamStart::UNKNOWN,
        ms => UpstreamStart::at_millis(ms),
    };
    let duration = |ms: u32| Duration::from_millis(u64::from(ms));
    jd_serving::UpstreamPace {
        upstream: CompactString::from(pace.upstream),
        start,
        events: pace.events,
        streaming: duration(pace.streaming_ms),
        prompts: pace.prompts,
        prompt_tokens: pace.prompt_tokens,
        reading: duration(pace.reading_ms),
        running: pace.running,
        observed_at: now.before(duration(pace.observed_ms_ago)),
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
