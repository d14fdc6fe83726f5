//! What upstreams say in their answers of what may be sent to them next.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use http::StatusCode;
use jd_net::HttpResponse;
use jd_net::lock;
use jd_serving::Backoffs;
use jd_serving::FleetPosition;
use jd_serving::RetryAfter;
use jd_serving::RetryAfterError;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

use crate::run_events::UpstreamRef;
use crate::state::State;

/// Which upstreams want nothing from this instance for a while, on the path of every
/// request.
#[derive(Debug, Default)]
pub(crate) struct UpstreamBackoffs {
    /// True while any of them does: without, no request waits for the lock.
    any: AtomicBool,
    backoffs: Mutex<Backoffs>,
    /// The upstream whose wait could not be read last, so that it is logged once.
    unreadable: Mutex<Option<CompactString>>,
}

impl UpstreamBackoffs {
    /// How much longer an upstream wants nothing; none if it takes requests.
    pub(crate) fn backoff(
        &self,
        now: MonoTime,
        address: SocketAddr,
        id: &str,
        start: UpstreamStart,
    ) -> Option<Duration> {
        match self.any.load(Ordering::Relaxed) {
            true => lock(&self.backoffs).remaining(now, address, id, start),
            false => None,
        }
    }

    /// Forgets upstreams that take requests again.
    pub(crate) fn expire(&self, now: MonoTime) {
        if self.any.load(Ordering::Relaxed) {
            let mut backoffs = lock(&self.backoffs);
            backoffs.expire(now);
            self.any.store(!backoffs.is_empty(), Ordering::Relaxed);
        }
    }

    fn note_unreadable(&self, upstream: &UpstreamRef, e: &RetryAfterError) {
        let id = &upstream.id;
        let mut last = lock(&self.unreadable);
        if last.as_ref() != Some(id) {
            log::warn!(upstream = id.as_str(), error:% = e; "wait that an upstream asks for cannot be read; it counts as none");
            *last = Some(id.clone());
        }
    }

    fn back_off(
        &self,
        now: MonoTime,
        upstream: &UpstreamRef,
        wait: RetryAfter,
        place: FleetPosition,
    ) -> bool {
        let UpstreamRef {
            id, start, address, ..
        } = upstream;
        let mut backoffs = lock(&self.backoffs);
        let longer = backoffs.record(now, *address, id, *start, wait, place);
        self.any.store(true, Ordering::Relaxed);
        longer
    }
}

/// Reads what an answer of an upstream says of what may be sent to it next.
pub(crate) fn apply_response_notices(
    state: &State,
    upstream: &UpstreamRef,
    response: &HttpResponse,
) {
    let (now, dialect) = (state.now(), state.dialect.as_ref());
    let HttpResponse {
        status, headers, ..
    } = response;
    if *status == StatusCode::MISDIRECTED_REQUEST {
        // What else it says is not of the one that was asked.
        return note_misdirected(state, upstream);
    }
    state
        .limits
        .record_answer(now, upstream, dialect, headers, &state.metrics);
    if dialect.announces_leaving(headers) && !upstream.id.is_empty() {
        note_leaving(state, upstream);
    }
    match dialect.retry_after(*status, headers) {
        Ok(None) => {}
        Ok(Some(wait)) => note_backoff(state, upstream, wait),
        Err(e) => state.backoffs.note_unreadable(upstream, &e),
    }
}

fn note_leaving(state: &State, upstream: &UpstreamRef) {
    let (now, id) = (state.now(), upstream.id.as_str());
    let mut cluster = state.cluster();
    let news = cluster.upstreams.mark_leaving(now, id, upstream.start);
    drop(cluster);
    if !news {
        return;
    }
    state.rebuild_upstreams();
    state.metrics.notice("leaving");
    log::info!(upstream = id, address:% = upstream.address; "upstream says in an answer that it leaves");
}

fn note_misdirected(state: &State, upstream: &UpstreamRef) {
    let UpstreamRef {
        id, start, address, ..
    } = upstream;
    let now = state.now();
    let mut cluster = state.cluster();
    let news = cluster
        .upstreams
        .mark_address_reused(now, id, *start, *address);
    drop(cluster);
    if news {
        state.rebuild_upstreams();
        state.metrics.notice("misdirected");
        log::info!(upstream = id.as_str(), address:%; "another upstream has the address; this one is left until its entry is written again");
    }
}

fn note_backoff(state: &State, upstream: &UpstreamRef, wait: RetryAfter) {
    let place = state.fleet_place(upstream.address);
    let longer = state.backoffs.back_off(state.now(), upstream, wait, place);
    state.metrics.notice("backoff");
    let wait_ms = u64::try_from(wait.wait().as_millis()).unwrap_or(u64::MAX);
    log::info!(
        upstream = upstream.id.as_str(),
        service = upstream.service.as_str(),
        wait_ms,
        longer;
        "upstream wants nothing for a while"
    );
}
