//! What an operator can say.

use compact_str::CompactString;
use jd_types::Change;
use jd_types::RequestId;
use jd_types::Revision;

/// One command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Asks what is there.
    Show(Show),
    /// Asks what was decided and why.
    Explain(Explain),
    /// Changes the configuration.
    Change {
        /// What.
        change: Change,
        /// Why, in the operator's words; may be empty.
        why: CompactString,
    },
    /// Asks for the commands.
    Help,
}

/// What can be shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Show {
    /// Pipelines in force.
    Pipelines,
    /// Customers in force.
    Customers,
    /// Pools in force.
    Pools,
    /// Models and the versions wanted.
    Models,
    /// Upstreams as this instance sees them.
    Upstreams,
    /// Instances and the revision that each has in force.
    Instances,
    /// Limits, and this instance's part of each.
    Limits,
    /// Who owns which part of every limit.
    Shares,
    /// Duties and whether this instance holds them.
    Leases,
    /// Requests in progress here.
    Requests,
    /// The newest changes.
    Changes,
    /// The newest decisions.
    Decisions,
    /// Cost by customer, pipeline and stage.
    Costs,
}

impl Show {
    /// Everything that can be shown.
    pub const ALL: [Show; 13] = [
        Show::Pipelines,
        Show::Customers,
        Show::Pools,
        Show::Models,
        Show::Upstreams,
        Show::Instances,
        Show::Limits,
        Show::Shares,
        Show::Leases,
        Show::Requests,
        Show::Changes,
        Show::Decisions,
        Show::Costs,
    ];

    /// The word for it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Show::Pipelines => "pipelines",
            Show::Customers => "customers",
            Show::Pools => "pools",
            Show::Models => "models",
            Show::Upstreams => "upstreams",
            Show::Instances => "instances",
            Show::Limits => "limits",
            Show::Shares => "shares",
            Show::Leases => "leases",
            Show::Requests => "requests",
            Show::Changes => "changes",
            Show::Decisions => "decisions",
            Show::Costs => "costs",
        }
    }
}

/// What can be explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Explain {
    /// The decisions on one request, a refused one included.
    Request(RequestId),
    /// One change: who, when, what, from, to and why.
    Change(Revision),
}
