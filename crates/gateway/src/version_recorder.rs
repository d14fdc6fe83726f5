//! Records the software versions of the services in the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use async_io::Timer;
use jd_serving::StoreRevision;
use jd_serving::VersionRecord;
use jd_types::MonoTime;

use crate::StoreError;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;

/// Interval between checks without a change of the upstreams.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The same while the record lacks something.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long each instance leaves the record to the one before it, which may not be able to write,
/// or be of an earlier build.
const TURN: Duration = Duration::from_millis(1_000);
/// Pause after the record could not be written.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the record of software versions up to date, on the instances that coordinate the fleet.
#[derive(Debug)]
pub(crate) struct VersionRecorder {
    pub(crate) link: Arc<StoreLink>,
}

impl VersionRecorder {
    /// Writes the record whenever it lacks something. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        let state = &self.link.state;
        let mut lacking_since: Option<MonoTime> = None;
        loop {
            let pause = match lacking_since {
                Some(_) => RETRY_INTERVAL,
                None => CHECK_INTERVAL,
            };
            state.versions_changed.wait_timeout(pause).await;
            let Some((record, replaced)) = self.due_record() else {
                lacking_since = None;
                continue;
            };
            let since = *lacking_since.get_or_insert(state.now());
            let waited = state.now().since(since);
            let is_due = self.turn().is_some_and(|turn| waited >= TURN * turn);
            if is_due && let Err(e) = self.write(record, replaced).await {
                log::info!(error:% = e; "software versions could not be recorded; retrying");
                Timer::after(FAILED_PAUSE).await;
            }
        }
    }

    /// How many instances are asked before this one; none if it is not to write.
    fn turn(&self) -> Option<u32> {
        let state = &self.link.state;
        let coordinators = state.coordinators();
        let own = state.own_entry.peer_address;
        let position = coordinators.iter().position(|a| *a == own)?;
        u32::try_from(position).ok()
    }

    /// The record to write, and the revision of the one that it replaces; none if nothing is missing,
    /// or if this instance may not know what there is.
    fn due_record(&self) -> Option<(VersionRecord, Option<StoreRevision>)> {
        let state = &self.link.state;
        if !state.store_loaded() || !state.is_fresh() || state.has_lost_store() {
            return None;
        }
        let nothing_ran_before = state.settings.first_start;
        let cluster = state.cluster();
        let known = cluster.version_record.as_ref();
        let record = VersionRecord::updated(
            known.filter(|_| cluster.version_record_written.is_some()),
            &cluster.listed_versions,
            cluster.mirror.revision().era,
            SystemTime::now(),
            nothing_ran_before && !cluster.has_run_before,
        )?;
        Some((record, cluster.version_record_written))
    }

    async fn write(
        &self,
        record: VersionRecord,
        replaced: Option<StoreRevision>,
    ) -> Result<(), StoreError> {
        let StoreLink { state, store, .. } = &*self.link;
        let writing = store.write_versions(&record, replaced);
        let written = self
            .link
            .call(StoreCall::WriteVersions, CALL_TIMEOUT, writing);
        let written = written.await?;
        log::info!(
            services = record.services.len(),
            versions = record.services.values().map(Vec::len).sum::<usize>(),
            revision:% = written;
            "software versions recorded"
        );
        let mut cluster = state.cluster();
        cluster.version_record = Some(record);
        cluster.version_record_written = Some(written);
        drop(cluster);
        state.rebuild_upstreams();
        Ok(())
    }
}
