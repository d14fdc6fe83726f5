//! Retry budget, which prevents retries from amplifying an overload.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// One token. The bucket counts in thousandths of a token.
const TOKEN: i64 = 1_000;

/// A token bucket that first attempts fill and retries drain.
///
/// Prevents retry storms. When a pool slows down, callers and stages time out, and each
/// timeout causes another request, so that the pool stays overloaded after the original
/// cause is gone. The budget limits retries to a fixed fraction of first attempts.
///
/// # Examples
///
/// ```
/// use jd_policy::RetryBudget;
///
/// let budget = RetryBudget::new(10, 1);
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw(), "a tenth of a token per request");
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicI64,
    per_request: i64,
    cap: i64,
}

impl RetryBudget {
    /// Creates a full budget of `percent` retries per 100 first attempts, with at most
    /// `burst` retries at once.
    pub fn new(percent: u32, burst: u32) -> RetryBudget {
        let cap = i64::from(burst) * TOKEN;
        RetryBudget {
            tokens: AtomicI64::new(cap),
            per_request: i64::from(percent) * TOKEN / 100,
            cap,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&self) {
        let add = |tokens: i64| Some((tokens + self.per_request).min(self.cap));
        // The closure always returns `Some`, so the update cannot fail.
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes a token for a retry. Returns false if none is available.
    pub fn withdraw(&self) -> bool {
        let take = |tokens: i64| (tokens >= TOKEN).then_some(tokens - TOKEN);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
