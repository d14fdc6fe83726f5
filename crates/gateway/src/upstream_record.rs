//! One start of an upstream, as this instance knows it and as it is selected for a request.

use std::sync::Arc;
use std::sync::Mutex;

use compact_str::CompactString;
use jd_net::lock;
use jd_policy::Upstream;
use jd_serving::ColdStart;
use jd_serving::EntryChange;
use jd_serving::KnownProcess;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamEntry;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use jd_types::UpstreamId;

use crate::latch::Latch;
use crate::restart_checks::SuspectedRestart;
use crate::run_events::UpstreamRef;

/// An upstream that was selected for a request.
#[derive(Debug, Clone)]
pub(crate) struct SelectedUpstream {
    /// The ID of the upstream.
    pub(crate) id: UpstreamId,
    /// Identifies the start of the upstream process.
    pub(crate) start: UpstreamStart,
    /// The version of its software.
    pub(crate) software: SoftwareVersion,
    /// The load and health of the upstream, as seen by this instance.
    pub(crate) upstream: Arc<Upstream>,
    /// Set once the upstream is known to have restarted since.
    pub(crate) restarted: Arc<Latch>,
    /// Set once an entry tells another software version of it.
    pub(crate) redescribed: Arc<Latch>,
    /// Whether the upstream is cold, and what was sent to it since its start.
    pub(crate) cold: Arc<Mutex<ColdStart>>,
}

impl SelectedUpstream {
    /// A reference to this start, as an upstream of `service`.
    pub(crate) fn upstream_ref(&self, service: &CompactString) -> UpstreamRef {
        UpstreamRef {
            service: service.clone(),
            id: self.id.clone().into(),
            start: self.start,
            address: self.upstream.address,
        }
    }
}

/// One start of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRecord {
    pub(crate) start: UpstreamStart,
    pub(crate) service: CompactString,
    pub(crate) software: SoftwareVersion,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) restarted: Arc<Latch>,
    /// Set once an entry tells another software version of this start.
    pub(crate) redescribed: Arc<Latch>,
    /// True if the upstream is in an evacuated zone and therefore gets no new requests.
    pub(crate) evacuated: bool,
    /// Since when this instance has known that the store does not record that the service has this
    /// version; none if it does, or records no versions at all.
    pub(crate) unrecorded_since: Option<MonoTime>,
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
            service: entry.service.clone(),
            software: entry.software.clone(),
            cold: Arc::new(Mutex::new(cold)),
            upstream: Arc::new(Upstream::new(entry.address, entry.zone.clone(), since)),
            restarted: Arc::default(),
            redescribed: Arc::default(),
            evacuated: false,
            unrecorded_since: None,
        }
    }

    /// The record for the upstream of `entry`, unless `entry` tells a later start. A process whose
    /// address or software version is told differently keeps its requests.
    pub(crate) fn kept_for(&self, entry: &UpstreamEntry, now: MonoTime) -> Option<UpstreamRecord> {
        let known = KnownProcess {
            start: self.start,
            address: self.upstream.address,
            software: &self.software,
        };
        match EntryChange::of(known, entry) {
            EntryChange::LaterStart => return None,
            EntryChange::Described {
                is_same_start: false,
            } => lock(&self.cold).record_possible_start(now),
            EntryChange::Described {
                is_same_start: true,
            }
            | EntryChange::Same => {}
        }
        let upstream = match self.upstream.address == entry.address {
            true => Arc::clone(&self.upstream),
            false => Arc::new(Upstream::new(entry.address, entry.zone.clone(), now)),
        };
        let redescribed = match self.software == entry.software {
            true => Arc::clone(&self.redescribed),
            false => {
                // Requests that were sent before cannot tell which version answers them.
                self.redescribed.set();
                Arc::default()
            }
        };
        Some(UpstreamRecord {
            start: self.start.later(entry.start),
            service: entry.service.clone(),
            software: entry.software.clone(),
            upstream,
            redescribed,
            ..self.clone()
        })
    }

    /// Logs how the description of a process changed between two tables.
    pub(crate) fn log_rewritten(&self, id: &str, before: &UpstreamRecord) {
        let (address, software) = (before.upstream.address, &before.software);
        if self.upstream.address == address && self.software == *software {
            return;
        }
        log::info!(
            upstream = id,
            address:% = address,
            address_now:% = self.upstream.address,
            start:? = self.start.millis(),
            software = software.as_str(),
            software_now = self.software.as_str(),
            requests = before.upstream.in_flight();
            "entry describes an upstream differently; its answers go on"
        );
    }

    /// The restart of an upstream that this record tells of an earlier one.
    pub(crate) fn suspected_restart(
        &self,
        id: &CompactString,
        before: &UpstreamRecord,
    ) -> SuspectedRestart {
        SuspectedRestart {
            before: UpstreamRef {
                service: before.service.clone(),
                id: id.clone(),
                start: before.start,
                address: before.upstream.address,
            },
            software_before: before.software.clone(),
            upstream: Arc::clone(&before.upstream),
            restarted: Arc::clone(&before.restarted),
            start: self.start,
            address: self.upstream.address,
            software: self.software.clone(),
        }
    }
}
