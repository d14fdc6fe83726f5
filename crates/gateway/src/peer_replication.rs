//! News of the store, from instance to instance.

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

/// How much younger another's proof has to be to be worth an answer: a part of
/// the time after which a new one is asked for.
const YOUNGER_BY: Duration = Duration::from_millis(300);

/// All records are packed anew once one in so many of them was written since; until then
/// these are sent beside the piece. A part of all, so that packing costs no more for each
/// change where there are more records.
const PACKED_BEHIND: usize = 16;

/// What another instance knows of the store.
#[derive(Debug)]
pub(crate) struct SourceReply {
    /// In the order in which it is to be taken in.
    pub(crate) news: Vec<StoreUpdate>,
    pub(crate) proof: Option<Proof>,
    /// True while the store does not answer it.
    pub(crate) store_away: bool,
}

/// The question for another's news, by what is known here.
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

/// Reads the answer to a question that was sent at `sent`; none if it is damaged.
pub(crate) fn decode_reply(sent: MonoTime, reply: FollowReply) -> Option<SourceReply> {
    // The question came after it was sent and was answered that much later, so
    // what the proof tells of was asked then less its age or later.
    let answered = sent + Duration::from_millis(u64::from(reply.waited_ms));
    let all = match reply.packed.as_slice() {
        [] => None,
        packed => match jd_wire::unpack(packed) {
            Ok(items) => Some(StoreUpdate {
                is_full: true,
                items: items_of(items),
                revision: at(reply.packed_era, reply.packed_revision),
            }),
            Err(e) => {
                log::error!(error:% = e; "news of another instance not understood");
                return None;
            }
        },
    };
    let newer = StoreUpdate {
        is_full: reply.whole,
        items: items_of(reply.items),
        revision: at(reply.era, reply.revision),
    };
    Some(SourceReply {
        news: all.into_iter().chain([newer]).collect(),
        proof: reply.proof.map(|p| proof_at(answered, p)),
        store_away: reply.store_away,
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

/// All records, packed once for many.
#[derive(Debug, Clone, Default)]
pub(crate) struct PackedSnapshot {
    revision: StoreRevision,
    bytes: Bytes,
}

/// What is told to instances that start.
#[derive(Debug, Default)]
pub(crate) struct PackedSnapshots {
    latest: PackedSnapshot,
    /// The one before, for those that have a part of it.
    earlier: PackedSnapshot,
}

/// All records, packed, for somebody who knows only what was up to `after`; none if
/// single records do. Made anew only when many have changed since.
///
/// The load that it answers: all instances of a fleet start at once. Each read a
/// megabyte from the store, 2.7 s of its link at 300 instances.
///
/// One who `has` a part of the piece that was packed before is told the rest of it.
fn packed(state: &State, after: StoreRevision, has: StoreRevision) -> Option<PackedSnapshot> {
    let mut pieces = lock(&state.packed);
    let cluster = state.cluster();
    let mirror = &cluster.mirror;
    if mirror.revision() == StoreRevision::ZERO || !mirror.needs_full_update(after) {
        return None;
    }
    let PackedSnapshots { latest, earlier } = &*pieces;
    if has == earlier.revision && !earlier.bytes.is_empty() && !mirror.needs_full_update(has) {
        return Some(earlier.clone());
    }
    let packed = latest;
    let is_old = mirror.needs_full_update(packed.revision)
        || mirror.written_after(packed.revision) > mirror.record_count() / PACKED_BEHIND
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
                pieces.earlier = std::mem::replace(&mut pieces.latest, latest);
            }
            Err(e) => {
                log::error!(error:% = e; "records cannot be packed; they are sent one by one");
                return None;
            }
        }
    }
    Some(pieces.latest.clone())
}

/// Answers another instance's question once there is something to tell, and at once where
/// that is that the store is lost.
///
/// Guards against a chain of instances that have all lost it: each was asked in turn and
/// told after the whole wait, so that a zone was five seconds behind the store.
pub(crate) async fn handle_follow(state: &State, req: FollowRequest) -> FollowReply {
    let came = state.now();
    if at(req.after_era, req.after) == StoreRevision::ZERO && !state.store_loaded() {
        state.snapshot_requested.notify();
    }
    let until = came + Duration::from_millis(u64::from(req.wait_ms));
    let away = req.knows_away;
    loop {
        let news = state.changes.listen();
        let left = until.since(state.now());
        if left.is_zero() || is_news(state, came, &req, away) {
            break;
        }
        let late = async {
            Timer::after(left).await;
        };
        news.or(late).await;
    }
    let asked = at(req.after_era, req.after);
    let has = at(req.has_era, req.has_revision);
    let packed = packed(state, asked, has).unwrap_or_default();
    let mut reply = FollowReply {
        store_away: state.has_lost_store(),
        proof: wire_proof(state),
        waited_ms: millis(state.now().since(came)),
        packed_revision: packed.revision.revision,
        packed_era: packed.revision.era,
        ..FollowReply::default()
    };
    if jd_wire::put_part(&mut reply, &packed.bytes, &req) {
        let news = state
            .cluster()
            .mirror
            .updates_since(asked.max(packed.revision));
        reply.revision = news.revision.revision;
        reply.era = news.revision.era;
        reply.whole = news.is_full;
        reply.items = wire_items(news.items);
    }
    reply
}

fn is_news(state: &State, came: MonoTime, req: &FollowRequest, away: bool) -> bool {
    if state.has_lost_store() != away {
        return true;
    }
    let cluster = state.cluster();
    let theirs = req.proof.map(|p| proof_at(came, p).asked_at);
    // It counts there only if it is of the same era.
    let ours = cluster.freshness.proof();
    let ours = ours.filter(|p| p.revision.era == req.after_era);
    let ours = ours.map(|p| p.asked_at);
    let younger = match (ours, theirs) {
        (Some(ours), Some(theirs)) => ours > theirs + YOUNGER_BY,
        (ours, None) => ours.is_some(),
        (None, Some(_)) => false,
    };
    younger || cluster.mirror.revision() > at(req.after_era, req.after)
}

/// The youngest proof of what is in force, with its age.
pub(crate) fn wire_proof(state: &State) -> Option<WireProof> {
    let proof = state.cluster().freshness.proof()?;
    let age = state.now().since(proof.asked_at);
    Some(WireProof {
        revision: proof.revision.revision,
        era: proof.revision.era,
        // Rounded up: proof must never seem younger than it is.
        ms_ago: millis(age).saturating_add(1),
    })
}

/// A proof of another instance, whose age counts back from `moment`.
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
