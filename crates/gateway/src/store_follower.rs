//! Keeps this instance's copy of the store up to date.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use jd_serving::BootstrapSources;
use jd_serving::SourceHealth;
use jd_serving::StoreUpdate;
use jd_serving::UpdateSource;
use jd_types::Incarnation;

use crate::StoreError;
use crate::peer_client::PeerClient;
use crate::peer_replication::SourceReply;
use crate::store_applier::StoreApplier;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;
use crate::store_link::call_timeout;
use crate::store_reader::StoreReader;

/// Longest time that one watch waits for changes: the maximum that the store allows.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a follow request to another instance waits when there are no changes. Slightly longer
/// than the interval at which that instance renews its proof, because a new proof also ends the
/// wait.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of the proof at which an instance that follows another one passes that source over: two
/// revision polls of the source, and two hops to this instance.
const MAX_FOLLOWED_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// Pause after a watch or an answer with changes, so that several changes arrive in the next one.
/// Each watch is a call, and while a fleet starts, every instance's entry is a change for all
/// others.
const BATCHING_PAUSE: Duration = Duration::from_millis(100);
/// How long this instance may lack changes that the store is known to have before it reads
/// everything again. Also the interval between the checks of this module's wait loops.
const BEHIND_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an instance waits for a signal that the store is available again before it retries.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(2);
/// How long an instance waits for the others at the first start of a whole system: all instances
/// are started within 300 ms, and each then writes its entry.
const FIRST_START_DELAY: Duration = Duration::from_millis(600);
/// How long a process that has loaded nothing waits for the answer of a relay, which may have
/// started at the same moment.
const FIRST_FETCH_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a starting instance asks relays before it reads everything from the store. Relays need
/// about 300 ms from their own start until they can answer.
const RELAY_FETCH_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a starting instance of a large fleet asks other instances before it reads everything
/// from the store.
const SOURCE_FETCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Base of the mean pause before a process that has loaded nothing retries; it grows with the
/// number of failures. Until the first load succeeds, the process serves no callers and makes no
/// other calls to the store.
const FIRST_READ_PAUSE: Duration = Duration::from_millis(350);
/// Upper bound of the mean pause before such a retry. With 900 ms, 295 instances that waited for
/// the store served 1.2 s later than with 350 ms, because the pause adds to the time of calls that
/// hang when the store returns.
const MAX_FIRST_READ_PAUSE: Duration = Duration::from_millis(450);
/// Pause before everything is read again while a page cannot be read. A configuration must be in force two
/// seconds after it was written, and a revoked credential refused after five.
const PART_READ_PAUSE: Duration = Duration::from_millis(700);
/// How long another instance must have had a later configuration in force before this one fetches
/// it: longer than a configuration takes from the store to all instances.
const MIN_AHEAD_TIME: Duration = Duration::from_millis(1_000);
/// Interval between checks for expired entries, and for a later configuration at another instance.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the gateway's state up to date with the store.
#[derive(Debug)]
pub(crate) struct StoreFollower {
    pub(crate) link: Arc<StoreLink>,
    pub(crate) applier: Arc<StoreApplier>,
    pub(crate) reader: StoreReader,
    pub(crate) peers: Arc<PeerClient>,
}

/// Whether the next round can go on from the state that this instance has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncState {
    /// No changes are known to be missing.
    UpToDate,
    /// Changes are missing, and everything has to be read again.
    MustReload,
}

impl StoreFollower {
    /// Runs forever: reads everything, then follows the changes through a watch of the store or
    /// through another instance, and reads everything again when changes may be missing.
    pub(crate) async fn follow(self: Arc<Self>) {
        self.start().await;
        let mut sync_state = SyncState::UpToDate;
        let mut failures: u32 = 0;
        loop {
            if sync_state == SyncState::MustReload {
                match self.reader.read_all(call_timeout(failures)).await {
                    Ok(()) => {
                        sync_state = SyncState::UpToDate;
                        failures = 0;
                    }
                    Err(e) => {
                        failures = failures.saturating_add(1);
                        self.link.call_failed(StoreCall::Page, e);
                        if e == StoreError::EraMismatch {
                            // The store does answer, so this path has no other wait.
                            Timer::after(BEHIND_CHECK_INTERVAL).await;
                        }
                        let source = self.link.state.update_source();
                        if e.is_lasting() && source == UpdateSource::Store {
                            Timer::after(PART_READ_PAUSE).await;
                            continue;
                        }
                    }
                }
            }
            let syncing = self.sync_round(sync_state);
            let behind = async {
                self.until_behind().await;
                log::warn!("changes of the store did not arrive; reading everything again");
                SyncState::MustReload
            };
            sync_state = syncing.or(behind).await;
        }
    }

