//! Timeout for futures.

use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// Runs `future` for at most `timeout`. Returns none if it did not complete in time.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    let completed = async { Some(future.await) };
    let expired = async {
        Timer::after(timeout).await;
        None
    };
    completed.or(expired).await
}
