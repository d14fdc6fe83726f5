//! Backoffs of upstreams, and the notices in upstream responses that limit further sends.

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

/// The upstreams that asked this instance to back off. Read for every request.
#[derive(Debug, Default)]
pub(crate) struct UpstreamBackoffs {
    /// True while there is any backoff. While there is none, requests do not take the lock.
    any: AtomicBool,
    backoffs: Mutex<Backoffs>,
    /// The upstream whose retry time was unreadable last, so that it is logged once.
    unreadable: Mutex<Option<CompactString>>,
}

impl UpstreamBackoffs {
    /// The time until the backoff of an upstream ends; none if the upstream accepts requests.
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

    /// Removes backoffs that have ended.
    pub(crate) fn expire(&self, now: MonoTime) {
        if self.any.load(Ordering::Relaxed) {
            let mut backoffs = lock(&self.backoffs);
            backoffs.expire(now);
            self.any.store(!backoffs.is_empty(), Ordering::Relaxed);
        }
    }

    fn log_unreadable(&self, upstream: &UpstreamRef, e: &RetryAfterError) {
        let id = &upstream.id;
        let mut last = lock(&self.unreadable);
        if last.as_ref() != Some(id) {
            log::warn!(upstream = id.as_str(), error:% = e; "retry time in the response of an upstream cannot be read; ignored");
            *last = Some(id.clone());
        }
    }

    fn start(
        &self,
        now: MonoTime,
        upstream: &UpstreamRef,
        wait: RetryAfter,
        position: FleetPosition,
    ) -> bool {
        let UpstreamRef {
            id, start, address, ..
        } = upstream;
        let mut backoffs = lock(&self.backoffs);
        let longer = backoffs.record(now, *address, id, *start, wait, position);
        self.any.store(true, Ordering::Relaxed);
        longer
    }
}

/// Applies the notices in the headers of a response: rate limit, shutdown and backoff.
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
        // The other notices are of the upstream that has the address now, not of `upstream`.
        return apply_misdirected(state, upstream);
    }
    state
        .limits
        .record_answer(now, upstream, dialect, headers, &state.metrics);
    state.brittle.record_answer(state, upstream, headers);
    if dialect.announces_leaving(headers) && !upstream.id.is_empty() {
        apply_leaving(state, upstream);
    }
    match dialect.retry_after(*status, headers) {
        Ok(None) => apply_brittle_pause(state, upstream, response),
        Ok(Some(wait)) => apply_backoff(state, upstream, wait),
        Err(e) => state.backoffs.log_unreadable(upstream, &e),
    }
}

fn apply_leaving(state: &State, upstream: &UpstreamRef) {
    let (now, id) = (state.now(), upstream.id.as_str());
    let mut cluster = state.cluster();
    let changed = cluster.upstreams.mark_leaving(now, id, upstream.start);
    drop(cluster);
    if !changed {
        return;
    }
    state.rebuild_upstreams();
    state.metrics.notice("leaving");
    log::info!(upstream = id, address:% = upstream.address; "upstream announced its shutdown in a response");
}

fn apply_misdirected(state: &State, upstream: &UpstreamRef) {
    let UpstreamRef {
        id, start, address, ..
    } = upstream;
    let now = state.now();
    let mut cluster = state.cluster();
    let changed = cluster
        .upstreams
        .mark_address_reused(now, id, *start, *address);
    drop(cluster);
    if changed {
        state.rebuild_upstreams();
        state.metrics.notice("misdirected");
        log::info!(upstream = id.as_str(), address:%; "another upstream has the address; this one is avoided until its entry is written again");
    }
}

/// Pauses after a rejection by an upstream that falls over if it has to reject too many requests.
fn apply_brittle_pause(state: &State, upstream: &UpstreamRef, response: &HttpResponse) {
    let Some(limit) = state.brittle.limit(state.now(), &upstream.service) else {
        return;
    };
    let head = state
        .dialect
        .response_head(response.status, &response.headers);
    if head.not_run && head.status == StatusCode::SERVICE_UNAVAILABLE {
        let pause = limit.pause(state.instance_count());
        apply_backoff(state, upstream, RetryAfter::from_wait(pause));
    }
}

fn apply_backoff(state: &State, upstream: &UpstreamRef, wait: RetryAfter) {
    let position = state.fleet_position(upstream.address);
    let longer = state.backoffs.start(state.now(), upstream, wait, position);
    state.metrics.notice("backoff");
    let wait_ms = u64::try_from(wait.wait().as_millis()).unwrap_or(u64::MAX);
    log::info!(
        upstream = upstream.id.as_str(),
        service = upstream.service.as_str(),
        wait_ms,
        longer;
        "upstream asked for a backoff"
    );
}
