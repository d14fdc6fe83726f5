//! Finds the route and the customer of a request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use compact_str::CompactString;

use crate::CallerLimits;
use crate::Deployment;
use crate::Route;
use crate::Service;

/// The index of a route in its [`Router`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteKey(u32);

/// Counts a request as in progress on a route until it is dropped.
#[derive(Debug, Clone)]
pub struct RouteUse {
    _request: Arc<()>,
}

/// The customer that a credential belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The customer's name.
    pub customer: CompactString,
    /// The customer's own priority, if it has one.
    pub priority: Option<u8>,
}

/// One version of the configuration, indexed for lookups by request. It is built once for each
/// version and replaced as a whole.
#[derive(Debug, Default)]
pub struct Router {
    /// The operator's version number.
    pub version: u64,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    routes: Vec<Route>,
    /// By route; each request in progress holds a reference.
    requests: Vec<Arc<()>>,
    by_host: HashMap<CompactString, Vec<RouteKey>>,
    callers: HashMap<CompactString, Caller>,
    services: HashMap<CompactString, Service>,
    /// The services that routes with a short pause between events lead to.
    paced: HashSet<CompactString>,
    needs_credentials: bool,
}

impl Router {
    /// Indexes `deployment`.
    pub fn new(deployment: Deployment) -> Router {
        let mut by_host: HashMap<CompactString, Vec<RouteKey>> = HashMap::new();
        for (n, route) in (0..).zip(&deployment.routes) {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(RouteKey(n));
        }
        let routes = deployment.routes;
        for keys in by_host.values_mut() {
            // Longest prefix first, so that the first match is the longest.
            keys.sort_by_key(|k| std::cmp::Reverse(routes[k.0 as usize].prefix.len()));
        }
        let needs_credentials = !deployment.customers.is_empty();
        let mut callers = HashMap::new();
        for customer in deployment.customers {
            for credential in customer.credentials {
                let caller = Caller {
                    customer: customer.name.clone(),
                    priority: customer.priority,
                };
                callers.insert(credential, caller);
            }
        }
        let paced = routes.iter().filter(|r| r.short_event_gap().is_some());
        let paced = paced.flat_map(|r| r.targets.iter().map(|t| t.service.clone()));
        let paced = paced.collect();
        let services = deployment.services.into_iter();
        Router {
            version: deployment.version,
            limits: deployment.limits,
            requests: routes.iter().map(|_| Arc::default()).collect(),
            routes,
            by_host,
            callers,
            services: services.map(|s| (s.name.clone(), s)).collect(),
            paced,
            needs_credentials,
        }
    }

    /// The route of a request, by its host and the longest matching prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let keys = self.by_host.get(host)?;
        let fits = |k: &&RouteKey| path.starts_with(self.routes[k.0 as usize].prefix.as_str());
        keys.iter().find(fits).copied()
    }

    /// The route with this key.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = (RouteKey, &Route)> {
        (0..).map(RouteKey).zip(&self.routes)
    }

    /// Counts a request that is admitted by a route as in progress.
    pub fn begin_request(&self, key: RouteKey) -> RouteUse {
        RouteUse {
            _request: Arc::clone(&self.requests[key.0 as usize]),
        }
    }

    /// The number of requests in progress that were admitted by a route of this version.
    pub fn requests_on(&self, key: RouteKey) -> usize {
        Arc::strong_count(&self.requests[key.0 as usize]) - 1
    }

    /// The holder of a credential.
    pub fn caller(&self, credential: &str) -> Option<&Caller> {
        self.callers.get(credential)
    }

    /// True if requests on `route` need a credential.
    pub fn needs_credential(&self, route: &Route) -> bool {
        self.needs_credentials && !route.public
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// True if the upstreams of a service are used by a route with a short pause between events, and
    /// the operator says how they generate.
    pub fn tracks_pace(&self, service: &str) -> bool {
        let spec = self.services.get(service).and_then(|s| s.generation);
        let has_event_size = spec.is_some_and(|g| g.tokens_per_event.is_some());
        has_event_size && self.paced.contains(service)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
