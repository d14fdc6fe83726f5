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

    pub(crate) fn notify(&self) {
        // Fails only if one is kept already, which says the same.
        let _ = self.tx.try_send(());
    }

    /// Waits for the signal as long as it takes.
    pub(crate) async fn wait(&self) {
        // Fails only if the sender is gone, and it is in this very struct.
        let _ = self.rx.recv().await;
    }

    /// Waits for the signal, at most `limit`; false if that came first.
    pub(crate) async fn wait_timeout(&self, limit: Duration) -> bool {
        // Fails only if the sender is gone, and it is in this very struct.
        let given = async { self.rx.recv().await.is_ok() };
        let late = async {
            Timer::after(limit).await;
            false
        };
        given.or(late).await
    }
}
