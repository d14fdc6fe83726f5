//! A rate of requests.

use std::fmt;

use compact_str::CompactString;
use snafu::Snafu;
use snafu::ensure;

/// A rate of requests a second; not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// The reason why a rate cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RateError {
    /// The text is not a decimal number.
    #[snafu(display("`{text}` is not a number; expected requests a second, such as 2.5"))]
    NotANumber {
        /// The text.
        text: CompactString,
    },
    /// The number is not finite, or is negative.
    #[snafu(display("`{text}` is out of range; expected requests a second, 0 or more"))]
    OutOfRange {
        /// The text.
        text: CompactString,
    },
}

/// Characters of the text that an error quotes at most.
const MAX_QUOTED: usize = 40;

impl RequestRate {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = RateError;

    fn try_from(text: &str) -> Result<RequestRate, RateError> {
        let quoted = || CompactString::from_iter(text.chars().take(MAX_QUOTED));
        let number: Option<f64> = text.trim().parse().ok();
        let number = number.ok_or_else(|| RateError::NotANumber { text: quoted() })?;
        ensure!(
            number.is_finite() && number >= 0.0,
            OutOfRangeSnafu { text: quoted() }
        );
        Ok(RequestRate(number))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(number: f64) -> Result<RequestRate, RateError> {
        RequestRate::try_from(number.to_string().as_str())
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
