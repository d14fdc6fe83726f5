//! At which software version a stream may resume.

use super::SoftwareVersion;
use super::StreamOrigin;

/// What is known of the versions that the upstreams of a service have or had while a stream can have
/// begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions that are known.
    pub versions: Vec<SoftwareVersion>,
    /// True if it is proven that there were no others.
    pub are_complete: bool,
}

impl KnownVersions {
    /// Adds versions that others have seen.
    pub fn extend(&mut self, seen: impl Iterator<Item = SoftwareVersion>) {
        for software in seen {
            if !self.versions.contains(&software) {
                self.versions.push(software);
            }
        }
    }

    /// The only version that can have begun a stream; none if there may be several.
    pub fn only(&self) -> Option<&SoftwareVersion> {
        match self.versions.as_slice() {
            [only] if self.are_complete => Some(only),
            _ => None,
        }
    }
}

/// Why a stream may not resume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// Nobody knows which version began the stream, and several can have.
    UnknownOrigin,
    /// The instances that keep the origin of the stream have not read it yet after their start.
    OriginNotRead,
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
            ResumeError::OriginNotRead => "not-read",
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
            ResumeError::OriginNotRead => {
                "it is not known yet which software version began the stream; ask again"
            }
            ResumeError::UncertainOrigin => {
                "the upstream that began the stream runs another version now; begin it anew"
            }
        }
    }
}

/// The version at which a stream may resume that began at `origin`, for a request of `customer`.
/// `known` are the versions that upstreams of its service have or had while the stream can have
/// begun.
///
/// Where there was provably only one version, it began the stream, whoever knows of it.
pub fn resume_at<'a>(
    origin: Option<&'a StreamOrigin>,
    customer: Option<&str>,
    known: &'a KnownVersions,
) -> Result<&'a SoftwareVersion, ResumeError> {
    let own = origin.filter(|origin| origin.customer.as_deref() == customer);
    match (own, known.only()) {
        (Some(StreamOrigin { software, .. }), _) => {
            software.as_ref().ok_or(ResumeError::UncertainOrigin)
        }
        (None, Some(only)) => Ok(only),
        (None, None) if origin.is_some() => Err(ResumeError::ForeignStream),
        (None, None) => Err(ResumeError::UnknownOrigin),
    }
}
