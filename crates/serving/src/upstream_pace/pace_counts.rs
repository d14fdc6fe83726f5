//! What an instance's own streams show of upstreams.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::UpstreamStart;
use crate::upstream_pace::StreamPace;
use crate::upstream_pace::UpstreamPace;
use crate::upstream_pace::counter_totals::CounterTotals;
use crate::upstream_pace::pace_counter::PaceCounter;
use crate::upstream_pace::peer_position::PeerPosition;
use crate::upstream_pace::peer_position::SentCounter;

/// Upstreams in one report. Those that were not sent for the longest time go first.
const MAX_REPORTED: usize = 64;
/// Upstreams that are counted at most; streams of others are not observed.
const MAX_COUNTERS: usize = 1_024;
/// How long a counter without streams is kept. Its figures at the owners have little weight then.
const COUNTER_LIFETIME: Duration = Duration::from_secs(10);
/// The longest period of a report. A peer that was sent nothing for longer has just become an owner
/// or was unreachable; it gets what is counted from now on.
const MAX_PERIOD: Duration = Duration::from_secs(2);

/// What an instance's own streams show of upstreams, and what of this each peer has been sent.
#[derive(Debug, Default)]
pub struct PaceCounts {
    counters: HashMap<CompactString, Arc<PaceCounter>>,
    peers: HashMap<SocketAddr, PeerPosition>,
    created: u64,
}

impl PaceCounts {
    /// Observes a stream that is sent to an upstream now. `new_tokens` are the tokens of its prompt
    /// that belong to the request alone; none if the time to the first event says nothing. Returns
    /// none if too many upstreams are counted.
    pub fn begin_stream(
        &mut self,
        now: MonoTime,
        id: &CompactString,
        start: UpstreamStart,
        zone: &Name,
        new_tokens: Option<u32>,
    ) -> Option<StreamPace> {
        let known = self.counters.get(id);
        let known = known.filter(|c| c.start == start && c.zone == *zone);
        let counter = match known {
            Some(counter) => Arc::clone(counter),
            // A new start replaces the counter of the earlier one.
            None if self.counters.len() >= MAX_COUNTERS && !self.counters.contains_key(id) => {
                return None;
            }
            None => {
                self.created += 1;
                let counter = PaceCounter::new(self.created, start, zone.clone());
                let counter = Arc::new(counter);
                self.counters.insert(id.clone(), Arc::clone(&counter));
                counter
            }
        };
        Some(StreamPace::new(counter, now, new_tokens))
    }

    /// True if no stream was observed recently.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Removes the counters of upstreams without recent streams, and what is known of peers that are
    /// no longer reported to.
    pub fn expire(&mut self, now: MonoTime) {
        let is_recent = |at: MonoTime| now.since(at) < COUNTER_LIFETIME;
        self.counters
            .retain(|_, c| c.running() > 0 || is_recent(c.used_at()));
        let numbers: HashSet<u64> = self.counters.values().map(|c| c.number).collect();
        self.peers.retain(|_, p| p.sent_at.is_some_and(is_recent));
        for peer in self.peers.values_mut() {
            peer.counters.retain(|number, _| numbers.contains(number));
        }
    }

    /// Takes what was observed since the last report to `peer` of upstreams in `zones`, where `None`
    /// is all zones. It counts as sent: what does not arrive is lost.
    pub fn take_report(
        &mut self,
        now: MonoTime,
        peer: SocketAddr,
        zones: &[Option<Name>],
    ) -> Vec<UpstreamPace> {
        let position = self.peers.entry(peer).or_default();
        let before = position.sent_at.replace(now);
        let is_new = before.is_none_or(|before| now.since(before) > MAX_PERIOD);
        let in_zones = |counter: &PaceCounter| {
            let mut zones = zones.iter();
            zones.any(|zone| zone.as_ref().is_none_or(|zone| *zone == counter.zone))
        };
        let mut changed = Vec::new();
        for (id, counter) in &self.counters {
            if !in_zones(counter) {
                continue;
            }
            let totals = counter.totals();
            let sent = position.counters.entry(counter.number).or_default();
            if is_new {
                sent.totals = totals;
            }
            let running = counter.running();
            if totals != sent.totals || running > 0 || sent.running > 0 {
                changed.push((sent.sent_at, id, counter, totals, running));
            }
        }
        if changed.len() > MAX_REPORTED {
            changed.sort_unstable_by_key(|(sent_at, id, ..)| (*sent_at, *id));
            changed.truncate(MAX_REPORTED);
        }
        let mut report = Vec::with_capacity(changed.len());
        for (_, id, counter, totals, running) in changed {
            let sent = SentCounter {
                sent_at: now,
                totals,
                running,
            };
            let earlier = position.counters.insert(counter.number, sent);
            let period = totals.since(earlier.unwrap_or_default().totals);
            report.push(observed(now, id, counter, period, running));
        }
        report
    }
}

fn observed(
    now: MonoTime,
    id: &CompactString,
    counter: &PaceCounter,
    period: CounterTotals,
    running: u32,
) -> UpstreamPace {
    let bounded = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
    UpstreamPace {
        upstream: id.clone(),
        start: counter.start,
        events: bounded(period.events),
        streaming: Duration::from_micros(period.streaming_us),
        prompts: bounded(period.prompts),
        prompt_tokens: bounded(period.prompt_tokens),
        reading: Duration::from_micros(period.reading_us),
        running,
        observed_at: now,
    }
}
