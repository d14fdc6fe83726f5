//! A model and the version that its engines should serve.

use serde::Deserialize;
use serde::Serialize;

/// A model and the version that its engines should serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The version that engines are told to load.
    pub version: u32,
}
