//! The software version of an upstream.

use compact_str::CompactString;
use snafu::Snafu;
use snafu::ensure;

/// Maximum length of a version, in bytes. Versions are kept with each stream and sent in headers.
const MAX_BYTES: usize = 256;

/// The version of the software that an upstream runs, as its entry names it. Only equality means
/// anything: versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct SoftwareVersion(CompactString);

/// Why a text is not a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SoftwareVersionError {
    /// The text is too long.
    #[snafu(display("the software version is longer than {MAX_BYTES} bytes; use a shorter one"))]
    TooLong,
    /// The text has control characters, which cannot be sent to other instances.
    #[snafu(display("the software version has a control character; leave it out"))]
    ControlCharacter,
}

impl SoftwareVersion {
    /// The name of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for SoftwareVersion {
    type Error = SoftwareVersionError;

    fn try_from(text: &str) -> Result<SoftwareVersion, SoftwareVersionError> {
        ensure!(text.len() <= MAX_BYTES, TooLongSnafu);
        ensure!(!text.chars().any(char::is_control), ControlCharacterSnafu);
        Ok(SoftwareVersion(text.into()))
    }
}
