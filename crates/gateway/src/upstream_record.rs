//! One start of an upstream, as this instance knows it and as it is selected for a request.

use std::sync::Arc;
use std::sync::Mutex;

use compact_str::CompactString;
use jd_policy::Upstream;
use jd_serving::ColdStart;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

use crate::latch::Latch;
use crate::run_events::UpstreamRef;

/// An upstream that was selected for a request.
#[derive(Debug, Clone)]
pub(crate) struct SelectedUpstream {
    /// The ID of the upstream.
    pub(crate) id: CompactString,
    /// Identifies the start of the upstream process.
    pub(crate) start: UpstreamStart,
    /// The version of its software.
    pub(crate) software: SoftwareVersion,
    /// The load and health of the upstream, as seen by this instance.
    pub(crate) upstream: Arc<Upstream>,
    /// Set once the upstream is known to have restarted since.
    pub(crate) restarted: Arc<Latch>,
    /// Whether the upstream is cold, and what was sent to it since its start.
    pub(crate) cold: Arc<Mutex<ColdStart>>,
}

impl SelectedUpstream {
    /// A reference to this start, as an upstream of `service`.
    pub(crate) fn upstream_ref(&self, service: &CompactString) -> UpstreamRef {
        UpstreamRef {
            service: service.clone(),
            id: self.id.clone(),
            start: self.start,
            address: self.upstream.address,
        }
    }
}

/// One start of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRecord {
    pub(crate) start: UpstreamStart,
    pub(crate) software: SoftwareVersion,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) restarted: Arc<Latch>,
    /// True if the upstream is in an evacuated zone and therefore gets no new requests.
    pub(crate) evacuated: bool,
    /// True if the store records that the service has this version, or records no versions at all.
    pub(crate) is_recorded: bool,
    pub(crate) cold: Arc<Mutex<ColdStart>>,
}

impl UpstreamRecord {
    /// An upstream that was first seen at `since`; [`MonoTime::ZERO`] if it was listed before
    /// this instance started.
    pub(crate) fn new(entry: &UpstreamEntry, since: MonoTime) -> UpstreamRecord {
        let mut cold = ColdStart::default();
        if since != MonoTime::ZERO {
            cold.record_possible_start(since);
        }
        UpstreamRecord {
            start: entry.start,
            software: entry.software.clone(),
            cold: Arc::new(Mutex::new(cold)),
            upstream: Arc::new(Upstream::new(entry.address, entry.zone.clone(), since)),
            restarted: Arc::default(),
            evacuated: false,
            is_recorded: true,
        }
    }

    /// The record for the upstream of `entry`, if `entry` is of the same start. Another software
    /// version means another start, also where starts are not told.
    pub(crate) fn kept_for(&self, entry: &UpstreamEntry) -> Option<UpstreamRecord> {
        let again = entry.start.is_later_than(self.start);
        let same =
            !again && self.upstream.address == entry.address && self.software == entry.software;
        same.then(|| UpstreamRecord {
            start: self.start.later(entry.start),
            ..self.clone()
        })
    }
}
