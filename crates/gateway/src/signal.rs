//! A signal from one task to another.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

/// A signal that one task waits for. Given while nobody waits, it is kept.
#[derive(Debug)]
pub(crate) struct Signal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Signal {
    pub(crate) fn new() -> Signal {
        let (tx, rx) = async_channel::bounded(1);
        Signal { tx, rx }
    }

    pub(crate) fn give(&self) {
        // Fails only if one is kept already, which says the same.
        let _ = self.tx.try_send(());
    }

    /// Waits for the signal, at most `limit`.
    pub(crate) async fn wait(&self, limit: Duration) {
        let given = async {
            // Fails only if the sender is gone, and it is in this very struct.
            let _ = self.rx.recv().await;
        };
        let late = async {
            Timer::after(limit).await;
        };
        given.or(late).await;
    }
}
