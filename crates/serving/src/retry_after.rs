//! How long somebody wants to be left alone.

use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// The longest part of a text that an error quotes, in characters.
const QUOTED: usize = 40;

/// How long somebody who refuses a request wants nothing more, as HTTP's `Retry-After`
/// tells it in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

/// The text is not a number of seconds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a number of seconds from 0 on; name one, such as 1.5"))]
pub struct RetryAfterError {
    /// What stands there.
    text: CompactString,
}

impl RetryAfter {
    /// For how long.
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
                text: CompactString::from_iter(text.chars().take(QUOTED)),
            }),
        }
    }
}
