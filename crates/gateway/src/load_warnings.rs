//! Warnings about loads that cannot be parsed.

use std::sync::Mutex;
use std::time::Duration;

use jd_net::lock;
use jd_serving::UpstreamLoadError;
use jd_types::MonoTime;

/// The shortest interval between two warnings. Each answer may carry a load.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs loads that cannot be parsed, at most once per interval.
#[derive(Debug, Default)]
pub(crate) struct LoadWarnings {
    logged_at: Mutex<Option<MonoTime>>,
}

impl LoadWarnings {
    pub(crate) fn log(&self, now: MonoTime, upstream: &str, error: &UpstreamLoadError) {
        let mut logged_at = lock(&self.logged_at);
        if logged_at.is_some_and(|at| now.since(at) < INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        drop(logged_at);
        log::warn!(upstream, error:% = error; "load of an upstream cannot be parsed; it is ignored");
    }
}
