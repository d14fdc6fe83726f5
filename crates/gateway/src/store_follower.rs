//! Keeping up with the store.

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

/// How long one watch waits for changes: the longest that the store allows.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long one question for another's news waits when there is none: a little
/// more than the time in which the other renews its proof, which is news as well.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_500);
/// How old proof may get at an instance that follows another before that one is
/// passed over: two questions for proof, and two steps to this instance.
const FOLLOWED_PROOF_MOST: Duration = Duration::from_millis(2_600);
/// Pause between two watches, in which changes gather: each watch is a call, and
/// when a fleet starts every instance's entry is a change for all others.
const GATHER: Duration = Duration::from_millis(100);
/// How long nothing may come of what the store is known to have before
/// everything is read again.
const NEWS_BEHIND: Duration = Duration::from_millis(250);
/// How long an instance waits for the store's return to be noticed.
const AWAY_PAUSE: Duration = Duration::from_secs(2);
/// How long the first start of a whole system waits for the others: the users start
/// all instances within 300 ms, and each then writes its entry.
const START_SPREAD: Duration = Duration::from_millis(600);
/// How long a process that has read nothing waits for an answer of one that relays and
/// may have started in the same moment.
const FIRST_FOLLOW_WAIT: Duration = Duration::from_millis(250);
/// How long it asks those that relay before it reads everything from the store. They
/// need about 300 ms from their start until they can tell.
const RELAYS_WITHIN: Duration = Duration::from_millis(900);
/// How long an instance of a large fleet asks others before it reads everything from the
/// store.
const SOURCES_WITHIN: Duration = Duration::from_secs(8);
/// The mean pause before a process that has read nothing yet asks again. Until
/// then it serves nobody, and it asks the store nothing else.
const FIRST_READ_PAUSE: Duration = Duration::from_millis(350);
/// The longest such pause. With 900 ms 295 instances that waited for the store served
/// 1.2 s later than with 350 ms: the pause, and what hangs when it is back, add up.
const FIRST_READ_PAUSE_MOST: Duration = Duration::from_millis(450);
/// How long another instance has a later configuration in force before it is asked for it:
/// longer than one takes from the store to all instances.
const AHEAD_FOR: Duration = Duration::from_millis(1_000);
/// How often entries are looked through for those that are over.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);

/// Keeps the gateway's knowledge up with the store.
#[derive(Debug)]
pub(crate) struct StoreFollower {
    pub(crate) link: Arc<StoreLink>,
    pub(crate) applier: Arc<StoreApplier>,
    pub(crate) reader: StoreReader,
    pub(crate) peers: Arc<PeerClient>,
}

/// What a round of following came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Round {
    /// Nothing is missing as far as can be told.
    Kept,
    /// Everything has to be read again.
    Lost,
}

impl StoreFollower {
    /// Follows the store's changes for good: reads everything, then watches, or
    /// follows an instance that does; reads everything again where the news can
    /// no longer be trusted.
    pub(crate) async fn follow(self: Arc<Self>) {
        self.start().await;
        let mut round = Round::Kept;
        let mut failures: u32 = 0;
        loop {
            if round == Round::Lost {
                match self.reader.read_all(call_timeout(failures)).await {
                    Ok(()) => {
                        round = Round::Kept;
                        failures = 0;
                    }
                    Err(e) => {
                        failures = failures.saturating_add(1);
                        self.link.call_failed(StoreCall::Page, e);
                        if e == StoreError::EraMismatch {
                            // The store answers, so that nothing else waits.
                            Timer::after(NEWS_BEHIND).await;
                        }
                    }
                }
            }
            let asking = self.round(round);
            let behind = async {
                self.until_behind().await;
                log::warn!("news is behind the store; reading everything again");
                Round::Lost
            };
            round = asking.or(behind).await;
        }
    }

    /// Reads for the first time, however long it takes.
    async fn start(&self) {
        let mut failures: u32 = 0;
        // A call that hangs since the store was away is given up soon: what is read
        // first is little. Each third may take as long as one of a slow store does.
        while let Err(e) = self.read_first(call_timeout(failures + 1)).await {
            failures = failures.saturating_add(1);
            self.link.call_failed(StoreCall::Page, e);
            Timer::after(first_read_pause(failures)).await;
        }
    }

