//! Decisions of the serving path, without I/O.
//!
//! What the operator put in force ([`Router`]), which upstreams and instances
//! there are ([`UpstreamDirectory`], [`InstanceDirectory`]), how old that
//! knowledge is ([`Freshness`]), which pieces of stages go where and when
//! ([`StageDesk`]), where a prompt goes ([`place_prompt`]) and what may be sent
//! again ([`RepeatBudget`]). Time is passed in; nothing reads a clock or a
//! socket, so that tests replay loads in virtual time.

mod batch_call;
mod batch_upstream;
mod call_head;
mod content;
mod deployment;
mod desk_call;
mod desk_estimates;
mod desk_job;
mod desk_restarts;
mod desk_results;
mod desk_rooms;
mod desk_zones;
mod event_splitter;
mod expectation;
mod freshness;
mod instance_directory;
mod job_end;
mod news_source;
mod owner;
mod prompt;
mod prompt_placement;
mod rank;
mod repeat_budget;
mod result_room;
mod returning;
mod room_watch;
mod route;
mod router;
mod service;
mod shard;
mod stage_desk;
mod stage_job;
mod stage_queue;
mod store_mirror;
mod upstream_directory;
mod upstream_start;
mod zone_turns;

pub use batch_call::BatchCall;
pub use batch_call::CallKey;
pub use batch_call::CallResult;
pub use batch_call::PieceOrder;
pub use batch_call::PieceResult;
pub use batch_call::PieceSource;
pub use batch_call::RoomQuestion;
pub use batch_call::RoomReport;
pub use batch_upstream::StageUpstream;
pub use call_head::CallHead;
pub use content::Content;
pub use deployment::CallerLimits;
pub use deployment::CustomerSpec;
pub use deployment::Deployment;
pub use event_splitter::EventSplitter;
pub use expectation::Expectation;
pub use freshness::Freshness;
pub use freshness::Proof;
pub use instance_directory::Heartbeat;
pub use instance_directory::InstanceDirectory;
pub use instance_directory::InstanceEntry;
pub use instance_directory::SilentInstance;
pub use job_end::JobEnd;
pub use job_end::JobFailure;
pub use job_end::JobKey;
pub use news_source::NewsSource;
pub use news_source::SMALL_FLEET;
pub use news_source::SourceState;
pub use news_source::news_source;
pub use owner::Strength;
pub use owner::owners;
pub use prompt::Prompt;
pub use prompt::PromptPart;
pub use prompt_placement::PromptUpstream;
pub use prompt_placement::place_prompt;
pub use repeat_budget::RepeatBound;
pub use repeat_budget::RepeatBudget;
pub use route::Repeat;
pub use route::Route;
pub use route::StageSpec;
pub use route::Target;
pub use router::Caller;
pub use router::RouteKey;
pub use router::Router;
pub use service::BatchSpec;
pub use service::GenerationSpec;
pub use service::Service;
pub use shard::Shard;
pub use shard::ShardMap;
pub use stage_desk::StageDesk;
pub use stage_job::JobStage;
pub use stage_job::PieceKey;
pub use stage_job::StageJob;
pub use store_mirror::News;
pub use store_mirror::StoreItem;
pub use store_mirror::StoreMirror;
pub use upstream_directory::UpstreamDirectory;
pub use upstream_directory::UpstreamEntry;
pub use upstream_start::UpstreamStart;
