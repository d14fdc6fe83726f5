//! At which software version a stream may resume.

use jd_types::MonoTime;

use super::SoftwareVersion;
use super::StreamOrigin;

/// What is known of the versions that the upstreams of a service have or had while a stream can have
/// begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions that are known.
    pub versions: Vec<SoftwareVersion>,
    /// Up to when it is proven that there were no others; none if it is not proven.
    pub complete_until: Option<MonoTime>,
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

    /// The only version that can have begun a stream before `moment`.
    ///
    /// A version that appeared after the latest proof may not be known here. Versions that others have
    /// seen need no proof of their own: they can only add to those that are known here.
    pub fn only_as_of(&self, moment: MonoTime) -> Result<&SoftwareVersion, NoOnlyVersion> {
        match (self.versions.as_slice(), self.complete_until) {
            ([only], Some(until)) if until >= moment => Ok(only),
            ([_], Some(_)) => Err(NoOnlyVersion::NotProven),
            _ => Err(NoOnlyVersion::MayBeSeveral),
        }
    }

    /// True if no other version has been heard of, however long ago the latest proof was. Tells what
    /// is worth writing and reading, never where a stream goes on.
    pub fn seems_single(&self) -> bool {
        self.versions.len() == 1 && self.complete_until.is_some()
    }
}

/// Why no version is known to be the only one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoOnlyVersion {
    /// There were several, or there is no record of those that there were.
    MayBeSeveral,
    /// No other one was known at the latest proof, which is too old.
    NotProven,
}

/// Why a stream may not resume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// Nobody knows which version began the stream, and several can have.
    UnknownOrigin,
    /// Nobody knows which version began the stream, and others than the only one that is known may
    /// have appeared since the latest proof.
    VersionsNotProven,
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
            ResumeError::VersionsNotProven => "not-proven",
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
            ResumeError::VersionsNotProven | ResumeError::OriginNotRead => {
                "it is not known yet which software version began the stream; ask again"
            }
            ResumeError::UncertainOrigin => {
                "the upstream that began the stream runs another version now; begin it anew"
            }
        }
    }

    /// True if another attempt may get another answer.
    pub fn is_temporary(self) -> bool {
        match self {
            ResumeError::VersionsNotProven | ResumeError::OriginNotRead => true,
            ResumeError::UnknownOrigin
            | ResumeError::ForeignStream
            | ResumeError::UncertainOrigin => false,
        }
    }
}

/// The version at which a stream may resume that began at `origin`, for a request of `customer`.
/// `known` are the versions that upstreams of its service have or had while the stream can have
/// begun, and `asked_at` is when the request arrived.
///
/// Where there was provably only one version until the request arrived, it began the stream, whoever
/// knows of it.
pub fn resume_at<'a>(
    origin: Option<&'a StreamOrigin>,
    customer: Option<&str>,
    known: &'a KnownVersions,
    asked_at: MonoTime,
) -> Result<&'a SoftwareVersion, ResumeError> {
    let own = origin.filter(|origin| origin.customer.as_deref() == customer);
    match (own, known.only_as_of(asked_at)) {
        (Some(StreamOrigin { software, .. }), _) => {
            software.as_ref().ok_or(ResumeError::UncertainOrigin)
        }
        (None, Ok(only)) => Ok(only),
        (None, Err(NoOnlyVersion::NotProven)) => Err(ResumeError::VersionsNotProven),
        (None, Err(NoOnlyVersion::MayBeSeveral)) if origin.is_some() => {
            Err(ResumeError::ForeignStream)
        }
        (None, Err(NoOnlyVersion::MayBeSeveral)) => Err(ResumeError::UnknownOrigin),
    }
}
