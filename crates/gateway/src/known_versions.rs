//! What this instance knows of the software versions of services.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;

use compact_str::CompactString;
use jd_serving::KnownVersions;
use jd_serving::MIN_STREAM_SPAN;

use crate::state::State;

impl State {
    /// The software versions that upstreams of a service have, or had within this time.
    pub(crate) fn known_versions(&self, service: &str, within: Duration) -> KnownVersions {
        let cluster = self.cluster();
        cluster.known_versions(self.now(), SystemTime::now(), service, within)
    }

    /// The services of which more than one version is listed, or of which it is not known for long
    /// enough which versions they had.
    pub(crate) fn services_with_several_versions(&self) -> BTreeSet<CompactString> {
        let now = SystemTime::now();
        let cluster = self.cluster();
        let services = cluster.listed_versions.iter().map(|(service, _)| service);
        let several = services.filter(|service| {
            let known = cluster.known_versions(self.now(), now, service, MIN_STREAM_SPAN);
            !known.seems_single()
        });
        several.cloned().collect()
    }

    /// True once any upstreams are known.
    pub(crate) fn knows_upstreams(&self) -> bool {
        !self.cluster().listed_versions.is_empty()
    }

    /// The era of the store, as far as this instance has read it.
    pub(crate) fn store_era(&self) -> u64 {
        self.cluster().mirror.revision().era
    }
}
