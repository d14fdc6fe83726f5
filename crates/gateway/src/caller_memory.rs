//! The memory for bodies of requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use async_channel::Receiver;
use async_channel::Sender;
use event_listener::Event;
use futures_lite::future;
use jd_net::Clock;
use jd_net::lock;
use jd_policy::BodyBudget;
use jd_policy::BodyGrant;
use jd_policy::BodyKey;

/// The memory for bodies of requests, which is taken before their bytes are kept.
#[derive(Debug)]
pub(crate) struct CallerMemory {
    clock: Clock,
    budget: Mutex<Budget>,
    /// Notified when memory has been given back.
    given_back: Event,
}

#[derive(Debug)]
struct Budget {
    policy: BodyBudget,
    /// Tells bodies to give their memory back. Dropped senders have no body.
    revocations: HashMap<BodyKey, Sender<()>>,
    counts: MemoryCounts,
}

/// The bodies that got no memory, and those that lost theirs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct MemoryCounts {
    pub(crate) refused: u64,
    pub(crate) revoked: u64,
}

impl CallerMemory {
    /// Memory of so many bytes.
    pub(crate) fn new(clock: Clock, bytes: usize) -> CallerMemory {
        CallerMemory {
            clock,
            budget: Mutex::new(Budget {
                policy: BodyBudget::new(bytes),
                revocations: HashMap::new(),
                counts: MemoryCounts::default(),
            }),
            given_back: Event::new(),
        }
    }

    /// Adds a body that needs memory before it is complete.
    pub(crate) fn begin(self: &Arc<CallerMemory>) -> IncompleteBody {
        let (tx, revoked) = async_channel::bounded(1);
        let mut budget = lock(&self.budget);
        let key = budget.policy.begin(self.clock.now());
        budget.revocations.insert(key, tx);
        IncompleteBody {
            memory: Arc::clone(self),
            key,
            revoked,
        }
    }

    /// The bytes that are taken.
    pub(crate) fn used(&self) -> usize {
        lock(&self.budget).policy.used()
    }

    pub(crate) fn counts(&self) -> MemoryCounts {
        lock(&self.budget).counts
    }

    fn take(&self, key: BodyKey, bytes: usize) -> BodyGrant {
        let mut budget = lock(&self.budget);
        let grant = budget.policy.take(key, bytes, self.clock.now());
        match &grant {
            BodyGrant::Granted => {}
            BodyGrant::Refused => budget.counts.refused += 1,
            BodyGrant::Wait(revoked) => {
                budget.counts.revoked += revoked.len() as u64;
                for key in revoked {
                    budget.revocations.remove(key);
                }
            }
        }
        grant
    }
}

/// A body that takes memory and is not complete. Dropping it gives no memory back, but lets the body
/// keep what it has.
#[derive(Debug)]
pub(crate) struct IncompleteBody {
    memory: Arc<CallerMemory>,
    key: BodyKey,
    /// Closed when the body has to give its memory back.
    revoked: Receiver<()>,
}

impl IncompleteBody {
    /// Takes memory, and waits until bodies that stall have given theirs back if none is left. Returns
    /// none if the body cannot be kept.
    pub(crate) async fn take(&self, bytes: usize) -> Option<HeldMemory> {
        loop {
            let given_back = self.memory.given_back.listen();
            match self.memory.take(self.key, bytes) {
                BodyGrant::Granted => {
                    return Some(HeldMemory {
                        memory: Arc::clone(&self.memory),
                        bytes,
                    });
                }
                BodyGrant::Refused => return None,
                BodyGrant::Wait(_) => given_back.await,
            }
        }
    }

    /// Records that so many bytes of the body have arrived.
    pub(crate) fn received(&self, bytes: usize) {
        let now = self.memory.clock.now();
        lock(&self.memory.budget)
            .policy
            .received(self.key, bytes, now);
    }

    /// Returns when the body has to give its memory back.
    pub(crate) async fn until_revoked(&self) {
        // Returns an error once the channel is closed, which is the signal.
        if self.revoked.recv().await.is_ok() {
            future::pending().await
        }
    }
}

impl Drop for IncompleteBody {
    fn drop(&mut self) {
        let mut budget = lock(&self.memory.budget);
        budget.policy.end(self.key);
        budget.revocations.remove(&self.key);
        drop(budget);
        self.memory.given_back.notify(usize::MAX);
    }
}

/// Memory that is taken until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    memory: Arc<CallerMemory>,
    bytes: usize,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        lock(&self.memory.budget).policy.give_back(self.bytes);
        self.memory.given_back.notify(usize::MAX);
    }
}
