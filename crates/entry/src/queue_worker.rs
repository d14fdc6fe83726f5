//! Work that may wait: done at once if it can be, else made durable.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_backing::KvEntry;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::Answer;
use jd_coord::OutboxBatch;
use jd_coord::OutboxItem;
use jd_coord::RunAnswer;
use jd_coord::Settled;
use jd_net::lock;
use jd_types::Priority;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::output::Output;
use crate::run_driver::Admitted;
use crate::run_driver::RunDriver;
use crate::shared::Shared;

/// The duty of working off the queue.
pub(crate) const QUEUE_DUTY: &str = "queue";
/// Pause between looks at the queue.
const PAUSE: Duration = Duration::from_millis(500);
/// Batches in one look.
const BATCHES: u32 = 4;

/// Runs a request. One that may wait gets half its time to be done at once;
/// after that it is made durable, and the caller is told that it is accepted.
pub(crate) async fn run_or_defer(
    shared: &Arc<Shared>,
    req: &Admitted,
    deferrable: bool,
    tx: &Sender<Output>,
) -> RunAnswer {
    if !deferrable {
        return RunDriver::new(shared, req, tx).drive().await;
    }
    let now = shared.now();
    let early = Admitted {
        deadline: now + req.deadline.since(now) / 2,
        snapshot: Arc::clone(&req.snapshot),
        body: req.body.clone(),
        key: None,
        stream: false,
        ..*req
    };
    match RunDriver::new(shared, &early, tx).drive().await {
        whole @ RunAnswer::Whole(_) => whole,
        RunAnswer::Refused(r) => {
            shared.decided(req.request, "defer", format_compact!("{r}"));
            defer(shared, req).await
        }
    }
}

async fn defer(shared: &Shared, req: &Admitted) -> RunAnswer {
    let (Some(customer), Some(pipeline)) = (req.customer(), req.pipeline()) else {
        return refused(
            RefusalKind::Malformed,
            RunState::NotRun,
            "the configuration changed",
        );
    };
    let item = OutboxItem {
        request: req.request,
        customer: customer.name.clone(),
        pipeline: pipeline.name.clone(),
        body: req.body.clone(),
    };
    let settled = shared.outbox_waiters.wait(req.request);
    if !lock(&shared.outbox).add(item, req.deadline) {
        let why = "too much deferred work waits";
        return refused(RefusalKind::Overloaded, RunState::MayHaveRun, why);
    }
    match settled.recv().await {
        Ok(Settled::Durable) => {
            let output = Bytes::new();
            RunAnswer::Whole(Answer {
                request: req.request,
                output,
            })
        }
        Ok(Settled::Dropped) => {
            let why = "it could not be done or made durable in time";
            refused(RefusalKind::PlatformDown, RunState::MayHaveRun, why)
        }
        Ok(Settled::Unknown) | Err(_) => {
            let why = "it could not be told whether it became durable";
            refused(RefusalKind::PlatformDown, RunState::MayHaveRun, why)
        }
    }
}

fn refused(kind: RefusalKind, run: RunState, detail: &'static str) -> RunAnswer {
    let detail = CompactString::const_new(detail);
    RunAnswer::Refused(Refusal {
        kind,
        run,
        detail,
        retry_after: Some(PAUSE),
    })
}

/// Works off the queue while this instance holds the duty.
pub(crate) async fn work_off(shared: Arc<Shared>) {
    loop {
        Timer::after(PAUSE).await;
        if crate::duties::may_act(&shared, QUEUE_DUTY).is_some() {
            work_once(&shared).await;
        }
    }
}

async fn work_once(shared: &Arc<Shared>) {
    let prefix = CompactString::const_new(KvKey::QUEUE);
    let scan = KvRequest::Scan {
        prefix,
        after: None,
        limit: BATCHES,
    };
    let Ok(KvReply::Entries { entries }) = shared.call(scan).await else {
        return;
    };
    for entry in entries {
        // Another holder may do the same batch after this one's lease lapsed:
        // the work is idempotent, and a delete names the version it means.
        if crate::duties::may_act(shared, QUEUE_DUTY).is_none() {
            return;
        }
        if do_batch(shared, &entry).await {
            let delete = KvRequest::Delete {
                key: entry.key.clone(),
                version: entry.version,
            };
            // Not deleted now, it is found again and done again.
            let _ = shared.call(delete).await;
        }
    }
}

/// Does every item of a batch; false if any has to be tried again.
async fn do_batch(shared: &Arc<Shared>, entry: &KvEntry) -> bool {
    let Some(batch) = OutboxBatch::from_entry(entry) else {
        log::error!(key:% = entry.key; "not a batch of deferred work; an operator must look at it");
        return false;
    };
    let mut all = true;
    for item in &batch.items {
        all &= do_item(shared, item).await;
    }
    all
}

async fn do_item(shared: &Arc<Shared>, item: &OutboxItem) -> bool {
    let snapshot = shared.snapshot.load_full();
    let pipeline = snapshot.compiled.pipeline(item.pipeline.as_str());
    let customer = snapshot.compiled.customer(&item.customer);
    let (Some(pipeline), Some(customer)) = (pipeline, customer) else {
        log::warn!(request:% = item.request; "deferred work for a pipeline or customer that is gone");
        return false;
    };
    let longest = snapshot
        .compiled
        .pipelines
        .get(pipeline.index())
        .map(|p| p.deadline);
    let req = Admitted {
        request: item.request,
        pipeline,
        customer,
        priority: Priority::Low,
        deadline: shared.now() + longest.unwrap_or_default(),
        body: item.body.clone(),
        key: None,
        stream: false,
        snapshot,
    };
    let (tx, _rx) = async_channel::bounded(1);
    let answer = RunDriver::new(shared, &req, &tx).drive().await;
    matches!(answer, RunAnswer::Whole(_))
}
