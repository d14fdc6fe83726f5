//! Whole gateways at a store that comes back from a copy.
//!
//! A program of their own: the fleets of all tests of one program together would hold
//! more connections than one process may have open.

#![allow(clippy::expect_used, clippy::panic)]

#[allow(dead_code, unused_imports)]
#[path = "../whole/fakes/mod.rs"]
mod fakes;
mod restored_store;
