//! Who gets the next slot of a pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Priority;

use crate::QueueEntry;
use crate::QueueEntryId;

/// One unit of work, in the units of virtual time.
const UNIT: u64 = 1 << 16;

/// Which order a gate serves its queue in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By priority, then fair by customer's weight, then least slack first;
    /// refuses at once what would start too late.
    WeightedFair,
    /// First come, first served, and no refusal but for a full queue. A
    /// baseline to measure against.
    Fifo,
}

/// The answer to a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// Start now; one slot is taken.
    Start,
    /// Wait to be named by [`AdmissionQueue::pop_ready`] or [`AdmissionQueue::pop_expired`].
    Queued,
    /// It would start too late; come back after about that long.
    WouldMiss(Duration),
    /// The queue is full.
    Full,
}

/// The queue before one pool on one instance.
///
/// Guards against two failures. One large customer's burst fills a plain queue
/// and the small ones miss their deadlines: here each customer's work is
/// stamped with a virtual finish time that advances by 1/weight, so a burst
/// only delays its own sender. And a queue longer than the deadlines makes
/// everybody miss while all upstreams are busy: here a ticket that the work
/// ahead of it would delay past its latest start is refused on arrival.
///
/// # Examples
///
/// ```
/// use jd_policy::QueuePolicy;
/// use jd_policy::SlotDecision;
/// use jd_policy::AdmissionQueue;
/// use jd_policy::QueueEntry;
/// use jd_policy::QueueEntryId;
/// use jd_types::CustomerKey;
/// use jd_types::MonoTime;
/// use jd_types::Priority;
/// use std::time::Duration;
///
/// let mut queue = AdmissionQueue::new(QueuePolicy::WeightedFair, 1, 10);
/// let ticket = |n| QueueEntry {
///     id: QueueEntryId(n),
///     customer: CustomerKey::from_index(0),
///     weight: 1,
///     priority: Priority::Normal,
///     latest_start: MonoTime::from_millis(15),
/// };
/// let service = Duration::from_millis(10);
/// assert_eq!(queue.request_slot(MonoTime::ZERO, ticket(1), service), SlotDecision::Start);
/// assert_eq!(queue.request_slot(MonoTime::ZERO, ticket(2), service), SlotDecision::Queued);
/// assert!(matches!(queue.request_slot(MonoTime::ZERO, ticket(3), service), SlotDecision::WouldMiss(_)));
/// ```
#[derive(Debug)]
pub struct AdmissionQueue {
    policy: QueuePolicy,
    capacity: u32,
    in_use: u32,
    max_queue: usize,
    queued: HashMap<QueueEntryId, (QueueKey, MonoTime)>,
    order: BTreeSet<QueueKey>,
    deadlines: BTreeSet<(MonoTime, QueueEntryId)>,
    finish: BTreeMap<CustomerKey, u64>,
    queued_by_priority: [usize; Priority::ALL.len()],
    virtual_now: u64,
    arrivals: u64,
}

/// The order of service: priority, virtual finish, latest start, arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Priority,
    finish: u64,
    latest_start: MonoTime,
    arrival: u64,
    id: QueueEntryId,
}

impl AdmissionQueue {
    /// A gate with `capacity` slots and room for `max_queue` waiting tickets.
    pub fn new(policy: QueuePolicy, capacity: u32, max_queue: usize) -> AdmissionQueue {
        AdmissionQueue {
            policy,
            capacity,
            in_use: 0,
            max_queue,
            queued: HashMap::new(),
            order: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            finish: BTreeMap::new(),
            queued_by_priority: [0; Priority::ALL.len()],
            virtual_now: 0,
            arrivals: 0,
        }
    }

    /// Slots taken.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Tickets waiting.
    pub fn queue_len(&self) -> usize {
        self.queued.len()
    }

