//! What upstreams that generate can do, as their streams show.
//!
//! Each instance counts what it observes of its own streams ([`PaceCounts`]). It sends the sums with
//! its heartbeats to the owners of shards, which merge them in a [`PaceTable`].
//! [`FirstEventEstimate`] is each instance's own estimate of the time to the first event of a
//! stream. `docs/design/upstream-pace.md` describes the whole.

mod counter_totals;
mod first_event;
mod first_event_estimate;
mod listed_pace_upstream;
mod middle;
mod observed_pace;
mod pace;
mod pace_counter;
mod pace_counts;
mod pace_record;
mod pace_table;
mod peer_position;
mod rate_sums;
mod reading_figure;
mod service_figures;
mod stream_pace;
mod upstream_figures;

pub use first_event::FirstEvent;
pub use first_event_estimate::FirstEventEstimate;
pub use listed_pace_upstream::ListedPaceUpstream;
pub use observed_pace::UpstreamPace;
pub use pace::Pace;
pub use pace_counts::PaceCounts;
pub use pace_record::PaceRecord;
pub use pace_table::PaceTable;
pub use stream_pace::StreamPace;
