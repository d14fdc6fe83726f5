//! Which software version of upstreams began a stream, and where it may resume.
//!
//! Upstreams of several versions may serve side by side. What two versions write does not fit
//! together, and upstreams do not check this.

use std::time::Duration;

mod origins;
mod resume_rule;
mod service_versions;
mod software_version;
mod stream_id;
mod unsaved_origins;
mod version_evidence;
mod version_history;
mod version_record;

/// How old a stream may be when its caller resumes it. Bounds how long origins are kept, and
/// versions after their upstreams have gone.
const MAX_STREAM_AGE: Duration = Duration::from_secs(600);

pub use origins::StreamBeginning;
pub use origins::StreamOrigin;
pub use origins::StreamOrigins;
pub use resume_rule::KnownVersions;
pub use resume_rule::NoOnlyVersion;
pub use resume_rule::ResumeError;
pub use resume_rule::resume_at;
pub use service_versions::ServiceVersions;
pub use software_version::SoftwareVersion;
pub use software_version::SoftwareVersionError;
pub use stream_id::StreamId;
pub use stream_id::StreamIdError;
pub use unsaved_origins::OriginBatch;
pub use unsaved_origins::SaverRole;
pub use unsaved_origins::UnsavedOrigins;
pub use version_evidence::VersionCertainty;
pub use version_evidence::VersionEvidence;
pub use version_evidence::judge_version;
pub use version_history::MIN_STREAM_SPAN;
pub use version_history::VersionHistory;
pub use version_record::ListedVersion;
pub use version_record::RecordedVersion;
pub use version_record::VersionRecord;
pub use version_record::may_begin_stream;
