//! What can be asked of the platform's key-value service.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::KvKey;

/// The service's counter of writes at the time an entry was written. Grows
/// with every write to any key, so it serves as a fencing token too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64);

/// A lease granted by the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The entry still has that version.
    Version(Version),
}

/// One call to the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum KvRequest {
    /// Reads one entry.
    Get {
        /// Its key.
        key: KvKey,
    },
    /// Writes an entry if `expect` holds.
    Put {
        /// Its key.
        key: KvKey,
        /// The new value, at most [`KvRequest::MAX_VALUE`] bytes.
        value: String,
        /// The condition.
        expect: Expect,
        /// The lease with which the entry disappears.
        lease: Option<LeaseId>,
    },
    /// Deletes an entry if it still has that version.
    Delete {
        /// Its key.
        key: KvKey,
        /// The condition.
        version: Version,
    },
    /// Reads entries whose key starts with `prefix` and is greater than
    /// `after`, in order of keys.
    Scan {
        /// The common prefix.
        prefix: CompactString,
        /// Where the last scan ended.
        after: Option<KvKey>,
        /// The most entries.
        limit: u32,
    },
    /// As `Scan`, but waits up to `wait_ms` until there is something.
    Watch {
        /// The common prefix.
        prefix: CompactString,
        /// Where the last watch ended.
        after: Option<KvKey>,
        /// The longest wait, in milliseconds.
        wait_ms: u32,
    },
    /// Grants a lease.
    Grant {
        /// How long it lasts without being kept, in milliseconds.
        ttl_ms: u32,
    },
    /// Keeps a lease for another full term.
    Keep {
        /// The lease.
        lease: LeaseId,
    },
}

impl KvRequest {
    /// The largest value, in bytes.
    pub const MAX_VALUE: usize = 1 << 20;

    /// A grant of a lease of that length.
    pub fn grant(ttl: Duration) -> KvRequest {
        KvRequest::Grant {
            ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// True if the call can change something, so that a lost answer leaves a
    /// doubt.
    pub fn is_write(&self) -> bool {
        matches!(self, KvRequest::Put { .. } | KvRequest::Delete { .. })
    }
}
