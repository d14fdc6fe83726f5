//! Follows the configuration log.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_backing::KvEntry;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::Learned;
use jd_coord::Lifecycle;
use jd_net::lock;
use jd_types::ChangeRecord;
use jd_types::Config;
use jd_types::MemberState;
use jd_types::Revision;

use crate::shared::Shared;

/// How many instances of a hall watch the log themselves.
const WATCHERS: usize = 2;
/// How long a watch waits. Each waiting watch is a call to the platform.
const WATCH_MS: u32 = 5_000;
/// How often those who do not watch look, in case the relay is broken.
const LOOK_EVERY: Duration = Duration::from_secs(10);
/// Pause after a call that failed.
const BACK_OFF: Duration = Duration::from_millis(500);
/// Records in one scan.
const SCAN: u32 = 256;

/// Follows the log for as long as the instance lives.
///
/// Two instances of a hall watch; the others hear of changes with the next
/// heartbeat of any peer, and look for themselves only now and then. So the
/// number of waiting calls grows with the halls and not with the instances,
/// and the relay works while the platform's service is down.
pub(crate) async fn follow(shared: Arc<Shared>) {
    catch_up(&shared).await;
    loop {
        let ok = match is_early(&shared) {
            true => watch(&shared).await,
            false => {
                Timer::after(LOOK_EVERY).await;
                scan(&shared).await
            }
        };
        if !ok {
            Timer::after(BACK_OFF).await;
        }
    }
}

/// Reads snapshot and log until the present revision is in force here, or until
/// a peer has told it.
async fn catch_up(shared: &Shared) {
    while shared.state() == MemberState::Starting {
        let get = KvRequest::Get {
            key: KvKey::snapshot(),
        };
        let read = match shared.call(get).await {
            Ok(KvReply::Found { entry }) => {
                if let Some(config) = entry.and_then(|e| serde_json::from_str(&e.value).ok()) {
                    learn_snapshot(shared, config);
                }
                scan(shared).await
            }
            _ => false,
        };
        match read {
            true => configured(shared),
            false => {
                Timer::after(BACK_OFF).await;
            }
        }
    }
}

/// True if this instance is one of the first of its hall, which do for the hall
/// what costs calls to the platform.
pub(crate) fn is_early(shared: &Shared) -> bool {
    let members = lock(&shared.members);
    let me = members.me();
    let before = |m: &&jd_coord::Member| {
        m.hall == me.hall && m.state == MemberState::Serving && m.incarnation < me.incarnation
    };
    members.others().filter(before).count() < WATCHERS
}

async fn watch(shared: &Shared) -> bool {
    let prefix = CompactString::const_new(KvKey::LOG);
    let after = Some(KvKey::log(revision(shared)));
    let watch = KvRequest::Watch {
        prefix,
        after,
        wait_ms: WATCH_MS,
    };
    // What one watch misses the next one finds: it asks for everything after
    // the revision in force, not for what happens while it waits.
    take(shared, shared.call(watch).await)
}

/// Reads everything after the revision in force here; false if it failed.
pub(crate) async fn scan(shared: &Shared) -> bool {
    loop {
        let before = revision(shared);
        let prefix = CompactString::const_new(KvKey::LOG);
        let after = Some(KvKey::log(before));
        let scan = KvRequest::Scan {
            prefix,
            after,
            limit: SCAN,
        };
        if !take(shared, shared.call(scan).await) {
            return false;
        }
        if revision(shared) == before {
            return true;
        }
    }
}

fn take(shared: &Shared, reply: Result<KvReply, jd_backing::KvError>) -> bool {
    match reply {
        Ok(KvReply::Entries { entries }) => {
            learn(shared, entries.iter().filter_map(record).collect());
            true
        }
        _ => false,
    }
}

fn record(entry: &KvEntry) -> Option<ChangeRecord> {
    let parsed = serde_json::from_str(&entry.value);
    if parsed.is_err() {
        log::error!(key:% = entry.key; "the log holds something that is not a change record");
    }
    parsed.ok()
}

fn revision(shared: &Shared) -> Revision {
    lock(&shared.replica).config().revision
}

/// Brings records into force here.
pub(crate) fn learn(shared: &Shared, records: Vec<ChangeRecord>) {
    let mut advanced = false;
    for record in records {
        let (revision, id) = (record.revision, record.id);
        if lock(&shared.replica).learn(record) == Learned::Advanced {
            advanced = true;
            log::info!(revision:% = revision, change:% = id; "change in force");
        }
    }
    if advanced {
        shared.rebuild();
        configured(shared);
        shared.urgent.notify(1);
    }
}

/// Brings a snapshot into force here, if it is later than what is.
pub(crate) fn learn_snapshot(shared: &Shared, config: Config) {
    let revision = config.revision;
    let learned = lock(&shared.replica).learn_snapshot(config);
    if learned == Learned::Advanced {
        log::info!(revision:% = revision; "snapshot in force");
        shared.rebuild();
        configured(shared);
    }
}

fn configured(shared: &Shared) {
    shared.live(Lifecycle::configured);
}
