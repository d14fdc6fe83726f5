//! Priorities of requests.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// The urgency of a request relative to the requests of all customers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody is waiting at a gate.
    High,
    /// Someone is waiting for the answer.
    #[default]
    Normal,
    /// No one is waiting for the answer.
    Low,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

    /// The index in [`Priority::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The name in settings, headers and the operators' command language.
    pub const fn as_str(self) -> &'static str {
        match self {
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::Low => "low",
        }
    }
}

/// The error for text that is not a priority.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("`{text}` is not a priority; use high, normal or low"))]
pub struct PriorityError {
    text: CompactString,
}

impl TryFrom<&str> for Priority {
    type Error = PriorityError;

    fn try_from(text: &str) -> Result<Priority, PriorityError> {
        let known = Priority::ALL.into_iter().find(|p| p.as_str() == text);
        known.ok_or_else(|| PriorityError {
            text: CompactString::from(text),
        })
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
