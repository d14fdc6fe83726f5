//! The memory for responses that are held before they are passed on.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use event_listener::Event;
use futures_lite::future;
use jd_policy::AnswerBudget;
use jd_policy::AnswerEnd;
use jd_policy::AnswerGrant;
use jd_policy::AnswerKey;

use crate::lock;
use crate::with_timeout;

/// How long others may take to return memory. Some are not read while their callers read nothing.
const RETURN_TIMEOUT: Duration = Duration::from_millis(100);
/// More than any process has, in bytes.
const UNBOUNDED: usize = usize::MAX / 2;

/// The memory for responses, which is taken before their bytes are kept.
#[derive(Debug)]
pub struct AnswerMemory {
    budget: Mutex<Budget>,
    /// Notified when memory has been given back.
    given_back: Event,
}

#[derive(Debug)]
struct Budget {
    policy: AnswerBudget,
    /// Tells answers to give their memory back. Dropped senders have no answer.
    revocations: HashMap<AnswerKey, Sender<()>>,
    counts: AnswerCounts,
}

/// The answers that were ended for want of memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Those that were the largest.
    pub largest: u64,
    /// Those that found no room because of others.
    pub no_room: u64,
}

impl AnswerMemory {
    /// Memory of so many bytes.
    pub fn new(bytes: usize) -> Arc<AnswerMemory> {
        Arc::new(AnswerMemory {
            budget: Mutex::new(Budget {
                policy: AnswerBudget::new(bytes),
                revocations: HashMap::new(),
                counts: AnswerCounts::default(),
            }),
            given_back: Event::new(),
        })
    }

    /// Memory without a bound, for programs that call few servers at a time.
    pub fn unbounded() -> Arc<AnswerMemory> {
        AnswerMemory::new(UNBOUNDED)
    }

    /// The bytes that are taken.
    pub fn used(&self) -> usize {
        lock(&self.budget).policy.used()
    }

    /// The answers that were ended.
    pub fn counts(&self) -> AnswerCounts {
        lock(&self.budget).counts
    }

    /// Adds an answer that holds nothing yet.
    pub fn begin(self: &Arc<AnswerMemory>) -> UnfinishedAnswer {
        let (tx, revoked) = async_channel::bounded(1);
        let mut budget = lock(&self.budget);
        let key = budget.policy.begin();
        budget.revocations.insert(key, tx);
        UnfinishedAnswer {
            memory: Arc::clone(self),
            key: Some(key),
            taken: 0,
            revoked,
        }
    }

    fn take(&self, key: AnswerKey, bytes: usize) -> AnswerGrant {
        let mut budget = lock(&self.budget);
        let grant = budget.policy.take(key, bytes);
        match &grant {
            AnswerGrant::Granted => {}
            AnswerGrant::Wait(revoked) => {
                budget.counts.largest += revoked.len() as u64;
                for key in revoked {
                    budget.revocations.remove(key);
                }
            }
            // A revoked one has been counted.
            AnswerGrant::Refused(_) if !budget.revocations.contains_key(&key) => {}
            AnswerGrant::Refused(AnswerEnd::Largest) => budget.counts.largest += 1,
            AnswerGrant::Refused(AnswerEnd::NoRoom) => budget.counts.no_room += 1,
        }
        grant
    }
}

/// An answer that is not complete. Its memory is given back when it is dropped.
#[derive(Debug)]
pub struct UnfinishedAnswer {
    memory: Arc<AnswerMemory>,
    /// None once it is finished.
    key: Option<AnswerKey>,
    taken: usize,
    /// Closed when the answer has to give its memory back.
    revoked: Receiver<()>,
}

impl UnfinishedAnswer {
    /// Takes memory for as many bytes in all, and waits until larger answers have given theirs back if
    /// none is left. Dropping the future changes nothing.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), AnswerEnd> {
        let Some(key) = self.key else { return Ok(()) };
        while self.taken < bytes {
            let given_back = self.memory.given_back.listen();
            match self.memory.take(key, bytes - self.taken) {
                AnswerGrant::Granted => self.taken = bytes,
                AnswerGrant::Refused(end) => return Err(end),
                AnswerGrant::Wait(_) => {
                    let wait = with_timeout(RETURN_TIMEOUT, given_back);
                    wait.await.ok_or(AnswerEnd::NoRoom)?;
                }
            }
        }
        Ok(())
    }

    /// Gives memory back beyond this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        if let Some(key) = self.key
            && self.taken > bytes
        {
            self.taken = bytes;
            lock(&self.memory.budget).policy.shrink(key, bytes);
            self.memory.given_back.notify(usize::MAX);
        }
    }

    /// Returns when the answer has to give its memory back.
    pub async fn until_revoked(&self) {
        // Returns an error once the channel is closed, which is the signal.
        if self.revoked.recv().await.is_ok() {
            future::pending().await
        }
    }

    /// The memory of an answer that is complete.
    pub fn finish(mut self) -> AnswerBytes {
        let bytes = self.remove(AnswerBudget::finish).unwrap_or_default();
        AnswerBytes {
            memory: Arc::clone(&self.memory),
            bytes,
        }
    }

    fn remove<T>(&mut self, how: impl FnOnce(&mut AnswerBudget, AnswerKey) -> T) -> Option<T> {
        let key = self.key.take()?;
        let mut budget = lock(&self.memory.budget);
        budget.revocations.remove(&key);
        Some(how(&mut budget.policy, key))
    }
}

impl Drop for UnfinishedAnswer {
    fn drop(&mut self) {
        if self.remove(AnswerBudget::abandon).is_some() {
            self.memory.given_back.notify(usize::MAX);
        }
    }
}

/// Memory of a complete answer, which is taken until it is dropped.
#[derive(Debug)]
pub struct AnswerBytes {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl Drop for AnswerBytes {
    fn drop(&mut self) {
        lock(&self.memory.budget).policy.give_back(self.bytes);
        self.memory.given_back.notify(usize::MAX);
    }
}
