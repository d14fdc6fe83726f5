//! Whether a fault did bite.

use crate::Fault;
use crate::tally::Tally;
use crate::world::World;

/// How often a fault did bite, by those whom it bit. `own` is the injector's
/// count, for faults that nobody else can count.
pub(crate) fn bites(world: &World, tally: &Tally, fault: Fault, own: u64) -> u64 {
    let kv = world.platform.with_kv(|x| x.bites());
    let seen = world.witness.report();
    match fault {
        Fault::StoreOutage => kv.refused,
        Fault::StoreSlow => kv.delayed,
        Fault::LostAnswers => kv.lost,
        Fault::LapsedLeases => kv.lapsed,
        Fault::MissedWatches => kv.missed,
        Fault::ListLag | Fault::ListWrong => world.platform.with_list(|x| x.wrong_reads()),
        Fault::UpstreamSlow => seen.slowed.into(),
        Fault::UpstreamFailing => seen.failed.into(),
        Fault::UpstreamLeaving => own,
        Fault::SilentConnections => seen.silent.into(),
        Fault::CrossedAnswers => seen.crossed.into(),
        Fault::LateAnswers => seen.late.into(),
        Fault::TruncatedStreams => seen.truncated.into(),
        Fault::OperatorRace => tally.counts().changes_lost,
        Fault::EntryCrash
        | Fault::EntryPause
        | Fault::RollingReplace
        | Fault::HallLoss
        | Fault::Burst => own,
    }
}
