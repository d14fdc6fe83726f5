//! Counts the first sends and the retries of requests at each service.

use std::collections::HashMap;
use std::sync::Mutex;

use compact_str::CompactString;
use jd_net::lock;
use jd_serving::RetryBudget;
use jd_serving::RetryId;
use jd_serving::RetryLimit;
use jd_serving::RetryShare;
use jd_types::MonoTime;

use crate::state::State;

/// The retry budget of each service.
pub(crate) type RetryBudgets = Mutex<HashMap<CompactString, RetryBudget>>;

/// A retry that the budget of a service has counted, for one attempt.
#[derive(Debug)]
pub(crate) struct PaidRetry {
    service: CompactString,
    id: RetryId,
}

/// What an attempt has paid to the retry budget.
#[derive(Debug)]
pub(crate) enum Payment {
    /// Nothing: it is the first send of its request, or takes the place of one that was not
    /// written to any connection.
    None,
    Retry(PaidRetry),
}

impl Payment {
    /// Gives the retry back of an attempt that ended before anything was sent.
    pub(crate) fn give_back(self, state: &State) {
        match self {
            Payment::None => {}
            Payment::Retry(paid) => state.give_back_retry(paid),
        }
    }
}

impl State {
    /// Counts the first send of a request to a service, which adds to the retry budget.
    pub(crate) fn record_first_send(&self, service: &str) {
        self.metrics.first_send();
        let limit = self.retry_limit();
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        budgets
            .entry(service.into())
            .or_default()
            .record_first_attempt(now, &limit);
    }

    /// What another attempt at a request pays; none if the budget of the service is used up.
    /// `is_free` tells that it takes the place of one that was not written to any connection.
    pub(crate) fn pay(&self, service: &CompactString, is_free: bool) -> Option<Payment> {
        if is_free {
            return Some(Payment::None);
        }
        let limit = self.retry_limit();
        let now = self.now();
        let share = self.retry_share(now);
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_default();
        let id = budget.try_retry(now, &limit, share);
        self.metrics
            .retry(id.is_some(), share.instances(), share.slack(&limit));
        let service = service.clone();
        id.map(|id| Payment::Retry(PaidRetry { service, id }))
    }

    /// Gives a retry back whose attempt ended before anything was sent.
    fn give_back_retry(&self, paid: PaidRetry) {
        if let Some(budget) = lock(&self.budgets).get_mut(&paid.service) {
            budget.give_back(paid.id);
        }
    }

    /// The share of the retries of all instances that this one may send.
    fn retry_share(&self, now: MonoTime) -> RetryShare {
        let cluster = self.cluster();
        match cluster.instances_listed_at {
            None => RetryShare::Unlisted,
            Some(_) => RetryShare::Listed {
                instances: cluster.instances.largest_size(),
                age: now.since(self.started),
            },
        }
    }

    fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
        }
    }
}
