//! The software version of an upstream.

use compact_str::CompactString;

/// The version of the software that an upstream runs, as its entry names it. Only equality means
/// anything: versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct SoftwareVersion(CompactString);

impl SoftwareVersion {
    /// The version with this name.
    pub fn new(name: impl Into<CompactString>) -> SoftwareVersion {
        SoftwareVersion(name.into())
    }

    /// The name of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
