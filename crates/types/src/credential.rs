//! Digests of credentials.

use std::fmt;
use std::fmt::Write;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;

/// The SHA-256 digest of a credential in hexadecimal. Many people can read the
/// audit trail, so the configuration never contains the credential itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CredentialDigest(CompactString);

impl fmt::Display for CredentialDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// The error for text that is not a digest.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display(
    "a credential's digest is 64 lower-case hexadecimal digits; make it with `sha256sum`"
))]
pub struct DigestError;

impl TryFrom<&str> for CredentialDigest {
    type Error = DigestError;

    fn try_from(text: &str) -> Result<CredentialDigest, DigestError> {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        match text.len() == 64 && text.bytes().all(hex) {
            true => Ok(CredentialDigest(CompactString::from(text))),
            false => DigestSnafu.fail(),
        }
    }
}

impl CredentialDigest {
    /// The digest of `credential`.
    pub fn of(credential: &str) -> CredentialDigest {
        let mut hex = CompactString::default();
        for byte in Sha256::digest(credential.as_bytes()) {
            // Writing to a string cannot fail.
            let _ = write!(hex, "{byte:02x}");
        }
        CredentialDigest(hex)
    }
}
