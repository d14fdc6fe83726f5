//! What this instance knows from the store and from other instances.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::SystemTime;

use compact_str::CompactString;
use jd_serving::EvacuatedZones;
use jd_serving::Freshness;
use jd_serving::InstanceDirectory;
use jd_serving::KnownVersions;
use jd_serving::ListedVersion;
use jd_serving::ServiceVersions;
use jd_serving::Shard;
use jd_serving::SoftwareVersion;
use jd_serving::SourceHealth;
use jd_serving::StoreItem;
use jd_serving::StoreMirror;
use jd_serving::StoreRevision;
use jd_serving::UpstreamDirectory;
use jd_serving::VersionHistory;
use jd_serving::VersionRecord;
use jd_types::Incarnation;
use jd_types::MonoTime;

/// How long an instance counts as unfit to be an update source after it sent no updates or had
/// lost the store. A retry before that would mostly have the same result.
const SOURCE_HEALTH_LIFETIME: Duration = Duration::from_secs(3);

/// The deployment that is in force on this instance.
#[derive(Debug, Clone)]
pub(crate) struct ActiveDeployment {
    pub(crate) version: u64,
    /// The store item that it was read from.
    pub(crate) item: StoreItem,
}

/// What this instance knows from the store and from other instances, under one lock.
#[derive(Debug, Default)]
pub(crate) struct ClusterState {
    pub(crate) freshness: Freshness,
    pub(crate) upstreams: UpstreamDirectory,
    /// The software versions that upstreams of each service had lately.
    pub(crate) versions: ServiceVersions,
    /// The versions that upstreams of each service have now.
    pub(crate) listed_versions: HashSet<ListedVersion>,
    /// The versions that the store records, and the revision at which they were written; no
    /// revision if the store has lost the record.
    pub(crate) version_record: Option<VersionRecord>,
    pub(crate) version_record_written: Option<StoreRevision>,
    pub(crate) evacuated_zones: EvacuatedZones,
    pub(crate) instances: InstanceDirectory,
    /// The deployment in force; none before the first one was read.
    pub(crate) deployment: Option<ActiveDeployment>,
    /// An instance that has a later deployment version in force, and when that was noticed.
    pub(crate) newer_peer: Option<(Incarnation, MonoTime)>,
    pub(crate) mirror: StoreMirror,
    /// Instances that sent no updates or had lost the store, and when.
    source_health_by_peer: HashMap<Incarnation, (MonoTime, SourceHealth)>,
    /// When the list of instances in the store was first read.
    pub(crate) instances_listed_at: Option<MonoTime>,
    /// Earlier incarnations of this instance whose entries are still in the store.
    pub(crate) previous_incarnations: Vec<Incarnation>,
    /// True if the store had an entry of an earlier incarnation of this instance.
    pub(crate) has_run_before: bool,
    /// The backlogs of shards that their owners last reported, and when.
    pub(crate) backlogs: HashMap<Shard, (MonoTime, Duration)>,
}

impl ClusterState {
    /// The recent health of an instance as an update source.
    pub(crate) fn source_health(&self, now: MonoTime, id: Incarnation) -> SourceHealth {
        match self.source_health_by_peer.get(&id) {
            Some((since, health)) if now.since(*since) < SOURCE_HEALTH_LIFETIME => *health,
            _ => SourceHealth::Available,
        }
    }

    /// Records the health of an instance as an update source.
    pub(crate) fn record_source_health(
        &mut self,
        now: MonoTime,
        id: Incarnation,
        health: SourceHealth,
    ) {
        match health {
            SourceHealth::Available => self.source_health_by_peer.remove(&id),
            _ => self.source_health_by_peer.insert(id, (now, health)),
        };
    }

    /// Records the software versions of the upstreams that are listed now.
    pub(crate) fn record_versions(&mut self, now: MonoTime) {
        let entries = self.upstreams.entries();
        let listed = entries.map(|l| (&l.entry.service, &l.entry.software));
        let listed: HashSet<(&CompactString, &SoftwareVersion)> = listed.collect();
        self.versions.record(now, listed.iter().copied());
        let listed = listed.into_iter().map(|(s, v)| (s.clone(), v.clone()));
        self.listed_versions = listed.collect();
    }

    /// True if the store records this version of the service, or has no valid record of versions.
    pub(crate) fn records_version(&self, service: &str, software: &SoftwareVersion) -> bool {
        let era = self.mirror.revision().era;
        let valid = self.version_record.as_ref().filter(|r| r.era == era);
        valid.is_none_or(|r| r.lists(service, software))
    }

    /// The software versions that upstreams of a service have, or had within this time, as far as
    /// this instance has seen and as the store records them.
    pub(crate) fn known_versions(
        &self,
        now: MonoTime,
        wall_clock: SystemTime,
        service: &str,
        within: Duration,
    ) -> KnownVersions {
        let history = VersionHistory {
            seen: &self.versions,
            record: self.version_record.as_ref(),
            era: self.mirror.revision().era,
            proven_at: self.freshness.proof().map(|proof| proof.asked_at),
            now,
            wall_clock,
        };
        history.known(service, within)
    }

    /// The version of the configuration in force here; 0 if there is none.
    pub(crate) fn deployment_version(&self) -> u64 {
        self.deployment.as_ref().map_or(0, |d| d.version)
    }

    /// Records the deployment version that is in force on another instance.
    pub(crate) fn record_version(&mut self, now: MonoTime, id: Incarnation, version: u64) {
        let own = self.deployment_version();
        match self.newer_peer {
            None if version > own => self.newer_peer = Some((id, now)),
            Some((newer, _)) if newer == id && version <= own => self.newer_peer = None,
            _ => {}
        }
    }

    /// Removes health records that have expired.
    pub(crate) fn expire_source_health(&mut self, now: MonoTime) {
        self.source_health_by_peer
            .retain(|_, (since, _)| now.since(*since) < SOURCE_HEALTH_LIFETIME);
    }
}
