//! A notification from one task to another.

use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;

/// A notification for one waiting task. If no task waits, it is kept for the next wait.
#[derive(Debug)]
pub(crate) struct Signal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Signal {
        Signal::new()
    }
}

impl Signal {
    pub(crate) fn new() -> Signal {
        let (tx, rx) = async_channel::bounded(1);
        Signal { tx, rx }
    }

    pub(crate) fn notify(&self) {
        // Fails only if a notification is pending already.
        let _ = self.tx.try_send(());
    }

    /// Waits for the notification.
    pub(crate) async fn wait(&self) {
        // Fails only if the sender was dropped, and `self` holds it.
        let _ = self.rx.recv().await;
    }

    /// Waits for the notification, at most `limit`; false after a timeout.
    pub(crate) async fn wait_timeout(&self, limit: Duration) -> bool {
        // Fails only if the sender was dropped, and `self` holds it.
        let notified = async { self.rx.recv().await.is_ok() };
        let timeout = async {
            Timer::after(limit).await;
            false
        };
        notified.or(timeout).await
    }
}
