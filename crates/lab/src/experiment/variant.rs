//! What is compared.

use jd_policy::QueuePolicy;
use jd_policy::RoutingPolicy;
use serde::Serialize;

/// What is compared: the shipped policies, and each of them replaced by the
/// simplest thing that could be there instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// Everything as shipped.
    Shipped,
    /// Any upstream at random.
    RandomChoice,
    /// One upstream after another.
    RoundRobin,
    /// The upstream with the fewest own requests.
    LeastOwn,
    /// No queue before a pool and no early refusal.
    NoAdmission,
    /// First come, first served, and no early refusal.
    FirstCome,
    /// Retries without a budget.
    FreeRetries,
    /// Each instance has its even part of every pool and lends none.
    EvenParts,
}

impl Variant {
    /// Every variant, the shipped one first.
    pub const ALL: [Variant; 8] = [
        Variant::Shipped,
        Variant::RandomChoice,
        Variant::RoundRobin,
        Variant::LeastOwn,
        Variant::NoAdmission,
        Variant::FirstCome,
        Variant::FreeRetries,
        Variant::EvenParts,
    ];

    /// The name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Variant::Shipped => "shipped",
            Variant::RandomChoice => "random",
            Variant::RoundRobin => "round-robin",
            Variant::LeastOwn => "least-own",
            Variant::NoAdmission => "no-admission",
            Variant::FirstCome => "first-come",
            Variant::FreeRetries => "free-retries",
            Variant::EvenParts => "even-parts",
        }
    }

    pub(super) const fn routing(self) -> RoutingPolicy {
        match self {
            Variant::RandomChoice => RoutingPolicy::Random,
            Variant::RoundRobin => RoutingPolicy::RoundRobin,
            Variant::LeastOwn => RoutingPolicy::LeastOwn,
            _ => RoutingPolicy::TwoChoices,
        }
    }

    pub(super) const fn gate(self) -> QueuePolicy {
        match self {
            Variant::NoAdmission | Variant::FirstCome => QueuePolicy::Fifo,
            _ => QueuePolicy::WeightedFair,
        }
    }

    pub(super) const fn refuses_early(self) -> bool {
        !matches!(self, Variant::NoAdmission | Variant::FirstCome)
    }

    pub(super) const fn has_gates(self) -> bool {
        !matches!(self, Variant::NoAdmission)
    }

    pub(super) const fn lends(self) -> bool {
        !matches!(self, Variant::EvenParts)
    }

    pub(super) const fn retry_percent(self) -> u32 {
        match self {
            Variant::FreeRetries => 100_000,
            _ => 10,
        }
    }
}
