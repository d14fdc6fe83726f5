//! Keeping up with the store.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use jd_net::within;
use jd_serving::Router;
use jd_serving::UpstreamEntry;

use crate::Change;
use crate::LeaseId;
use crate::Record;
use crate::Store;
use crate::StoreError;
use crate::state::State;

/// How long one watch waits for changes: the longest that the store allows.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long a call may take. Six times what the slowest store of the users'
/// pages took; a connection that is silent for longer is given up.
const CALL_WITHIN: Duration = Duration::from_millis(1_500);
/// The same for two questions of three while the store is away: more than its
/// slowest answers on the users' pages.
const AWAY_CALL_WITHIN: Duration = Duration::from_millis(400);
/// Pause between two watches, in which changes gather: each watch is a call, and
/// when a fleet starts every instance's entry is a change for all others.
const GATHER: Duration = Duration::from_millis(100);
/// How long a watch may bring nothing of what the store is known to have
/// before everything is read again.
const WATCH_BEHIND: Duration = Duration::from_millis(250);
/// Pause after a failed call. Callers who show credentials are refused from a
/// few seconds into an absence until this instance hears of the store again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How long the watch waits for the store's return to be noticed.
const AWAY_PAUSE: Duration = Duration::from_secs(2);
/// How often entries are looked through for those that are over.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);

/// Keeps the gateway's knowledge up with the store.
#[derive(Debug)]
pub(crate) struct StoreFollower {
    pub(crate) state: Arc<State>,
    pub(crate) store: Arc<dyn Store>,
}

impl StoreFollower {
    /// Follows the store's changes for good: reads everything, then watches;
    /// reads everything again where the watch can no longer be trusted.
    pub(crate) async fn follow(self: Arc<Self>) {
        loop {
            match self.read_all().await {
                Ok(revision) => self.watch_from(revision).await,
                Err(e) => {
                    self.call_failed("list", e);
                    self.state.store_back.wait(AWAY_PAUSE).await;
                }
            }
        }
    }

