//! What the stand-in upstreams compute, and an engine's model state.

use std::hash::Hasher;

use jd_backing::EngineOrder;
use jd_backing::EngineStatus;
use jd_types::StageKind;

/// Parts in a generated answer, at least.
const MIN_PARTS: u64 = 4;
/// Parts beyond that vary with the input up to this many.
const MORE_PARTS: u64 = 12;

/// The output of one stage: a function of kind and input alone, so that a
/// caller can tell its own whole answer from any other.
pub fn stage_output(kind: StageKind, input: &str) -> String {
    stage_parts(kind, input).concat()
}

/// The same, in the parts in which an engine streams it.
pub fn stage_parts(kind: StageKind, input: &str) -> Vec<String> {
    let hash = hash_of(kind, input);
    match kind {
        StageKind::Generate => {
            let parts = MIN_PARTS + hash % MORE_PARTS;
            (0..parts)
                .map(|i| format!("{:08x} ", (hash ^ i.wrapping_mul(0x9e37_79b9)) as u32))
                .collect()
        }
        _ => vec![format!("{kind}-{hash:016x}")],
    }
}

/// What the stage is billed at.
pub fn stage_units(kind: StageKind, input: &str) -> u64 {
    stage_parts(kind, input).len() as u64
}

/// The whole answer of a pipeline of `kinds` to `input`.
pub fn expected_output(kinds: &[StageKind], input: &str) -> String {
    kinds
        .iter()
        .fold(input.to_owned(), |input, kind| stage_output(*kind, &input))
}

fn hash_of(kind: StageKind, input: &str) -> u64 {
    // The standard hasher with fixed keys: the same on every run of one build.
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(kind.as_str().as_bytes());
    hasher.write(input.as_bytes());
    hasher.finish()
}

/// The model state of one engine.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    status: EngineStatus,
    checks_token: bool,
    highest: u64,
}

impl FakeEngine {
    /// An engine that serves `status`.
    pub fn new(status: EngineStatus, checks_token: bool) -> FakeEngine {
        FakeEngine {
            status,
            checks_token,
            highest: 0,
        }
    }

    /// What it says of itself.
    pub fn status(&self) -> &EngineStatus {
        &self.status
    }

    /// Takes an order; false if it refuses an old token.
    pub fn order(&mut self, order: &EngineOrder) -> bool {
        let stale = order.token < self.highest;
        if self.checks_token && stale {
            return false;
        }
        self.highest = self.highest.max(order.token);
        let nothing_to_do = self.status.version == order.version;
        self.status.loading = (!nothing_to_do).then_some(order.version);
        true
    }

    /// A load is over.
    pub fn loaded(&mut self) {
        if let Some(version) = self.status.loading.take() {
            self.status.version = version;
        }
    }
}
