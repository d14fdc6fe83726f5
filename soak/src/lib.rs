//! Soak tests of real gateway processes with fake stores, upstreams and callers,
//! fault injection, and checks of what callers and upstreams recorded.
//!
//! The caller of [`soak`] owns the gateway processes and controls them through
//! [`Fleet`]. [`Plan`] draws the faults of a seed, [`soak`] injects them, and its
//! report has the violated guarantees.

mod caller;
mod config;
mod crowd;
mod crowds;
mod cuts;
mod deadlines;
mod early_ends;
mod endless;
mod environment;
mod fake_stage_upstream;
mod fake_store;
mod fake_upstream;
mod fault;
mod fleet;
mod hidden_ends;
mod inject;
mod instance_links;
mod judge;
mod late_callers;
mod limits;
mod losses;
mod matters;
mod notices;
mod odd_entries;
mod out_of_step;
mod plan;
mod quarantine;
mod recorder;
mod relay;
mod run;
mod run_bounds;
mod silences;
mod small_services;
mod store;
mod surroundings;
mod turns;
mod upstream_changes;
mod versions;
mod violation;

pub use crowd::Crowd;
pub use crowd::Misbehaviour;
pub use cuts::Shares;
pub use fake_store::BrokenPage;
pub use fake_store::FakeStore;
pub use fault::Fault;
pub use fault::LinkMode;
pub use fault::StoreMode;
pub use fault::UpstreamEnd;
pub use fault::UpstreamMode;
pub use fleet::Fleet;
pub use fleet::ProcessSignal;
pub use losses::Losses;
pub use plan::Plan;
pub use plan::Step;
pub use recorder::Attempt;
pub use recorder::CrashCause;
pub use recorder::FaultSpan;
pub use recorder::Notice;
pub use recorder::Outcome;
pub use recorder::Recorder;
pub use recorder::RequestKind;
pub use recorder::TakenUp;
pub use recorder::UpstreamRequest;
pub use run::SoakReport;
pub use run::soak;
pub use surroundings::Surroundings;
pub use violation::Violation;
