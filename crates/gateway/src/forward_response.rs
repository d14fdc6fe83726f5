//! The responses of instances to which requests are forwarded.

use compact_str::CompactString;
use jd_net::HttpResponse;
use jd_net::SendError;
use jd_serving::SoftwareVersion;
use jd_serving::UpstreamStart;
use jd_types::AttemptOutcome;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RunState;

use crate::ResponseHead;
use crate::attempt::AttemptFailure;
use crate::attempt::failure;
use crate::attempt::validate;
use crate::caller_request::CallerRequest;
use crate::forwarded_from;
use crate::forwarded_refusal;
use crate::state::State;

/// The response of an upstream, from another instance.
pub(crate) struct Begun {
    pub(crate) head: ResponseHead,
    pub(crate) http: HttpResponse,
    /// The software version of the upstream; none if the other instance does not tell.
    pub(crate) software: Option<SoftwareVersion>,
    /// The upstream and its start; none if the other instance does not tell.
    pub(crate) upstream: Option<(CompactString, UpstreamStart)>,
}

/// Why another instance sent no response of an upstream.
pub(crate) enum DecodeError {
    NotTaken(Refusal),
    Refused(Refusal),
    Failed(AttemptFailure),
    Lost(AttemptFailure),
}

/// Decodes the response of another instance.
pub(crate) fn decode(
    state: &State,
    request: &CallerRequest,
    sent: Option<Result<HttpResponse, SendError>>,
) -> Result<Begun, DecodeError> {
    let not_taken = |detail| Refusal::not_run(RefusalKind::NotServing, detail);
    let lost = |outcome, detail| DecodeError::Lost(failure(outcome, detail));
    match sent {
        Some(Ok(mut response)) => {
            if let Some(version) = forwarded_from::read_version(&response.headers) {
                state.forwards.record_version(version);
            }
            let ran_at = forwarded_from::read_ran_at(&response.headers);
            for upstream in &ran_at {
                request.ran_at.record(upstream);
            }
            match forwarded_refusal::read(&response.headers) {
                Some(refusal) if is_not_taken(&refusal) => Err(DecodeError::NotTaken(refusal)),
                Some(refusal) if refusal.run == RunState::MayHaveRun => {
                    Err(DecodeError::Failed(failure_of(refusal)))
                }
                Some(refusal) => Err(DecodeError::Refused(refusal)),
                None => {
                    let software = forwarded_from::read_software(&response.headers);
                    let start = forwarded_from::read_start(&response.headers);
                    let upstream = ran_at.into_iter().next_back().map(|id| (id, start));
                    forwarded_from::strip(&mut response.headers);
                    let validated = validate(state, request, response);
                    let (head, http) = validated.map_err(DecodeError::Failed)?;
                    Ok(Begun {
                        head,
                        http,
                        software,
                        upstream,
                    })
                }
            }
        }
        Some(Err(SendError::NotSent)) => Err(DecodeError::NotTaken(not_taken(
            "another instance cannot be reached",
        ))),
        Some(Err(SendError::Broken)) => {
            let detail = "the connection to another instance broke";
            Err(lost(AttemptOutcome::Failed, detail))
        }
        Some(Err(SendError::InvalidStatus { .. })) => {
            let detail = "another instance passed on a status that is none";
            Err(lost(AttemptOutcome::Failed, detail))
        }
        None => {
            let detail = "another instance did not answer in time";
            Err(lost(AttemptOutcome::Silent, detail))
        }
    }
}

/// The failure of a run that another instance refused after it had sent the request.
fn failure_of(refusal: Refusal) -> AttemptFailure {
    let outcome = match refusal.kind {
        RefusalKind::DeadlinePassed => AttemptOutcome::Silent,
        _ => AttemptOutcome::Failed,
    };
    failure(outcome, refusal.detail)
}

/// True if the other instance sent the request to no upstream, and a third one may take it.
fn is_not_taken(refusal: &Refusal) -> bool {
    refusal.kind == RefusalKind::NotServing && refusal.run == RunState::NotRun
}
