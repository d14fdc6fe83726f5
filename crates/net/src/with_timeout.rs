//! A limit on a wait.

use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// Waits for `f`, but no longer than `limit`; none if the limit came first.
pub async fn with_timeout<T>(limit: Duration, f: impl Future<Output = T>) -> Option<T> {
    let done = async { Some(f.await) };
    let late = async {
        Timer::after(limit).await;
        None
    };
    done.or(late).await
}