    /// Reads which instances there are, and all else from one that has it.
    ///
    /// The load that it answers: all instances of a fleet start at once. What each reads of
    /// the store has to stay small: of 300 each read a megabyte, 2.7 s of its link, and
    /// 985 that read only the list of each other kept it busy for ten.
    async fn read_first(&self, patience: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        if state.settings.first_start && state.instances_listed.set() {
            // There are no entries of earlier starts. Its own is written meanwhile.
            Timer::after(START_SPREAD).await;
        }
        let sample = self.reader.read_sample(patience).await?;
        match BootstrapSources::from_sample(state.own_entry.incarnation, &sample) {
            Some(sources) => self.hear_first(sources).await,
            None => self.read_small_fleet(patience).await,
        }
    }

    /// Reads which instances there are, and all else from one that relays in this zone;
    /// from the store if this one relays itself, or if none of them has it.
    async fn read_small_fleet(&self, patience: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        self.reader.read_instances(patience).await?;
        let asked = state.now();
        while let UpdateSource::Relay(id) = state.news_source()
            && state.now().since(asked) < RELAYS_WITHIN
        {
            self.follow_instance(id, FIRST_FOLLOW_WAIT).await;
            if state.store_loaded() {
                return Ok(());
            }
        }
        self.reader.read_all(CALL_TIMEOUT).await
    }

    /// Hears everything from one of a large fleet; from the store if others ask this one
    /// for it, or if none of those that are asked has it.
    async fn hear_first(&self, mut sources: BootstrapSources) -> Result<(), StoreError> {
        let state = &self.link.state;
        let asked = state.now();
        let yields = sources.store_read_delay(state.own_entry.strength);
        let wanted = async {
            state.snapshot_requested.wait().await;
            Timer::after(yields).await;
            true
        };
        let heard = async {
            while let Some(source) = sources.next_source()
                && state.now().since(asked) < SOURCES_WITHIN
            {
                match self.peers.fetch_all_at(source, FIRST_FOLLOW_WAIT).await {
                    Some(heard) if !heard.store_away => self.take_heard(heard),
                    // What it knows may be old, while the store answered here just now.
                    Some(_) | None => sources.remove_unresponsive(source),
                }
                if state.store_loaded() {
                    return false;
                }
            }
            true
        };
        match wanted.or(heard).await {
            true => self.reader.read_all(CALL_TIMEOUT).await,
            false => Ok(()),
        }
    }

    fn take_heard(&self, heard: SourceReply) {
        for news in heard.news {
            self.applier.apply(news);
        }
        if let Some(proof) = heard.proof {
            self.link.state.cluster().freshness.adopt(proof);
        }
    }

