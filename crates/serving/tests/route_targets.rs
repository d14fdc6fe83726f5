//! The service of a request, among those that its route leads to.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_serving::RetryMode;
use jd_serving::Route;
use jd_serving::Target;
use jd_types::splitmix64;
use test_case::test_case;

/// Sessions in these tests.
const SESSIONS: u64 = 20_000;
/// The deviation of a share of that many sessions that chance explains: more than four standard
/// deviations.
const DEVIATION: f64 = 0.015;

fn route(targets: &[(&str, u32)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        name: "chat".into(),
        host: "desk.example".into(),
        prefix: "/chat/".into(),
        retry_mode: RetryMode::Resumable,
        timeout: Duration::from_secs(12),
        objective: Duration::from_secs(1),
        priority: 1,
        targets: targets.collect(),
        max_attempts: 2,
        stages: Vec::new(),
        public: false,
        prompts: true,
        event_gap: None,
    }
}

fn services(route: &Route) -> impl Iterator<Item = &str> {
    let sessions = (0..SESSIONS).map(splitmix64);
    sessions.map(|session| route.target(session).expect("a service").as_str())
}

/// The fraction of sessions that `after` leads to another service.
fn moved(before: &[(&str, u32)], after: &[(&str, u32)]) -> f64 {
    let (before, after) = (route(before), route(after));
    let both = services(&before).zip(services(&after));
    both.filter(|(b, a)| b != a).count() as f64 / SESSIONS as f64
}

/// Guards against a configuration that has the prompts of sessions read again at another service
/// though its share has not changed, or by more than its share has.
#[test_case(&[("a", 500), ("b", 500)], &[("a", 1_000), ("b", 1_000)], 0.0; "same shares in other numbers")]
#[test_case(&[("a", 300), ("b", 700)], &[("b", 700), ("a", 300)], 0.0; "same shares in another order")]
#[test_case(&[("a", 300), ("b", 700)], &[("a", 299), ("b", 700)], 0.0; "a rounding error")]
#[test_case(&[("a", 1)], &[("a", 750), ("b", 250)], 0.25; "split")]
#[test_case(&[("a", 500), ("b", 500)], &[("a", 400), ("b", 400), ("c", 200)], 0.2; "a third service")]
#[test_case(&[("a", 300), ("b", 700)], &[("a", 400), ("b", 600)], 0.1; "shifted")]
#[test_case(&[("a", 1), ("gone", 0)], &[("a", 1)], 0.0; "a service without a share is removed")]
fn a_configuration_moves_no_more_sessions_than_the_shares_require(
    before: &[(&str, u32)],
    after: &[(&str, u32)],
    required: f64,
) {
    let moved = moved(before, after);
    assert!((moved - required).abs() < DEVIATION, "{moved} moved");
}

#[test]
fn services_get_sessions_by_weight() {
    let split = route(&[("a", 100), ("b", 300), ("none", 0), ("c", 600)]);
    for (service, share) in [("a", 0.1), ("b", 0.3), ("none", 0.0), ("c", 0.6)] {
        let got = services(&split).filter(|s| *s == service).count();
        let got = got as f64 / SESSIONS as f64;
        assert!((got - share).abs() < DEVIATION, "{service} got {got}");
    }
}

#[test]
fn a_route_without_weights_leads_to_its_first_service() {
    let all = route(&[("a", 0), ("b", 0)]);
    assert!(services(&all).all(|s| s == "a"));
}
