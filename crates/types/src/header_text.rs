//! Text that a header carries unchanged.

use snafu::Snafu;
use snafu::ensure;

/// Text that arrives unchanged if it is the value of a header: without control characters, which are
/// no part of a value, and without blanks at its ends, which recipients strip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderText<'a>(&'a str);

/// Why a header cannot carry a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HeaderTextError {
    /// It has a control character.
    #[snafu(display("it has a control character; leave it out"))]
    ControlCharacter,
    /// It begins or ends with a blank.
    #[snafu(display("it begins or ends with a blank; leave it out"))]
    OuterBlank,
}

impl<'a> HeaderText<'a> {
    /// The text.
    pub const fn as_str(self) -> &'a str {
        self.0
    }
}

impl<'a> TryFrom<&'a str> for HeaderText<'a> {
    type Error = HeaderTextError;

    fn try_from(text: &'a str) -> Result<HeaderText<'a>, HeaderTextError> {
        ensure!(!text.chars().any(char::is_control), ControlCharacterSnafu);
        ensure!(text.trim() == text, OuterBlankSnafu);
        Ok(HeaderText(text))
    }
}
