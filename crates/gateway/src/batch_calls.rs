//! Calls for batches of pieces, and what their answers tell.

use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderMap;
use jd_net::lock;
use jd_net::with_timeout;
use jd_serving::BatchCall;
use jd_serving::BrokenRun;
use jd_serving::CallResult;
use jd_serving::Content;
use jd_serving::PieceResult;
use jd_serving::RunContents;
use jd_serving::Shard;
use jd_types::MonoTime;

use crate::batch_dispatcher::BatchDispatcher;
use crate::batch_dispatcher::MAX_RESPONSE;
use crate::run_events::RunEnd;
use crate::run_events::UpstreamRef;
use crate::upstream_client::SendFailure;
use crate::upstream_client::SendPurpose;
use crate::upstream_client::Withheld;

impl BatchDispatcher {
    pub(crate) async fn run_batch(self: Arc<Self>, shard: Shard, call: BatchCall) {
        let began = self.state.now();
        let result = self.send_batch(&shard, &call).await;
        let now = self.state.now();
        self.record_runs(&call, &result, began);
        log::info!(
            service = call.service.as_str(),
            upstream = call.upstream.as_str(),
            pieces = call.pieces.len(),
            waiting = call.queued,
            room_used = call.storage_used,
            far_bytes = call.cross_zone_bytes,
            expected_ms = call.expected_time.as_millis() as u64,
            load_age_ms:? = call.load_age.map(|a| a.as_millis() as u64),
            outcome = outcome_text(&result).as_str(),
            ms = now.since(began).as_millis() as u64;
            "call for pieces"
        );
        if let Some(entry) = lock(&self.schedulers).get_mut(&shard) {
            entry.scheduler.complete_call(now, call.key, result);
        }
        self.schedule(&shard);
    }

    /// Records for the quarantine whether the requests whose pieces were in a batch ran to
    /// the end or lost the connection.
    fn record_runs(&self, call: &BatchCall, result: &CallResult, began: MonoTime) {
        let quarantine = &self.state.quarantine;
        let now = self.state.now();
        if let CallResult::Answered(_) = result {
            let upstreams = self.state.upstreams.load();
            upstreams.record_answer(&call.upstream, began);
        }
        let contents: BTreeSet<Content> = call.pieces.iter().map(|p| p.content).collect();
        for content in contents {
            let contents = RunContents::of_request(content);
            match result {
                CallResult::Answered(_) => {
                    quarantine.record_sound(now, &call.service, &contents, now);
                }
                CallResult::Broken => {
                    let run = BrokenRun {
                        contents,
                        began,
                        answered: None,
                    };
                    self.state
                        .report_run(upstream_ref(call), run, RunEnd::Broken);
                }
                CallResult::Full
                | CallResult::Withheld(_)
                | CallResult::Gone
                | CallResult::Failed => {}
            }
        }
    }

    async fn send_batch(&self, shard: &Shard, call: &BatchCall) -> CallResult {
        let (state, dialect) = (&self.state, &self.state.dialect);
        let permit = state
            .upstream_client
            .permit(state, upstream_ref(call), SendPurpose::Pieces);
        let permit = match permit.await {
            Ok(permit) => permit,
            Err(why) => return withheld_result(why),
        };
        // The scheduler counts storage as free once its release is queued; it has to be
        // free when the batch arrives.
        self.free_queue.flush(call.address).await;
        let req = match dialect.stage_request(&call.upstream, &call.pieces) {
            Ok(req) => req,
            Err(e) => {
                log::error!(upstream = call.upstream.as_str(), error:% = e; "batch cannot be sent");
                return CallResult::Gone;
            }
        };
        let sent = state
            .upstream_client
            .send(state, permit, req, call.timeout, |_| {});
        let response = match sent.await {
            Ok(response) => response,
            Err(SendFailure::Withheld(why)) => return withheld_result(why),
            Err(SendFailure::ConnectFailed) => return CallResult::Gone,
            Err(SendFailure::ConnectionLost) => return CallResult::Broken,
            Err(SendFailure::InvalidStatus(_) | SendFailure::TimedOut) => {
                return CallResult::Failed;
            }
        };
        let head = dialect.response_head(response.status, &response.headers);
        if head.status == http::StatusCode::MISDIRECTED_REQUEST {
            return CallResult::Gone;
        }
        self.record_load(shard, call, &response.headers);
        match head.status {
            status if head.not_run || !status.is_success() => return self.refused_result(call),
            _ => {}
        }
        match with_timeout(call.timeout, response.read_all(MAX_RESPONSE)).await {
            Some(Ok(body)) => match dialect.stage_results(&body, call.pieces.len()) {
                Some(results) => CallResult::Answered(results),
                None => CallResult::Failed,
            },
            Some(Err(_)) => CallResult::Broken,
            None => CallResult::Failed,
        }
    }

    /// The result of a refused batch: a backoff if the upstream asked for one, or else that
    /// the upstream was full.
    fn refused_result(&self, call: &BatchCall) -> CallResult {
        let state = &self.state;
        let (now, backoffs) = (state.now(), &state.backoffs);
        match backoffs.backoff(now, call.address, &call.upstream, call.start) {
            Some(left) => CallResult::Withheld(left),
            None => CallResult::Full,
        }
    }

    /// Passes the load that an upstream reports on to the scheduler of its shard.
    fn record_load(&self, shard: &Shard, call: &BatchCall, headers: &HeaderMap) {
        let now = self.state.now();
        match self.state.dialect.upstream_load(headers) {
            Ok(None) => {}
            Ok(Some(load)) => {
                if let Some(entry) = lock(&self.schedulers).get_mut(shard) {
                    let BatchCall {
                        service,
                        upstream,
                        start,
                        ..
                    } = call;
                    entry
                        .scheduler
                        .record_load(now, service, upstream, *start, load);
                }
            }
            Err(e) => {
                self.state.metrics.notice("unreadable-load");
                self.load_warnings.log(now, &call.upstream, &e);
            }
        }
    }
}

fn withheld_result(why: Withheld) -> CallResult {
    match why.retry_after {
        Some(wait) => CallResult::Withheld(wait),
        None => CallResult::Gone,
    }
}

fn upstream_ref(call: &BatchCall) -> UpstreamRef {
    UpstreamRef {
        service: call.service.clone(),
        id: call.upstream.clone(),
        start: call.start,
        address: call.address,
    }
}

/// The outcome of a batch for its log line: how many pieces ended in which way.
fn outcome_text(result: &CallResult) -> CompactString {
    let results = match result {
        CallResult::Answered(results) => results,
        other => return format_compact!("{other:?}"),
    };
    let mut counts = [0; 5];
    for result in results {
        let kind = match result {
            PieceResult::Done(_) => 0,
            PieceResult::Expired => 1,
            PieceResult::InputMissing => 2,
            PieceResult::StorageFull => 3,
            PieceResult::Failed => 4,
        };
        counts[kind] += 1;
    }
    let names = ["done", "late", "input-gone", "no-room", "failed"];
    let named = names.iter().zip(counts).filter(|(_, n)| *n > 0);
    let parts: Vec<CompactString> = named
        .map(|(name, n)| format_compact!("{n} {name}"))
        .collect();
    parts.join(", ").into()
}
