//! Leased duties: model orders, the queue, snapshots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_backing::EngineOrder;
use jd_backing::Expect;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::Duty;
use jd_coord::EngineReport;
use jd_coord::FencingToken;
use jd_coord::OrderDesk;
use jd_net::lock;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::Name;
use jd_types::Revision;

use crate::queue_worker::QUEUE_DUTY;
use crate::shared::Shared;
use crate::upstream_client::engine_status;
use crate::upstream_client::order;

/// The duty of giving engines orders.
const MODELS_DUTY: &str = "models";
/// The duty of writing snapshots of the configuration.
const SNAPSHOT_DUTY: &str = "snapshot";
/// How long a lease lasts.
const TERM: Duration = Duration::from_secs(6);
/// Pause between steps.
const PAUSE: Duration = Duration::from_millis(250);
/// Changes after which a new snapshot is written.
const SNAPSHOT_EVERY: u64 = 64;

/// Every duty, none held.
pub(crate) fn all(me: Incarnation) -> Vec<Duty> {
    [MODELS_DUTY, QUEUE_DUTY, SNAPSHOT_DUTY]
        .map(|name| Duty::new(name, me, TERM))
        .into()
}

/// The token to act under in a duty now; none if this instance may not act.
pub(crate) fn may_act(shared: &Shared, name: &str) -> Option<FencingToken> {
    let now = shared.now();
    let duties = lock(&shared.duties);
    duties
        .iter()
        .find(|d| d.name() == name)
        .and_then(|d| d.may_act(now))
}

/// Gives every duty up.
pub(crate) fn leave_all(shared: &Shared) {
    lock(&shared.duties).iter_mut().for_each(Duty::leave);
}

/// Takes part in the contest for the duties.
pub(crate) async fn contend(shared: Arc<Shared>) {
    loop {
        Timer::after(PAUSE).await;
        let count = lock(&shared.duties).len();
        for i in 0..count {
            let serves = shared.state() == MemberState::Serving;
            let contends = serves && crate::config_sync::is_early(&shared);
            let call = lock(&shared.duties)[i].next_call(shared.now(), contends);
            if let Some(call) = call {
                let reply = shared.call(call).await;
                lock(&shared.duties)[i].on_reply(shared.now(), reply);
            }
        }
    }
}

/// Gives engines orders while this instance holds the duty.
pub(crate) async fn order_models(shared: Arc<Shared>) {
    let mut desk = OrderDesk::new(shared.settings.work.max_concurrent_loads);
    loop {
        Timer::after(PAUSE * 2).await;
        if may_act(&shared, MODELS_DUTY).is_some() {
            order_once(&shared, &mut desk).await;
        }
    }
}

async fn order_once(shared: &Shared, desk: &mut OrderDesk) {
    let config = lock(&shared.replica).config().clone();
    let wanted: BTreeMap<Name, u32> = config
        .models
        .iter()
        .map(|(name, m)| (name.clone(), m.version))
        .collect();
    let entries = lock(&shared.upstreams).entries();
    let has_model = |pool: &Name| config.pools.get(pool).is_some_and(|p| p.model.is_some());
    let mut reports = Vec::new();
    for e in entries.iter().filter(|e| !e.leaving && has_model(&e.pool)) {
        if let Some(status) = engine_status(shared, e.address).await {
            reports.push(EngineReport {
                address: e.address,
                model: status.model,
                version: status.version,
                loading: status.loading,
            });
        }
    }
    let Some(token) = may_act(shared, MODELS_DUTY) else {
        return;
    };
    for o in desk.plan(shared.now(), token, &wanted, &reports) {
        // The clock is looked at right before each order, since asking the
        // engines may have taken longer than what was left of the lease.
        if may_act(shared, MODELS_DUTY) != Some(token) {
            return;
        }
        let sent = EngineOrder {
            model: o.model,
            version: o.version,
            token: token.0,
        };
        let taken = order(shared, o.address, &sent).await;
        log::info!(engine:% = o.address, model:% = sent.model, version = sent.version, token = token.0, taken; "model order");
    }
}

/// Writes snapshots while this instance holds the duty.
pub(crate) async fn write_snapshots(shared: Arc<Shared>) {
    let mut written = Revision::ZERO;
    loop {
        Timer::after(PAUSE * 4).await;
        let revision = lock(&shared.replica).config().revision;
        let due = revision.get() >= written.get() + SNAPSHOT_EVERY;
        if due && may_act(&shared, SNAPSHOT_DUTY).is_some() {
            written = write_snapshot(&shared).await.unwrap_or(written);
        }
    }
}

/// Writes a snapshot unless a newer one stands there; the revision that stands
/// there then.
async fn write_snapshot(shared: &Shared) -> Option<Revision> {
    let key = KvKey::snapshot();
    let Ok(KvReply::Found { entry }) = shared.call(KvRequest::Get { key: key.clone() }).await
    else {
        return None;
    };
    let config = lock(&shared.replica).config().clone();
    let expect = match &entry {
        None => Expect::Absent,
        Some(e) => {
            let old: jd_types::Config = serde_json::from_str(&e.value).ok()?;
            if old.revision >= config.revision {
                return Some(old.revision);
            }
            Expect::Version(e.version)
        }
    };
    // The configuration is plain data; it always has a JSON form.
    let value = serde_json::to_string(&config).unwrap_or_default();
    if value.len() > KvRequest::MAX_VALUE {
        log::error!(bytes = value.len(); "the configuration is too large for one snapshot");
        return None;
    }
    let put = KvRequest::Put {
        key,
        value,
        expect,
        lease: None,
    };
    matches!(shared.call(put).await, Ok(KvReply::Written { .. })).then_some(config.revision)
}
