//! What a request says of its prompt.

use compact_str::CompactString;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a request says of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is to run it.
    pub model: CompactString,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Tokens that may be generated.
    pub tokens_out: u32,
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// What requests with the same memory have in common: the model and the
    /// last part that others may share. That is the one before the request's
    /// own; the earlier ones are common to many sessions and are soon
    /// everywhere.
    pub fn session(&self) -> u64 {
        let model = self.model.bytes().fold(FNV_OFFSET, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(FNV_PRIME)
        });
        let shared = match self.parts.as_slice() {
            [.., shared, _own] => shared.id,
            [only] => only.id,
            [] => 0,
        };
        (model ^ shared).wrapping_mul(FNV_PRIME)
    }
}

/// The start and the factor of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
