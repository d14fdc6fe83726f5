//! The pace of upstreams: what this instance observes of it, and what all instances report to it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_serving::FirstEvent;
use jd_serving::FirstEventEstimate;
use jd_serving::ListedPaceUpstream;
use jd_serving::Pace;
use jd_serving::PaceCounts;
use jd_serving::PaceRecord;
use jd_serving::PaceTable;
use jd_serving::Prompt;
use jd_serving::Router;
use jd_serving::Shard;
use jd_serving::StreamPace;
use jd_serving::UpstreamPace;
use jd_serving::UpstreamStart;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;

use crate::caller_request::CallerRequest;
use crate::metrics::Metrics;
use crate::upstream_record::SelectedUpstream;
use crate::upstream_table::UpstreamTable;

/// The time to the first event of routes whose upstreams' pace is not tracked: the part of the
/// objective that stages leave for the request.
const FIXED_TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(200);
/// The least time that stages leave for the request.
const MIN_TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(50);

/// The pace of upstreams: what this instance observes of it, and what all instances report to it.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    /// What the streams of this instance show.
    counts: Mutex<PaceCounts>,
    /// What all instances report to this one, of the shards that it owns.
    table: Mutex<PaceTable>,
    /// By service.
    first_events: Mutex<HashMap<CompactString, FirstEventEstimate>>,
}

impl Paces {
    /// Observes a stream that is sent to an upstream now; none if the pace of its service is not
    /// tracked. `resumes` is true if another upstream began the stream.
    pub(crate) fn begin_stream(
        &self,
        now: MonoTime,
        request: &CallerRequest,
        chosen: &SelectedUpstream,
        resumes: bool,
    ) -> Option<StreamPace> {
        let is_stream = request.route().retry_mode.is_stream();
        if !is_stream || !request.router.tracks_pace(&request.service) {
            return None;
        }
        let new_tokens = new_tokens(request).filter(|_| !resumes);
        let zone = &chosen.upstream.zone;
        let mut counts = lock(&self.counts);
        counts.begin_stream(now, &chosen.id, chosen.start, zone, new_tokens)
    }

    /// Records the first event of a stream of this instance.
    pub(crate) fn record_first_event(
        &self,
        now: MonoTime,
        service: &CompactString,
        first: FirstEvent,
    ) {
        let mut estimates = lock(&self.first_events);
        let estimate = estimates.entry(service.clone()).or_default();
        estimate.record(now, first);
    }

    /// The part of a request's objective that stages leave for its upstream.
    pub(crate) fn time_to_first_event(&self, now: MonoTime, request: &CallerRequest) -> Duration {
        let route = request.route();
        let is_tracked = request.router.tracks_pace(&request.service);
        if route.short_event_gap().is_none() || !is_tracked {
            return FIXED_TIME_TO_FIRST_EVENT;
        }
        let expected = self.expected_of(now, request);
        expected
            .max(FIXED_TIME_TO_FIRST_EVENT)
            .min(route.objective / 2)
    }

    /// The time to the first event of a request's own prompt.
    pub(crate) fn expected_of(&self, now: MonoTime, request: &CallerRequest) -> Duration {
        let tokens = new_tokens(request).unwrap_or(0);
        self.expected_first_event(now, &request.service, tokens)
    }

    /// The time to the first event of a prompt with this number of new tokens.
    pub(crate) fn expected_first_event(
        &self,
        now: MonoTime,
        service: &str,
        new_tokens: u32,
    ) -> Duration {
        let estimates = lock(&self.first_events);
        let expected = estimates.get(service).map(|e| e.estimate(now, new_tokens));
        let expected = expected.unwrap_or(FIXED_TIME_TO_FIRST_EVENT);
        expected.max(MIN_TIME_TO_FIRST_EVENT)
    }

    /// The paces of upstreams, each given by its ID and start.
    pub(crate) fn paces<'a>(
        &self,
        now: MonoTime,
        upstreams: impl Iterator<Item = (&'a str, UpstreamStart)>,
    ) -> Vec<Pace> {
        let table = lock(&self.table);
        upstreams
            .map(|(id, start)| table.pace(now, id, start))
            .collect()
    }

    /// Replaces the list of upstreams whose pace is tracked.
    pub(crate) fn set_upstreams(&self, router: &Router, table: &UpstreamTable) {
        let tracked = router.services().filter(|s| router.tracks_pace(&s.name));
        let listed = tracked.flat_map(|service| {
            let upstreams = table.upstreams(&service.name);
            upstreams.map(|u| ListedPaceUpstream {
                service: service.name.clone(),
                id: u.id,
                start: u.start,
            })
        });
        lock(&self.table).set_upstreams(listed);
        lock(&self.first_events).retain(|service, _| router.tracks_pace(service));
    }

    /// The zones of the shards that each instance owns, to which the pace of their upstreams is
    /// reported; empty while nothing is observed.
    pub(crate) fn zones_by_owner(
        &self,
        now: MonoTime,
        owners: &BTreeMap<Shard, SocketAddr>,
    ) -> BTreeMap<SocketAddr, Vec<Option<Name>>> {
        let mut zones: BTreeMap<SocketAddr, Vec<Option<Name>>> = BTreeMap::new();
        {
            let mut counts = lock(&self.counts);
            counts.expire(now);
            if counts.is_empty() {
                return zones;
            }
        }
        for (shard, owner) in owners {
            let owned = zones.entry(*owner).or_default();
            if !owned.contains(&shard.zone) {
                owned.push(shard.zone.clone());
            }
        }
        zones
    }

    /// Takes what was observed since the last report to an owner of shards in these zones.
    pub(crate) fn take_report(
        &self,
        now: MonoTime,
        owner: SocketAddr,
        zones: &[Option<Name>],
    ) -> Vec<UpstreamPace> {
        lock(&self.counts).take_report(now, owner, zones)
    }

    /// Merges what an instance reports.
    pub(crate) fn record(
        &self,
        now: MonoTime,
        from: Incarnation,
        reports: impl IntoIterator<Item = UpstreamPace>,
        metrics: &Metrics,
    ) {
        for observed in reports {
            let age = now.since(observed.observed_at);
            let (id, start) = (observed.upstream.clone(), observed.start);
            let (events, streaming, running) =
                (observed.events, observed.streaming, observed.running);
            let mut table = lock(&self.table);
            let outcome = table.record(now, from, observed);
            metrics.pace_report(outcome.as_str());
            if let PaceRecord::Changed { before, now: after } = outcome {
                let pace = table.pace(now, &id, start);
                drop(table);
                log::info!(
                    upstream = id.as_str(),
                    from:% = from,
                    before = before,
                    after = after,
                    pace = pace.events_ratio,
                    running = pace.running,
                    reported_events = events,
                    reported_ms = streaming.as_millis() as u64,
                    reported_running = running,
                    age_ms = age.as_millis() as u64;
                    "pace of an upstream changed"
                );
            }
        }
    }
}

/// The tokens of a request's prompt that no other request shares; none if it has no prompt.
fn new_tokens(request: &CallerRequest) -> Option<u32> {
    request.head.prompt.as_ref().map(Prompt::own_tokens)
}
