//! Identifiers of process lifetimes of instances.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// The identifier of one process lifetime of an instance: a random number generated
/// at startup. A restarted instance is a different incarnation and has no record of
/// the requests that the earlier one ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(u64);

impl Incarnation {
    /// The incarnation with the given number.
    pub const fn new(number: u64) -> Incarnation {
        Incarnation(number)
    }

    /// The incarnation's number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error for text that is not an incarnation.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display(
    "an incarnation is 16 hexadecimal digits; copy it from the locate answer unchanged"
))]
pub struct IncarnationError;

impl TryFrom<&str> for Incarnation {
    type Error = IncarnationError;

    fn try_from(text: &str) -> Result<Incarnation, IncarnationError> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match u64::from_str_radix(text, 16) {
            Ok(n) if digits => Ok(Incarnation(n)),
            _ => IncarnationSnafu.fail(),
        }
    }
}

impl TryFrom<String> for Incarnation {
    type Error = IncarnationError;

    fn try_from(text: String) -> Result<Incarnation, IncarnationError> {
        Incarnation::try_from(text.as_str())
    }
}

impl From<Incarnation> for String {
    fn from(i: Incarnation) -> String {
        i.to_string()
    }
}
