//! One pool's gate, estimate and retry budget on this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_net::lock;
use jd_net::with_timeout;
use jd_policy::AdmissionQueue;
use jd_policy::LatencyEstimate;
use jd_policy::PipelineRun;
use jd_policy::QueueEntry;
use jd_policy::QueueEntryId;
use jd_policy::QueuePolicy;
use jd_policy::RetryBudget;
use jd_policy::SlotDecision;
use jd_policy::StageTiming;
use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Priority;
use jd_types::RefusalKind;

/// Retries that may be made at once after a quiet time.
const RETRY_BURST: u32 = 20;
/// What an attempt is taken to last before the first has been timed.
const FIRST_GUESS: Duration = Duration::from_millis(20);

/// One pool's gate, estimate and retry budget on this instance. Lives on
/// through changes of configuration.
#[derive(Debug)]
pub(crate) struct PoolRuntime {
    /// The pool.
    pub(crate) name: Name,
    /// The pool's name among the shared limits.
    pub(crate) limit: CompactString,
    /// How long an attempt takes.
    pub(crate) estimate: LatencyEstimate,
    /// What may be retried.
    pub(crate) budget: RetryBudget,
    gate: Mutex<Gate>,
    tickets: AtomicU64,
}

#[derive(Debug)]
struct Gate {
    gate: AdmissionQueue,
    waiting: HashMap<QueueEntryId, Sender<()>>,
}

/// What a request asks a slot for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotRequest {
    /// Whose request. Keys are of one revision, so after a change of customers
    /// some tickets may queue under a neighbour's name for a moment; it decides
    /// only whose turn it is.
    pub(crate) customer: CustomerKey,
    /// That customer's weight.
    pub(crate) weight: u32,
    /// How urgent.
    pub(crate) priority: Priority,
    /// The last moment at which starting makes sense.
    pub(crate) latest_start: MonoTime,
}

/// Why there was no slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NoSlot {
    /// The refusal to give.
    pub(crate) kind: RefusalKind,
    /// When to come back.
    pub(crate) after: Duration,
}

/// One slot of a pool, given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pool: Arc<PoolRuntime>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.release();
    }
}

/// A place in the queue, given up when dropped.
struct Queued {
    pool: Arc<PoolRuntime>,
    id: QueueEntryId,
    done: bool,
}

impl Drop for Queued {
    fn drop(&mut self) {
        if !self.done {
            self.pool.leave_queue(self.id);
        }
    }
}

impl PoolRuntime {
    /// A pool that has no slots until its part of the limit is known.
    pub(crate) fn new(name: &Name, max_queue: usize, retry_percent: u32) -> PoolRuntime {
        let gate = AdmissionQueue::new(QueuePolicy::WeightedFair, 0, max_queue);
        PoolRuntime {
            name: name.clone(),
            limit: format_compact!("pool/{name}"),
            estimate: LatencyEstimate::with_initial(FIRST_GUESS),
            budget: RetryBudget::new(retry_percent, RETRY_BURST),
            gate: Mutex::new(Gate {
                gate,
                waiting: HashMap::new(),
            }),
            tickets: AtomicU64::new(0),
        }
    }

    /// What an attempt is expected to take now.
    pub(crate) fn timing(&self) -> StageTiming {
        let timeout = self
            .estimate
            .mean_plus_deviations(PipelineRun::TIMEOUT_DEVIATIONS);
        StageTiming {
            mean: self.estimate.mean(),
            timeout,
        }
    }

    /// How long a new request of that priority would wait for a slot.
    pub(crate) fn expected_wait(&self, priority: Priority) -> Duration {
        let gate = lock(&self.gate);
        match gate.gate.in_use() < gate.gate.capacity() && gate.gate.queue_len() == 0 {
            true => Duration::ZERO,
            false => gate.gate.expected_wait(priority, self.estimate.mean()),
        }
    }

    /// Slots taken and tickets waiting.
    pub(crate) fn demand(&self) -> (u32, u32) {
        let gate = lock(&self.gate);
        (
            gate.gate.in_use(),
            u32::try_from(gate.gate.queue_len()).unwrap_or(u32::MAX),
        )
    }

    /// Slots of this instance's part of the pool.
    pub(crate) fn capacity(&self) -> u32 {
        lock(&self.gate).gate.capacity()
    }

    /// Sets this instance's part of the pool.
    pub(crate) fn set_capacity(&self, capacity: u32) {
        let mut gate = lock(&self.gate);
        gate.gate.set_capacity(capacity);
        start_ready(&mut gate);
    }

    /// Waits for a slot, at most until the latest start.
    pub(crate) async fn slot(
        self: &Arc<Self>,
        now: MonoTime,
        req: SlotRequest,
    ) -> Result<Slot, NoSlot> {
        let id = QueueEntryId(self.tickets.fetch_add(1, Ordering::Relaxed));
        let ticket = QueueEntry {
            id,
            customer: req.customer,
            weight: req.weight,
            priority: req.priority,
            latest_start: req.latest_start,
        };
        let (tx, rx) = async_channel::bounded(1);
        let offer = self.offer(now, ticket, tx);
        let mut queued = match offer {
            SlotDecision::Start => {
                return Ok(Slot {
                    pool: Arc::clone(self),
                });
            }
            SlotDecision::WouldMiss(after) => {
                return Err(NoSlot {
                    kind: RefusalKind::WouldMiss,
                    after,
                });
            }
            SlotDecision::Full => {
                return Err(NoSlot {
                    kind: RefusalKind::Overloaded,
                    after: self.estimate.mean(),
                });
            }
            SlotDecision::Queued => Queued {
                pool: Arc::clone(self),
                id,
                done: false,
            },
        };
        let patience = req.latest_start.since(now);
        match with_timeout(patience, rx.recv()).await {
            Some(Ok(())) => {
                queued.done = true;
                Ok(Slot {
                    pool: Arc::clone(self),
                })
            }
            _ => Err(NoSlot {
                kind: RefusalKind::WouldMiss,
                after: self.estimate.mean(),
            }),
        }
    }

    fn offer(&self, now: MonoTime, ticket: QueueEntry, tx: Sender<()>) -> SlotDecision {
        let mut gate = lock(&self.gate);
        let offer = gate.gate.request_slot(now, ticket, self.estimate.mean());
        if offer == SlotDecision::Queued {
            gate.waiting.insert(ticket.id, tx);
        }
        offer
    }

    fn release(&self) {
        let mut gate = lock(&self.gate);
        gate.gate.release_slot();
        start_ready(&mut gate);
    }

    /// Leaves the queue; a slot that was given in the meantime goes back.
    fn leave_queue(&self, id: QueueEntryId) {
        let mut gate = lock(&self.gate);
        if gate.waiting.remove(&id).is_some() {
            gate.gate.cancel(id);
        } else {
            gate.gate.release_slot();
            start_ready(&mut gate);
        }
    }
}

fn start_ready(gate: &mut Gate) {
    while let Some(id) = gate.gate.pop_ready() {
        if let Some(tx) = gate.waiting.remove(&id) {
            // There is room for the one word. A receiver that is gone gives
            // the slot back when its place in the queue is dropped.
            let _ = tx.try_send(());
        }
    }
}
