//! Services whose upstreams are brittle, as far as this instance knows.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use http::HeaderMap;
use jd_net::lock;
use jd_serving::BrittleNotice;
use jd_serving::BrittleServices;
use jd_serving::InFlightShare;
use jd_serving::RejectionLimit;
use jd_types::MonoTime;
use jd_wire::BrittleService;

use crate::run_events::UpstreamRef;
use crate::signal::Signal;
use crate::state::State;

/// Services whose upstreams are brittle. Read for every request.
#[derive(Debug)]
pub(crate) struct Brittle {
    /// True while any service is. While none is, requests do not take the lock.
    any: AtomicBool,
    known: Mutex<BrittleServices>,
    /// The upstream whose notice was unreadable last, so that it is logged once.
    unreadable: Mutex<Option<CompactString>>,
    heartbeat_requested: Arc<Signal>,
}

impl Brittle {
    pub(crate) fn new(heartbeat_requested: Arc<Signal>) -> Brittle {
        Brittle {
            any: AtomicBool::new(false),
            known: Mutex::default(),
            unreadable: Mutex::default(),
            heartbeat_requested,
        }
    }

    /// The limit of a service; none if its upstreams are not brittle.
    pub(crate) fn limit(&self, now: MonoTime, service: &str) -> Option<RejectionLimit> {
        match self.any.load(Ordering::Relaxed) {
            true => lock(&self.known).limit(now, service),
            false => None,
        }
    }

    /// Records what an answer says, or that it says nothing.
    pub(crate) fn record_answer(&self, state: &State, upstream: &UpstreamRef, headers: &HeaderMap) {
        match state.dialect.rejection_limit(headers) {
            Ok(None) if !self.any.load(Ordering::Relaxed) => {}
            Ok(limit) => {
                let received_at = state.now();
                self.record(&upstream.service, BrittleNotice { limit, received_at });
            }
            Err(e) => {
                let mut last = lock(&self.unreadable);
                if last.as_ref() != Some(&upstream.id) {
                    log::warn!(upstream = upstream.id.as_str(), error:% = e; "notice of a brittle upstream cannot be read; ignored");
                    *last = Some(upstream.id.clone());
                }
            }
        }
    }

    fn record(&self, service: &str, notice: BrittleNotice) {
        let mut known = lock(&self.known);
        let changed = known.record(service, notice);
        self.any.store(!known.is_empty(), Ordering::Relaxed);
        drop(known);
        if changed {
            let per_s = notice.limit.map(RejectionLimit::per_s);
            log::info!(service, per_s:?; "rejections that the upstreams of a service withstand changed");
            self.heartbeat_requested.notify();
        }
    }

    /// Removes notices that no longer hold.
    pub(crate) fn expire(&self, now: MonoTime) {
        if self.any.load(Ordering::Relaxed) {
            let mut known = lock(&self.known);
            known.expire(now);
            self.any.store(!known.is_empty(), Ordering::Relaxed);
        }
    }

    /// The notices for a heartbeat.
    pub(crate) fn wire(&self, now: MonoTime) -> Vec<BrittleService> {
        if !self.any.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let known = lock(&self.known);
        let notices = known.announced(now);
        notices
            .map(|(service, notice)| BrittleService {
                service: service.into(),
                per_s: notice.limit.map(RejectionLimit::per_s),
                heard_ms_ago: now.since(notice.received_at).as_millis() as u32,
            })
            .collect()
    }

    /// Records the notices of another instance's heartbeat.
    pub(crate) fn apply(&self, now: MonoTime, notices: Vec<BrittleService>) {
        for notice in notices {
            let age = Duration::from_millis(u64::from(notice.heard_ms_ago));
            let limit = notice.per_s.map(RejectionLimit::from_per_s);
            let received_at = now.before(age);
            self.record(&notice.service, BrittleNotice { limit, received_at });
        }
    }
}

impl State {
    /// What this instance may have in progress at the upstreams of a service; none if these are not
    /// brittle.
    pub(crate) fn brittle_share(&self, service: &str) -> Option<InFlightShare> {
        self.brittle.limit(self.now(), service)?;
        let (slots, upstreams) = self.upstreams.load().capacity(service);
        Some(InFlightShare::new(slots, upstreams, self.instance_count()))
    }
}
