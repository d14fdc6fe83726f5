//! Where a page of the store begins.

use std::fmt;

use bytes::Bytes;

/// The most bytes of a key in a log line: as many as the longest key of the users' store.
const MAX_LOGGED_BYTES: usize = 200;

/// The key after which a page of the store begins.
///
/// Any writer of the store chooses keys, so that this one may hold any bytes. It has no form as text
/// other than the escaped one for logs: an implementation of [`Store`](crate::Store) encodes its bytes
/// for its protocol.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PageKey(Bytes);

impl PageKey {
    /// The bytes of the key, as they are.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<Bytes> for PageKey {
    fn from(key: Bytes) -> PageKey {
        PageKey(key)
    }
}

impl From<&str> for PageKey {
    fn from(key: &str) -> PageKey {
        PageKey(Bytes::copy_from_slice(key.as_bytes()))
    }
}

impl fmt::Display for PageKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = &self.0[..self.0.len().min(MAX_LOGGED_BYTES)];
        write!(f, "{}", shown.escape_ascii())
    }
}