    /// Asks for the store's revision again and again: the proof that nothing
    /// in force is missing here. Another instance's proof does as well.
    pub(crate) async fn confirm(self: Arc<Self>) {
        let mut failures: u32 = 0;
        loop {
            match failures {
                0 => self.until_proof_is_old().await,
                _ => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
            let asked = self.state.now();
            // A connection that was begun while the store was away may hang for
            // its whole time after the return; a new one is tried sooner.
            let patience = match failures % 3 {
                0 => CALL_WITHIN,
                _ => AWAY_CALL_WITHIN,
            };
            match self.call(patience, self.store.revision()).await {
                Ok(revision) => {
                    failures = 0;
                    self.call_succeeded();
                    let mut knowledge = self.state.knowledge();
                    knowledge.freshness.confirmed(asked, revision);
                }
                Err(e) => {
                    failures = failures.saturating_add(1);
                    self.call_failed("confirm", e);
                }
            }
        }
    }

    /// Returns when a new proof is due, or the store was just lost.
    async fn until_proof_is_old(&self) {
        let every = self.state.settings.confirm_every;
        // Not all at the same moment: the first to ask spares the others.
        let due = every.mul_f64(0.85 + 0.3 * fastrand::f64());
        let mut wait = due;
        loop {
            let lost = self.state.store_lost.wait(wait).await;
            let age = self.state.proof_age();
            match age {
                Some(age) if !lost && age < due => wait = due - age,
                _ => return,
            }
        }
    }

    /// Keeps this instance's entry in the store until it leaves.
    pub(crate) async fn announce(self: Arc<Self>) {
        let mut lease = None;
        loop {
            match self.announce_once(lease).await {
                Ok(held) => {
                    lease = Some(held);
                    Timer::after(self.state.settings.lease / 3).await;
                }
                Err(e) => {
                    self.state.metrics.store_failed();
                    log::debug!(error:% = e; "entry not renewed");
                    lease = lease.filter(|_| e != StoreError::LeaseGone);
                    Timer::after(self.state.settings.lease / 3).await;
                }
            }
        }
    }

    /// Removes this instance's entry.
    pub(crate) async fn withdraw(&self) {
        if let Err(e) = self
            .call(CALL_WITHIN, self.store.withdraw(self.state.me.incarnation))
            .await
        {
            log::info!(error:% = e; "entry not removed; its lease will run out");
        }
    }

    /// Gives up entries whose time is over.
    pub(crate) async fn expire(self: Arc<Self>) {
        loop {
            Timer::after(EXPIRE_EVERY).await;
            let now = self.state.now();
            let changed = {
                let mut knowledge = self.state.knowledge();
                knowledge.instances.expire(now);
                knowledge.upstreams.expire(now)
            };
            if changed {
                log::info!("upstreams that lapsed with the store did not come back");
                self.state.rebuild_upstreams();
            }
        }
    }

    async fn announce_once(&self, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
        if let Some(lease) = lease {
            self.call(CALL_WITHIN, self.store.renew(lease)).await?;
            return Ok(lease);
        }
        let lifetime = self.state.settings.lease;
        let lease = self.call(CALL_WITHIN, self.store.lease(lifetime)).await?;
        self.call(CALL_WITHIN, self.store.announce(&self.state.me, lease))
            .await?;
        Ok(lease)
    }

    async fn call<T>(
        &self,
        patience: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.state.metrics.store_call();
        within(patience, call)
            .await
            .unwrap_or(Err(StoreError::Lost))
    }

    async fn read_all(&self) -> Result<u64, StoreError> {
        let asked = self.state.now();
        let listing = self.call(CALL_WITHIN, self.store.list()).await?;
        self.call_succeeded();
        let now = self.state.now();
        let mut upstreams: Vec<UpstreamEntry> = Vec::new();
        for record in listing.records {
            match record {
                Record::Upstream(entry) => upstreams.push(entry),
                other => self.take(other),
            }
        }
        let changed = {
            let mut knowledge = self.state.knowledge();
            knowledge.freshness.applied(listing.revision);
            knowledge.freshness.confirmed(asked, listing.revision);
            knowledge.upstreams.replace(now, upstreams)
        };
        if changed {
            self.state.rebuild_upstreams();
        }
        log::info!(revision = listing.revision; "store read whole");
        Ok(listing.revision)
    }

    /// Watches until the watch can no longer be trusted.
    async fn watch_from(&self, revision: u64) {
        let mut revision = revision;
        loop {
            self.state.metrics.store_call();
            let watching = async { Some(self.store.watch(revision, WATCH_WAIT).await) };
            let behind = async {
                self.until_behind().await;
                None
            };
            match watching.or(behind).await {
                Some(Ok(changes)) => {
                    self.call_succeeded();
                    revision = revision.max(changes.revision);
                    self.take_changes(changes.changes, revision);
                    Timer::after(GATHER).await;
                }
                Some(Err(StoreError::HistoryGone)) => {
                    log::info!(revision; "history gone; reading everything again");
                    return;
                }
                Some(Err(e)) => {
                    self.call_failed("watch", e);
                    self.state.store_back.wait(AWAY_PAUSE).await;
                }
                None => {
                    log::warn!(revision; "watch is behind the store; reading everything again");
                    return;
                }
            }
        }
    }

    /// Returns once the store is known to have had changes for a while that the
    /// watch has not brought: its connection is silent, or the store is deaf.
    async fn until_behind(&self) {
        loop {
            Timer::after(WATCH_BEHIND).await;
            let missing = self.state.knowledge().freshness.is_behind();
            if missing {
                Timer::after(WATCH_BEHIND).await;
                if self.state.knowledge().freshness.is_behind() {
                    return;
                }
            }
        }
    }

    fn take_changes(&self, changes: Vec<Change>, revision: u64) {
        let now = self.state.now();
        let mut changed = false;
        for change in changes {
            match change {
                Change::Put(Record::Upstream(entry)) => {
                    log::info!(upstream:% = entry.id, leaving = entry.leaving, revision; "upstream");
                    changed |= self.state.knowledge().upstreams.put(entry);
                }
                Change::Put(record) => self.take(record),
                Change::UpstreamGone(id) => {
                    log::info!(upstream:% = id, revision; "upstream entry removed");
                    changed |= self.state.knowledge().upstreams.remove(now, &id);
                }
                Change::InstanceGone(id) => self.state.knowledge().instances.unlist(id),
            }
        }
        if changed {
            self.state.rebuild_upstreams();
        }
        self.state.knowledge().freshness.applied(revision);
    }

    fn take(&self, record: Record) {
        match record {
            Record::Deployment(deployment) => {
                let mut knowledge = self.state.knowledge();
                if deployment.version <= knowledge.deployment_version {
                    return;
                }
                let version = deployment.version;
                knowledge.deployment_version = version;
                self.state
                    .router
                    .store(Some(Arc::new(Router::new(*deployment))));
                drop(knowledge);
                self.state.divide_upstreams();
                log::info!(version; "configuration in force");
            }
            Record::Instance(entry) if entry.incarnation == self.state.me.incarnation => {}
            Record::Instance(entry) => {
                let now = self.state.now();
                self.state.knowledge().instances.put(now, entry);
            }
            Record::Upstream(entry) => {
                self.state.knowledge().upstreams.put(entry);
            }
            Record::Unreadable { key, reason } => {
                log::error!(key:% = key, reason:% = reason; "record not understood, left out");
            }
        }
    }

    fn call_succeeded(&self) {
        let now = self.state.now();
        let back = self.state.knowledge().upstreams.store_back(now);
        if back {
            self.state.store_back.give();
            log::info!("store answers again");
        }
    }

    fn call_failed(&self, call: &str, e: StoreError) {
        self.state.metrics.store_failed();
        self.state.knowledge().upstreams.store_away();
        self.state.store_lost.give();
        log::warn!(call, error:% = e; "store call failed");
    }
}
