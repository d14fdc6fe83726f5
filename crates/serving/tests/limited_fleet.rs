//! Simulates a fleet that sends to one rate-limited upstream, in virtual time: the exchange of
//! limits between instances, the choice of the instance that issues permits, and the arrivals
//! at the upstream.

#![allow(clippy::expect_used, clippy::panic)]

use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;
use jd_serving::LimitNotice;
use jd_serving::LimiterShare;
use jd_serving::RateLimiter;
use jd_serving::RequestRate;
use jd_serving::UpstreamLimits;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use test_case::test_matrix;

const STEP: Duration = Duration::from_millis(10);
/// Interval between two heartbeats of one instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time from an instance's start to its first heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(60);
/// Time after which an instance that is gone counts as absent.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The longest time that a request takes to arrive.
const MAX_DELIVERY_MS: u64 = 300;
/// When the upstream starts to announce its limit, and when it stops.
const ANNOUNCED: MonoTime = MonoTime::from_millis(1_000);
const ENDED: MonoTime = MonoTime::from_millis(15_000);
/// When the instance that issues permits is lost, and when it returns.
const LOST: MonoTime = MonoTime::from_millis(5_000);
const BACK: MonoTime = MonoTime::from_millis(7_500);
/// When a third of the fleet restarts without any knowledge.
const RESTARTED: MonoTime = MonoTime::from_millis(10_000);
/// Time within which all instances must know of a limit: the shortest bound for updates that the
/// users set.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);

struct Instance {
    limits: UpstreamLimits,
    limiter: Option<RateLimiter>,
    ask_from: MonoTime,
    next_heartbeat: MonoTime,
    gone_since: Option<MonoTime>,
}

struct Fleet {
    all: Vec<Instance>,
    per_s: f64,
    now: MonoTime,
    /// Requests on their way to the upstream, with their arrival times and senders.
    sent: VecDeque<(MonoTime, usize)>,
    arrivals: Vec<MonoTime>,
    rng: Rng,
}

impl Instance {
    fn new(now: MonoTime) -> Instance {
        Instance {
            limits: UpstreamLimits::default(),
            limiter: None,
            ask_from: now,
            next_heartbeat: now + FIRST_HEARTBEAT,
            gone_since: None,
        }
    }
}

impl Fleet {
    fn new(instances: usize, per_s: f64) -> Fleet {
        Fleet {
            all: (0..instances)
                .map(|_| Instance::new(MonoTime::ZERO))
                .collect(),
            per_s,
            now: MonoTime::ZERO,
            sent: VecDeque::new(),
            arrivals: Vec::new(),
            rng: Rng::with_seed(5),
        }
    }

    fn is_present(&self, n: usize) -> bool {
        self.all[n].gone_since.is_none()
    }

    /// Sends several times as many requests as the limit allows, from random instances.
    fn requests(&mut self) {
        let expected = (self.per_s * 10.0 + 20.0) * STEP.as_secs_f64();
        let certain = expected as usize;
        let one_more = self.rng.f64() < expected.fract();
        for _ in 0..certain + usize::from(one_more) {
            let n = self.rng.usize(..self.all.len());
            if self.is_present(n) && self.may_send(n) {
                let takes = Duration::from_millis(self.rng.u64(1..MAX_DELIVERY_MS));
                self.sent.push_back((self.now + takes, n));
            }
        }
    }

    fn may_send(&mut self, n: usize) -> bool {
        if self.all[n].limits.limit("u").is_none() {
            return true;
        }
        if self.now < self.all[n].ask_from {
            return false;
        }
        match self.ask(n) {
            Ok(()) => true,
            Err(wait) => {
                self.all[n].ask_from = self.now + wait.min(Duration::from_millis(500));
                false
            }
        }
    }

