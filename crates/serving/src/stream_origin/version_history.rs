//! What is known of the versions that a service had, from all sources.

use std::time::Duration;
use std::time::SystemTime;

use jd_types::MonoTime;

use super::KnownVersions;
use super::ServiceVersions;
use super::VersionRecord;

/// How long ago a stream may have begun that is taken up, at least. A request that takes one up tells
/// the time that its caller has left, not the time that it had, and the timeout of the route may have
/// been longer.
pub const MIN_STREAM_SPAN: Duration = Duration::from_secs(40);

/// The versions that an instance has seen, and those that the store records.
#[derive(Debug, Clone, Copy)]
pub struct VersionHistory<'a> {
    /// What the instance has seen since its start.
    pub seen: &'a ServiceVersions,
    /// The record of the store, if the instance has it.
    pub record: Option<&'a VersionRecord>,
    /// The era of the store.
    pub era: u64,
    /// When the latest proof was asked for that the instance has everything that the store had.
    pub proven_at: Option<MonoTime>,
    /// The current time.
    pub now: MonoTime,
    /// The current time by the clock that all instances share.
    pub wall_clock: SystemTime,
}

impl VersionHistory<'_> {
    /// The versions that upstreams of a service have, or had within this time, which is
    /// [`MIN_STREAM_SPAN`] at least.
    pub fn known(&self, service: &str, within: Duration) -> KnownVersions {
        let within = within.max(MIN_STREAM_SPAN);
        let mut known = KnownVersions::default();
        let seen = self.seen.lately(self.now, service, within);
        known.extend(seen.cloned());
        if let Some(record) = self.record {
            let recorded = record.lately(service, self.wall_clock, within);
            known.extend(recorded.cloned());
            let covers = record.covers(self.era, self.wall_clock, within);
            known.complete_until = self.proven_at.filter(|_| covers);
        }
        known
    }
}
