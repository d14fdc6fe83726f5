//! What a version of the configuration changes.

use std::collections::HashMap;

use crate::Route;
use crate::Router;

/// What a version of the configuration changes against the one that it replaces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterChanges {
    /// Routes that were added.
    pub routes_added: usize,
    /// Routes that were removed.
    pub routes_removed: usize,
    /// Routes that lead to other services, or with other weights.
    pub targets: usize,
    /// Routes with another timeout.
    pub timeouts: usize,
    /// Routes that allow another number of runs.
    pub attempts: usize,
    /// Services that were added, removed or are described otherwise.
    pub services: usize,
    /// Requests in progress that were admitted by the replaced version.
    pub requests: usize,
    /// Those of them whose routes were removed, or have other services, timeouts or runs.
    pub requests_on_changed: usize,
}

impl RouterChanges {
    /// What `after` changes against `before`.
    pub fn between(before: &Router, after: &Router) -> RouterChanges {
        let mut changes = RouterChanges {
            services: changed_services(before, after),
            ..RouterChanges::default()
        };
        let place = |r: &Route| (r.host.clone(), r.prefix.clone());
        let mut added: HashMap<_, &Route> = after.routes().map(|(_, r)| (place(r), r)).collect();
        for (key, route) in before.routes() {
            let requests = before.requests_on(key);
            changes.requests += requests;
            let is_changed = match added.remove(&place(route)) {
                Some(next) => changes.count(route, next),
                None => {
                    changes.routes_removed += 1;
                    true
                }
            };
            if is_changed {
                changes.requests_on_changed += requests;
            }
        }
        changes.routes_added = added.len();
        changes
    }

    /// Counts the differences between two versions of a route; true if there are any.
    fn count(&mut self, before: &Route, after: &Route) -> bool {
        let targets = before.targets != after.targets;
        let timeout = before.timeout != after.timeout;
        let attempts = before.allowed_runs() != after.allowed_runs();
        self.targets += usize::from(targets);
        self.timeouts += usize::from(timeout);
        self.attempts += usize::from(attempts);
        targets || timeout || attempts
    }
}

fn changed_services(before: &Router, after: &Router) -> usize {
    let removed = before.services();
    let removed = removed.filter(|s| after.service(&s.name).is_none());
    let others = after.services();
    let others = others.filter(|s| before.service(&s.name) != Some(s));
    removed.count() + others.count()
}
