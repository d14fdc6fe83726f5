//! How instances act together.
//!
//! There is no consensus group and no leader. What must last or must be agreed
//! goes through compare-and-swap on the platform's key-value service; what must
//! go on while that is down goes from instance to instance in heartbeats. Each
//! part is a state machine without I/O: it takes the time and an event, and
//! returns the call to make or the message to send. Which process dies, which
//! answer is lost and which clock runs fast is decided by whoever drives it,
//! which is how the failure tests work.

mod answer;
mod config_replica;
mod decisions;
mod duty;
mod idempotency_key;
mod lifecycle;
mod loan_book;
mod locate;
mod member;
mod members;
mod orders;
mod outbox;
mod proposer;
mod pulse;
mod runs;
mod share_keeper;
mod share_map;
mod upstream_list;

pub use answer::Answer;
pub use answer::RunAnswer;
pub use config_replica::ConfigReplica;
pub use config_replica::Delta;
pub use config_replica::Learned;
pub use decisions::Decision;
pub use decisions::DecisionLog;
pub use duty::Duty;
pub use duty::FencingToken;
pub use idempotency_key::Binding;
pub use idempotency_key::IdempotencyKey;
pub use idempotency_key::KeyError;
pub use lifecycle::DrainTimes;
pub use lifecycle::Draining;
pub use lifecycle::Lifecycle;
pub use lifecycle::Serving;
pub use lifecycle::Starting;
pub use lifecycle::Stopped;
pub use lifecycle::Withdrawn;
pub use loan_book::LimitUse;
pub use loan_book::LoanAsk;
pub use loan_book::LoanBook;
pub use loan_book::LoanGrant;
pub use locate::LocateAnswer;
pub use locate::LocateEntry;
pub use locate::LocatePolicy;
pub use member::Member;
pub use members::Members;
pub use members::News;
pub use orders::EngineReport;
pub use orders::Order;
pub use orders::OrderDesk;
pub use outbox::Outbox;
pub use outbox::OutboxBatch;
pub use outbox::OutboxItem;
pub use outbox::Settled;
pub use proposer::Proposal;
pub use proposer::ProposalEnd;
pub use proposer::ProposalStep;
pub use proposer::Proposer;
pub use pulse::Pulse;
pub use runs::KeyDecision;
pub use runs::Runs;
pub use share_keeper::ShareKeeper;
pub use share_keeper::ShareView;
pub use share_map::ShareEntry;
pub use share_map::ShareMap;
pub use upstream_list::ListEntry;
pub use upstream_list::UpstreamList;
