//! The pause that a refusal asks for.

use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// Characters of the text that an error quotes at most.
const MAX_QUOTED: usize = 40;

/// The pause that a refusal asks for, as in HTTP's `Retry-After` in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

/// The text is not a valid number of seconds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "`{text}` is not a valid delay; expected a number of seconds, 0 or more, such as 1.5"
))]
pub struct RetryAfterError {
    /// The text.
    text: CompactString,
}

impl RetryAfter {
    /// A pause of this length.
    pub fn from_wait(wait: Duration) -> RetryAfter {
        RetryAfter(wait)
    }

    /// The length of the pause.
    pub fn wait(self) -> Duration {
        self.0
    }
}

impl TryFrom<&str> for RetryAfter {
    type Error = RetryAfterError;

    fn try_from(text: &str) -> Result<RetryAfter, RetryAfterError> {
        let number = text.trim().parse::<f64>();
        match number {
            Ok(secs) if secs.is_finite() && secs >= 0.0 => {
                let wait = Duration::try_from_secs_f64(secs);
                Ok(RetryAfter(wait.unwrap_or(Duration::MAX)))
            }
            _ => Err(RetryAfterError {
                text: CompactString::from_iter(text.chars().take(MAX_QUOTED)),
            }),
        }
    }
}
