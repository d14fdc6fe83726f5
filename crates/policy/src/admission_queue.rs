//! Admission queue of a pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Priority;

use crate::QueueEntry;
use crate::QueueEntryId;

/// The virtual time that one entry of weight 1 takes.
const ENTRY_COST: u64 = 1 << 16;

/// The order in which queued entries are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By priority, then weighted fair queueing by customer, then earliest latest start.
    /// Rejects an entry on arrival if it would start too late.
    WeightedFair,
    /// First in, first out; rejects entries only if the queue is full. Baseline for
    /// comparisons.
    Fifo,
}

/// The result of requesting a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The entry can start now and holds a slot.
    Start,
    /// The entry is queued until [`AdmissionQueue::pop_ready`] or
    /// [`AdmissionQueue::pop_expired`] returns it.
    Queued,
    /// The entry would start too late. Holds the expected wait, as a retry delay.
    WouldMiss(Duration),
    /// The queue is full.
    Full,
}

/// The queue of requests for slots of one pool on one instance.
///
/// Prevents two failures of a plain queue:
///
/// - A burst of one large customer fills the queue, and small customers miss their
///   deadlines. Each entry therefore gets a virtual finish time, which advances by
///   1/weight per entry of the same customer, so that a burst delays only the customer
///   that sent it.
/// - The queue grows longer than the deadlines allow, and all requests miss them while
///   all upstreams are busy. An entry is therefore rejected on arrival if the entries
///   ahead of it would delay it past its latest start.
///
/// # Examples
///
/// ```
/// use jd_policy::AdmissionQueue;
/// use jd_policy::QueueEntry;
/// use jd_policy::QueueEntryId;
/// use jd_policy::QueuePolicy;
/// use jd_policy::SlotDecision;
/// use jd_types::CustomerKey;
/// use jd_types::MonoTime;
/// use jd_types::Priority;
/// use std::time::Duration;
///
/// let mut queue = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 10);
/// let entry = |n| QueueEntry {
///     id: QueueEntryId(n),
///     customer: CustomerKey::from_index(0),
///     weight: 1,
///     priority: Priority::Normal,
///     latest_start: MonoTime::from_millis(15),
/// };
/// let service = Duration::from_millis(10);
/// assert_eq!(queue.request_slot(MonoTime::ZERO, entry(1), service), SlotDecision::Start);
/// assert_eq!(queue.request_slot(MonoTime::ZERO, entry(2), service), SlotDecision::Queued);
/// let decision = queue.request_slot(MonoTime::ZERO, entry(3), service);
/// assert!(matches!(decision, SlotDecision::WouldMiss(_)));
/// ```
#[derive(Debug)]
pub struct AdmissionQueue {
    policy: QueuePolicy,
    capacity: u32,
    in_use: u32,
    max_queue: usize,
    queued: HashMap<QueueEntryId, (QueueKey, MonoTime)>,
    order: BTreeSet<QueueKey>,
    latest_starts: BTreeSet<(MonoTime, QueueEntryId)>,
    last_finish: BTreeMap<CustomerKey, u64>,
    queued_by_priority: [usize; Priority::ALL.len()],
    virtual_time: u64,
    arrivals: u64,
}

/// Sort key of a queued entry. The order of the fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Priority,
    finish: u64,
    latest_start: MonoTime,
    arrival: u64,
    id: QueueEntryId,
}

impl AdmissionQueue {
    /// Creates a queue with `capacity` slots and at most `max_queue` waiting entries.
    pub fn new(policy: QueuePolicy, capacity: u32, max_queue: usize) -> AdmissionQueue {
        AdmissionQueue {
            policy,
            capacity,
            in_use: 0,
            max_queue,
            queued: HashMap::new(),
            order: BTreeSet::new(),
            latest_starts: BTreeSet::new(),
            last_finish: BTreeMap::new(),
            queued_by_priority: [0; Priority::ALL.len()],
            virtual_time: 0,
            arrivals: 0,
        }
    }

    /// Number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of waiting entries.
    pub fn queue_len(&self) -> usize {
        self.queued.len()
    }

