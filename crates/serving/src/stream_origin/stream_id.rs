//! The identity of a stream over the attempts of its caller.

use compact_str::CompactString;
use snafu::Snafu;
use snafu::ensure;

/// Maximum length of an ID, in bytes. IDs are kept by several instances.
const MAX_BYTES: usize = 64;

/// The ID of a stream: that of the caller's attempt that brought its first event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamId(CompactString);

/// Why a text is not the ID of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StreamIdError {
    /// The text is empty.
    #[snafu(display("the ID of a stream is empty; name the attempt that brought its first event"))]
    Empty,
    /// The text is too long.
    #[snafu(display("the ID of a stream is longer than {MAX_BYTES} bytes; use a shorter one"))]
    TooLong,
    /// The text has characters other than visible ASCII.
    #[snafu(display("the ID of a stream has a character that is not visible ASCII"))]
    BadCharacter,
}

impl StreamId {
    /// The ID as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for StreamId {
    type Error = StreamIdError;

    fn try_from(text: &str) -> Result<StreamId, StreamIdError> {
        let text = text.trim();
        ensure!(!text.is_empty(), EmptySnafu);
        ensure!(text.len() <= MAX_BYTES, TooLongSnafu);
        let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
        ensure!(is_visible, BadCharacterSnafu);
        Ok(StreamId(text.into()))
    }
}