    /// Asks the first instance that answers, of the first three of the fleet.
    fn ask(&mut self, n: usize) -> Result<(), Duration> {
        let now = self.now;
        let is_absent = |i: &Instance| {
            i.gone_since
                .is_some_and(|since| now.since(since) >= HEARTBEAT_TIMEOUT)
        };
        let order = (0..self.all.len()).filter(|m| !is_absent(&self.all[*m]));
        let order: Vec<usize> = order.take(3).collect();
        let Some(limiter) = order.iter().find(|m| self.is_present(**m)) else {
            return Err(Duration::from_millis(300));
        };
        let share = match order.first() == Some(limiter) {
            true => LimiterShare::Whole,
            false => LimiterShare::Quarter,
        };
        self.exchange(n, *limiter);
        let asked = &mut self.all[*limiter];
        let Some(rate) = asked.limits.limit("u") else {
            return Ok(());
        };
        let limiter = asked.limiter.get_or_insert_with(|| RateLimiter::new(now));
        limiter.acquire(now, rate, share, 1)
    }

    /// Two instances exchange their notices.
    fn exchange(&mut self, from: usize, to: usize) {
        if let Some(notice) = self.all[from].limits.notice("u") {
            self.all[to].limits.record("u", notice);
        }
        if let Some(notice) = self.all[to].limits.notice("u") {
            self.all[from].limits.record("u", notice);
        }
    }

    fn heartbeats(&mut self) {
        let count = self.all.len();
        for n in 0..count {
            if !self.is_present(n) || self.now < self.all[n].next_heartbeat {
                continue;
            }
            self.all[n].next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            let others = [0, 1, (n + 1) % count, (n + 2) % count, (n + 3) % count];
            for other in others {
                if other != n && other < count && self.is_present(other) {
                    self.exchange(n, other);
                }
            }
        }
    }

    /// Counts the arrivals; each answer carries the limit.
    fn arrive(&mut self) {
        let now = self.now;
        let (arrived, sent): (VecDeque<_>, VecDeque<_>) =
            self.sent.drain(..).partition(|(at, _)| *at <= now);
        self.sent = sent;

        let announced = (ANNOUNCED..ENDED).contains(&now);
        let limit = announced.then(|| RequestRate::try_from(self.per_s).expect("a rate"));
        for (_, from) in arrived {
            self.arrivals.push(now);
            let notice = LimitNotice {
                start: UpstreamStart::UNKNOWN,
                limit,
                received_at: now,
            };
            self.all[from].limits.record("u", notice);
        }
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        match now {
            LOST => self.all[0].gone_since = Some(now),
            BACK => self.all[0] = Instance::new(now),
            RESTARTED => {
                for n in (0..self.all.len()).filter(|n| n % 3 == 1) {
                    self.all[n] = Instance::new(now);
                }
            }
            _ => {}
        }
    }

    fn run_until(&mut self, end: MonoTime) {
        while self.now < end {
            self.now = self.now + STEP;
            self.inject_faults();
            self.arrive();
            self.heartbeats();
            self.requests();
        }
    }
}

/// An upstream announces a limit, which instances learn from its answers and from each other.
/// The instance that issues permits is lost, and a third of the fleet restarts. All arrivals
/// count, including those from instances that do not know the limit yet.
#[test_matrix([1, 3, 9, 75, 85, 295, 985], [0.2, 1.0, 2.5, 40.0])]
fn a_limit_is_kept_and_used_while_instances_come_and_go(instances: usize, per_s: f64) {
    let mut fleet = Fleet::new(instances, per_s);
    fleet.run_until(ENDED);
    let known = ANNOUNCED + KNOWN_WITHIN;
    let counted = fleet.arrivals.iter().filter(|at| **at >= known);
    let counted: Vec<MonoTime> = counted.copied().collect();
    let within = counted.iter().enumerate().map(|(n, end)| {
        let span = counted[..=n].iter();
        span.filter(|at| end.since(**at) < SPAN).count()
    });
    let most = within.max().unwrap_or(0);
    let allowed = (per_s * SPAN.as_secs_f64() * 1.5 + 5.0) as usize;
    assert!(most <= allowed, "{most} in four seconds, {allowed} allowed");
    let takes = per_s * ENDED.since(known).as_secs_f64();
    // A single instance is absent for two and a half of eleven seconds.
    assert!(
        counted.len() as f64 >= 0.6 * takes - 1.0,
        "{} of {takes}",
        counted.len()
    );
    fleet.run_until(ENDED + Duration::from_secs(8));
    let uninformed = fleet.all.iter().filter(|i| i.limits.limit("u").is_some());
    assert_eq!(
        uninformed.count(),
        0,
        "all instances know that the limit ended"
    );
}
