//! Checks that requests run at no more upstreams than their routes allow.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::Attempt;
use crate::UpstreamRequest;
use crate::Violation;
use crate::config::MAX_ATTEMPTS;

/// Returns a violation for each attempt of a caller that more upstreams executed than its route
/// allows.
pub(crate) fn judge(attempts: &[Attempt], requests: &[UpstreamRequest]) -> Vec<Violation> {
    let mut executed_at: HashMap<&str, HashSet<&str>> = HashMap::new();
    for request in requests.iter().filter(|r| r.executed) {
        let upstreams = executed_at.entry(request.id.as_str()).or_default();
        upstreams.insert(request.upstream.as_str());
    }
    let mut violations = Vec::new();
    for a in attempts {
        let allowed = if a.may_retry() { MAX_ATTEMPTS } else { 1 };
        let upstreams = executed_at.get(a.id.as_str()).map_or(0, HashSet::len);
        if upstreams > allowed {
            let senders = requests.iter().filter(|r| r.executed && r.id == a.id);
            let senders: Vec<(&str, Option<usize>)> =
                senders.map(|r| (r.upstream.as_str(), r.sender)).collect();
            violations.push(Violation {
                guarantee: "requests run at no more upstreams than their routes allow",
                detail: format!(
                    "{} {:?} of instance {} at {senders:?}, {allowed} allowed",
                    a.id, a.kind, a.instance.0
                ),
            });
        }
    }
    violations
}
