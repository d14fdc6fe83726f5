//! What one instance knows of one upstream.

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

/// Failures in a row that eject an upstream.
const EJECT_AFTER: u32 = 3;
/// How long the first ejection lasts; each further one in a row doubles it.
const EJECT_FOR: Duration = Duration::from_secs(1);
/// The most doublings.
const EJECT_DOUBLINGS: u32 = 4;
/// How long a report of others counts; its weight falls evenly to nothing.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// How long a new upstream gets less than its part.
const SLOW_START: Duration = Duration::from_secs(2);

/// What somebody else said of an upstream's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoadReport {
    /// Requests it has in flight from everybody else.
    pub in_flight: u32,
    /// When we heard it.
    pub received: MonoTime,
}

/// What one instance knows of one upstream. Shared by all requests and all
/// revisions of the table, and only atomics, so that no request waits.
#[derive(Debug)]
pub struct Upstream {
    /// Where it answers.
    pub address: SocketAddr,
    /// The hall that it stands in.
    pub zone: Name,
    since: MonoTime,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    others: AtomicU32,
    others_heard: AtomicU64,
    latency: LatencyEstimate,
}

impl Upstream {
    /// An upstream first seen at `since`. An upstream that was there when the
    /// instance started is given [`MonoTime::ZERO`] and has no slow start.
    pub fn new(address: SocketAddr, zone: Name, since: MonoTime) -> Upstream {
        Upstream {
            address,
            zone,
            since,
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until: AtomicU64::new(0),
            others: AtomicU32::new(0),
            others_heard: AtomicU64::new(0),
            latency: LatencyEstimate::default(),
        }
    }

    /// True once anybody said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks it as leaving; true if that is news. A hint counts at once and is
    /// not taken back: a return is another upstream with a fresh entry.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Requests in flight from this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// A request goes out.
    pub fn attempt_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes in what others have in flight there.
    pub fn set_peer_load(&self, report: PeerLoadReport) {
        self.others.store(report.in_flight, Ordering::Relaxed);
        self.others_heard
            .store(report.received.as_micros(), Ordering::Relaxed);
    }

    /// An attempt ended.
    pub fn attempt_finished(&self, now: MonoTime, took: Duration, outcome: AttemptOutcome) {
        let less = |n: u32| n.checked_sub(1);
        // Fails only at zero, where there is nothing to take off.
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        match outcome {
            AttemptOutcome::Answered => self.succeeded(took),
            // The caller went away: says nothing about the upstream.
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::TimedOut | AttemptOutcome::Silent => {
                // Slowness is evidence of itself: without this sample a grey
                // failure shows no latency at all, since nothing is answered.
                self.latency.record(took);
                self.failed(now);
            }
            AttemptOutcome::Unreachable => self.eject(now),
            AttemptOutcome::NotRun
            | AttemptOutcome::Failed
            | AttemptOutcome::Crossed
            | AttemptOutcome::Truncated => self.failed(now),
        }
    }

    /// True while it is ejected.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until()
    }

    /// Until when it is left alone; long ago if it never was.
    pub fn ejected_until(&self) -> MonoTime {
        MonoTime::from_micros(self.ejected_until.load(Ordering::Relaxed))
    }

    /// The mean time of its answers; zero before the first.
    pub fn latency(&self) -> Duration {
        self.latency.mean()
    }

    /// How long a new request would take there, in microseconds, for comparing.
    ///
    /// Own requests count in full. What others report is discounted by its age:
    /// a report that counted in full for its whole life would send everybody
    /// to the one that looked idle, all at once.
    pub fn score(&self, now: MonoTime, slots: u32, typical: Duration) -> f64 {
        let load = f64::from(self.in_flight()) + self.others_now(now);
        let latency = match self.latency() {
            Duration::ZERO => typical,
            mean => mean,
        };
        let queue = 1.0 + load / f64::from(slots.max(1));
        let micros = latency.as_micros().max(1) as f64;
        queue * queue * micros * self.slow_start(now)
    }

    fn others_now(&self, now: MonoTime) -> f64 {
        let heard = MonoTime::from_micros(self.others_heard.load(Ordering::Relaxed));
        let age = now.since(heard).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        f64::from(self.others.load(Ordering::Relaxed)) * (1.0 - age).max(0.0)
    }

    fn slow_start(&self, now: MonoTime) -> f64 {
        if self.since == MonoTime::ZERO {
            return 1.0;
        }
        let age = now.since(self.since).as_secs_f64() / SLOW_START.as_secs_f64();
        1.0 + 3.0 * (1.0 - age).max(0.0)
    }

    fn succeeded(&self, took: Duration) {
        self.latency.record(took);
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
    }

    fn failed(&self, now: MonoTime) {
        let count = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if count >= EJECT_AFTER {
            self.eject(now);
        }
    }

    /// Leaves it alone for a while.
    ///
    /// At once where no connection opens: of a dark upstream an instance sees one
    /// request in two seconds, and each of three in a row would lose its time
    /// before the upstream is left alone.
    fn eject(&self, now: MonoTime) {
        self.failures.store(0, Ordering::Relaxed);
        let before = self.ejections.fetch_add(1, Ordering::Relaxed);
        let factor = 1 << before.min(EJECT_DOUBLINGS);
        let until = now + EJECT_FOR * factor;
        self.ejected_until
            .store(until.as_micros(), Ordering::Relaxed);
    }
}
