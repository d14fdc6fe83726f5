//! Log lines on things that others write.

use std::collections::HashMap;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::LineDecision;
use crate::LineLimit;

/// How many keys are remembered. If there are more, lines on them are written again with each reading,
/// within the limit of lines.
const MAX_REMEMBERED: usize = 4_096;
/// The most bytes of a text of others in a log line: as many as the longest key of the users' store.
const MAX_SHOWN_BYTES: usize = 200;

/// Decides which log lines are written on entries that others write: one for each write of an entry,
/// however often it is read, and no more than a number of lines a second, however many are written.
#[derive(Debug, Default)]
pub struct KeyedLines {
    /// The latest write of each key that was logged.
    logged: HashMap<CompactString, [u64; 2]>,
    limit: LineLimit,
}

impl KeyedLines {
    /// Decides on the line on a write; none if it was logged before.
    pub fn decide(&mut self, now: MonoTime, key: &str, write: [u64; 2]) -> Option<LineDecision> {
        if self.logged.get(key) == Some(&write) {
            return None;
        }
        if self.logged.len() >= MAX_REMEMBERED {
            self.logged.clear();
        }
        self.logged.insert(key.into(), write);
        Some(self.limit.decide(now))
    }
}

/// The beginning of a text of others, which may be of any length, for a log line.
pub fn shortened(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_SHOWN_BYTES)]
}
