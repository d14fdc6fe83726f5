//! Where a line stops making sense.

use compact_str::CompactString;
use snafu::Snafu;

/// Where a line stops making sense, and what was expected there.
#[derive(Debug, Clone, Snafu, PartialEq, Eq)]
#[snafu(display("column {column}: expected {expected}"))]
#[snafu(visibility(pub(crate)))]
pub struct ParseError {
    /// The column, from 1, counted in characters.
    pub column: usize,
    /// What was expected there.
    pub expected: CompactString,
}
