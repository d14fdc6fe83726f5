//! What a request is, whoever sends it and however often.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// What a request is: the same for each attempt at it, at whatever instance.
///
/// The first eight bytes of a cryptographic hash, of which the customer is a part. A request
/// that is taken for another customer's is found only by trying some 2^64.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content(u64);

impl Content {
    /// The content that these parts make, in their order.
    pub fn of(parts: &[&[u8]]) -> Content {
        let mut hasher = Sha256::new();
        for part in parts {
            // The lengths keep the end of one part from passing for the start of the next.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let first = digest.iter().take(8);
        Content(first.fold(0, |n, byte| n << 8 | u64::from(*byte)))
    }

    /// The content of that number, as another instance names it.
    pub fn from_number(number: u64) -> Content {
        Content(number)
    }

    /// Its number, for messages.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
