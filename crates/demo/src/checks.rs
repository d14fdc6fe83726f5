//! The promises, checked against what callers and stand-ins saw.

use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::lock;
use jd_types::Incarnation;
use jd_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Fault;
use crate::tally::Tally;
use crate::world::World;

/// How long an accepted change may take to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// One promise and how often it was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The promise.
    pub promise: CompactString,
    /// What it was checked on.
    pub checked: u64,
    /// How often it was broken.
    pub broken: u64,
}

fn check(promise: &'static str, checked: u64, broken: u64) -> Check {
    Check {
        promise: CompactString::const_new(promise),
        checked,
        broken,
    }
}

/// Checks every promise at the end of a run.
pub(crate) fn all(world: &World, tally: &Tally, faults: &[Fault], late_changes: u64) -> Vec<Check> {
    let counts = tally.counts();
    let seen = world.witness.report();
    let keyed = lock(&tally.keyed).clone();
    let ran = |key: &str| world.witness.runs_of(key);
    let answered = keyed.iter().filter(|k| k.answered);
    let not_once = answered.clone().filter(|k| ran(&k.key) != 1).count();
    let said = keyed.iter().filter(|k| k.said_not_run);
    let untrue = said.clone().filter(|k| ran(&k.key) > 0).count();
    let grace = !faults.iter().any(|f| f.breaks_connections());
    let cut = if grace { counts.broken } else { 0 };
    // Counted before the list is made: guards would live to its end.
    let deferred = lock(&tally.deferred).len() as u64;
    let accepted = lock(&tally.accepted).len() as u64;
    let strange = lock(&tally.strange).len() as u64;
    vec![
        check(
            "every answer is the caller's own and whole",
            counts.answered,
            counts.wrong,
        ),
        check(
            "every call ends",
            counts.issued,
            counts.issued - counts.ended,
        ),
        check(
            "what must not run twice runs at most once",
            seen.keys.into(),
            seen.doubled.into(),
        ),
        check(
            "an answered call with a key ran once",
            answered.count() as u64,
            not_once as u64,
        ),
        check(
            "a refusal that says `not run` is true",
            said.count() as u64,
            untrue as u64,
        ),
        check(
            "an upstream that is leaving gets nothing new after 3 s",
            seen.told_leaving.into(),
            seen.new_work_on_leaving.into(),
        ),
        check("no planned stop cuts a request short", counts.issued, cut),
        check(
            "an accepted change is in force everywhere within 5 s",
            accepted,
            late_changes,
        ),
        check(
            "no instance's configuration reverts",
            counts.issued,
            counts.reverted,
        ),
        check(
            "accepted deferred work is done",
            deferred,
            lost(world, tally),
        ),
        check("what an operator is told makes sense", accepted, strange),
    ]
}

/// Accepted deferred calls whose last stage has not been carried out.
pub(crate) fn lost(world: &World, tally: &Tally) -> u64 {
    let deferred = lock(&tally.deferred).clone();
    let missing = deferred.iter().filter(|d| {
        let done = request(&d.request).is_some_and(|r| world.witness.has_finished(r, d.last_stage));
        !done
    });
    missing.count() as u64
}

fn request(text: &str) -> Option<RequestId> {
    let (entry, number) = text.split_once('-')?;
    let entry = Incarnation::try_from(entry).ok()?;
    Some(RequestId {
        entry,
        number: number.parse().ok()?,
    })
}

/// Follows accepted changes: counts those that some running instance does not
/// have in force in time.
pub(crate) async fn follow_changes(
    world: std::sync::Arc<World>,
    tally: std::sync::Arc<Tally>,
    until: jd_types::MonoTime,
) -> u64 {
    const LOOK_EVERY: Duration = Duration::from_millis(100);
    let mut looked_at = 0;
    let mut late = 0;
    while world.clock.now() < until + IN_FORCE_WITHIN {
        Timer::after(LOOK_EVERY).await;
        let accepted = lock(&tally.accepted).clone();
        let now = world.clock.now();
        while looked_at < accepted.len() && now.since(accepted[looked_at].at) >= IN_FORCE_WITHIN {
            let revision = accepted[looked_at].revision;
            let nodes = world.nodes();
            // One that stood still a moment ago gets the same time from then on;
            // one that is starting serves nobody yet.
            let behind = nodes
                .iter()
                .filter(|n| n.is_running() && n.entry.revision() < revision);
            late += u64::from(behind.count() > 0);
            looked_at += 1;
        }
    }
    late
}
