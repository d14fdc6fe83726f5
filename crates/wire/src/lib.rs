//! Messages between instances, and their checked conversion.
//!
//! The generated types accept anything that parses. Only the conversions here
//! turn them into the types that decisions are made on, and a message with a
//! name, address or part out of bounds is refused whole.

mod convert;
mod exchange;
mod generated;
mod packed;
mod parts;
mod stream_records;
mod wire_error;

pub use exchange::Exchange;
pub use exchange::ExchangeAnswer;
pub use exchange::Hint;
pub use generated::gateway::Backlog;
pub use generated::gateway::BeatReply;
pub use generated::gateway::BeatRequest;
pub use generated::gateway::BrittleService;
pub use generated::gateway::BrokenRun;
pub use generated::gateway::CompletedRun;
pub use generated::gateway::CrashReport;
pub use generated::gateway::CrashReportReply;
pub use generated::gateway::FollowReply;
pub use generated::gateway::FollowRequest;
pub use generated::gateway::Instance;
pub use generated::gateway::PermitReply;
pub use generated::gateway::PermitRequest;
pub use generated::gateway::Placement;
pub use generated::gateway::PromptDemand;
pub use generated::gateway::PromptPart;
pub use generated::gateway::Proof;
pub use generated::gateway::Quarantine;
pub use generated::gateway::ReleaseReply;
pub use generated::gateway::ReleaseRequest;
pub use generated::gateway::ReplicateResultsReply;
pub use generated::gateway::ReplicateResultsRequest;
pub use generated::gateway::Shard;
pub use generated::gateway::Stage;
pub use generated::gateway::StagesReply;
pub use generated::gateway::StagesRequest;
pub use generated::gateway::StoreItem;
pub use generated::gateway::StoredResult;
pub use generated::gateway::StreamQuery;
pub use generated::gateway::StreamQueryReply;
pub use generated::gateway::StreamRecord;
pub use generated::gateway::StreamRecordReply;
pub use generated::gateway::StreamRecords;
pub use generated::gateway::TrialStep;
pub use generated::gateway::UpstreamEnd;
pub use generated::gateway::UpstreamLimit;
pub use generated::gateway::UpstreamPace;
pub use generated::gateway::gateway_client::GatewayClient;
pub use generated::gateway::gateway_server::Gateway;
pub use generated::gateway::gateway_server::GatewayServer;
pub use generated::peer::ExchangeReply;
pub use generated::peer::ExchangeRequest;
pub use generated::peer::ForwardReply;
pub use generated::peer::ForwardRequest;
pub use generated::peer::peer_client::PeerClient;
pub use generated::peer::peer_server::Peer;
pub use generated::peer::peer_server::PeerServer;
pub use packed::pack;
pub use packed::unpack;
pub use parts::MOST_PACKED;
pub use parts::PART_BYTES;
pub use parts::PackedParts;
pub use parts::PartsTaken;
pub use parts::put_part;
pub use stream_records::decode_stream_records;
pub use stream_records::encode_stream_records;
pub use wire_error::WireError;
