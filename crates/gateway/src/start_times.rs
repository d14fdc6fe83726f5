//! How long upstreams take to begin an answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_policy::Estimate;

/// What an upstream is taken to need before the first answers of a route tell.
const FIRST_GUESS: Duration = Duration::from_millis(130);
/// The most of an objective, in hundredths, that is set aside for the beginning of
/// the answer, whatever upstreams did lately: stages get the rest.
const MOST_PERCENT: u32 = 50;

/// How long upstreams take from a request to its first event, by route.
///
/// The load that it answers: kinds of requests differ by a factor of four in how
/// long their prompts are read. With one figure for all, stages of the short ones
/// were counted as too late while there was time, and those of the long ones were
/// done when it was over.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    by_route: Mutex<HashMap<CompactString, Arc<Estimate>>>,
}

impl StartTimes {
    /// An answer of the route began this long after its request was sent.
    pub(crate) fn record(&self, route: &str, took: Duration) {
        self.of(route).record(took);
    }

    /// What to set aside of an objective: the mean and one mean deviation.
    pub(crate) fn expected(&self, route: &str, objective: Duration) -> Duration {
        let expected = self.of(route).upper(1);
        expected.min(objective * MOST_PERCENT / 100)
    }

    fn of(&self, route: &str) -> Arc<Estimate> {
        let mut by_route = lock(&self.by_route);
        if let Some(estimate) = by_route.get(route) {
            return Arc::clone(estimate);
        }
        let estimate = Arc::new(Estimate::starting_at(FIRST_GUESS));
        by_route.insert(route.into(), Arc::clone(&estimate));
        estimate
    }
}
