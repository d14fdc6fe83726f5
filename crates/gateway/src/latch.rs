//! A one-time event that any number of tasks can wait for.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// A one-time event that any number of tasks can wait for.
#[derive(Debug, Default)]
pub(crate) struct Latch {
    is_set: AtomicBool,
    event: Event,
}

impl Latch {
    /// Sets the latch; true if it was not set before.
    pub(crate) fn set(&self) -> bool {
        let first = !self.is_set.swap(true, Ordering::SeqCst);
        if first {
            self.event.notify(usize::MAX);
        }
        first
    }

    /// True once the latch is set.
    pub(crate) fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    /// Waits until the latch is set.
    pub(crate) async fn wait(&self) {
        while !self.is_set() {
            let listener = self.event.listen();
            if !self.is_set() {
                listener.await;
            }
        }
    }
}
