//! Something that happens once and that many may wait for.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// Something that happens once and that many may wait for.
#[derive(Debug, Default)]
pub(crate) struct Latch {
    happened: AtomicBool,
    told: Event,
}

impl Latch {
    /// It happens; true if it had not before.
    pub(crate) fn set(&self) -> bool {
        let first = !self.happened.swap(true, Ordering::SeqCst);
        if first {
            self.told.notify(usize::MAX);
        }
        first
    }

    /// Returns once it has happened.
    pub(crate) async fn wait(&self) {
        while !self.happened.load(Ordering::SeqCst) {
            let told = self.told.listen();
            if !self.happened.load(Ordering::SeqCst) {
                told.await;
            }
        }
    }
}
