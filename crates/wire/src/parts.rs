//! Packed records that are told in parts.

use bytes::Bytes;

use crate::FollowReply;
use crate::FollowRequest;

/// The largest part in one answer, in bytes.
pub const PART_BYTES: usize = 64 << 10;
/// The most bytes of packed records that are taken from another instance.
pub const MOST_PACKED: usize = 16 << 20;

/// Puts the part of `packed` that a question asks for into the answer, which names the
/// revision that it is of. True if it is the last one.
///
/// The load that it answers: a hundred instances that start ask one that relays. With a
/// copy of the whole piece for each, it held more than a weak instance has.
pub fn put_part(reply: &mut FollowReply, packed: &Bytes, asked: &FollowRequest) -> bool {
    if !asked.takes_parts {
        reply.packed = packed.to_vec();
        return true;
    }
    let same = asked.has_revision == reply.packed_revision && asked.has_era == reply.packed_era;
    let from = match same {
        true => (asked.has_bytes as usize).min(packed.len()),
        false => 0,
    };
    let end = (from + PART_BYTES).min(packed.len());
    reply.packed = packed[from..end].to_vec();
    reply.packed_from = u32::try_from(from).unwrap_or(u32::MAX);
    reply.packed_size = u32::try_from(packed.len()).unwrap_or(u32::MAX);
    end == packed.len()
}

/// Puts the parts of packed records together that one instance tells.
#[derive(Debug, Default)]
pub struct PackedParts {
    bytes: Vec<u8>,
    /// The era and the revision that they are of.
    of: (u64, u64),
}

/// What an answer with a part of packed records comes to.
#[derive(Debug, Clone, PartialEq)]
pub enum PartsTaken {
    /// The answer, with all parts together.
    Whole(Box<FollowReply>),
    /// Some are missing; this asks for the next one.
    Asks(FollowRequest),
    /// They are more than is taken, or the part is empty though others are missing.
    Refused,
}

impl PackedParts {
    /// Takes the answer to a question in. A part of a piece that was packed anew, or that
    /// does not go on where the others end, begins anew.
    pub fn take(&mut self, asked: &FollowRequest, mut reply: FollowReply) -> PartsTaken {
        if reply.packed_size == 0 {
            return PartsTaken::Whole(Box::new(reply));
        }
        if reply.packed_size as usize > MOST_PACKED || reply.packed.is_empty() {
            return PartsTaken::Refused;
        }
        let of = (reply.packed_era, reply.packed_revision);
        let goes_on = of == self.of && reply.packed_from as usize == self.bytes.len();
        if !goes_on {
            self.bytes.clear();
        }
        self.of = of;
        if goes_on || reply.packed_from == 0 {
            self.bytes.append(&mut reply.packed);
        }
        if self.bytes.len() >= reply.packed_size as usize {
            reply.packed = std::mem::take(&mut self.bytes);
            return PartsTaken::Whole(Box::new(reply));
        }
        PartsTaken::Asks(FollowRequest {
            wait_ms: 0,
            has_bytes: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            has_revision: reply.packed_revision,
            has_era: reply.packed_era,
            ..*asked
        })
    }
}
