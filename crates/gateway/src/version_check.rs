//! Checks that upstreams run the software versions that their entries name.

use std::time::Duration;

use compact_str::CompactString;
use jd_net::with_timeout;
use jd_serving::SoftwareVersion;
use jd_serving::StartReport;
use jd_serving::StreamBeginning;
use jd_serving::VersionCertainty;
use jd_serving::VersionEvidence;
use jd_serving::judge_version;
use jd_types::MonoTime;

use crate::caller_request::CallerRequest;
use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::upstream_client::SendPurpose;

/// How long an upstream may take to report its start.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a proof is waited for, beyond the time from which on it counts.
const PROOF_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a caller waits for a proof that its stream's service had one version, beyond the interval
/// at which proofs are asked for without a request: several calls along the instances that it comes
/// from.
const VERSIONS_PROOF_MARGIN: Duration = Duration::from_millis(500);
/// How often a request that waits looks for a proof. Those that other instances send wake nobody.
const PROOF_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The largest report that is read, in bytes. A larger one counts as no answer.
const MAX_REPORT: usize = 1 << 20;

/// What an upstream says of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    /// It runs this start, or does not tell.
    Same,
    /// It runs another start.
    Another,
    /// It does not answer.
    Nothing,
}

/// True if an upstream still runs the start that its entry names, or does not tell its start. Its
/// entry may be out of date while the store is unavailable. An upstream with a rate limit is not
/// asked, since that would take a part of what it allows.
pub(crate) async fn runs_listed_start(state: &State, upstream: UpstreamRef) -> bool {
    if !upstream.start.is_known() || state.limits.limit(&upstream.id).is_some() {
        return true;
    }
    let id = upstream.id.clone();
    let reported = reported_start(state, upstream).await;
    log::info!(upstream = id.as_str(), reported:?; "start of an upstream checked before a stream is resumed there");
    reported == Reported::Same
}

/// True if a stream was begun by the software version that the entry of its upstream named. Asks the
/// upstream, and waits for a proof if that does not answer.
pub(crate) async fn is_certain(
    state: &State,
    service: &CompactString,
    beginning: &StreamBeginning,
    software: &SoftwareVersion,
) -> bool {
    let due = match judge(state, beginning, software) {
        VersionCertainty::Certain => return true,
        VersionCertainty::Uncertain => return false,
        VersionCertainty::UntilProof(due) => due,
    };
    let address = state.upstreams.load().address_of(&beginning.upstream);
    let reported = match address {
        None => Reported::Nothing,
        Some(address) => {
            let upstream = UpstreamRef {
                service: service.clone(),
                id: beginning.upstream.clone(),
                start: beginning.start,
                address,
            };
            reported_start(state, upstream).await
        }
    };
    let is_certain = match reported {
        Reported::Same => true,
        Reported::Another => false,
        Reported::Nothing => {
            until_proven(state, due, due + PROOF_TIMEOUT).await;
            judge(state, beginning, software) == VersionCertainty::Certain
        }
    };
    log::info!(
        upstream = beginning.upstream.as_str(),
        reported:?,
        is_certain;
        "version that began a stream checked"
    );
    is_certain
}

fn judge(
    state: &State,
    beginning: &StreamBeginning,
    software: &SoftwareVersion,
) -> VersionCertainty {
    let table = state.upstreams.load();
    let id = beginning.upstream.as_str();
    let evidence = VersionEvidence {
        listed: table.start_of(id).zip(table.software_of(id)),
        proven_at: state.proof_age().map(|age| state.now().before(age)),
    };
    judge_version(beginning, software, evidence)
}

async fn reported_start(state: &State, upstream: UpstreamRef) -> Reported {
    let start = upstream.start;
    match ask_start(state, upstream).await {
        StartReport::Unanswered => Reported::Nothing,
        StartReport::Told(told) if told == start || !told.is_known() => Reported::Same,
        StartReport::Told(_) => Reported::Another,
    }
}

/// Asks the process at an upstream's address for its start. An upstream with a rate limit is not
/// asked, since that would take a part of what it allows.
pub(crate) async fn ask_start(state: &State, upstream: UpstreamRef) -> StartReport {
    let asking = async {
        let req = state.dialect.report_request(&upstream.id).ok()?;
        let client = &state.upstream_client;
        let permit = client.permit(state, upstream, SendPurpose::Maintenance);
        let permit = permit.await.ok()?;
        let response = client
            .send(state, permit, req, REPORT_TIMEOUT, |_| {})
            .await;
        let response = response.ok().filter(|r| r.status.is_success())?;
        let body = response.read_all(MAX_REPORT).await.ok()?;
        state.dialect.reported_start(&body)
    };
    let told = with_timeout(REPORT_TIMEOUT, asking).await.flatten();
    told.map_or(StartReport::Unanswered, StartReport::Told)
}

/// Waits until a proof was asked for after a request arrived, for a limited time. Does not wait while
/// no proof can arrive.
pub(crate) async fn until_versions_proven(state: &State, request: &CallerRequest) {
    if state.has_lost_store() {
        return;
    }
    let limit = state.settings.revision_poll_interval + VERSIONS_PROOF_MARGIN;
    let until = (state.now() + limit).min(request.deadline);
    until_proven(state, request.arrived, until).await;
}

/// Waits until a proof was asked for at `due` or later, at most until `until`.
async fn until_proven(state: &State, due: MonoTime, until: MonoTime) {
    loop {
        let changes = state.changes.listen();
        let now = state.now();
        if state.is_proven_at(due) || now >= until {
            return;
        }
        let wait = match now < due {
            true => due.since(now),
            false => {
                state.request_proof_of(due);
                until.since(now)
            }
        };
        with_timeout(wait.min(PROOF_CHECK_INTERVAL), changes).await;
    }
}
