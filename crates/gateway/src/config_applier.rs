//! Puts configurations in force.

use std::sync::Arc;
use std::time::Duration;

use jd_serving::Deployment;
use jd_serving::Router;
use jd_serving::RouterChanges;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_types::MonoTime;

use crate::Change;
use crate::Record;
use crate::cluster_state::ActiveDeployment;
use crate::store_applier::StoreApplier;

impl StoreApplier {
    /// Replaces an older configuration among the items by the one in force here; adds it
    /// if it is missing and the items are `whole`.
    ///
    /// Keeps this instance from passing on an older version, which it read from a store
    /// that was restored from a copy.
    pub(crate) fn retain_newer_deployment(
        &self,
        mut items: Vec<StoreItem>,
        revision: StoreRevision,
        whole: bool,
    ) -> Vec<StoreItem> {
        let Some(known) = self.state.cluster().deployment.clone() else {
            return items;
        };
        let mut is_missing = whole;
        for item in items.iter_mut().filter(|i| i.key == known.item.key) {
            is_missing = false;
            let is_older = match self.store.decode(item) {
                Some(Change::Put(Record::Deployment(d))) => d.version < known.version,
                _ => item.removed,
            };
            if is_older {
                item.value = known.item.value.clone();
                item.removed = false;
            }
        }
        if is_missing {
            items.push(StoreItem {
                revision,
                ..known.item
            });
        }
        items
    }

    /// Puts a configuration in force if it is newer than the current one. A store that
    /// was restored from a copy may hold two different configurations with the same
    /// version one after the other; of these the one that was written later wins.
    pub(crate) fn apply_newer_deployment(
        &self,
        deployment: Deployment,
        item: &StoreItem,
        decode_time: Duration,
    ) {
        let began = self.state.now();
        let version = deployment.version;
        let mut cluster = self.state.cluster();
        let is_newer = match &cluster.deployment {
            None => true,
            Some(known) if version == known.version => {
                let later = item.revision > known.item.revision;
                later && item.value != known.item.value
            }
            Some(known) => version > known.version,
        };
        if !is_newer {
            return;
        }
        let item = item.clone();
        let bytes = item.value.len();
        cluster.deployment = Some(ActiveDeployment { version, item });
        cluster.newer_peer = None;
        let router = Arc::new(Router::new(deployment));
        let before = self.state.router.swap(Some(Arc::clone(&router)));
        drop(cluster);
        let built = self.state.now();
        self.state.rebuild_shards();
        let times = ApplyTimes {
            decode_time,
            began,
            built,
            rebuilt: self.state.now(),
        };
        log_in_force(before.as_deref(), &router, bytes, times);
    }
}

/// When the steps of putting a configuration in force ended.
#[derive(Debug, Clone, Copy)]
struct ApplyTimes {
    decode_time: Duration,
    began: MonoTime,
    /// When its routes could be looked up.
    built: MonoTime,
    /// When what is derived from it was rebuilt.
    rebuilt: MonoTime,
}

fn log_in_force(before: Option<&Router>, router: &Router, bytes: usize, times: ApplyTimes) {
    let changes = before.map_or_else(RouterChanges::default, |before| {
        RouterChanges::between(before, router)
    });
    log::info!(
        version = router.version,
        before:? = before.map(|r| r.version),
        bytes,
        decode_us = times.decode_time.as_micros() as u64,
        build_us = times.built.since(times.began).as_micros() as u64,
        rebuild_us = times.rebuilt.since(times.built).as_micros() as u64,
        routes = router.routes().count(),
        routes_added = changes.routes_added,
        routes_removed = changes.routes_removed,
        other_targets = changes.targets,
        other_timeouts = changes.timeouts,
        other_attempts = changes.attempts,
        other_services = changes.services,
        requests = changes.requests,
        requests_on_changed = changes.requests_on_changed;
        "configuration in force"
    );
}
