//! Keeps this instance's part of every limit.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_coord::ShareView;
use jd_net::lock;
use jd_types::Ppm;

use crate::shared::Shared;

/// Pause between steps.
const PAUSE: Duration = Duration::from_millis(100);
/// Added to the longest deadline, so that a capacity set now holds until the
/// next step.
const MARGIN: Duration = Duration::from_millis(200);

/// Keeps the own part for as long as the instance lives.
pub(crate) async fn keep(shared: Arc<Shared>) {
    loop {
        step(&shared).await;
        Timer::after(PAUSE).await;
    }
}

async fn step(shared: &Shared) {
    let now = shared.now();
    let base = shared.base();
    let idle = lock(&shared.loans).idle(now, base);
    let call = {
        let members = lock(&shared.members);
        let longest = shared.snapshot.load().longest;
        let view = ShareView {
            members: &members,
            idle,
            longest,
        };
        lock(&shared.shares).next_call(now, view)
    };
    apply(shared);
    if let Some(call) = call {
        let reply = shared.call(call).await;
        lock(&shared.shares).on_reply(shared.now(), reply);
        apply(shared);
    }
}

/// Makes what may be used now known to the loan book and the gates.
pub(crate) fn apply(shared: &Shared) {
    let now = shared.now();
    let base: Ppm = {
        let members = lock(&shared.members);
        lock(&shared.shares).usable(now, &members)
    };
    shared.set_base(now, base);
    let snapshot = shared.snapshot.load();
    let until = now + snapshot.longest + MARGIN;
    let mut loans = lock(&shared.loans);
    for pool in &snapshot.pools {
        let (in_use, queued) = pool.demand();
        if queued > 0 {
            // Waiting for the next regular heartbeat would cost a second.
            shared.urgent.notify(1);
        }
        loans.set_in_use(&pool.limit, in_use);
        loans.set_queued(&pool.limit, queued);
        pool.set_capacity(loans.usable(now, base, &pool.limit, until));
    }
    drop(loans);
    shared.limits_moved.notify(usize::MAX);
}
