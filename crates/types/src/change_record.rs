//! A change in force, with all that explains it.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::Revision;
use crate::WallTime;

/// A change's identity, drawn by its proposer. Whoever finds it in the log
/// knows that the write took effect, even if the answer to it was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(u64);

impl ChangeId {
    /// An identity from a random number.
    pub const fn new(number: u64) -> ChangeId {
        ChangeId(number)
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{:016x}", self.0)
    }
}

/// One entry of the configuration log. The entry is the audit trail: a change
/// cannot be in force without the record that explains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The configuration's revision with this change in it.
    pub revision: Revision,
    /// The change's identity.
    pub id: ChangeId,
    /// Who asked for it.
    pub who: CompactString,
    /// When, by the wall clock of the instance that wrote it.
    pub when: WallTime,
    /// Why, in the operator's words; may be empty.
    pub why: CompactString,
    /// What was changed.
    pub change: Change,
    /// The object's value before, as the operators' language shows it.
    pub from: CompactString,
    /// The object's value after.
    pub to: CompactString,
}