    /// Retries the first load until it succeeds.
    async fn start(&self) {
        let mut failures: u32 = 0;
        // Short timeouts for two attempts of three: a call that hangs since an outage is given up
        // soon, and the first read is small. Every third attempt gets the full timeout, for a
        // store that is slow.
        while let Err(e) = self.first_load(call_timeout(failures + 1)).await {
            failures = failures.saturating_add(1);
            self.link.call_failed(StoreCall::Page, e);
            Timer::after(match e.is_lasting() {
                true => PART_READ_PAUSE,
                false => first_read_pause(failures),
            })
            .await;
        }
    }

    /// Reads a sample of the instances from the store, and everything else from an instance that
    /// has it.
    ///
    /// Keeps the load small when all instances of a fleet start at once. When each of 300
    /// instances read everything, a megabyte, that took 2.7 s of the store's link; when 985
    /// instances read only the list of all instances, that kept the store busy for ten seconds.
    async fn first_load(&self, timeout: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        if state.settings.first_start && state.instances_listed.set() {
            // No entries of earlier starts exist. This instance writes its own entry meanwhile.
            Timer::after(FIRST_START_DELAY).await;
        }
        let sample = self.reader.read_sample(timeout).await?;
        match BootstrapSources::from_sample(state.own_entry.incarnation, &sample) {
            Some(sources) => self.load_from_sources(sources).await,
            None => self.load_small_fleet(timeout).await,
        }
    }

    /// Reads the list of instances, and everything else from a relay of this zone; from the store
    /// if this instance is a relay itself, or if no relay has it.
    async fn load_small_fleet(&self, timeout: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        self.reader.read_instances(timeout).await?;
        let asked = state.now();
        while let UpdateSource::Relay(id) = state.update_source()
            && state.now().since(asked) < RELAY_FETCH_TIMEOUT
        {
            match self.peers.follow(id, FIRST_FETCH_TIMEOUT).await {
                Some(reply) if !reply.store_unavailable => self.apply_reply(reply),
                // The state of a relay that has lost the store may be stale, while the store has
                // just answered this instance.
                Some(_) => break,
                None => {
                    let (now, silent) = (state.now(), SourceHealth::Unresponsive);
                    let mut cluster = state.cluster();
                    cluster.record_source_health(now, id, silent);
                }
            }
            if state.store_loaded() {
                return Ok(());
            }
        }
        self.reader.read_all(CALL_TIMEOUT).await
    }

    /// Fetches everything from another instance of a large fleet; from the store if other
    /// instances request it from this one, or if none of the sources has it.
    async fn load_from_sources(&self, mut sources: BootstrapSources) -> Result<(), StoreError> {
        let state = &self.link.state;
        let asked = state.now();
        let yields = sources.store_read_delay(state.own_entry.strength);
        let requested = async {
            state.snapshot_requested.wait().await;
            Timer::after(yields).await;
            true
        };
        let fetched = async {
            while let Some(source) = sources.next_source()
                && state.now().since(asked) < SOURCE_FETCH_TIMEOUT
            {
                match self.peers.fetch_all_at(source, FIRST_FETCH_TIMEOUT).await {
                    Some(reply) if !reply.store_unavailable => self.apply_reply(reply),
                    // The state of a source that has lost the store may be stale, while the store
                    // has just answered this instance.
                    Some(_) | None => sources.remove_unresponsive(source),
                }
                if state.store_loaded() {
                    return false;
                }
            }
            true
        };
        match requested.or(fetched).await {
            true => self.reader.read_all(CALL_TIMEOUT).await,
            false => Ok(()),
        }
    }

