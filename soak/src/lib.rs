//! Soaking real gateway processes: stand-ins of the store, the upstreams and the
//! callers, faults between them, and checks of what callers and upstreams saw.
//!
//! Whoever runs a soak owns the processes, behind [`Fleet`]. Everything else is
//! here: [`Plan`] draws the faults of a seed, [`soak`] plays it, and
//! [`judge`] tells which promises were broken.

mod bad_requests;
mod caller;
mod config;
mod environment;
mod fake_stage_upstream;
mod fake_upstream;
mod fault;
mod fleet;
mod judge;
mod limits;
mod notices;
mod plan;
mod recorder;
mod relay;
mod run;
mod store;
mod store_api;

pub use fault::Fault;
pub use fault::LinkMode;
pub use fault::StoreMode;
pub use fault::UpstreamMode;
pub use fleet::Fleet;
pub use fleet::ProcessSignal;
pub use judge::Violation;
pub use judge::judge;
pub use plan::Plan;
pub use plan::Step;
pub use recorder::Attempt;
pub use recorder::FaultSpan;
pub use recorder::Notice;
pub use recorder::Outcome;
pub use recorder::Recorder;
pub use recorder::RequestKind;
pub use recorder::UpstreamRequest;
pub use run::SoakReport;
pub use run::soak;
