//! The whole system in one process.
//!
//! Stand-ins for the platform and the upstreams of a deployment, nine entry
//! instances in three halls, and callers with that deployment's mix of work,
//! all on loopback, for a bounded time. Faults can be called by name. At the
//! end every promise is checked against what callers and stand-ins counted
//! themselves; the system's own opinion is not asked.

mod bites;
mod callers;
mod checks;
mod demo_error;
mod fault;
mod idle;
mod injector;
mod operators;
mod options;
mod report;
mod run;
mod tally;
mod world;

pub use demo_error::DemoError;
pub use fault::Fault;
pub use idle::IdleCost;
pub use idle::idle_cost;
pub use options::DemoOptions;
pub use report::Report;
pub use run::run;
