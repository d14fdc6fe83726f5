//! Gateways with a store that is restored from a copy.
//!
//! A test binary of its own, because the fleets of all tests together would hold more
//! connections than one process may have open.

#![allow(clippy::expect_used, clippy::panic)]

#[allow(dead_code, unused_imports)]
#[path = "../whole/fakes/mod.rs"]
mod fakes;
mod restored_store;
