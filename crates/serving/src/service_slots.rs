//! How many requests an upstream of a service processes at a time.

/// The slots of the upstreams of a service, which mostly have the same: their median, the lower one of two;
/// 1 if there are none.
///
/// Guards against a single entry, of another writer or with a wrong number, that sets the capacity of all
/// upstreams of its service.
pub fn service_slots(entries: impl Iterator<Item = u32>) -> u32 {
    let mut slots: Vec<u32> = entries.collect();
    let middle = slots.len().saturating_sub(1) / 2;
    match slots.is_empty() {
        true => 1,
        false => *slots.select_nth_unstable(middle).1,
    }
}
