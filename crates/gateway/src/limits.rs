//! The limits that upstreams name, on the path of every answer.

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

/// Who told of a limit.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LimitSource {
    /// The upstream itself, in an answer.
    Answer,
    /// Another instance.
    Beat,
}

/// The limits that upstreams name, as this instance has heard.
#[derive(Debug)]
pub(crate) struct Limits {
    /// True once any upstream has named one: without, no request waits for the lock.
    any: AtomicBool,
    known: Mutex<UpstreamLimits>,
    /// The upstream whose limit could not be read last, so that it is logged once.
    unreadable: Mutex<Option<CompactString>>,
    /// Signals that others are to be told at once.
    to_tell: Arc<Signal>,
}

impl Limits {
    pub(crate) fn new(to_tell: Arc<Signal>) -> Limits {
        Limits {
            any: AtomicBool::new(false),
            known: Mutex::default(),
            unreadable: Mutex::default(),
            to_tell,
        }
    }

    /// Reads what an answer of an upstream says of its limit.
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
                let said = LimitNotice {
                    start: upstream.start,
                    limit,
                    received_at: now,
                };
                self.record(now, &upstream.id, said, LimitSource::Answer, metrics);
            }
            Err(e) => {
                let mut last = lock(&self.unreadable);
                if last.as_ref() != Some(&upstream.id) {
                    log::warn!(upstream = upstream.id.as_str(), error:% = e; "limit of an upstream cannot be read; what it named before counts");
                    *last = Some(upstream.id.clone());
                }
            }
        }
    }

    /// True if any upstream has named a limit.
    pub(crate) fn any(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }

    /// The limit that an upstream names.
    pub(crate) fn limit(&self, id: &str) -> Option<RequestRate> {
        self.notice(id)?.limit
    }

    /// What was last heard of an upstream's limit that counts.
    pub(crate) fn notice(&self, id: &str) -> Option<LimitNotice> {
        match self.any() {
            true => lock(&self.known).notice(id),
            false => None,
        }
    }

    /// What others are told.
    pub(crate) fn notices(&self, now: MonoTime) -> Vec<(CompactString, LimitNotice)> {
        if !self.any() {
            return Vec::new();
        }
        let known = lock(&self.known);
        let told = known.announced(now);
        told.map(|(id, notice)| (id.into(), notice)).collect()
    }

    /// Forgets the limits of upstreams that have started again or are gone.
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

    /// Takes in what an upstream said, and tells others of it if that is news.
    pub(crate) fn record(
        &self,
        now: MonoTime,
        id: &str,
        said: LimitNotice,
        source: LimitSource,
        metrics: &Metrics,
    ) {
        let mut known = lock(&self.known);
        let Some(change) = known.record(id, said) else {
            return;
        };
        self.any.store(true, Ordering::Relaxed);
        metrics.limited_upstreams(known.count());
        log::info!(
            upstream = id,
            per_s:? = change.now.map(|r| r.per_s()),
            before:? = change.before.map(|r| r.per_s()),
            heard_ms = now.since(said.received_at).as_millis() as u64,
            source:? = source;
            "limit of an upstream"
        );
        self.to_tell.notify();
    }
}
