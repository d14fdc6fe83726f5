//! Store updates passed on from instance to instance.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use jd_net::lock;
use jd_serving::Proof;
use jd_serving::SourceHealth;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::StoreUpdate;
use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_wire::FollowReply;
use jd_wire::FollowRequest;
use jd_wire::Proof as WireProof;
use jd_wire::StoreItem as WireItem;

use crate::state::State;

/// How much more recent a proof must be than the requester's to be worth an answer of its
/// own: a part of the interval at which a new proof is requested.
const MIN_PROOF_GAIN: Duration = Duration::from_millis(300);

/// A packed snapshot is rebuilt once more than this fraction of the records was written
/// since; until then the later changes are sent beside it. A fraction, so that packing
/// does not cost more for each change where there are more records.
const REPACK_FRACTION: usize = 16;

/// Another instance's answer to a follow request.
#[derive(Debug)]
pub(crate) struct SourceReply {
    /// In the order in which they are to be applied.
    pub(crate) updates: Vec<StoreUpdate>,
    pub(crate) proof: Option<Proof>,
    /// True while the store is unavailable to that instance.
    pub(crate) store_unavailable: bool,
}

/// Builds the follow request to another instance from this instance's state.
pub(crate) fn follow_request(state: &State, id: Incarnation, wait: Duration) -> FollowRequest {
    let now = state.now();
    let cluster = state.cluster();
    let after = cluster.mirror.revision();
    let knows_away = cluster.source_health(now, id) == SourceHealth::StoreUnavailable;
    drop(cluster);
    FollowRequest {
        after: after.revision,
        after_era: after.era,
        wait_ms: millis(wait),
        proof: wire_proof(state),
        knows_away,
        takes_parts: true,
        ..FollowRequest::default()
    }
}

/// Decodes the reply to a request that was sent at `sent`; none if it is damaged.
pub(crate) fn decode_reply(sent: MonoTime, reply: FollowReply) -> Option<SourceReply> {
    // The request arrived at or after `sent` and was answered `waited_ms` later. So the
    // age of the proof, counted back from this moment, never makes the proof look more
    // recent than it is.
    let answered = sent + Duration::from_millis(u64::from(reply.waited_ms));
    let snapshot = match reply.packed.as_slice() {
        [] => None,
        packed => match jd_wire::unpack(packed) {
            Ok(items) => Some(StoreUpdate {
                is_full: true,
                items: items_of(items),
                revision: at(reply.packed_era, reply.packed_revision),
            }),
            Err(e) => {
                log::error!(error:% = e; "packed records of another instance cannot be decoded");
                return None;
            }
        },
    };
    let changes = StoreUpdate {
        is_full: reply.whole,
        items: items_of(reply.items),
        revision: at(reply.era, reply.revision),
    };
    Some(SourceReply {
        updates: snapshot.into_iter().chain([changes]).collect(),
        proof: reply.proof.map(|p| proof_at(answered, p)),
        store_unavailable: reply.store_away,
    })
}

fn items_of(items: Vec<WireItem>) -> Vec<StoreItem> {
    let items = items.into_iter().map(|i| StoreItem {
        key: i.key.into(),
        value: Bytes::from(i.value),
        revision: at(i.era, i.revision),
        removed: i.removed,
    });
    items.collect()
}

fn wire_items(items: Vec<StoreItem>) -> Vec<WireItem> {
    let items = items.into_iter().map(|i| WireItem {
        key: i.key.into(),
        value: i.value.to_vec(),
        revision: i.revision.revision,
        removed: i.removed,
        era: i.revision.era,
    });
    items.collect()
}

/// All records as one packed snapshot, which serves many requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct PackedSnapshot {
    revision: StoreRevision,
    bytes: Bytes,
}

/// Snapshots for instances that start.
#[derive(Debug, Default)]
pub(crate) struct PackedSnapshots {
    latest: PackedSnapshot,
    /// The previous snapshot, for instances that have received a part of it.
    earlier: PackedSnapshot,
}

