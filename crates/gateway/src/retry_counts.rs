//! Counts the first sends and the retries of requests at each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use compact_str::CompactString;
use jd_net::lock;
use jd_serving::RetryBudget;
use jd_serving::RetryId;
use jd_serving::RetryLimit;
use jd_serving::RetryShare;
use jd_types::MonoTime;

use crate::attempts::AttemptClock;
use crate::attempts::AttemptContext;
use crate::caller_request::CallerRequest;
use crate::state::State;

/// The retry budget of each service.
pub(crate) type RetryBudgets = Mutex<HashMap<CompactString, RetryBudget>>;

/// What one attempt has paid for what it sends. It is settled when the attempt ends, however it
/// does: it goes back unless something of the attempt was written to a connection.
#[derive(Debug)]
pub(crate) struct Payment {
    state: Arc<State>,
    request: Arc<CallerRequest>,
    clock: Arc<AttemptClock>,
    /// The retry that the budget has counted; none for the first send of the request.
    retry: Option<RetryId>,
}

impl Payment {
    /// The clock of the attempt, which tells whether it was written.
    pub(crate) fn clock(&self) -> &Arc<AttemptClock> {
        &self.clock
    }
}

impl Drop for Payment {
    fn drop(&mut self) {
        if self.clock.is_written() {
            return;
        }
        match self.retry.take() {
            None => self.request.first_send.give_back(),
            Some(id) => self.state.give_back_retry(&self.request.service, id),
        }
    }
}

/// Whether the first send of a request, which is no retry, is still to be made. Clones share it.
#[derive(Debug, Default, Clone)]
pub(crate) struct FirstSend {
    is_taken: Arc<AtomicBool>,
}

impl FirstSend {
    /// True if an attempt makes it, or has made it.
    pub(crate) fn is_taken(&self) -> bool {
        self.is_taken.load(Ordering::Relaxed)
    }

    /// Returns true for one attempt.
    fn take(&self) -> bool {
        !self.is_taken.swap(true, Ordering::Relaxed)
    }

    fn give_back(&self) {
        self.is_taken.store(false, Ordering::Relaxed);
    }
}

impl AttemptContext {
    /// Pays for another attempt: with the first send of the request, or with a retry once that was
    /// made. None if the budget of the service is used up.
    pub(crate) fn pay(&self) -> Option<Payment> {
        let retry = match self.request.first_send.take() {
            true => None,
            false => Some(self.state.try_retry(&self.request.service)?),
        };
        Some(Payment {
            state: Arc::clone(&self.state),
            request: Arc::clone(&self.request),
            clock: Arc::default(),
            retry,
        })
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

    /// Counts a retry; none if the budget of the service is used up.
    fn try_retry(&self, service: &CompactString) -> Option<RetryId> {
        let limit = self.retry_limit();
        let now = self.now();
        let share = self.retry_share(now);
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_default();
        let id = budget.try_retry(now, &limit, share);
        self.metrics
            .retry(id.is_some(), share.instances(), share.slack(&limit));
        id
    }

    /// Gives a retry back whose attempt ended before anything was written.
    fn give_back_retry(&self, service: &CompactString, id: RetryId) {
        self.metrics.retry_given_back();
        if let Some(budget) = lock(&self.budgets).get_mut(service) {
            budget.give_back(id);
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
