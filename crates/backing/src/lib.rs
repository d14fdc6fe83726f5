//! The platform's services as this system sees them.
//!
//! Three services belong to the platform: a key-value service that holds what
//! must last, a lagging list of instances, and a rate-limited store of model
//! weights. Each is one typed request, one typed reply and one trait, so that
//! an adapter to the real protocol stays small and a fake can lose, delay or
//! refuse any single call.

mod kv_error;
mod kv_key;
mod kv_reply;
mod kv_request;
mod listed;
mod service;
mod work;

pub use kv_error::KvError;
pub use kv_key::KvKey;
pub use kv_reply::KvEntry;
pub use kv_reply::KvReply;
pub use kv_request::Expect;
pub use kv_request::KvRequest;
pub use kv_request::LeaseId;
pub use kv_request::Version;
pub use listed::Listed;
pub use listed::ListedState;
pub use service::InstanceList;
pub use service::KeyValue;
pub use service::ServiceFuture;
pub use work::EngineOrder;
pub use work::EngineStatus;
pub use work::HEADER_LEAVING;
pub use work::HEADER_LOAD;
pub use work::HEADER_NOT_RUN;
pub use work::WorkDone;
pub use work::WorkPart;
pub use work::WorkRequest;
