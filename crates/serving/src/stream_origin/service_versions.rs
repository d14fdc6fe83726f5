//! The software versions that upstreams of each service had lately.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use super::MAX_STREAM_AGE;
use super::SoftwareVersion;

/// Versions of one service that are remembered after their upstreams have gone. Two already say
/// that the version of an unknown stream cannot be told.
const MAX_GONE: usize = 8;

/// The software versions that upstreams of each service have or had lately.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    by_service: HashMap<CompactString, Vec<Version>>,
}

#[derive(Debug)]
struct Version {
    software: SoftwareVersion,
    /// When the last upstream of this version was found gone; none while there is one.
    gone_at: Option<MonoTime>,
}

impl ServiceVersions {
    /// Records the services and versions of all listed upstreams, including those that leave.
    pub fn record<'a>(
        &mut self,
        now: MonoTime,
        listed: impl Iterator<Item = (&'a CompactString, &'a SoftwareVersion)>,
    ) {
        let listed: HashSet<(&CompactString, &SoftwareVersion)> = listed.collect();
        for (service, versions) in &mut self.by_service {
            for version in versions.iter_mut() {
                let is_listed = listed.contains(&(service, &version.software));
                version.gone_at = match is_listed {
                    true => None,
                    false => version.gone_at.or(Some(now)),
                };
            }
            versions.retain(|v| v.was_listed(now, MAX_STREAM_AGE));
            let gone = versions.iter().filter(|v| v.gone_at.is_some()).count();
            let mut excess = gone.saturating_sub(MAX_GONE);
            versions.retain(|v| {
                let is_dropped = v.gone_at.is_some() && excess > 0;
                excess -= usize::from(is_dropped);
                !is_dropped
            });
        }
        for (service, software) in listed {
            let versions = self.by_service.entry(service.clone()).or_default();
            if !versions.iter().any(|v| v.software == *software) {
                versions.push(Version {
                    software: software.clone(),
                    gone_at: None,
                });
            }
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }

    /// The versions that upstreams of a service have, or had within this time; at most ten minutes.
    pub fn lately(
        &self,
        now: MonoTime,
        service: &str,
        within: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.by_service.get(service).into_iter().flatten();
        let counting = versions.filter(move |v| v.was_listed(now, within));
        counting.map(|v| &v.software)
    }
}

impl Version {
    fn was_listed(&self, now: MonoTime, within: Duration) -> bool {
        let within = within.min(MAX_STREAM_AGE);
        self.gone_at.is_none_or(|at| now.since(at) < within)
    }
}
