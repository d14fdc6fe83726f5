//! Rebuilds what is derived from the configuration and from the entries of upstreams.

use std::sync::Arc;

use jd_serving::ShardMap;
use jd_serving::UpstreamEntry;

use crate::state::State;

impl State {
    /// Rebuilds the table of upstreams after their entries changed.
    pub(crate) fn rebuild_upstreams(&self) {
        let now = self.now();
        let zone = &self.settings.zone;
        let mut cluster = self.cluster();
        cluster.record_versions(now);
        let entries = cluster.upstreams.entries();
        let before = self.upstreams.load_full();
        let is_recorded = |e: &UpstreamEntry| cluster.records_version(&e.service, &e.software);
        let next = before.rebuilt(now, entries, &cluster.evacuated_zones, zone, is_recorded);
        let replaced = next.replaced_since(&before);
        let start_of = |id: &str| next.start_of(id);
        self.limits.forget_gone(now, start_of, &self.metrics);
        self.upstreams.store(Arc::new(next));
        drop(cluster);
        self.versions_changed.notify();
        for address in replaced.addresses {
            self.upstream_client.close_idle(address);
        }
        for suspected in replaced.restarts {
            self.restart_checks.add(suspected);
        }
        self.rebuild_shards();
    }

    /// Rebuilds what is derived from upstreams and services, after either changed: the division
    /// of stage upstreams into shards, and the list of upstreams whose pace is tracked.
    pub(crate) fn rebuild_shards(&self) {
        let router = self.router.load();
        let Some(router) = router.as_ref() else {
            return;
        };
        let table = self.upstreams.load();
        self.paces.set_upstreams(router, &table);
        self.run_times.retain(router);
        let batched = router.services().filter(|s| s.batch.is_some());
        let upstreams = batched.flat_map(|s| {
            let upstreams = table.zones(&s.name);
            upstreams.map(|zone| (s.name.as_str(), zone))
        });
        self.shards.store(Arc::new(ShardMap::new(upstreams)));
    }
}
