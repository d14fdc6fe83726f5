//! Data types shared by the other crates.
//!
//! Decisions in jacinthdeal are made by state machines that do no I/O, so their
//! inputs and outputs are plain data that tests, daemons and embedders can all
//! build. This crate defines that data and its validation: raw input is converted
//! to a checked type through `TryFrom` or a constructor, and later code does not
//! check the value again.

mod change;
mod change_error;
mod change_record;
mod compiled_config;
mod config;
mod credential;
mod customer;
mod hash;
mod header_text;
mod ids;
mod incarnation;
mod member_state;
mod model;
mod name;
mod outcome;
mod pipeline;
mod pool;
mod ppm;
mod priority;
mod refusal;
mod stage;
mod time;
mod upstream_id;

pub use change::Change;
pub use change::ObjectKind;
pub use change::ObjectRef;
pub use change_error::ChangeError;
pub use change_record::ChangeId;
pub use change_record::ChangeRecord;
pub use compiled_config::CompiledConfig;
pub use compiled_config::CompiledCustomer;
pub use compiled_config::CompiledPipeline;
pub use compiled_config::CompiledPool;
pub use compiled_config::CompiledStage;
pub use config::Config;
pub use config::Revision;
pub use credential::CredentialDigest;
pub use credential::DigestError;
pub use customer::Customer;
pub use hash::hash_address;
pub use hash::splitmix64;
pub use header_text::HeaderText;
pub use header_text::HeaderTextError;
pub use ids::AttemptId;
pub use ids::CustomerKey;
pub use ids::PipelineKey;
pub use ids::PoolKey;
pub use ids::RequestId;
pub use ids::UpstreamKey;
pub use incarnation::Incarnation;
pub use incarnation::IncarnationError;
pub use member_state::MemberState;
pub use model::Model;
pub use name::Name;
pub use name::NameError;
pub use outcome::AttemptOutcome;
pub use outcome::RunState;
pub use pipeline::Pipeline;
pub use pool::Pool;
pub use ppm::Ppm;
pub use priority::Priority;
pub use priority::PriorityError;
pub use refusal::Refusal;
pub use refusal::RefusalKind;
pub use stage::Stage;
pub use stage::StageKind;
pub use time::MonoTime;
pub use time::WallTime;
pub use upstream_id::UpstreamId;
pub use upstream_id::UpstreamIdError;
