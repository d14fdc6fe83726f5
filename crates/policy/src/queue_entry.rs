//! An entry in the admission queue of a pool.

use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Priority;

/// Identifies an entry within one admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueEntryId(pub u64);

/// One stage of one request that needs a slot.
#[derive(Debug, Clone, Copy)]
pub struct QueueEntry {
    /// Identifier chosen by the caller.
    pub id: QueueEntryId,
    /// The customer that sent the request.
    pub customer: CustomerKey,
    /// The customer's weight, at least 1.
    pub weight: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The latest time at which the stage can start and still meet the deadline.
    pub latest_start: MonoTime,
}
