//! Events and the time in which they arrived, with less weight the older they are.

/// Decaying sums of events and of the stream time in which they arrived.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateSums {
    events: f64,
    seconds: f64,
}

impl RateSums {
    /// Adds events that arrived at `per_s` in `seconds`.
    pub(crate) fn add(&mut self, per_s: f64, seconds: f64) {
        self.events += per_s * seconds;
        self.seconds += seconds;
    }

    /// Reduces the weight of all earlier events to this fraction.
    pub(crate) fn scale(&mut self, fraction: f64) {
        self.events *= fraction;
        self.seconds *= fraction;
    }

    /// The stream time, in seconds.
    pub(crate) fn weight(&self) -> f64 {
        self.seconds
    }

    /// Events per second of one stream; none below a weight of `min_weight`.
    pub(crate) fn rate(&self, min_weight: f64) -> Option<f64> {
        (self.seconds >= min_weight).then(|| self.events / self.seconds)
    }
}
