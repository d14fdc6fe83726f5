//! Describes a request's prompt.

use compact_str::CompactString;

/// The largest number of parts of a prompt. Each of them is looked up before each send.
pub const MAX_PROMPT_PARTS: usize = 128;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// The prompt of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model that runs the request.
    pub model: CompactString,
    /// The prompt's length in tokens.
    pub tokens_in: u32,
    /// The number of tokens that may be generated.
    pub tokens_out: u32,
    /// Its parts in order; the last one belongs to the request alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// A hash of the model and the last part that other requests may share, which requests that
    /// use the same cached tokens have in common. That part is the one before the request's
    /// own; earlier parts are common to many sessions and are soon cached everywhere.
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

    /// The number of tokens that other requests of the session share: all parts but the request's
    /// own.
    pub fn shared_tokens(&self) -> u32 {
        let shared = match self.parts.as_slice() {
            [shared @ .., _own] => shared,
            [] => &[],
        };
        let sum = shared.iter().map(|p| u64::from(p.tokens)).sum::<u64>();
        u32::try_from(sum).unwrap_or(u32::MAX).min(self.tokens_in)
    }

    /// The number of tokens that belong to the request alone. Callers name the tokens of parts and of
    /// the whole prompt separately, and the two may contradict each other.
    pub fn own_tokens(&self) -> u32 {
        let own = self.parts.last().map(|part| part.tokens);
        own.unwrap_or(self.tokens_in).min(self.tokens_in)
    }
}

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
