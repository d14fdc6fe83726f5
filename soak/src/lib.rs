//! Soaking real gateway processes: stand-ins of the store, the upstreams and the
//! callers, faults between them, and checks of what callers and upstreams saw.
//!
//! Whoever runs a soak owns the processes, behind [`Fleet`]. Everything else is
//! here: [`Plan`] draws the faults of a seed, [`soak`] plays it, and
//! [`judge`] tells which promises were broken.

mod bad_requests;
mod caller;
mod config;
mod fault;
mod fleet;
mod judge;
mod ledger;
mod limits;
mod model;
mod notices;
mod plan;
mod relay;
mod run;
mod stages;
mod store;
mod store_api;
mod world;

pub use fault::EngineMode;
pub use fault::Fault;
pub use fault::LinkMode;
pub use fault::StoreMode;
pub use fleet::Fleet;
pub use fleet::ProcessSignal;
pub use judge::Broken;
pub use judge::judge;
pub use ledger::Attempt;
pub use ledger::Ended;
pub use ledger::Kind;
pub use ledger::Ledger;
pub use ledger::Notice;
pub use ledger::Run;
pub use ledger::Span;
pub use plan::Plan;
pub use plan::Step;
pub use run::Played;
pub use run::soak;
