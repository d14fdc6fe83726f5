//! Which software version of upstreams began a stream, and where it may resume.
//!
//! What two versions write does not fit together, and upstreams do not check this.

mod software_version;
mod stream_id;

pub use software_version::SoftwareVersion;
pub use stream_id::StreamId;
pub use stream_id::StreamIdError;
