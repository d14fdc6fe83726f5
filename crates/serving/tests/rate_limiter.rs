//! Permits to send to upstreams that name a limit, in virtual time.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use fastrand::Rng;
use jd_serving::LimiterShare;
use jd_serving::RateLimiter;
use jd_serving::RequestRate;
use jd_types::MonoTime;
use test_case::test_matrix;

/// The span over which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// How long instances ask.
const LOAD: Duration = Duration::from_secs(40);
/// The longest that a permitted request is on its way.
const ON_ITS_WAY_MS: u64 = 300;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).expect("a rate")
}

/// The most arrivals in any four seconds.
fn most(arrivals: &mut [MonoTime]) -> usize {
    arrivals.sort_unstable();
    let ends = arrivals.iter().enumerate();
    let within = ends.map(|(n, end)| {
        let span = arrivals[..=n].iter();
        span.filter(|at| end.since(**at) < SPAN).count()
    });
    within.max().unwrap_or(0)
}

/// Half as much again as an upstream takes in four seconds, and five.
fn allowed(per_s: f64) -> usize {
    (per_s * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

/// One instance and what it does when.
struct Instance {
    asks_at: MonoTime,
}

/// Has so many instances ask for permits, each again once its turn comes or at most half
/// a second later; when what was permitted arrives.
fn play(
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
            let (limiter, part) = &mut limiters[n % count];
            let again = match limiter.acquire(now, rate(per_s), *part, 1) {
                Ok(()) => {
                    arrivals.push(now + jitter(rng, ON_ITS_WAY_MS));
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

/// Every instance asks as often as it may. The upstream gets no more than it takes, and
/// not far less.
#[test_matrix([1, 3, 9, 75, 85, 295, 985], [0.2, 1.0, 2.5, 40.0])]
fn an_upstream_gets_what_it_takes_from_any_number_of_instances(instances: usize, per_s: f64) {
    let mut rng = Rng::with_seed(7);
    let mut limiter = [(RateLimiter::new(MonoTime::ZERO), LimiterShare::Whole)];
    let mut arrivals = play(instances, per_s, &mut limiter, &mut rng);
    let used = arrivals.len() as f64 / (per_s * LOAD.as_secs_f64());
    assert!(
        most(&mut arrivals) <= allowed(per_s),
        "{}",
        most(&mut arrivals)
    );
    // A single instance waits for its turn and a moment more.
    assert!(used >= 0.8, "{used} of what it takes");
}

/// Half of the fleet does not hear the other half, and each half asks an instance of its
/// own. Only one of these two is the first of all, so that the other gives out a quarter.
#[test_matrix([9, 85, 295], [0.2, 1.0, 2.5, 40.0])]
fn two_halves_that_do_not_hear_each_other_keep_to_the_bound(instances: usize, per_s: f64) {
    let mut rng = Rng::with_seed(11);
    let mut limiters = [LimiterShare::Whole, LimiterShare::Quarter]
        .map(|part| (RateLimiter::new(MonoTime::ZERO), part));
    let mut arrivals = play(instances, per_s, &mut limiters, &mut rng);
    assert!(
        most(&mut arrivals) <= allowed(per_s),
        "{}",
        most(&mut arrivals)
    );
}

/// An instance that has just become the one to ask must not give out what the one before
/// it gave out a moment ago.
#[test]
fn nothing_is_saved_up_at_the_start() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let ask = |limiter: &mut RateLimiter, ms| {
        limiter.acquire(MonoTime::from_millis(ms), rate(1.0), LimiterShare::Whole, 1)
    };
    assert_eq!(ask(&mut limiter, 0), Err(Duration::from_secs(1)));
    assert_eq!(ask(&mut limiter, 1_000), Ok(()));
}

/// A limiter stands still for a minute, as a machine that is suspended. What would have
/// been given out meanwhile is lost.
#[test]
fn little_is_saved_up_while_nobody_asks() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let now = MonoTime::from_millis(60_000);
    let granted = (0..100).filter(|_| {
        let asked = limiter.acquire(now, rate(4.0), LimiterShare::Whole, 1);
        asked.is_ok()
    });
    assert_eq!(granted.count(), 2);
}

/// Those who are turned away at one moment are told to come back one after the other.
#[test]
fn turns_are_spread() {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let turns = (0..5).map(|_| limiter.acquire(MonoTime::ZERO, rate(2.0), LimiterShare::Whole, 1));
    let turns: Vec<u128> = turns
        .filter_map(Result::err)
        .map(|t| t.as_millis())
        .collect();
    assert_eq!(turns, [500, 1_000, 1_500, 2_000, 2_500]);
}

/// Many requests of two priorities. The more urgent ones get most of what there is, and
/// the less urgent ones are not starved.
#[test]
fn urgent_requests_come_first_and_the_others_have_their_turn() {
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

/// A limit of nothing, and one beyond all bounds.
#[test_matrix([0.0, 1e300])]
fn any_rate_has_a_turn(per_s: f64) {
    let mut limiter = RateLimiter::new(MonoTime::ZERO);
    let first = limiter.acquire(MonoTime::ZERO, rate(per_s), LimiterShare::Quarter, 1);
    let wait = first.err().unwrap_or_default();
    let later = MonoTime::ZERO + wait + Duration::from_millis(1);
    assert_eq!(
        limiter.acquire(later, rate(per_s), LimiterShare::Quarter, 1),
        Ok(())
    );
}