    /// Gives up entries whose time is over.
    pub(crate) async fn expire_entries(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(EXPIRE_EVERY).await;
            let now = state.now();
            state.backoffs.expire(now);
            let (gone, taken_back) = {
                let mut cluster = state.cluster();
                cluster.expire_source_health(now);
                cluster.instances.expire(now);
                let gone = cluster.upstreams.expire(now);
                (gone, cluster.evacuated_zones.expire(now))
            };
            if gone {
                log::info!("upstreams that lapsed with the store did not come back");
            }
            if taken_back {
                log::info!("zones that the store lost are no longer evacuated");
            }
            if gone || taken_back {
                state.rebuild_upstreams();
            }
        }
    }

    /// Takes the configuration of an instance that has had a later version in force for a
    /// while.
    ///
    /// Guards against an instance that starts after the store came back from a copy: it
    /// reads an older version there, by which a credential that was taken away works,
    /// until the operator has written the newest one again.
    pub(crate) async fn fetch_newer_deployment(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(EXPIRE_EVERY).await;
            let ahead = state.cluster().newer_peer;
            let now = state.now();
            let Some((id, _)) = ahead.filter(|(_, since)| now.since(*since) >= AHEAD_FOR) else {
                continue;
            };
            log::info!(source:% = id; "another instance has a later configuration in force");
            match self.peers.fetch_all(id).await {
                Some(heard) => {
                    for news in heard.news {
                        self.applier.apply_deployment(&news.items);
                    }
                }
                None => {
                    log::info!(source:% = id; "it does not answer; the next one that tells is asked")
                }
            }
            state.cluster().newer_peer = None;
        }
    }

    /// Hears of what changed since the last round.
    async fn round(&self, last: Round) -> Round {
        let state = &self.link.state;
        match state.news_source() {
            UpdateSource::Reader(id) | UpdateSource::Relay(id)
                if self.follow_instance(id, FOLLOW_WAIT).await =>
            {
                Round::Kept
            }
            _ if last == Round::Lost => {
                state.store_recovered.wait_timeout(AWAY_PAUSE).await;
                Round::Lost
            }
            UpdateSource::Store => {
                let others = async {
                    self.until_others_tell().await;
                    Round::Kept
                };
                self.watch(WATCH_WAIT).or(others).await
            }
            // It is passed over from now on, and the next one is asked.
            UpdateSource::Reader(id) | UpdateSource::Relay(id) => {
                log::info!(source:% = id; "no news from the instance followed");
                Round::Kept
            }
        }
    }

    async fn watch(&self, wait: Duration) -> Round {
        let state = &self.link.state;
        let revision = state.cluster().mirror.revision();
        let watching = self.link.store.watch(revision, wait);
        let patience = wait + CALL_TIMEOUT;
        match self.link.call(StoreCall::Watch, patience, watching).await {
            Ok(changes) if changes.revision.era > revision.era => {
                self.link.call_succeeded();
                log::info!(revision:%, now:% = changes.revision; "watch ended in another era; reading everything again");
                Round::Lost
            }
            Ok(changes) => {
                self.link.call_succeeded();
                self.applier.apply(StoreUpdate {
                    is_full: false,
                    items: changes.items,
                    revision: changes.revision,
                });
                Timer::after(GATHER).await;
                Round::Kept
            }
            Err(StoreError::HistoryGone) => {
                log::info!(revision:%; "history gone; reading everything again");
                Round::Lost
            }
            Err(e) => {
                self.link.call_failed(StoreCall::Watch, e);
                if state.news_source() == UpdateSource::Store {
                    state.store_recovered.wait_timeout(AWAY_PAUSE).await;
                }
                Round::Kept
            }
        }
    }

    /// Hears another instance's news; false if it does not answer.
    async fn follow_instance(&self, id: Incarnation, wait: Duration) -> bool {
        let state = &self.link.state;
        let asking = self.peers.follow(id, wait);
        let gone = async {
            self.until_silent(id).await;
            None
        };
        let Some(heard) = asking.or(gone).await else {
            let now = state.now();
            let mut cluster = state.cluster();
            cluster.record_source_health(now, id, SourceHealth::Unresponsive);
            return false;
        };
        let silent = heard.news.iter().all(|n| n.items.is_empty());
        let store_away = heard.store_away;
        self.take_heard(heard);
        match store_away {
            true => self.source_lost_store(id),
            false => self.link.mark_available(),
        }
        if !store_away && state.time_without_proof() > FOLLOWED_PROOF_MOST {
            log::info!(source:% = id; "the instance followed brings no proof");
            let now = state.now();
            let mut cluster = state.cluster();
            cluster.record_source_health(now, id, SourceHealth::Unresponsive);
        }
        if !silent {
            Timer::after(GATHER).await;
        }
        true
    }

    /// The instance followed says that the store is away. Another may still hear it;
    /// only if none of those that may read or relay does, their word is taken.
    ///
    /// Guards against entries that are removed while the store turns some away: taken
    /// for lapsed with the store, requests went to upstreams that had left.
    fn source_lost_store(&self, id: Incarnation) {
        let state = &self.link.state;
        let now = state.now();
        let mut cluster = state.cluster();
        cluster.record_source_health(now, id, SourceHealth::StoreUnavailable);
        drop(cluster);
        if state.news_source().instance() == Some(id) {
            self.link.mark_unavailable();
        } else {
            log::info!(source:% = id; "the instance followed has lost the store");
        }
    }

    /// Returns once this instance hears from another and no longer from the store.
    ///
    /// Guards against a watch that hangs since the store fell silent. Others take this
    /// instance's place, its own proof is not asked for any more, so that nothing shows
    /// what it lacks; it waited for its watch for half a minute.
    async fn until_others_tell(&self) {
        while self.link.state.news_source() == UpdateSource::Store {
            Timer::after(NEWS_BEHIND).await;
        }
    }

    /// Returns once an instance answers no heartbeats any more.
    async fn until_silent(&self, id: Incarnation) {
        let state = &self.link.state;
        loop {
            Timer::after(NEWS_BEHIND).await;
            let now = state.now();
            if !state.cluster().instances.is_present(now, id) {
                return;
            }
        }
    }

    /// Returns once the store is known to have had changes for a while that did
    /// not come: a connection is silent, or the store is deaf.
    async fn until_behind(&self) {
        let is_behind = || self.link.state.cluster().freshness.is_behind();
        loop {
            Timer::after(NEWS_BEHIND).await;
            if is_behind() {
                Timer::after(NEWS_BEHIND).await;
                if is_behind() {
                    return;
                }
            }
        }
    }
}

/// How long a process that has read nothing waits after so many failures.
fn first_read_pause(failures: u32) -> Duration {
    let pause = FIRST_READ_PAUSE * failures.clamp(1, 8);
    let pause = pause.min(FIRST_READ_PAUSE_MOST);
    pause.mul_f64(0.7 + 0.6 * fastrand::f64())
}
