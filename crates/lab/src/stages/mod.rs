//! Stages before the shipped desk, in virtual time.
//!
//! The load is Karrabin's: three services of five upstreams, kinds of request of
//! one to three stages, and a burst. It stands for any shard: the grown sites
//! have as many upstreams of each service in a zone. Not modelled: faults, other
//! owners, and what a request does after its stages.

mod kind;
mod loads;
mod report;
mod world;

pub use kind::KINDS;
pub use kind::Kind;
pub use loads::table;
pub use report::Report;
pub use world::Load;
pub use world::run;
