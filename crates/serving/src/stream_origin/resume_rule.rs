//! At which software version a stream may resume.

use super::SoftwareVersion;
use super::StreamOrigin;

/// Why a stream may not resume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// Nobody knows which version began the stream, and several can have.
    UnknownOrigin,
    /// The stream belongs to another customer.
    ForeignStream,
    /// The upstream that began the stream has started again as another version.
    UncertainOrigin,
}

impl ResumeError {
    /// The reason as logged.
    pub fn as_str(self) -> &'static str {
        match self {
            ResumeError::UnknownOrigin => "unknown",
            ResumeError::ForeignStream => "foreign",
            ResumeError::UncertainOrigin => "uncertain",
        }
    }

    /// The reason for the caller.
    pub fn detail(self) -> &'static str {
        match self {
            ResumeError::UnknownOrigin | ResumeError::ForeignStream => {
                "it is not known which software version began the stream; begin it anew"
            }
            ResumeError::UncertainOrigin => {
                "the upstream that began the stream runs another version now; begin it anew"
            }
        }
    }
}

/// The version at which a stream may resume that began at `origin`, for a request of `customer`.
/// `lately` are the versions that upstreams of its service have or had while the stream can have
/// begun.
///
/// Where there was only one version, it began the stream, whoever knows of it.
pub fn resume_at<'a>(
    origin: Option<&'a StreamOrigin>,
    customer: Option<&str>,
    lately: &'a [SoftwareVersion],
) -> Result<&'a SoftwareVersion, ResumeError> {
    let own = origin.filter(|origin| origin.customer.as_deref() == customer);
    match (own, lately) {
        (Some(StreamOrigin { software, .. }), _) => {
            software.as_ref().ok_or(ResumeError::UncertainOrigin)
        }
        (None, [only]) => Ok(only),
        (None, _) if origin.is_some() => Err(ResumeError::ForeignStream),
        (None, _) => Err(ResumeError::UnknownOrigin),
    }
}
