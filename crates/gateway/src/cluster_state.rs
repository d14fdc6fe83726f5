//! What an instance has been told.

use std::collections::HashMap;
use std::time::Duration;

use jd_serving::EvacuatedZones;
use jd_serving::Freshness;
use jd_serving::InstanceDirectory;
use jd_serving::Shard;
use jd_serving::SourceHealth;
use jd_serving::StoreItem;
use jd_serving::StoreMirror;
use jd_serving::UpstreamDirectory;
use jd_types::Incarnation;
use jd_types::MonoTime;

/// How long it counts that an instance brought no news or had lost the store. Asked
/// sooner it would mostly be the same.
const SOURCE_STATE_LASTS: Duration = Duration::from_secs(3);

/// A deployment in force here.
#[derive(Debug, Clone)]
pub(crate) struct ActiveDeployment {
    pub(crate) version: u64,
    /// The record that it was read from.
    pub(crate) item: StoreItem,
}

/// What the store has told, as one value under one lock.
#[derive(Debug, Default)]
pub(crate) struct ClusterState {
    pub(crate) freshness: Freshness,
    pub(crate) upstreams: UpstreamDirectory,
    pub(crate) evacuated_zones: EvacuatedZones,
    pub(crate) instances: InstanceDirectory,
    /// What the operator has put in force, and the record that said so.
    pub(crate) deployment: Option<ActiveDeployment>,
    /// An instance that has a later version in force, and since when that is known.
    pub(crate) newer_peer: Option<(Incarnation, MonoTime)>,
    pub(crate) mirror: StoreMirror,
    /// Instances that brought no news or had lost the store, and when.
    source_health_by_peer: HashMap<Incarnation, (MonoTime, SourceHealth)>,
    /// When the store's list of instances was first read.
    pub(crate) instances_listed_at: Option<MonoTime>,
    /// Earlier starts of this instance whose entries the store still has.
    pub(crate) previous_incarnations: Vec<Incarnation>,
    /// What owners last said of their shards, and when.
    pub(crate) backlogs: HashMap<Shard, (MonoTime, Duration)>,
}

impl ClusterState {
    /// What an instance was lately like as a source of news.
    pub(crate) fn source_health(&self, now: MonoTime, id: Incarnation) -> SourceHealth {
        match self.source_health_by_peer.get(&id) {
            Some((since, state)) if now.since(*since) < SOURCE_STATE_LASTS => *state,
            _ => SourceHealth::Available,
        }
    }

    /// An instance was like this as a source of news.
    pub(crate) fn record_source_health(
        &mut self,
        now: MonoTime,
        id: Incarnation,
        state: SourceHealth,
    ) {
        match state {
            SourceHealth::Available => self.source_health_by_peer.remove(&id),
            _ => self.source_health_by_peer.insert(id, (now, state)),
        };
    }

    /// The version of the configuration in force here; 0 if there is none.
    pub(crate) fn deployment_version(&self) -> u64 {
        self.deployment.as_ref().map_or(0, |d| d.version)
    }

    /// An instance told which version is in force there.
    pub(crate) fn record_version(&mut self, now: MonoTime, id: Incarnation, version: u64) {
        let own = self.deployment_version();
        match self.newer_peer {
            None if version > own => self.newer_peer = Some((id, now)),
            Some((ahead, _)) if ahead == id && version <= own => self.newer_peer = None,
            _ => {}
        }
    }

    /// Forgets what sources were like longer ago than counts.
    pub(crate) fn expire_source_health(&mut self, now: MonoTime) {
        self.source_health_by_peer
            .retain(|_, (since, _)| now.since(*since) < SOURCE_STATE_LASTS);
    }
}
