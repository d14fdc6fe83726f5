//! Integration tests of whole gateways, with failing upstreams and a failing store.

#![allow(clippy::expect_used, clippy::panic)]

mod backoffs;
mod brittle;
mod changed_routes;
mod cold_start;
mod crashes;
mod crashing_parts;
mod cut_short;
mod deciders;
mod early_answers;
mod endless;
mod evacuation;
mod event_numbers;
mod fakes;
mod false_quarantines;
mod fleet;
mod handover;
mod held_answers;
mod hidden_crashes;
mod leaving;
mod limits;
mod loads;
mod lost_origins;
mod lost_paths;
mod paces;
mod placed_prompts;
mod refused_heads;
mod requests;
mod restarts;
mod rewritten_entries;
mod run_bounds;
mod silences;
mod stops;
mod unframed;
mod versions;
