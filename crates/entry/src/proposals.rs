//! Carries out what a [`Proposer`] decides.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use compact_str::format_compact;
use jd_coord::Proposal;
use jd_coord::ProposalEnd;
use jd_coord::ProposalStep;
use jd_coord::Proposer;
use jd_net::lock;
use jd_types::Change;
use jd_types::ChangeId;
use jd_types::ChangeRecord;
use jd_types::MemberState;
use jd_types::Revision;

use crate::query_reply::QueryReply;
use crate::shared::Shared;

/// How long to wait for every instance to have a change in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// How often to look.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Brings an operator's change into force, or says why not.
pub(crate) async fn propose(
    shared: &Arc<Shared>,
    who: CompactString,
    change: Change,
    why: CompactString,
) -> QueryReply {
    // Start from what is in force, as far as it can be read. If it cannot, the
    // log itself will tell.
    crate::config_sync::scan(shared).await;
    let id = ChangeId::new(fastrand::u64(..));
    let proposal = Proposal {
        id,
        who,
        when: shared.clock.wall(),
        why,
        change,
    };
    let config = lock(&shared.replica).config().clone();
    let mut proposer = Proposer::new(proposal, config);
    let mut step = proposer.start();
    let end = loop {
        step = match step {
            ProposalStep::Call(call) => proposer.on_reply(shared.call(call).await),
            ProposalStep::Pause(pause) => {
                Timer::after(pause).await;
                proposer.again()
            }
            ProposalStep::End(end) => break end,
        };
    };
    log::info!(change:% = id, end:? = end; "proposal ended");
    report(shared, end).await
}

async fn report(shared: &Arc<Shared>, end: ProposalEnd) -> QueryReply {
    match end {
        ProposalEnd::InForce(record) => {
            let revision = record.revision;
            if !crate::config_sync::scan(shared).await {
                crate::config_sync::learn(shared, vec![record.clone()]);
            }
            let reach = wait_in_force(shared, revision).await;
            QueryReply::say(true, format!("{}\n{reach}", describe(&record)))
        }
        ProposalEnd::Invalid(e) => QueryReply::say(false, format!("refused, nothing changed: {e}")),
        ProposalEnd::LostTo(other) => QueryReply::say(
            false,
            format!(
                "refused, nothing changed: {} came first; look at it and decide again",
                describe(&other)
            ),
        ),
        ProposalEnd::NotTaken => QueryReply::say(
            false,
            "refused, nothing changed: the platform's key-value service is not available; try again later",
        ),
        ProposalEnd::Unknown(id) => QueryReply::say(
            false,
            format!(
                "not known whether it took effect: no answer from the platform's key-value service; \
                 when it is back, `show changes` has {id} if it did"
            ),
        ),
        ProposalEnd::Corrupt(key) => QueryReply::say(
            false,
            format!(
                "refused, nothing changed: {key} in the log is not a change record; repair it first"
            ),
        ),
    }
}

/// A change in one line.
pub(crate) fn describe(r: &ChangeRecord) -> CompactString {
    let object = r.change.object();
    let why = if r.why.is_empty() {
        "no reason given"
    } else {
        r.why.as_str()
    };
    format_compact!(
        "change {} ({}) by {} at {}: {object}: from `{}` to `{}` because: {why}",
        r.revision,
        r.id,
        r.who,
        r.when,
        r.from,
        r.to,
    )
}

/// Waits until every member has `revision` in force, and says how many have.
async fn wait_in_force(shared: &Arc<Shared>, revision: Revision) -> CompactString {
    let until = shared.now() + IN_FORCE_WITHIN;
    crate::heartbeat::beat_once(shared);
    loop {
        let (have, all) = reach(shared, revision);
        if have == all || shared.now() >= until {
            return format_compact!("in force on {have} of {all}");
        }
        shared.urgent.notify(1);
        Timer::after(LOOK_EVERY).await;
    }
}

/// How many members have `revision` in force, and how many there are.
fn reach(shared: &Shared, revision: Revision) -> (usize, usize) {
    let own = lock(&shared.replica).config().revision >= revision;
    let members = lock(&shared.members);
    let alive = |m: &&jd_coord::Member| m.state < MemberState::Draining;
    let have = members
        .others()
        .filter(alive)
        .filter(|m| m.revision >= revision)
        .count();
    (
        have + usize::from(own),
        members.others().filter(alive).count() + 1,
    )
}
