//! Stages as one flow: how fast each stage upstream works, what it reports of its load, and how long
//! results occupy storage.

mod call_pace;
mod capacity;
mod load_reports;
mod reported_load;
mod short_slack;
mod slow_upstreams;
mod storage_use;
mod upstream_load;

pub(crate) use call_pace::CallPace;
pub(crate) use call_pace::MAX_RATIO;
pub(crate) use reported_load::ReportedLoad;
pub(crate) use slow_upstreams::PieceLimit;
pub(crate) use storage_use::StorageUse;
pub use upstream_load::UpstreamLoad;
pub use upstream_load::UpstreamLoadError;