    fn apply_reply(&self, reply: SourceReply) {
        for update in reply.updates {
            self.applier.apply(update);
        }
        if let Some(proof) = reply.proof {
            self.link.state.cluster().freshness.adopt(proof);
        }
    }

    /// Removes expired entries, forever.
    pub(crate) async fn expire_entries(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(EXPIRE_INTERVAL).await;
            let now = state.now();
            state.backoffs.expire(now);
            state.brittle.expire(now);
            let (upstreams_gone, zones_restored) = {
                let mut cluster = state.cluster();
                cluster.expire_source_health(now);
                cluster.instances.expire(now);
                let upstreams_gone = cluster.upstreams.expire(now);
                (upstreams_gone, cluster.evacuated_zones.expire(now))
            };
            if upstreams_gone {
                log::info!("upstreams whose entries lapsed with the store were not written again");
            }
            if zones_restored {
                log::info!("zones whose evacuation the store lost are no longer evacuated");
            }
            if upstreams_gone || zones_restored {
                state.rebuild_upstreams();
            }
        }
    }

    /// Fetches the configuration of an instance that has had a later version in force for a while.
    ///
    /// Guards against an instance that starts after the store was restored from a copy: it reads
    /// an older version there, under which a revoked credential is still valid, until the operator
    /// has written the newest version again.
    pub(crate) async fn fetch_newer_deployment(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(EXPIRE_INTERVAL).await;
            let ahead = state.cluster().newer_peer;
            let now = state.now();
            let Some((id, _)) = ahead.filter(|(_, since)| now.since(*since) >= MIN_AHEAD_TIME)
            else {
                continue;
            };
            log::info!(source:% = id; "another instance has a later configuration in force");
            match self.peers.fetch_all(id).await {
                Some(reply) => {
                    for update in reply.updates {
                        self.applier.apply_deployment(&update.items);
                    }
                }
                None => {
                    log::info!(source:% = id; "instance with a later configuration does not answer; trying the next one that reports it")
                }
            }
            state.cluster().newer_peer = None;
        }
    }

    /// Gets the changes since the last round, from the current update source.
    async fn sync_round(&self, last: SyncState) -> SyncState {
        let state = &self.link.state;
        match state.update_source() {
            UpdateSource::Reader(id) | UpdateSource::Relay(id)
                if self.follow_instance(id, FOLLOW_TIMEOUT).await =>
            {
                SyncState::UpToDate
            }
            _ if last == SyncState::MustReload => {
                state.store_recovered.wait_timeout(UNAVAILABLE_PAUSE).await;
                SyncState::MustReload
            }
            UpdateSource::Store => {
                let others = async {
                    self.until_following_others().await;
                    SyncState::UpToDate
                };
                self.watch(WATCH_TIMEOUT).or(others).await
            }
            // The source is now marked as silent, so the next round uses another one.
            UpdateSource::Reader(id) | UpdateSource::Relay(id) => {
                log::info!(source:% = id; "no answer from the instance that this one follows");
                SyncState::UpToDate
            }
        }
    }

    async fn watch(&self, wait: Duration) -> SyncState {
        let state = &self.link.state;
        let revision = state.cluster().mirror.revision();
        let watching = self.link.store.watch(revision, wait);
        let timeout = wait + CALL_TIMEOUT;
        match self.link.call(StoreCall::Watch, timeout, watching).await {
            Ok(changes) if changes.revision.era > revision.era => {
                self.link.call_succeeded();
                log::info!(revision:%, now:% = changes.revision; "store was restored during the watch; reading everything again");
                SyncState::MustReload
            }
            Ok(changes) => {
                self.link.call_succeeded();
                self.applier.apply(StoreUpdate {
                    is_full: false,
                    items: changes.items,
                    revision: changes.revision,
                });
                Timer::after(BATCHING_PAUSE).await;
                SyncState::UpToDate
            }
            Err(StoreError::HistoryGone) => {
                log::info!(revision:%; "store no longer has the changes since this revision; reading everything again");
                SyncState::MustReload
            }
            Err(e) if e.is_lasting() => {
                // What cannot be read of the changes may be read of the records.
                self.link.call_failed(StoreCall::Watch, e);
                Timer::after(PART_READ_PAUSE).await;
                SyncState::MustReload
            }
            Err(e) if self.link.state.cluster().freshness.is_behind() => {
                // The changes may be more than one answer can carry, which pages can.
                self.link.call_failed(StoreCall::Watch, e);
                Timer::after(BEHIND_CHECK_INTERVAL).await;
                SyncState::MustReload
            }
            Err(e) => {
                self.link.call_failed(StoreCall::Watch, e);
                if state.update_source() == UpdateSource::Store {
                    state.store_recovered.wait_timeout(UNAVAILABLE_PAUSE).await;
                }
                SyncState::UpToDate
            }
        }
    }

    /// Gets another instance's changes; false if it does not answer.
    async fn follow_instance(&self, id: Incarnation, wait: Duration) -> bool {
        let state = &self.link.state;
        let asking = self.peers.follow(id, wait);
        let gone = async {
            self.until_silent(id).await;
            None
        };
        let Some(reply) = asking.or(gone).await else {
            let now = state.now();
            let mut cluster = state.cluster();
            cluster.record_source_health(now, id, SourceHealth::Unresponsive);
            return false;
        };
        let no_changes = reply.updates.iter().all(|u| u.items.is_empty());
        let store_unavailable = reply.store_unavailable;
        self.apply_reply(reply);
        match store_unavailable {
            true => self.handle_source_without_store(id),
            false => self.link.mark_available(),
        }
        if !store_unavailable && state.time_without_proof() > MAX_FOLLOWED_PROOF_AGE {
            log::info!(source:% = id; "the instance that this one follows sends no recent proof");
            let now = state.now();
            let mut cluster = state.cluster();
            cluster.record_source_health(now, id, SourceHealth::Unresponsive);
        }
        if !no_changes {
            Timer::after(BATCHING_PAUSE).await;
        }
        true
    }

    /// The instance that this one follows reports the store as unavailable. Another one may still
    /// reach the store, so the store counts as unavailable here only if no reader or relay reaches
    /// it.
    ///
    /// Guards against entries that are removed while the store refuses some instances: these
    /// removals were taken for entries that lapsed with the store, and requests went to upstreams
    /// that had left.
    fn handle_source_without_store(&self, id: Incarnation) {
        let state = &self.link.state;
        let now = state.now();
        let mut cluster = state.cluster();
        cluster.record_source_health(now, id, SourceHealth::StoreUnavailable);
        drop(cluster);
        if state.update_source().instance() == Some(id) {
            self.link.mark_unavailable();
        } else {
            log::info!(source:% = id; "the instance that this one follows cannot reach the store");
        }
    }

    /// Returns once this instance follows another one and no longer reads the store itself.
    ///
    /// Guards against a watch that hangs because the store stopped answering. Other instances take
    /// over as readers and this one no longer polls the revision, so nothing shows that it lacks
    /// changes; it waited for its watch for half a minute.
    async fn until_following_others(&self) {
        while self.link.state.update_source() == UpdateSource::Store {
            Timer::after(BEHIND_CHECK_INTERVAL).await;
        }
    }

    /// Returns once an instance no longer answers heartbeats.
    async fn until_silent(&self, id: Incarnation) {
        let state = &self.link.state;
        loop {
            Timer::after(BEHIND_CHECK_INTERVAL).await;
            let now = state.now();
            if !state.cluster().instances.is_present(now, id) {
                return;
            }
        }
    }

    /// Returns once the store is known to have had changes for a while that did not arrive: a
    /// connection hangs, or the store's watch delivers nothing.
    async fn until_behind(&self) {
        let is_behind = || self.link.state.cluster().freshness.is_behind();
        loop {
            Timer::after(BEHIND_CHECK_INTERVAL).await;
            if is_behind() {
                Timer::after(BEHIND_CHECK_INTERVAL).await;
                if is_behind() {
                    return;
                }
            }
        }
    }
}

/// Pause before the next attempt of a process that has loaded nothing, with jitter.
fn first_read_pause(failures: u32) -> Duration {
    let pause = FIRST_READ_PAUSE * failures.clamp(1, 8);
    let pause = pause.min(MAX_FIRST_READ_PAUSE);
    pause.mul_f64(0.7 + 0.6 * fastrand::f64())
}
