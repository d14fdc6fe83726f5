//! Stages of pipelines.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The kind of work that a stage does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StageKind {
    /// Encodes text as vectors.
    Encode,
    /// Retrieves candidates.
    Retrieve,
    /// Ranks candidates.
    Rerank,
    /// Generates text on a model engine, token by token.
    Generate,
    /// Calls a plain service.
    Call,
}

impl StageKind {
    /// All kinds, in the order that pipelines usually have.
    pub const ALL: [StageKind; 5] = [
        StageKind::Encode,
        StageKind::Retrieve,
        StageKind::Rerank,
        StageKind::Generate,
        StageKind::Call,
    ];

    /// The name in the operators' command language and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            StageKind::Encode => "encode",
            StageKind::Retrieve => "retrieve",
            StageKind::Rerank => "rerank",
            StageKind::Generate => "generate",
            StageKind::Call => "call",
        }
    }

    /// The kind with the given name.
    pub fn from_name(text: &str) -> Option<StageKind> {
        StageKind::ALL.into_iter().find(|k| k.as_str() == text)
    }
}

impl fmt::Display for StageKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// One step of a pipeline, with the pool that runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The kind of work that the stage does.
    pub kind: StageKind,
    /// The pool whose upstreams run the stage.
    pub pool: Name,
    /// False if running the stage twice would do harm, such as issuing a second permit.
    /// Such a stage is dispatched once and never retried or hedged.
    pub idempotent: bool,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.kind, self.pool)?;
        match self.idempotent {
            true => Ok(()),
            false => f.write_str(" once"),
        }
    }
}
