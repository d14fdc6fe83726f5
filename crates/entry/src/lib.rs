//! An entry instance: the shell around the decisions.
//!
//! Every instance is alike. It tells callers which address to use, takes their
//! requests, runs pipelines, relays configuration to its peers and serves
//! operators. This crate owns sockets, timers and threads; every rule it
//! follows is in `jd-policy` or `jd-coord`, where it can be tested without any
//! of them. [`Entry::start`] needs checked settings and the platform's
//! services, which an embedder may implement differently.

mod caller_api;
mod caller_request;
mod caller_response;
mod config_sync;
mod duties;
mod entry;
mod heartbeat;
mod key_claims;
mod key_routing;
mod list_sync;
mod locate_api;
mod metrics;
mod operator_api;
mod outbox_sync;
mod output;
mod peer_api;
mod peer_links;
mod pool_runtime;
mod problem;
mod proposals;
mod queries;
mod query_reply;
mod queue_worker;
mod run_driver;
mod share_sync;
mod shared;
mod snapshot;
mod upstream_client;

pub use entry::Entry;
pub use entry::Platform;
pub use locate_api::LocateBody;
pub use locate_api::LocateEntryBody;
pub use metrics::METRICS;
pub use output::StreamLine;
pub use problem::Problem;
pub use query_reply::QueryReply;