/// The packed snapshot for an instance that has everything up to `after`; none if sending
/// single records is enough. Rebuilt only when many records have changed since.
///
/// Keeps the load small when all instances of a fleet start at once: when each of 300
/// instances read a megabyte from the store, that took 2.7 s of its link.
///
/// An instance that `has` a part of the previous snapshot is sent the rest of it.
fn packed_snapshot(
    state: &State,
    after: StoreRevision,
    has: StoreRevision,
) -> Option<PackedSnapshot> {
    let mut snapshots = lock(&state.packed);
    let cluster = state.cluster();
    let mirror = &cluster.mirror;
    if mirror.revision() == StoreRevision::ZERO || !mirror.needs_full_update(after) {
        return None;
    }
    let PackedSnapshots { latest, earlier } = &*snapshots;
    if has == earlier.revision && !earlier.bytes.is_empty() && !mirror.needs_full_update(has) {
        return Some(earlier.clone());
    }
    let packed = latest;
    let is_old = mirror.needs_full_update(packed.revision)
        || mirror.written_after(packed.revision) > mirror.record_count() / REPACK_FRACTION
        || packed.bytes.is_empty();
    if is_old {
        let all = mirror.updates_since(StoreRevision::ZERO);
        drop(cluster);
        match jd_wire::pack(wire_items(all.items)) {
            Ok(bytes) => {
                let latest = PackedSnapshot {
                    revision: all.revision,
                    bytes: bytes.into(),
                };
                snapshots.earlier = std::mem::replace(&mut snapshots.latest, latest);
            }
            Err(e) => {
                log::error!(error:% = e; "records cannot be packed; they are sent one by one");
                return None;
            }
        }
    }
    Some(snapshots.latest.clone())
}

/// Answers another instance's follow request: when there are changes or a newer proof, or
/// at once when the state of the store's availability differs from what the requester
/// knows.
///
/// Guards against a chain of instances that have all lost the store: each was asked in
/// turn and said so only after the whole wait, so that a zone was five seconds behind the
/// store.
pub(crate) async fn handle_follow(state: &State, req: FollowRequest) -> FollowReply {
    let received = state.now();
    if at(req.after_era, req.after) == StoreRevision::ZERO && !state.store_loaded() {
        state.snapshot_requested.notify();
    }
    let until = received + Duration::from_millis(u64::from(req.wait_ms));
    let knows_unavailable = req.knows_away;
    loop {
        let changed = state.changes.listen();
        let left = until.since(state.now());
        if left.is_zero() || has_update(state, received, &req, knows_unavailable) {
            break;
        }
        let timed_out = async {
            Timer::after(left).await;
        };
        changed.or(timed_out).await;
    }
    let asked = at(req.after_era, req.after);
    let has = at(req.has_era, req.has_revision);
    let packed = packed_snapshot(state, asked, has).unwrap_or_default();
    let mut reply = FollowReply {
        store_away: state.has_lost_store(),
        proof: wire_proof(state),
        waited_ms: millis(state.now().since(received)),
        packed_revision: packed.revision.revision,
        packed_era: packed.revision.era,
        ..FollowReply::default()
    };
    if jd_wire::put_part(&mut reply, &packed.bytes, &req) {
        let update = state
            .cluster()
            .mirror
            .updates_since(asked.max(packed.revision));
        reply.revision = update.revision.revision;
        reply.era = update.revision.era;
        reply.whole = update.is_full;
        reply.items = wire_items(update.items);
    }
    reply
}

fn has_update(
    state: &State,
    received: MonoTime,
    req: &FollowRequest,
    knows_unavailable: bool,
) -> bool {
    if state.has_lost_store() != knows_unavailable {
        return true;
    }
    let cluster = state.cluster();
    let theirs = req.proof.map(|p| proof_at(received, p).asked_at);
    // The requester can use a proof only if it is of the same era.
    let ours = cluster.freshness.proof();
    let ours = ours.filter(|p| p.revision.era == req.after_era);
    let ours = ours.map(|p| p.asked_at);
    let is_newer = match (ours, theirs) {
        (Some(ours), Some(theirs)) => ours > theirs + MIN_PROOF_GAIN,
        (ours, None) => ours.is_some(),
        (None, Some(_)) => false,
    };
    is_newer || cluster.mirror.revision() > at(req.after_era, req.after)
}

/// The most recent proof, with its age.
pub(crate) fn wire_proof(state: &State) -> Option<WireProof> {
    let proof = state.cluster().freshness.proof()?;
    let age = state.now().since(proof.asked_at);
    Some(WireProof {
        revision: proof.revision.revision,
        era: proof.revision.era,
        // Rounded up, because a proof must never look more recent than it is.
        ms_ago: millis(age).saturating_add(1),
    })
}

/// A proof from another instance, whose age counts back from `moment`.
pub(crate) fn proof_at(moment: MonoTime, proof: WireProof) -> Proof {
    Proof {
        asked_at: moment.before(Duration::from_millis(u64::from(proof.ms_ago))),
        revision: at(proof.era, proof.revision),
    }
}

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era, revision }
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}
