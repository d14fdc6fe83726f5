//! The figures of a service that its upstreams are compared with.

use crate::upstream_pace::reading_figure::ReadingFigure;

/// The figures of a service that its upstreams are compared with.
#[derive(Debug, Default)]
pub(crate) struct ServiceFigures {
    /// The median of the upstreams' events per second of one stream; none while none is known.
    pub(crate) median_per_s: Option<f64>,
    pub(crate) reading: ReadingFigure,
}
