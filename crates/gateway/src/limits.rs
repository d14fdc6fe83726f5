//! Rate limits that upstreams set, read from each of their answers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use http::HeaderMap;
use jd_net::lock;
use jd_serving::LimitNotice;
use jd_serving::RequestRate;
use jd_serving::UpstreamLimits;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

use crate::Dialect;
use crate::metrics::Metrics;
use crate::run_events::UpstreamRef;
use crate::signal::Signal;

/// Where a limit came from.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LimitSource {
    /// The upstream itself, in an answer.
    Answer,
    /// Another instance's heartbeat or permit message.
    Beat,
}

/// Rate limits that upstreams set, as far as this instance knows.
#[derive(Debug)]
pub(crate) struct Limits {
    /// True while any upstream has a limit; without one, no request waits for the lock.
    any: AtomicBool,
    known: Mutex<UpstreamLimits>,
    /// The last upstream whose limit could not be parsed, so that it is logged once.
    unreadable: Mutex<Option<CompactString>>,
    /// Makes the next heartbeats go out at once.
    heartbeat_requested: Arc<Signal>,
}

impl Limits {
    pub(crate) fn new(heartbeat_requested: Arc<Signal>) -> Limits {
        Limits {
            any: AtomicBool::new(false),
            known: Mutex::default(),
            unreadable: Mutex::default(),
            heartbeat_requested,
        }
    }

    /// Records the limit that an upstream's answer states, or that it states none.
    pub(crate) fn record_answer(
        &self,
        now: MonoTime,
        upstream: &UpstreamRef,
        dialect: &dyn Dialect,
        headers: &HeaderMap,
        metrics: &Metrics,
    ) {
        match dialect.rate_limit(headers) {
            Ok(None) if !self.any() => {}
            Ok(limit) => {
                let notice = LimitNotice {
                    start: upstream.start,
                    limit,
                    received_at: now,
                };
                self.record(now, &upstream.id, notice, LimitSource::Answer, metrics);
            }
            Err(e) => {
                let mut last = lock(&self.unreadable);
                if last.as_ref() != Some(&upstream.id) {
                    log::warn!(upstream = upstream.id.as_str(), error:% = e; "limit of an upstream cannot be parsed; its previous limit stays in force");
                    *last = Some(upstream.id.clone());
                }
            }
        }
    }

    /// True while any upstream has a limit.
    pub(crate) fn any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// The limit of an upstream.
    pub(crate) fn limit(&self, id: &str) -> Option<RequestRate> {
        self.notice(id)?.limit
    }

    /// The notice on an upstream's limit that is in force.
    pub(crate) fn notice(&self, id: &str) -> Option<LimitNotice> {
        match self.any() {
            true => lock(&self.known).notice(id),
            false => None,
        }
    }

    /// The notices to pass on to other instances.
    pub(crate) fn notices(&self, now: MonoTime) -> Vec<(CompactString, LimitNotice)> {
        if !self.any() {
            return Vec::new();
        }
        let known = lock(&self.known);
        let notices = known.announced(now);
        notices.map(|(id, notice)| (id.into(), notice)).collect()
    }

    /// Removes the limits of upstreams that have restarted or are gone.
    pub(crate) fn forget_gone(
        &self,
        now: MonoTime,
        start_of: impl Fn(&str) -> Option<UpstreamStart>,
        metrics: &Metrics,
    ) {
        if self.any() {
            let mut known = lock(&self.known);
            known.remove_gone(now, start_of);
            metrics.limited_upstreams(known.count());
            self.any.store(!known.is_empty(), Ordering::Relaxed);
        }
    }

    /// Records a notice, and has it passed on to other instances if it changes anything.
    pub(crate) fn record(
        &self,
        now: MonoTime,
        id: &str,
        notice: LimitNotice,
        source: LimitSource,
        metrics: &Metrics,
    ) {
        let mut known = lock(&self.known);
        let Some(change) = known.record(id, notice) else {
            return;
        };
        self.any.store(true, Ordering::Relaxed);
        metrics.limited_upstreams(known.count());
        log::info!(
            upstream = id,
            per_s:? = change.now.map(|r| r.per_s()),
            before:? = change.before.map(|r| r.per_s()),
            heard_ms = now.since(notice.received_at).as_millis() as u64,
            source:? = source;
            "limit of an upstream changed"
        );
        self.heartbeat_requested.notify();
    }
}
