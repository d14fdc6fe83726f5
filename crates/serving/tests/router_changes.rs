//! What a version of the configuration changes.

#![allow(clippy::expect_used, clippy::panic)]

use std::time::Duration;

use jd_serving::Deployment;
use jd_serving::RetryMode;
use jd_serving::Route;
use jd_serving::Router;
use jd_serving::RouterChanges;
use jd_serving::Service;
use jd_serving::Target;

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        retry_mode: RetryMode::Resumable,
        timeout: Duration::from_secs(12),
        objective: Duration::from_secs(1),
        priority: 1,
        targets: vec![Target {
            service: service.into(),
            weight: 1,
        }],
        max_attempts: 2,
        stages: Vec::new(),
        public: false,
        prompts: false,
        event_gap: None,
    }
}

fn service(name: &str, max_connections: u32) -> Service {
    Service {
        name: name.into(),
        max_connections,
        batch: None,
        cold: None,
        generation: None,
    }
}

fn router(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Router {
    Router::new(Deployment {
        version,
        routes,
        services,
        ..Deployment::default()
    })
}

#[test]
fn a_version_that_changes_nothing_has_no_changes() {
    let one = || vec![route("/a/", "pool")];
    let before = router(1, one(), vec![service("pool", 8)]);
    let after = router(2, one(), vec![service("pool", 8)]);
    let changes = RouterChanges::between(&before, &after);
    assert_eq!(changes, RouterChanges::default());
}

#[test]
fn every_difference_is_counted_with_the_requests_that_it_concerns() {
    let before = ["/kept/", "/moved/", "/hurried/", "/lowered/", "/removed/"];
    let before = before.map(|prefix| route(prefix, "pool"));
    let mut after = before.clone();
    after[1].targets[0].service = "other".into();
    after[2].timeout = Duration::from_secs(3);
    after[3].max_attempts = 1;
    after[4] = route("/added/", "pool");
    let services = vec![service("pool", 8), service("gone", 8)];
    let before = router(1, before.to_vec(), services);
    let services = vec![service("pool", 4), service("other", 8)];
    let after = router(2, after.to_vec(), services);
    let admit = |path: &str| {
        let key = before.find("desk.example", path).expect("a route");
        before.begin_request(key)
    };
    let _kept = [admit("/kept/x"), admit("/kept/y")];
    let _changed = [admit("/moved/x"), admit("/removed/x")];
    drop(admit("/lowered/x"));
    let changes = RouterChanges::between(&before, &after);
    let expected = RouterChanges {
        routes_added: 1,
        routes_removed: 1,
        targets: 1,
        timeouts: 1,
        attempts: 1,
        services: 3,
        requests: 4,
        requests_on_changed: 2,
    };
    assert_eq!(changes, expected);
}
