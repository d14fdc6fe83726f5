//! How many requests a second somebody takes.

use std::fmt;

use compact_str::CompactString;
use snafu::Snafu;
use snafu::ensure;

/// How many requests a second somebody takes: a number that is not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Why a rate cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RateError {
    /// It is not a decimal number.
    #[snafu(display("`{text}` is not a number; name requests a second, such as 2.5"))]
    NotANumber {
        /// What stands there.
        text: CompactString,
    },
    /// It is not finite, or negative.
    #[snafu(display("`{text}` is no rate; name requests a second from 0 on"))]
    OutOfRange {
        /// What stands there.
        text: CompactString,
    },
}

/// The longest part of a text that an error quotes, in characters.
const QUOTED: usize = 40;

impl RequestRate {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = RateError;

    fn try_from(text: &str) -> Result<RequestRate, RateError> {
        let quoted = || CompactString::from_iter(text.chars().take(QUOTED));
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
