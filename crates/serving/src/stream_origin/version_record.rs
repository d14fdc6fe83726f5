//! The software versions of each service, as the store records them.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::SystemTime;

use compact_str::CompactString;

use super::MAX_STREAM_AGE;
use super::SoftwareVersion;

/// Versions of one service that are recorded after their upstreams have gone. Two already say that
/// the version of an unknown stream cannot be told.
const MAX_GONE: usize = 8;
/// How long a version may serve no new streams because it is not recorded. Instances that can write
/// the record take turns of a second.
const RECORD_PATIENCE: Duration = Duration::from_secs(3);
/// How far the clocks of two instances may differ, and jump.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(10);

/// A service and a software version of one of its upstreams.
pub type ListedVersion = (CompactString, SoftwareVersion);

/// A version of a service in a [`VersionRecord`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedVersion {
    /// The version.
    pub software: SoftwareVersion,
    /// When its last upstream was found gone, as wall-clock time; none while there is one.
    pub gone_at: Option<SystemTime>,
}

/// The software versions that the services have and had, over all instances.
///
/// An instance that has just started cannot know which versions there were before, and the
/// instances that did may all have ended. The store outlives them. Where there is no record that
/// covers the whole life of a stream, nothing is known of the versions that can have begun it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// The era of the store in which it was written. In later eras it says nothing of what was
    /// recorded after the copy from which the store was restored.
    pub era: u64,
    /// From when on no version is missing, as wall-clock time.
    pub complete_since: SystemTime,
    /// The versions by service.
    pub services: BTreeMap<CompactString, Vec<RecordedVersion>>,
}

impl VersionRecord {
    /// True if it has all versions that there have been in `era` within this time.
    pub fn covers(&self, era: u64, now: SystemTime, within: Duration) -> bool {
        let span = within.saturating_add(CLOCK_TOLERANCE);
        let covered = now.duration_since(self.complete_since);
        self.era == era && covered.is_ok_and(|covered| covered >= span)
    }

    /// True if upstreams of the service are recorded to have this version now.
    pub fn lists(&self, service: &str, software: &SoftwareVersion) -> bool {
        let versions = self.services.get(service).into_iter().flatten();
        let mut present = versions.filter(|v| v.gone_at.is_none());
        present.any(|v| v.software == *software)
    }

    /// The versions that upstreams of a service have, or had within this time.
    pub fn lately(
        &self,
        service: &str,
        now: SystemTime,
        within: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        let counting = versions.filter(move |v| v.was_listed(now, within));
        counting.map(|v| &v.software)
    }

    /// The record that has to be written, where the store has `known` and the upstreams have the
    /// versions in `listed`; none if nothing has changed. `nothing_ran_before` is true at the
    /// first start of the whole system, before which no stream can have begun.
    pub fn updated(
        known: Option<&VersionRecord>,
        listed: &HashSet<ListedVersion>,
        era: u64,
        now: SystemTime,
        nothing_ran_before: bool,
    ) -> Option<VersionRecord> {
        let complete_since = match known {
            Some(known) if known.era == era => known.complete_since,
            None if nothing_ran_before => SystemTime::UNIX_EPOCH,
            _ => now,
        };
        let mut services = known.map(|k| k.services.clone()).unwrap_or_default();
        for (service, versions) in &mut services {
            for version in versions.iter_mut() {
                let key = (service.clone(), version.software.clone());
                version.gone_at = match listed.contains(&key) {
                    true => None,
                    false => version.gone_at.or(Some(now)),
                };
            }
        }
        for (service, software) in listed {
            let versions = services.entry(service.clone()).or_default();
            if !versions.iter().any(|v| v.software == *software) {
                versions.push(RecordedVersion {
                    software: software.clone(),
                    gone_at: None,
                });
            }
        }
        let mut next = VersionRecord {
            era,
            complete_since,
            services,
        };
        if known == Some(&next) {
            return None;
        }
        next.forget_gone(now);
        Some(next)
    }

    /// Forgets the versions that have been gone for longer than any stream lasts, and the oldest of
    /// the others that are gone if there are many.
    fn forget_gone(&mut self, now: SystemTime) {
        for versions in self.services.values_mut() {
            versions.retain(|v| v.was_listed(now, MAX_STREAM_AGE));
            let mut gone: Vec<SystemTime> = versions.iter().filter_map(|v| v.gone_at).collect();
            gone.sort_unstable_by(|a, b| b.cmp(a));
            if let Some(oldest_kept) = gone.get(MAX_GONE - 1).copied() {
                versions.retain(|v| v.gone_at.is_none_or(|at| at >= oldest_kept));
            }
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}

/// True if a stream that callers may take up may begin at a version that this instance has known for
/// `known_for`.
///
/// After the loss of all instances the record alone tells which versions can have begun a stream. A
/// version that cannot be recorded, because the store is away, serves all the same after a while.
pub fn may_begin_stream(is_recorded: bool, known_for: Duration) -> bool {
    is_recorded || known_for >= RECORD_PATIENCE
}

impl RecordedVersion {
    fn was_listed(&self, now: SystemTime, within: Duration) -> bool {
        let within = within.min(MAX_STREAM_AGE) + CLOCK_TOLERANCE;
        self.gone_at.is_none_or(|at| match now.duration_since(at) {
            Ok(gone_for) => gone_for < within,
            Err(_) => true,
        })
    }
}
