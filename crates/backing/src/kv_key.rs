//! Keys in the platform's key-value service.

use std::fmt;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// A key. Only the constructors here make keys, so that the layout of what the
/// system keeps in the platform's service stands in one place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KvKey(CompactString);

impl KvKey {
    /// The prefix of all change records.
    pub const LOG: &'static str = "config/log/";
    /// The prefix of all queued items.
    pub const QUEUE: &'static str = "queue/";

    /// The change record of `revision`. Padded, so that keys sort by revision.
    pub fn log(revision: Revision) -> KvKey {
        KvKey(format_compact!("{}{:016}", KvKey::LOG, revision.get()))
    }

    /// The newest snapshot of the configuration.
    pub fn snapshot() -> KvKey {
        KvKey(CompactString::const_new("config/snapshot"))
    }

    /// The record of how limits are divided.
    pub fn shares() -> KvKey {
        KvKey(CompactString::const_new("limits/shares"))
    }

    /// The holder of the duty called `name`.
    pub fn duty(name: &str) -> KvKey {
        KvKey(format_compact!("duty/{name}"))
    }

    /// The claim of an idempotency key without a binding.
    pub fn claim(customer: &str, key: &str) -> KvKey {
        KvKey(format_compact!("claim/{customer}/{key}"))
    }

    /// A batch of deferred work.
    pub fn queue(batch: &str) -> KvKey {
        KvKey(format_compact!("{}{batch}", KvKey::QUEUE))
    }

    /// A key as it came over the wire.
    pub fn from_wire(text: &str) -> KvKey {
        KvKey(CompactString::from(text))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KvKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
