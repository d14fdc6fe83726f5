//! One role's cost over size.

use serde::Serialize;

/// The cost at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Sample {
    /// The size.
    pub size: usize,
    /// The cost.
    pub cost: f64,
}

/// One cost of one role at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// The role and the event, such as `members: hear one report`.
    pub role: &'static str,
    /// What size counts.
    pub size_of: &'static str,
    /// The unit of the cost.
    pub unit: &'static str,
    /// Samples in order of size.
    pub samples: Vec<Sample>,
    /// The largest relative spread between rounds at one size, in hundredths.
    pub spread_percent: f64,
}

impl Slope {
    /// The exponent of growth between the smallest and the largest size: 0 is
    /// flat, 1 is linear.
    pub fn exponent(&self) -> f64 {
        match (self.samples.first(), self.samples.last()) {
            (Some(a), Some(b)) if a.size < b.size && a.cost > 0.0 && b.cost > 0.0 => {
                (b.cost / a.cost).ln() / (b.size as f64 / a.size as f64).ln()
            }
            _ => 0.0,
        }
    }

    /// The cost at any size, on the straight line through the first and the
    /// last sample.
    pub fn at(&self, size: usize) -> f64 {
        match (self.samples.first(), self.samples.last()) {
            (Some(a), Some(b)) if a.size < b.size => {
                let slope = (b.cost - a.cost) / (b.size - a.size) as f64;
                (a.cost + slope * (size as f64 - a.size as f64)).max(0.0)
            }
            (Some(a), _) => a.cost,
            _ => 0.0,
        }
    }
}
