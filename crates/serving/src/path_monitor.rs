//! Detects that an instance has lost its network path to the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use jd_types::MonoTime;

/// Distinct upstreams to which no connection could be opened before the path is checked, if there
/// are as many.
const MIN_FAILED: usize = 2;
/// Failures that are older count no more. Covers two attempts of one request.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// Failed upstreams that are remembered.
const MAX_FAILED: usize = 16;
/// The interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two checks because of silence, which under high load is frequent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether an instance has a network path to upstreams.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPath {
    /// Not known: the instance has not said so, or runs a version that does not say so.
    #[default]
    Unknown,
    /// No sign of a lost path.
    Open,
    /// No upstream can be connected to.
    Lost,
}

/// The result of connecting to several upstreams at once.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PathCheck {
    /// Upstreams that accepted the connection.
    pub opened: usize,
    /// Upstreams to which no connection could be opened.
    pub failed: usize,
}

/// Detects that an instance has lost its network path to the upstreams, and that it is back.
///
/// Only connections that are opened count. Answers on connections that are open already prove
/// nothing, because these may outlive a path on which no new ones can be opened; and silence proves
/// nothing, because upstreams pause. Failed connections to several upstreams, or a long silence of
/// one, cause a check, which connects to several at once and decides.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// The upstreams that failed since the last connection was opened, and when.
    failed: Vec<(SocketAddr, MonoTime)>,
    last_check: Option<MonoTime>,
    lost_since: Option<MonoTime>,
}

impl PathMonitor {
    /// Records that no connection to an upstream could be opened.
    pub fn record_failed(&mut self, now: MonoTime, upstream: SocketAddr) {
        self.failed
            .retain(|(address, at)| *address != upstream && now.since(*at) < FAILURE_LIFETIME);
        if self.failed.len() < MAX_FAILED {
            self.failed.push((upstream, now));
        }
    }

    /// Records that a connection to an upstream was opened. Returns for how long the path was
    /// lost, if this ends the loss.
    pub fn record_opened(&mut self, now: MonoTime) -> Option<Duration> {
        self.failed.clear();
        self.lost_since.take().map(|since| now.since(since))
    }

    /// True if the path is to be checked now, in a fleet with this many upstreams. Counts as the
    /// beginning of the check.
    pub fn begin_check(&mut self, now: MonoTime, upstreams: usize) -> bool {
        self.failed
            .retain(|(_, at)| now.since(*at) < FAILURE_LIFETIME);
        let failed = self.failed.len();
        let is_suspected = failed > 0 && failed >= MIN_FAILED.min(upstreams);
        let is_due = self
            .last_check
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        let begins = is_due && (self.is_lost() || is_suspected);
        if begins {
            self.last_check = Some(now);
        }
        begins
    }

    /// True if the path is to be checked now because an upstream is silent. Counts as the beginning
    /// of the check.
    pub fn begin_silence_check(&mut self, now: MonoTime) -> bool {
        let is_due = self
            .last_check
            .is_none_or(|at| now.since(at) >= SILENCE_CHECK_INTERVAL);
        if is_due {
            self.last_check = Some(now);
        }
        is_due
    }

    /// Records the result of a check that found no open connection; returns true if the path is
    /// lost from now on. A check without any connection decides nothing.
    pub fn record_check(&mut self, now: MonoTime, check: PathCheck) -> bool {
        let is_loss = check.opened == 0 && check.failed > 0;
        if is_loss && self.lost_since.is_none() {
            self.lost_since = Some(now);
            return true;
        }
        false
    }

    /// True while the path is lost, or connections failed since the last one was opened.
    pub fn is_suspected(&self) -> bool {
        self.is_lost() || !self.failed.is_empty()
    }

    /// True while no upstream can be connected to.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// The upstreams that failed since the last connection was opened.
    pub fn failed(&self) -> impl Iterator<Item = SocketAddr> {
        self.failed.iter().map(|(address, _)| *address)
    }
}
