//! Limits the requests to an upstream that has just started.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

/// The capacity of a service's upstreams while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long an upstream is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold upstream can handle, from all instances together.
    pub per_s: f64,
}

/// The position of an instance in the fleet with respect to one upstream. For each upstream,
/// every instance has a different rank, and ranks differ from upstream to upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Counted from 0.
    pub rank: u32,
    /// Number of instances.
    pub fleet_size: u32,
}

impl FleetPosition {
    /// The fraction of the instances with a lower rank, from 0 to below 1.
    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.rank.min(self.fleet_size)) / f64::from(self.fleet_size.max(1))
    }
}

impl ColdSpec {
    /// Requests a second that one instance may send to a cold upstream. The shares of all
    /// instances add up to its capacity; in a large fleet most instances have none.
    pub fn share(self, position: FleetPosition) -> usize {
        let whole = self.per_s.max(0.0) as u32;
        let of = position.fleet_size.max(1);
        let left_over = u32::from(position.rank < whole % of);
        (whole / of + left_over) as usize
    }
}

/// The window in which an instance sends at most its share. It exceeds a second by the time by
/// which two requests may arrive closer together than they were sent.
const SHARE_WINDOW: Duration = Duration::from_millis(1_200);

/// The cold period of one upstream as one instance knows it, and the requests sent there since.
///
/// Guards against an upstream that crashes again because all instances send to it as before as
/// soon as it is back. No instance can see this, as each sends only a little. Each instance
/// therefore has a share of the upstream's capacity, by its rank in the fleet and without
/// coordination. An upstream that was unavailable counts as cold unless it is known to be warm.
#[derive(Debug, Default)]
pub struct ColdStart {
    cold_until: MonoTime,
    possible_start: Option<MonoTime>,
    /// The same, concluded from a connection that could not be opened.
    unreachable_start: Option<MonoTime>,
    sent: VecDeque<MonoTime>,
}

impl ColdStart {
    /// Records that its entry marks it as cold until this time.
    pub fn set_cold_until(&mut self, until: MonoTime) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that the upstream may have started as late as `at`, since no entry tells when it
    /// did.
    pub fn record_possible_start(&mut self, at: MonoTime) {
        self.possible_start = self.possible_start.max(Some(at));
    }

    /// Records that no connection to the upstream could be opened, so that it may start until `at`.
    pub fn record_unreachable(&mut self, at: MonoTime) {
        self.unreachable_start = self.unreachable_start.max(Some(at));
    }

    /// Takes back what was concluded from connections that could not be opened, because this
    /// instance had no path to the upstreams.
    pub fn forget_unreachable(&mut self) {
        self.unreachable_start = None;
    }

    /// True if the upstream is cold or may be.
    pub fn is_cold(&self, now: MonoTime, spec: ColdSpec) -> bool {
        let may_be_cold = |at: MonoTime| now < at + spec.duration;
        now < self.cold_until
            || self.possible_start.is_some_and(may_be_cold)
            || self.unreachable_start.is_some_and(may_be_cold)
    }

    /// True if this instance may send a request to the upstream now.
    pub fn may_send(&self, now: MonoTime, spec: ColdSpec, position: FleetPosition) -> bool {
        if !self.is_cold(now, spec) {
            return true;
        }
        let is_recent = |at: &&MonoTime| now.since(**at) < SHARE_WINDOW;
        let sent = self.sent.iter().filter(is_recent).count();
        sent < spec.share(position)
    }

    /// Records that a request is sent to the upstream.
    pub fn record_sent(&mut self, now: MonoTime, spec: ColdSpec) {
        self.sent.retain(|at| now.since(*at) < SHARE_WINDOW);
        if self.is_cold(now, spec) {
            self.sent.push_back(now);
        }
    }
}
