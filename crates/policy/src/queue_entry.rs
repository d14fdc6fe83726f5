//! A request's place in a pool's queue.

use jd_types::CustomerKey;
use jd_types::MonoTime;
use jd_types::Priority;

/// Identifies a ticket within one gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueEntryId(pub u64);

/// What a gate knows of one stage of one request that wants a slot.
#[derive(Debug, Clone, Copy)]
pub struct QueueEntry {
    /// Its identity, chosen by the caller.
    pub id: QueueEntryId,
    /// Whose request.
    pub customer: CustomerKey,
    /// That customer's weight, at least 1.
    pub weight: u32,
    /// How urgent.
    pub priority: Priority,
    /// The last moment at which starting still makes sense.
    pub latest_start: MonoTime,
}
