//! Writes deferred work to the platform's service.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_net::lock;

use crate::shared::Shared;

/// How long items gather before a batch is written. Within a deadline this is
/// little; for the platform's rate of writes it is a bound.
const GATHER: Duration = Duration::from_millis(20);
/// Pause after a write that failed.
const BACK_OFF: Duration = Duration::from_millis(200);

/// Writes batches for as long as the instance lives.
pub(crate) async fn write(shared: Arc<Shared>) {
    loop {
        Timer::after(GATHER).await;
        let expired = lock(&shared.outbox).expired(shared.now());
        shared.outbox_waiters.settle(expired);
        let call = lock(&shared.outbox).next_call();
        if let Some(call) = call {
            let reply = shared.call(call).await;
            let failed = reply.is_err();
            let settled = lock(&shared.outbox).on_reply(reply);
            shared.outbox_waiters.settle(settled);
            if failed {
                Timer::after(BACK_OFF).await;
            }
        }
    }
}