    /// This instance's share of the pool's slots.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Changes the number of slots. A reduction takes effect as slots are released.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Requests a slot for `entry`. `service` is the mean time for which a slot is held.
    pub fn request_slot(
        &mut self,
        now: MonoTime,
        entry: QueueEntry,
        service: Duration,
    ) -> SlotDecision {
        if self.in_use < self.capacity && self.queued.is_empty() {
            self.in_use += 1;
            return SlotDecision::Start;
        }
        if self.queued.len() >= self.max_queue {
            return SlotDecision::Full;
        }
        let wait = self.expected_wait(entry.priority, service);
        let late = now + wait > entry.latest_start;
        match self.policy {
            QueuePolicy::WeightedFair if late => SlotDecision::WouldMiss(wait),
            QueuePolicy::WeightedFair | QueuePolicy::Fifo => {
                self.enqueue(entry);
                SlotDecision::Queued
            }
        }
    }

    /// Releases a slot.
    pub fn release_slot(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Removes and returns the next entry if a slot is free. The entry then holds the slot.
    pub fn pop_ready(&mut self) -> Option<QueueEntryId> {
        if self.in_use >= self.capacity {
            return None;
        }
        let key = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(key.finish);
        self.remove_indexes(key);
        self.in_use += 1;
        Some(key.id)
    }

    /// Removes and returns the next entry whose latest start has passed.
    ///
    /// The entry can be rejected at once, because it would miss its deadline anyway.
    pub fn pop_expired(&mut self, now: MonoTime) -> Option<QueueEntryId> {
        match self.latest_starts.first().copied() {
            Some((latest_start, id)) if latest_start < now => {
                self.cancel(id);
                Some(id)
            }
            _ => None,
        }
    }

    /// When the next entry expires.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.latest_starts.first().map(|entry| entry.0)
    }

    /// Removes an entry from the queue. Returns false if it is not queued.
    pub fn cancel(&mut self, id: QueueEntryId) -> bool {
        match self.queued.get(&id).copied() {
            Some((key, _)) => {
                self.order.remove(&key);
                self.remove_indexes(key);
                true
            }
            None => false,
        }
    }

    /// How long a new entry of that priority would wait.
    ///
    /// Assumes one slot if this instance has none: its capacity is lent to other
    /// instances and will soon be returned.
    pub fn expected_wait(&self, priority: Priority, service: Duration) -> Duration {
        let ahead: usize = self.queued_by_priority[..=priority.index()].iter().sum();
        let rounds = (ahead + 1) as f64 / f64::from(self.capacity.max(1));
        service.mul_f64(rounds)
    }

    fn enqueue(&mut self, entry: QueueEntry) {
        self.arrivals += 1;
        let finish = match self.policy {
            QueuePolicy::Fifo => self.arrivals,
            QueuePolicy::WeightedFair => self.next_finish(&entry),
        };
        let priority = match self.policy {
            QueuePolicy::Fifo => Priority::High,
            QueuePolicy::WeightedFair => entry.priority,
        };
        let key = QueueKey {
            priority,
            finish,
            latest_start: entry.latest_start,
            arrival: self.arrivals,
            id: entry.id,
        };
        self.order.insert(key);
        self.latest_starts.insert((entry.latest_start, entry.id));
        self.queued.insert(entry.id, (key, entry.latest_start));
        self.queued_by_priority[priority.index()] += 1;
    }

    fn next_finish(&mut self, entry: &QueueEntry) -> u64 {
        let cost = ENTRY_COST / u64::from(entry.weight.max(1));
        let last = self.last_finish.entry(entry.customer).or_insert(0);
        *last = (*last).max(self.virtual_time) + cost;
        *last
    }

    fn remove_indexes(&mut self, key: QueueKey) {
        if let Some((_, latest_start)) = self.queued.remove(&key.id) {
            self.latest_starts.remove(&(latest_start, key.id));
        }
        self.queued_by_priority[key.priority.index()] -= 1;
        if self.queued.is_empty() {
            // Fairness does not depend on history once the queue is empty. Resetting the
            // finish times keeps the map from growing with customers that no longer call.
            self.last_finish.clear();
            self.virtual_time = 0;
        }
    }
}
