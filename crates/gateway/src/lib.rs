//! The gateway instance: network I/O around the serving decisions.
//!
//! All instances are equal. An instance tells callers which addresses to use, accepts their
//! requests, runs the stages, sends the requests to upstreams, and returns to each caller
//! either its complete response or a refusal that says whether the request may have run. This
//! crate owns sockets, timers and tasks; the decisions are made in `jd-serving` and
//! `jd-policy`. The protocols of callers and upstreams are behind [`Dialect`], that of the
//! store behind [`Store`].

mod active_attempt;
mod attempt;
mod batch_calls;
mod batch_dispatcher;
mod batch_handover;
mod brittle;
mod caller_api;
mod caller_request;
mod cluster_state;
mod crash_reporter;
mod dialect;
mod event_stream;
mod forward_api;
mod forward_client;
mod forwarded_from;
mod forwarded_refusal;
mod gateway;
mod job_waiter;
mod known_versions;
mod latch;
mod limiters;
mod limits;
mod load_warnings;
mod metrics;
mod open_requests;
mod owner_order;
mod paces;
mod path_checker;
mod peer_api;
mod peer_channels;
mod peer_client;
mod peer_handover;
mod peer_instance;
mod peer_limits;
mod peer_paces;
mod peer_quarantine;
mod peer_replication;
mod peer_stages;
mod peer_streams;
mod permit_retries;
mod placed_prompt;
mod prompt_plans;
mod quarantine;
mod quarantine_coordinator;
mod ran_at;
mod result_free_queue;
mod result_release_queue;
mod result_replication;
mod retry_state;
mod revision_poller;
mod run_events;
mod selection_filter;
mod service_apis;
mod shutdown;
mod signal;
mod stage_failure;
mod stage_results;
mod stage_runner;
mod state;
mod store;
mod store_applier;
mod store_call;
mod store_follower;
mod store_lease;
mod store_link;
mod store_reader;
mod stream_registry;
mod stream_saver;
mod streaming_call;
mod unary_call;
mod upstream_backoffs;
mod upstream_client;
mod upstream_counts;
mod upstream_record;
mod upstream_selection;
mod upstream_table;
mod version_check;
mod version_recorder;

pub use dialect::Dialect;
pub use dialect::LocateQuery;
pub use dialect::ResponseHead;
pub use dialect::UpstreamRequest;
pub use gateway::Gateway;
pub use gateway::StartError;
pub use store::Change;
pub use store::ItemBatch;
pub use store::LeaseId;
pub use store::OriginItem;
pub use store::OriginPage;
pub use store::Page;
pub use store::QuarantineRecord;
pub use store::Record;
pub use store::RecordFilter;
pub use store::Store;
pub use store::StoreError;
pub use store::StoreFuture;
