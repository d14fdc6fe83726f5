//! Measurements.
//!
//! [`slopes`] measures what each role of an instance costs at several sizes, by
//! the state machines alone, so that docs/CAPACITY.md can multiply a measured
//! slope by a target size instead of guessing. [`experiment`] runs the shipped
//! policies and simpler ones against the same calls and faults. [`stages`] does
//! the same for the desk that fills calls for pieces of stages.

pub mod experiment;
pub mod slopes;
pub mod stages;
