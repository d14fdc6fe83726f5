//! The identity of an upstream.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;

use compact_str::CompactString;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::HeaderText;
use crate::HeaderTextError;

/// The maximum length of an identity in bytes: that of a key in the users' store.
const MAX_BYTES: usize = 200;

/// The identity of an upstream, which each request to it names in a header.
///
/// Any text that a header carries unchanged is one. Another writer of the store may leave an entry under
/// any name; a request to the address in an entry whose name cannot be sent would run wherever the
/// address leads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(CompactString);

/// Why a text is not the identity of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum UpstreamIdError {
    /// It is empty.
    #[snafu(display("the identity is empty; name the upstream"))]
    Empty,
    /// It is too long.
    #[snafu(display("the identity is longer than {MAX_BYTES} bytes; use a shorter one"))]
    TooLong,
    /// A header cannot carry it.
    #[snafu(display("the identity cannot be sent in a header: {source}"))]
    NotSendable {
        /// The reason.
        source: HeaderTextError,
    },
}

impl TryFrom<&str> for UpstreamId {
    type Error = UpstreamIdError;

    fn try_from(text: &str) -> Result<UpstreamId, UpstreamIdError> {
        ensure!(!text.is_empty(), EmptySnafu);
        ensure!(text.len() <= MAX_BYTES, TooLongSnafu);
        HeaderText::try_from(text).context(NotSendableSnafu)?;
        Ok(UpstreamId(text.into()))
    }
}

impl From<UpstreamId> for CompactString {
    fn from(id: UpstreamId) -> CompactString {
        id.0
    }
}

impl Deref for UpstreamId {
    type Target = CompactString;

    fn deref(&self) -> &CompactString {
        &self.0
    }
}

impl Borrow<str> for UpstreamId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
