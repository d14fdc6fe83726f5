//! Policies for choosing an upstream.

/// How an upstream is chosen. All policies but the first are baselines for comparisons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoutingPolicy {
    /// The better of two random candidates by expected wait, with prefix affinity for
    /// engines and a preference for the instance's own availability zone.
    TwoChoices,
    /// Uniformly at random.
    Random,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest in-flight requests from this instance.
    LeastOwn,
}

impl RoutingPolicy {
    /// All policies, starting with the default.
    pub const ALL: [RoutingPolicy; 4] = [
        RoutingPolicy::TwoChoices,
        RoutingPolicy::Random,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOwn,
    ];

    /// The name of the policy in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            RoutingPolicy::TwoChoices => "two-choices",
            RoutingPolicy::Random => "random",
            RoutingPolicy::RoundRobin => "round-robin",
            RoutingPolicy::LeastOwn => "least-own",
        }
    }
}
