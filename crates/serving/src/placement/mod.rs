//! Selects the upstream of a prompt by the time to its first event and by the pauses that it
//! causes in the streams there, for one shard.

mod candidate;
mod decision;
mod prompt_planner;
mod prompt_preference;
mod session_holders;
mod upstream_load;

pub use candidate::PlacementCandidate;
pub use decision::PlacementDecision;
pub use decision::PlacementReason;
pub use decision::PromptPlacement;
pub use prompt_planner::FETCH_TIMEOUT;
pub use prompt_planner::MAX_CANDIDATES;
pub use prompt_planner::PromptPlanner;
