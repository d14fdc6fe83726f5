//! What the platform's key-value service answers.

use serde::Deserialize;
use serde::Serialize;

use crate::KvKey;
use crate::LeaseId;
use crate::Version;

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// Its key.
    pub key: KvKey,
    /// Its value.
    pub value: String,
    /// When it was last written.
    pub version: Version,
}

/// The answer to one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
pub enum KvReply {
    /// To `Get`: the entry, if there is one.
    Found {
        /// The entry.
        entry: Option<KvEntry>,
    },
    /// To `Put` and `Delete`: it took effect.
    Written {
        /// The entry's version now.
        version: Version,
    },
    /// To `Put` and `Delete`: the condition did not hold.
    Conflict {
        /// The entry as it is; none if it does not exist.
        current: Option<KvEntry>,
    },
    /// To `Scan` and `Watch`.
    Entries {
        /// Entries in order of keys.
        entries: Vec<KvEntry>,
    },
    /// To `Grant` and `Keep`.
    Lease {
        /// The lease.
        lease: LeaseId,
    },
    /// To `Keep` and to a `Put` with a lease: it has lapsed.
    LeaseGone,
}
