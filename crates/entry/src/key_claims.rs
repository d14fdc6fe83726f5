//! Keys without a binding, and deferred work that waits to become durable.

use std::collections::HashMap;
use std::sync::Mutex;

use async_channel::Receiver;
use async_channel::Sender;
use compact_str::format_compact;
use jd_backing::Expect;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::IdempotencyKey;
use jd_coord::RunAnswer;
use jd_coord::Settled;
use jd_net::lock;
use jd_types::Name;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::RunState;

use crate::shared::Shared;

/// Tries to claim a key before its fate is reported as unknown.
const CLAIM_TRIES: u32 = 3;

/// Claims a key without a binding in the platform's service: whoever creates
/// the entry runs the key, once, and the entry stays.
///
/// A lost answer is followed by another try: the entry's value tells whether
/// the first one made it.
pub(crate) async fn claim(
    shared: &Shared,
    customer: &Name,
    key: &IdempotencyKey,
    request: RequestId,
) -> Result<(), RunAnswer> {
    let value = format_compact!("{request}");
    let mut in_doubt = false;
    for _ in 0..CLAIM_TRIES {
        let put = KvRequest::Put {
            key: KvKey::claim(customer.as_str(), key.as_str()),
            value: value.to_string(),
            expect: Expect::Absent,
            lease: None,
        };
        match shared.call(put).await {
            Ok(KvReply::Written { .. }) => return Ok(()),
            Ok(KvReply::Conflict { current: Some(e) }) if e.value == value => return Ok(()),
            Ok(KvReply::Conflict { current }) => {
                let holder = current.map(|e| e.value).unwrap_or_default();
                return Err(earlier(shared, customer, key, &holder));
            }
            Err(KvError::Unavailable) if !in_doubt => break,
            Ok(_) | Err(KvError::Unavailable | KvError::Lost) => in_doubt = true,
        }
    }
    // Nothing was dispatched. If the claim was written all the same, the key is
    // used up without having run, which is safe; the detail says so.
    let detail = match in_doubt {
        true => "the key's claim got no answer; use another key",
        false => "the key has no binding and its claim could not be written",
    };
    Err(RunAnswer::Refused(Refusal::not_run(
        RefusalKind::PlatformDown,
        detail,
    )))
}

fn earlier(shared: &Shared, customer: &Name, key: &IdempotencyKey, holder: &str) -> RunAnswer {
    let kept = lock(&shared.runs).claimed_answer(customer, key);
    kept.unwrap_or_else(|| {
        RunAnswer::Refused(Refusal {
            kind: RefusalKind::Duplicate,
            run: RunState::MayHaveRun,
            detail: format_compact!("the key was claimed by request {holder}"),
            retry_after: None,
        })
    })
}

/// Who waits for which deferred item to be settled.
#[derive(Debug, Default)]
pub(crate) struct OutboxWaiters {
    waiting: Mutex<HashMap<RequestId, Sender<Settled>>>,
}

impl OutboxWaiters {
    /// Waits for an item; the receiver gets one word.
    pub(crate) fn wait(&self, request: RequestId) -> Receiver<Settled> {
        let (tx, rx) = async_channel::bounded(1);
        lock(&self.waiting).insert(request, tx);
        rx
    }

    /// Tells whoever waits.
    pub(crate) fn settle(&self, settled: Vec<(RequestId, Settled)>) {
        let mut waiting = lock(&self.waiting);
        for (request, how) in settled {
            if let Some(tx) = waiting.remove(&request) {
                // There is room for the one word.
                let _ = tx.try_send(how);
            }
        }
    }
}
