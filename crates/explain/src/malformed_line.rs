//! Input lines that cannot be read as log lines.

use compact_str::CompactString;
use snafu::Snafu;

/// An input line that cannot be read as a log line.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{file}:{number}: {reason}; give the instances' own JSON lines, one a line"))]
#[snafu(visibility(pub(crate)))]
pub struct MalformedLine {
    /// The file that holds the line.
    pub file: CompactString,
    /// The line number in the file, from 1.
    pub number: usize,
    /// The fault, as the parser reports it.
    pub reason: CompactString,
}