    /// Slots of this instance's part of the pool.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Changes the number of slots. A lower number takes effect as slots come back.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Asks for a slot. `service` is how long one holds it on average.
    pub fn request_slot(
        &mut self,
        now: MonoTime,
        ticket: QueueEntry,
        service: Duration,
    ) -> SlotDecision {
        if self.in_use < self.capacity && self.queued.is_empty() {
            self.in_use += 1;
            return SlotDecision::Start;
        }
        if self.queued.len() >= self.max_queue {
            return SlotDecision::Full;
        }
        let wait = self.expected_wait(ticket.priority, service);
        let late = now + wait > ticket.latest_start;
        match self.policy {
            QueuePolicy::WeightedFair if late => SlotDecision::WouldMiss(wait),
            QueuePolicy::WeightedFair | QueuePolicy::Fifo => {
                self.enqueue(ticket);
                SlotDecision::Queued
            }
        }
    }

    /// Gives a slot back.
    pub fn release_slot(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// The next ticket that may start, if a slot is free; takes the slot.
    pub fn pop_ready(&mut self) -> Option<QueueEntryId> {
        if self.in_use >= self.capacity {
            return None;
        }
        let key = self.order.pop_first()?;
        self.virtual_now = self.virtual_now.max(key.finish);
        self.forget(key);
        self.in_use += 1;
        Some(key.id)
    }

    /// The next ticket whose latest start has passed; it leaves the queue.
    ///
    /// Such a ticket gets its refusal at once: waiting longer cannot help it.
    pub fn pop_expired(&mut self, now: MonoTime) -> Option<QueueEntryId> {
        match self.deadlines.first().copied() {
            Some((latest, id)) if latest < now => {
                self.cancel(id);
                Some(id)
            }
            _ => None,
        }
    }

    /// When the next ticket expires.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|d| d.0)
    }

    /// Takes a ticket out of the queue; false if it is not there.
    pub fn cancel(&mut self, id: QueueEntryId) -> bool {
        match self.queued.get(&id).copied() {
            Some((key, _)) => {
                self.order.remove(&key);
                self.forget(key);
                true
            }
            None => false,
        }
    }

    /// How long a new ticket of that priority would wait. With no slot at all,
    /// one turn of service is assumed: capacity is on loan and soon back.
    pub fn expected_wait(&self, priority: Priority, service: Duration) -> Duration {
        let ahead: usize = self.queued_by_priority[..=priority.index()].iter().sum();
        let turns = (ahead + 1) as f64 / f64::from(self.capacity.max(1));
        service.mul_f64(turns)
    }

    fn enqueue(&mut self, ticket: QueueEntry) {
        self.arrivals += 1;
        let finish = match self.policy {
            QueuePolicy::Fifo => self.arrivals,
            QueuePolicy::WeightedFair => self.next_finish(&ticket),
        };
        let priority = match self.policy {
            QueuePolicy::Fifo => Priority::High,
            QueuePolicy::WeightedFair => ticket.priority,
        };
        let key = QueueKey {
            priority,
            finish,
            latest_start: ticket.latest_start,
            arrival: self.arrivals,
            id: ticket.id,
        };
        self.order.insert(key);
        self.deadlines.insert((ticket.latest_start, ticket.id));
        self.queued.insert(ticket.id, (key, ticket.latest_start));
        self.queued_by_priority[priority.index()] += 1;
    }

    fn next_finish(&mut self, ticket: &QueueEntry) -> u64 {
        let cost = UNIT / u64::from(ticket.weight.max(1));
        let last = self.finish.entry(ticket.customer).or_insert(0);
        *last = (*last).max(self.virtual_now) + cost;
        *last
    }

    fn forget(&mut self, key: QueueKey) {
        if let Some((_, latest)) = self.queued.remove(&key.id) {
            self.deadlines.remove(&(latest, key.id));
        }
        self.queued_by_priority[key.priority.index()] -= 1;
        if self.queued.is_empty() {
            // An idle queue owes nobody anything; starting over keeps the map
            // of finish times from growing with customers long gone.
            self.finish.clear();
            self.virtual_now = 0;
        }
    }
}
