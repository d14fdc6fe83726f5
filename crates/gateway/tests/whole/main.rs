//! Whole gateways, with upstreams and a store that fail.

#![allow(clippy::expect_used, clippy::panic)]

mod backoffs;
mod cold_start;
mod crashes;
mod evacuation;
mod fakes;
mod false_quarantines;
mod fleet;
mod leaving;
mod limits;

mod requests;
mod restarts;
