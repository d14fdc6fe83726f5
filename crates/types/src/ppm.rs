//! Fractions of a limit in parts per million.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A fraction in parts per million, at most 1. An integer, so that the amount that
/// one instance gives up is exactly the amount that another takes, and rounding can
/// never make the fractions add up to more than the whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ppm(u32);

impl Ppm {
    /// The fraction 0.
    pub const ZERO: Ppm = Ppm(0);
    /// The fraction 1.
    pub const WHOLE: Ppm = Ppm(1_000_000);

    /// `count` parts per million, capped at the whole.
    pub const fn new(count: u32) -> Ppm {
        match count > Ppm::WHOLE.0 {
            true => Ppm::WHOLE,
            false => Ppm(count),
        }
    }

    /// The number of parts per million.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The difference of `self` and `other`; zero if `other` is larger.
    pub const fn minus(self, other: Ppm) -> Ppm {
        Ppm(self.0.saturating_sub(other.0))
    }

    /// The sum of `self` and `other`, capped at the whole.
    pub const fn plus(self, other: Ppm) -> Ppm {
        Ppm::new(self.0.saturating_add(other.0))
    }

    /// This fraction of `limit`, rounded down.
    pub const fn of(self, limit: u32) -> u32 {
        (self.0 as u64 * limit as u64 / Ppm::WHOLE.0 as u64) as u32
    }

    /// The smallest fraction of `limit` that amounts to at least `count`, capped at the
    /// whole; zero if `limit` is 0.
    pub const fn needed_for(count: u32, limit: u32) -> Ppm {
        match limit {
            0 => Ppm::ZERO,
            _ => {
                let exact = (count as u64 * Ppm::WHOLE.0 as u64).div_ceil(limit as u64);
                match exact > Ppm::WHOLE.0 as u64 {
                    true => Ppm::WHOLE,
                    false => Ppm(exact as u32),
                }
            }
        }
    }
}

impl fmt::Display for Ppm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}%", self.0 / 10_000, self.0 % 10_000)
    }
}
