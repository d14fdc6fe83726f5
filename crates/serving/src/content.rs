//! Identifies a request by its content, independent of sender and attempt.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// The identity of a request's content: the same for each attempt, at any instance.
///
/// The first eight bytes of a cryptographic hash over content that includes the customer. A
/// request that collides with another customer's can only be found by about 2^64 trials.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content(u64);

impl Content {
    /// Hashes these parts in their order.
    pub fn of(parts: &[&[u8]]) -> Content {
        Content::finish(hash_parts(parts))
    }

    /// Hashes these parts in their order, and a last one that is in several segments.
    pub fn of_segments(parts: &[&[u8]], segments: &[impl AsRef<[u8]>]) -> Content {
        let mut hasher = hash_parts(parts);
        let length: usize = segments.iter().map(|s| s.as_ref().len()).sum();
        hasher.update((length as u64).to_be_bytes());
        for segment in segments {
            hasher.update(segment);
        }
        Content::finish(hasher)
    }

    fn finish(hasher: Sha256) -> Content {
        let digest = hasher.finalize();
        let first = digest.iter().take(8);
        Content(first.fold(0, |n, byte| n << 8 | u64::from(*byte)))
    }

    /// The content with this number, as received from another instance.
    pub fn from_number(number: u64) -> Content {
        Content(number)
    }

    /// The number that identifies the content in messages.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Hashes parts in their order. Their lengths prevent the end of one from being taken for the start of
/// the next.
fn hash_parts(parts: &[&[u8]]) -> Sha256 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
