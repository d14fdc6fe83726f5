//! Replication of stored results from the owner of a shard to its successor.
//!
//! Results of finished stages stay at upstreams when the owner of their shard dies. The owner
//! sends the successor what it tracks ([`ReplicaUpdate`]), so that the successor can continue jobs
//! that are submitted to it again, and release the results that nobody claims. An owner that goes on
//! running hands its begun jobs over itself ([`JobTransfer`]).

mod adopted_result;
mod adoption;
mod handover_event;
mod job_transfer;
mod owner_presence;
mod owner_replica;
mod replica_reply;
mod replica_update;
mod result_handover;
mod result_replicator;
mod stored_result;

pub use handover_event::HandoverEvent;
pub use job_transfer::JobTransfer;
pub(crate) use job_transfer::Transfers;
pub use owner_presence::OwnerPresence;
pub use replica_reply::ReplicaReply;
pub use replica_update::MAX_RESULTS_PER_UPDATE;
pub use replica_update::ReplicaUpdate;
pub(crate) use result_handover::ResultHandover;
pub use stored_result::StoredResult;
