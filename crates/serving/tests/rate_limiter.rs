//! Permits for rate-limited upstreams, in virtual time.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use fastrand::Rng;
use jd_serving::LimiterShare;
use jd_serving::RateLimiter;
use jd_serving::RequestRate;
use jd_types::MonoTime;
use test_case::test_matrix;

/// The window over which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// How long instances ask for permits.
const LOAD: Duration = Duration::from_secs(40);
/// The longest time that a permitted request takes to arrive.
const MAX_DELIVERY_MS: u64 = 300;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).expect("a rate")
}

/// The largest number of arrivals within four seconds.
fn most(arrivals: &mut [MonoTime]) -> usize {
    arrivals.sort_unstable();
    let ends = arrivals.iter().enumerate();
    let within = ends.map(|(n, end)| {
        let span = arrivals[..=n].iter();
        span.filter(|at| end.since(**at) < SPAN).count()
    });
    within.max().unwrap_or(0)
}

/// One and a half times the limit for four seconds, and five.
fn allowed(per_s: f64) -> usize {
    (per_s * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

/// An instance and the time of its next request for a permit.
struct Instance {
    asks_at: MonoTime,
}

/// Lets a number of instances ask for permits, each again after the wait it was given or at
/// most half a second later. Returns the arrival times of the permitted requests.
fn run(
    instances: usize,
    per_s: f64,
    limiters: &mut [(RateLimiter, LimiterShare)],
    rng: &mut Rng,
) -> Vec<MonoTime> {
    let jitter = |rng: &mut Rng, ms| Duration::from_millis(rng.u64(0..ms));
    let mut all: Vec<Instance> = (0..instances)
        .map(|_| Instance {
            asks_at: MonoTime::ZERO + jitter(rng, 1_000),
        })
        .collect();
    let mut arrivals = Vec::new();
    let mut now = MonoTime::ZERO;
    while now.since(MonoTime::ZERO) < LOAD {
        for (n, instance) in all.iter_mut().enumerate() {
            if instance.asks_at > now {
                continue;
            }
            let count = limiters.len();
            let (limiter, share) = &mut limiters[n % count];
            let again = match limiter.acquire(now, rate(per_s), *share, 1) {
                Ok(()) => {
                    arrivals.push(now + jitter(rng, MAX_DELIVERY_MS));
                    Duration::ZERO
                }
                Err(wait) => wait.min(Duration::from_millis(500)),
            };
            instance.asks_at = now + again + jitter(rng, 50);
        }
        now = now + Duration::from_millis(5);
    }
    arrivals
}

/// Every instance asks as often as it may. The upstream receives no more requests than its
/// limit allows, and not far fewer.
#[test_matrix([1, 3, 9, 75, 85, 295, 985], [0.2, 1.0, 2.5, 40.0])]
fn any_number_of_instances_keeps_to_the_limit_and_uses_it(instances: usize, per_s: f64) {
    let mut rng = Rng::with_seed(7);
    let mut limiter = [(RateLimiter::new(MonoTime::ZERO), LimiterShare::Whole)];
    let mut arrivals = run(instances, per_s, &mut limiter, &mut rng);
    let used = arrivals.len() as f64 / (per_s * LOAD.as_secs_f64());
    assert!(
        most(&mut arrivals) <= allowed(per_s),
        "{}",
        most(&mut arrivals)
    );
    // A single instance waits slightly longer than it was told to.
    assert!(used >= 0.8, "{used} of the limit");
}

/// The two halves of a fleet cannot reach each other, and each half asks an instance of its
/// own. Only one of these is the first choice of the whole fleet, so that the other issues a
/// quarter.
#[test_matrix([9, 85, 295], [0.2, 1.0, 2.5, 40.0])]
fn a_partitioned_fleet_keeps_to_the_limit(instances: usize, per_s: f64) {
    let mut rng = Rng::with_seed(11);
    let mut limiters = [LimiterShare::Whole, LimiterShare::Quarter]
        .map(|share| (RateLimiter::new(MonoTime::ZERO), share));
    let mut arrivals = run(instances, per_s, &mut limiters, &mut rng);
    assert!(
        most(&mut arrivals) <= allowed(per_s),
        "{}",
        most(&mut arrivals)
    );
}

/// An instance that has just started to issue permits must not repeat permits that its
/// predecessor issued a moment ago.
#[test]
fn the_limiter_starts_without_tokens() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let ask = |limiter: &mut RateLimiter, ms| {
        limiter.acquire(MonoTime::from_millis(ms), rate(1.0), LimiterShare::Whole, 1)
    };
    assert_eq!(ask(&mut limiter, 0), Err(Duration::from_secs(1)));
    assert_eq!(ask(&mut limiter, 1_000), Ok(()));
}

/// A limiter is not used for a minute, as on a suspended machine. The permits of that time are
/// lost.
#[test]
fn the_burst_after_an_idle_time_is_bounded() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let now = MonoTime::from_millis(60_000);
    let granted = (0..100).filter(|_| {
        let asked = limiter.acquire(now, rate(4.0), LimiterShare::Whole, 1);
        asked.is_ok()
    });
    assert_eq!(granted.count(), 2);
}

/// Instances that are refused at the same time are told to retry one after the other.
#[test]
fn refused_requests_get_different_waits() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let turns = (0..5).map(|_| limiter.acquire(MonoTime::ZERO, rate(2.0), LimiterShare::Whole, 1));
    let turns: Vec<u128> = turns
        .filter_map(Result::err)
        .map(|t| t.as_millis())
        .collect();
    assert_eq!(turns, [500, 1_000, 1_500, 2_000, 2_500]);
}

/// There are many requests of two priorities. The more urgent ones get most of the permits, and
/// the less urgent ones are not starved.
#[test]
fn urgent_requests_come_first_without_starving_others() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let mut granted = [0_u32; 2];
    for step in 0..4_000 {
        let now = MonoTime::from_millis(step * 10);
        for priority in [1, 0] {
            let asked = limiter.acquire(now, rate(2.0), LimiterShare::Whole, priority);
            granted[usize::from(priority)] += u32::from(asked.is_ok());
        }
    }
    let [urgent, other] = granted;
    assert!(urgent + other >= 76, "{granted:?}");
    assert!(urgent >= 2 * other && other * 8 >= urgent, "{granted:?}");
}

/// A limit of zero, and an unbounded one.
#[test_matrix([0.0, 1e300])]
fn every_rate_issues_permits_eventually(per_s: f64) {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let first = limiter.acquire(MonoTime::ZERO, rate(per_s), LimiterShare::Quarter, 1);
    let wait = first.err().unwrap_or_default();
    let later = MonoTime::ZERO + wait + Duration::from_millis(1);
    assert_eq!(
        limiter.acquire(later, rate(per_s), LimiterShare::Quarter, 1),
        Ok(())
    );
}
