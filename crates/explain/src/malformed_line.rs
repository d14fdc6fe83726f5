//! Lines that are not log lines.

use compact_str::CompactString;
use snafu::Snafu;

/// Why a line does not count.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(display("{file}:{number}: {reason}; give the instances' own JSON lines, one a line"))]
#[snafu(visibility(pub(crate)))]
pub struct MalformedLine {
    /// The file that it stands in.
    pub file: CompactString,
    /// Its number there, from 1.
    pub number: usize,
    /// What is wrong with it.
    pub reason: CompactString,
}
