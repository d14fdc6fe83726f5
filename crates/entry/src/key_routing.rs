//! Where a key may run: here, elsewhere, or never again.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_coord::Answer;
use jd_coord::IdempotencyKey;
use jd_coord::KeyDecision;
use jd_coord::RunAnswer;
use jd_net::SendError;
use jd_net::lock;
use jd_net::with_timeout;
use jd_types::Incarnation;
use jd_types::Name;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::RunState;
use jd_wire::ForwardReply;
use jd_wire::ForwardRequest;
use jd_wire::PeerClient;
use tonic::Status;

use crate::run_driver::Admitted;
use crate::shared::Shared;

/// Allowance for the way there and back of a forwarded run.
const FORWARD_MARGIN: Duration = Duration::from_millis(200);

/// Decides on a request's key. `None`: run it here. Otherwise its answer.
pub(crate) async fn decide_key(
    shared: &Arc<Shared>,
    req: &Admitted,
    customer: &Name,
    key: &IdempotencyKey,
) -> Option<RunAnswer> {
    let decision = lock(&shared.runs).decide(shared.now(), customer, key, req.request);
    match decision {
        KeyDecision::Run => None,
        KeyDecision::Replay(answer) => Some(answer),
        KeyDecision::Duplicate(first) => {
            let detail = format_compact!("the key belongs to request {first}");
            Some(may_have_run(RefusalKind::Duplicate, detail))
        }
        KeyDecision::Expired => {
            let detail = "the key's binding has expired";
            Some(may_have_run(RefusalKind::BindingGone, detail.into()))
        }
        KeyDecision::Forward(owner) => Some(forward(shared, req, customer, key, owner).await),
        KeyDecision::Claim => {
            match crate::key_claims::claim(shared, customer, key, req.request).await {
                Ok(()) => {
                    lock(&shared.runs).claimed(shared.now(), customer, key, req.request);
                    None
                }
                Err(answer) => Some(answer),
            }
        }
    }
}

/// Hands a run to the one instance that may dispatch it.
async fn forward(
    shared: &Arc<Shared>,
    req: &Admitted,
    customer: &Name,
    key: &IdempotencyKey,
    owner: Incarnation,
) -> RunAnswer {
    let member = lock(&shared.members).get(owner).cloned();
    let (Some(member), Some(pipeline)) = (member, req.pipeline()) else {
        let detail = format_compact!("instance {owner}, which alone may run the key, is gone");
        return may_have_run(RefusalKind::BindingGone, detail);
    };
    let left = req.deadline.since(shared.now());
    let message = ForwardRequest {
        from: shared.me.get(),
        pipeline: pipeline.name.to_string(),
        key: key.as_str().to_owned(),
        customer: customer.to_string(),
        deadline_ms: left.saturating_sub(FORWARD_MARGIN).as_millis() as u32,
        priority: req.priority.index() as u32,
        body: req.body.clone().into_bytes(),
    };
    shared.decided(
        req.request,
        "forward",
        format_compact!("to {owner} at {}", member.peers),
    );
    let link = shared.links.get(member.peers);
    let mut client = PeerClient::new(link.channel.clone());
    match with_timeout(left, client.forward(message)).await {
        Some(Ok(reply)) => reply_to_answer(req.request, reply.into_inner()),
        // Earlier calls with the key may have reached the owner, so even a
        // call that provably never left is no proof that the key has not run.
        Some(Err(status)) => {
            let sent = status_source(&status);
            let detail = format_compact!("instance {owner} cannot be reached ({sent})");
            may_have_run(RefusalKind::BindingGone, detail)
        }
        None => {
            link.channel.reset();
            may_have_run(
                RefusalKind::DeadlinePassed,
                format_compact!("instance {owner} did not answer"),
            )
        }
    }
}

fn status_source(status: &Status) -> CompactString {
    let source = std::error::Error::source(status).and_then(|s| s.downcast_ref::<SendError>());
    match source {
        Some(e) => format_compact!("{e}"),
        None => CompactString::from(status.message()),
    }
}

fn reply_to_answer(request: RequestId, reply: ForwardReply) -> RunAnswer {
    match reply.answered {
        true => RunAnswer::Whole(Answer {
            request,
            output: reply.output.into(),
        }),
        false => {
            let kind = RefusalKind::ALL
                .into_iter()
                .find(|k| k.as_str() == reply.kind);
            let after = u64::from(reply.retry_after_ms);
            RunAnswer::Refused(Refusal {
                kind: kind.unwrap_or(RefusalKind::UpstreamFailed),
                run: if reply.may_have_run {
                    RunState::MayHaveRun
                } else {
                    RunState::NotRun
                },
                detail: reply.detail.into(),
                retry_after: (after > 0).then(|| Duration::from_millis(after)),
            })
        }
    }
}

/// Refuses because no new work is taken. With a key, "not run" is said only if
/// no earlier call with it can have run: a caller whose first answer was lost
/// would take the word for a licence to begin again under another key.
pub(crate) fn refuse_unfit(
    shared: &Shared,
    why: &str,
    customer: Option<&Name>,
    key: Option<&IdempotencyKey>,
) -> Refusal {
    let run = match (customer, key) {
        (_, None) => RunState::NotRun,
        (Some(c), Some(k)) if lock(&shared.runs).has_never_run(shared.now(), c, k) => {
            RunState::NotRun
        }
        _ => RunState::MayHaveRun,
    };
    let detail = CompactString::from(why);
    Refusal {
        kind: RefusalKind::NotServing,
        run,
        detail,
        retry_after: None,
    }
}

/// The key that upstreams get: keys of two customers must not meet there.
pub(crate) fn upstream_key(customer: &Name, key: &IdempotencyKey) -> CompactString {
    format_compact!("{customer}.{}", key.as_str())
}

pub(crate) fn may_have_run(kind: RefusalKind, detail: CompactString) -> RunAnswer {
    RunAnswer::Refused(Refusal {
        kind,
        run: RunState::MayHaveRun,
        detail,
        retry_after: None,
    })
}
