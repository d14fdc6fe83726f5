//! Request-level policy of one instance: admission, queueing, routing, retries and cost.
//!
//! Each type is either a state machine that takes the current time and an event and
//! returns an action, or a table that is read without locks. Nothing here reads a clock,
//! a socket or a global random number generator, so that the daemon, the simulations in
//! virtual time and the tests run the same code.

mod admission;
mod admission_queue;
mod answer_budget;
mod body_budget;
mod client_connections;
mod connection_monitor;
mod cost_ledger;
mod keyed_lines;
mod latency_estimate;
mod line_limit;
mod memory_split;
mod peer_loads;
mod pipeline_run;
mod pool_table;
mod queue_entry;
mod retry_budget;
mod routing_policy;
mod upstream;

pub use admission::AdmissionCheck;
pub use admission::check_deadline;
pub use admission_queue::AdmissionQueue;
pub use admission_queue::QueuePolicy;
pub use admission_queue::SlotDecision;
pub use answer_budget::AnswerBudget;
pub use answer_budget::AnswerEnd;
pub use answer_budget::AnswerGrant;
pub use answer_budget::AnswerKey;
pub use body_budget::BODY_STALL_TIME;
pub use body_budget::BodyBudget;
pub use body_budget::BodyGrant;
pub use body_budget::BodyKey;
pub use client_connections::ClientAdmission;
pub use client_connections::ClientConnections;
pub use client_connections::ClientKey;
pub use client_connections::ClientPhase;
pub use connection_monitor::ConnectionKey;
pub use connection_monitor::ConnectionMonitor;
pub use cost_ledger::AttemptCost;
pub use cost_ledger::CostKey;
pub use cost_ledger::CostLedger;
pub use cost_ledger::CostTotals;
pub use keyed_lines::KeyedLines;
pub use keyed_lines::shortened;
pub use latency_estimate::LatencyEstimate;
pub use line_limit::LineDecision;
pub use line_limit::LineLimit;
pub use memory_split::MemorySplit;
pub use peer_loads::PeerLoads;
pub use pipeline_run::PipelineRun;
pub use pipeline_run::RunEnd;
pub use pipeline_run::RunStep;
pub use pipeline_run::StageTiming;
pub use pool_table::Pick;
pub use pool_table::PickRequest;
pub use pool_table::PoolTable;
pub use queue_entry::QueueEntry;
pub use queue_entry::QueueEntryId;
pub use retry_budget::RetryBudget;
pub use routing_policy::RoutingPolicy;
pub use upstream::PeerLoadReport;
pub use upstream::Upstream;
