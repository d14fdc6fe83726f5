//! State that one instance keeps about one upstream.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jd_types::AttemptOutcome;
use jd_types::MonoTime;
use jd_types::Name;

use crate::LatencyEstimate;

/// Consecutive failures after which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection. It doubles with each consecutive ejection.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// How long a peer load report is used. Its weight decreases linearly to zero.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// How long a new upstream receives less than its share of requests.
const SLOW_START: Duration = Duration::from_secs(2);

/// The load that other instances reported for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoadReport {
    /// In-flight requests of all other instances.
    pub in_flight: u32,
    /// When the report was received.
    pub received: MonoTime,
}

/// State that one instance keeps about one upstream.
///
/// Shared by all requests and by all revisions of the pool table. All mutable state is
/// atomic, so that no request waits for a lock.
#[derive(Debug)]
pub struct Upstream {
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The availability zone of the upstream.
    pub zone: Name,
    first_seen: MonoTime,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    peer_in_flight: AtomicU32,
    peer_load_received: AtomicU64,
    answered_sent_at: AtomicU64,
    latency: LatencyEstimate,
}

impl Upstream {
    /// Creates an upstream that was first seen at `first_seen`.
    ///
    /// Upstreams that existed when the instance started are created with
    /// [`MonoTime::ZERO`] and have no slow start.
    pub fn new(address: SocketAddr, zone: Name, first_seen: MonoTime) -> Upstream {
        Upstream {
            address,
            zone,
            first_seen,
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until: AtomicU64::new(0),
            peer_in_flight: AtomicU32::new(0),
            peer_load_received: AtomicU64::new(0),
            answered_sent_at: AtomicU64::new(0),
            latency: LatencyEstimate::default(),
        }
    }

    /// True once any source reported that the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the upstream as leaving. Returns true if it was not marked before.
    ///
    /// One hint is enough, and the mark is permanent: an upstream that returns gets a new
    /// entry.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// In-flight requests of this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records that an attempt was sent.
    pub fn attempt_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the in-flight requests of other instances.
    pub fn set_peer_load(&self, report: PeerLoadReport) {
        self.peer_in_flight
            .store(report.in_flight, Ordering::Relaxed);
        self.peer_load_received
            .store(report.received.as_micros(), Ordering::Relaxed);
    }

    /// Records that it answered a request that was sent at this time.
    pub fn record_answer(&self, sent_at: MonoTime) {
        let sent_at = sent_at.as_micros();
        self.answered_sent_at.fetch_max(sent_at, Ordering::Relaxed);
    }

    /// True if it has answered a request that was sent later than this.
    pub fn has_answered_since(&self, time: MonoTime) -> bool {
        self.answered_sent_at.load(Ordering::Relaxed) > time.as_micros()
    }

    /// Records the end of an attempt.
    pub fn attempt_finished(&self, now: MonoTime, latency: Duration, outcome: AttemptOutcome) {
        let decrement = |n: u32| n.checked_sub(1);
        // Fails only at zero, where there is nothing to subtract.
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        match outcome {
            AttemptOutcome::Answered => self.succeeded(latency),
            // The caller disconnected, which is no information about the upstream.
            AttemptOutcome::Cancelled => {}
            // A timeout counts as a latency sample. Otherwise an upstream that answers nothing (a
            // gray failure) would have no latency on record.
            AttemptOutcome::TimedOut | AttemptOutcome::Silent => self.record_silence(now, latency),
            AttemptOutcome::Unreachable => self.eject(now),
            AttemptOutcome::NotRun
            | AttemptOutcome::Failed
            | AttemptOutcome::Crossed
            | AttemptOutcome::Truncated => self.failed(now),
        }
    }

    /// Records that an attempt has been silent for `waited`, although it may still be answered.
    pub fn record_silence(&self, now: MonoTime, waited: Duration) {
        self.latency.record(waited);
        self.failed(now);
    }

    /// True while the upstream is ejected.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until()
    }

    /// When the current or last ejection ends, or [`MonoTime::ZERO`] if there was none.
    pub fn ejected_until(&self) -> MonoTime {
        MonoTime::from_micros(self.ejected_until.load(Ordering::Relaxed))
    }

    /// Ends an ejection, and forgets the failures that led to it.
    pub fn clear_ejection(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        self.ejected_until.store(0, Ordering::Relaxed);
    }

    /// Mean response latency, or zero before the first sample.
    pub fn latency(&self) -> Duration {
        self.latency.mean()
    }

    /// Expected time of a new request in microseconds, for comparing upstreams.
    ///
    /// Requests of this instance count in full. The load reported by other instances is
    /// discounted by the age of the report: if it counted in full until it expired, all
    /// instances would choose the same apparently idle upstream at once.
    pub fn score(&self, now: MonoTime, slots: u32, typical: Duration) -> f64 {
        let load = f64::from(self.in_flight()) + self.peer_load(now);
        let latency = match self.latency() {
            Duration::ZERO => typical,
            mean => mean,
        };
        let queue = 1.0 + load / f64::from(slots.max(1));
        let micros = latency.as_micros().max(1) as f64;
        queue * queue * micros * self.slow_start(now)
    }

    fn peer_load(&self, now: MonoTime) -> f64 {
        let received = MonoTime::from_micros(self.peer_load_received.load(Ordering::Relaxed));
        let age = now.since(received).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        f64::from(self.peer_in_flight.load(Ordering::Relaxed)) * (1.0 - age).max(0.0)
    }

    fn slow_start(&self, now: MonoTime) -> f64 {
        if self.first_seen == MonoTime::ZERO {
            return 1.0;
        }
        let age = now.since(self.first_seen).as_secs_f64() / SLOW_START.as_secs_f64();
        1.0 + 3.0 * (1.0 - age).max(0.0)
    }

    fn succeeded(&self, latency: Duration) {
        self.latency.record(latency);
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
    }

    fn failed(&self, now: MonoTime) {
        let count = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if count >= MAX_CONSECUTIVE_FAILURES {
            self.eject(now);
        }
    }

    /// Ejects the upstream for a time that doubles with each consecutive ejection.
    ///
    /// An upstream to which no connection can be opened is ejected on the first failure.
    /// An instance sends about one request in two seconds to an upstream that is down,
    /// and waiting for three failures would make each of these requests lose its time.
    fn eject(&self, now: MonoTime) {
        self.failures.store(0, Ordering::Relaxed);
        let previous = self.ejections.fetch_add(1, Ordering::Relaxed);
        let factor = 1 << previous.min(MAX_EJECTION_DOUBLINGS);
        let until = now + BASE_EJECTION * factor;
        self.ejected_until
            .store(until.as_micros(), Ordering::Relaxed);
    }
}
