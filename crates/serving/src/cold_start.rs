//! How many requests an upstream gets that has just started.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

/// What the upstreams of a service bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long an upstream is cold after its start.
    pub duration: Duration,
    /// Requests a second that it bears meanwhile, from all instances together.
    pub per_s: f64,
}

/// Where an instance stands among all of them for one upstream: each instance has
/// another rank, and for each upstream it is another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// From 0 on.
    pub rank: u32,
    /// How many instances there are.
    pub fleet_size: u32,
}

impl FleetPosition {
    /// The part of the instances that stand before this one, from 0 on and below 1.
    pub(crate) fn part(self) -> f64 {
        f64::from(self.rank.min(self.fleet_size)) / f64::from(self.fleet_size.max(1))
    }
}

impl ColdSpec {
    /// Requests a second that one instance may send to a cold upstream. The parts of
    /// all instances together are what it bears; in a large fleet most have none.
    pub fn share(self, place: FleetPosition) -> usize {
        let whole = self.per_s.max(0.0) as u32;
        let of = place.fleet_size.max(1);
        let left_over = u32::from(place.rank < whole % of);
        (whole / of + left_over) as usize
    }
}

/// The time in which an instance sends no more than its part. Longer than a second by
/// what two requests may come closer together on their way.
const SHARE_WINDOW: Duration = Duration::from_millis(1_200);

/// What one instance knows of one upstream's coldness, and what it sent there.
///
/// Guards against an upstream that ends again because all instances send to it as
/// before as soon as it is back, which none of them can see: each alone sends little.
/// So each has a part of what the upstream bears, by its rank among all instances and
/// without asking anybody. Where nobody told that an upstream is warm after it was
/// away, it counts as cold.
#[derive(Debug, Default)]
pub struct ColdStart {
    cold_until: MonoTime,
    away_until: Option<MonoTime>,
    sent: VecDeque<MonoTime>,
}

impl ColdStart {
    /// Its entry says that it is cold until then.
    pub fn set_cold_until(&mut self, until: MonoTime) {
        self.cold_until = self.cold_until.max(until);
    }

    /// It may have started as late as at that moment, and nobody told.
    pub fn record_possible_start(&mut self, at: MonoTime) {
        self.away_until = self.away_until.max(Some(at));
    }

    /// True if it is cold or may be.
    pub fn is_cold(&self, now: MonoTime, spec: ColdSpec) -> bool {
        let doubted = |at: MonoTime| now < at + spec.duration;
        now < self.cold_until || self.away_until.is_some_and(doubted)
    }

    /// True if this instance, which stands at `place`, may send it a request now.
    pub fn may_send(&self, now: MonoTime, spec: ColdSpec, place: FleetPosition) -> bool {
        if !self.is_cold(now, spec) {
            return true;
        }
        let lately = |at: &&MonoTime| now.since(**at) < SHARE_WINDOW;
        let sent = self.sent.iter().filter(lately).count();
        sent < spec.share(place)
    }

    /// A request goes there.
    pub fn record_sent(&mut self, now: MonoTime, spec: ColdSpec) {
        self.sent.retain(|at| now.since(*at) < SHARE_WINDOW);
        if self.is_cold(now, spec) {
            self.sent.push_back(now);
        }
    }
}
