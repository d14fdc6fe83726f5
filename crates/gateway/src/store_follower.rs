//! Keeping up with the store.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use jd_net::within;
use jd_serving::News;
use jd_serving::NewsSource;
use jd_serving::SMALL_FLEET;
use jd_serving::SourceState;
use jd_serving::StoreItem;
use jd_types::Incarnation;

use crate::Page;
use crate::StoreError;
use crate::peers::Peers;
use crate::store_call::StoreCall;
use crate::store_intake::StoreIntake;
use crate::store_link::CALL_WITHIN;
use crate::store_link::StoreLink;
use crate::store_link::patience;

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
/// How long after its start an instance of which few others are known begins to watch.
/// The users start all instances within 300 ms; each watch of each of them is answered
/// at every entry that one of the others writes.
const START_SPREAD: Duration = Duration::from_millis(500);
/// How long nothing may come of what the store is known to have before
/// everything is read again.
const NEWS_BEHIND: Duration = Duration::from_millis(250);
/// How long an instance waits for the store's return to be noticed.
const AWAY_PAUSE: Duration = Duration::from_secs(2);
/// The mean pause before a process that has read nothing yet asks again. Until
/// then it serves nobody, and it asks the store nothing else.
const FIRST_READ_PAUSE: Duration = Duration::from_millis(350);
/// The longest such pause: the store's return is noticed within twice this time, and
/// a fleet of hundreds that waits for it asks some three hundred times a second.
const FIRST_READ_PAUSE_MOST: Duration = Duration::from_millis(900);
/// How often a page that is not the first is asked for again.
const PAGE_TRIES: u32 = 6;
/// The mean pause before that: rates of the store count in seconds.
const PAGE_PAUSE: Duration = Duration::from_millis(400);
/// How often entries are looked through for those that are over.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);

/// Keeps the gateway's knowledge up with the store.
#[derive(Debug)]
pub(crate) struct StoreFollower {
    pub(crate) link: Arc<StoreLink>,
    pub(crate) intake: StoreIntake,
    pub(crate) peers: Arc<Peers>,
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
        let state = &self.link.state;
        let mut round = Round::Lost;
        let mut failures: u32 = 0;
        loop {
            if round == Round::Lost {
                match self.read_all(patience(failures)).await {
                    Ok(()) => {
                        round = Round::Kept;
                        failures = 0;
                    }
                    Err(e) => {
                        failures = failures.saturating_add(1);
                        self.link.failed(StoreCall::Page, e);
                    }
                }
            }
            if round == Round::Lost && !state.has_read() {
                Timer::after(first_read_pause(failures)).await;
                continue;
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

    /// Gives up entries whose time is over.
    pub(crate) async fn expire(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(EXPIRE_EVERY).await;
            let now = state.now();
            let changed = {
                let mut knowledge = state.knowledge();
                knowledge.forget_sources(now);
                knowledge.instances.expire(now);
                knowledge.upstreams.expire(now)
            };
            if changed {
                log::info!("upstreams that lapsed with the store did not come back");
                state.rebuild_upstreams();
            }
        }
    }

    /// Hears of what changed since the last round.
    async fn round(&self, last: Round) -> Round {
        let state = &self.link.state;
        match state.news_source() {
            NewsSource::Instance(id) if self.follow_instance(id).await => Round::Kept,
            _ if last == Round::Lost => {
                state.store_back.wait(AWAY_PAUSE).await;
                Round::Lost
            }
            NewsSource::Store => {
                self.until_started().await;
                self.watch(WATCH_WAIT).await
            }
            // It is passed over from now on, and the next one is asked.
            NewsSource::Instance(id) => {
                log::info!(source:% = id; "no news from the instance followed");
                Round::Kept
            }
        }
    }

    async fn read_all(&self, patience: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        let asked = state.now();
        let mut page = self.read_page("", patience).await?;
        // What changed since the first page comes with the news after it.
        let revision = page.revision;
        let mut items: Vec<StoreItem> = Vec::new();
        loop {
            items.append(&mut page.items);
            match items.last() {
                Some(last) if page.more => page = self.read_on(&last.key).await?,
                _ => break,
            }
        }
        self.intake.take(News {
            whole: true,
            items,
            revision,
        });
        state.knowledge().freshness.confirmed(asked, revision);
        Ok(())
    }

    async fn read_page(&self, after: &str, patience: Duration) -> Result<Page, StoreError> {
        let page = self.link.store.page(after);
        let page = self.link.call(StoreCall::Page, patience, page).await?;
        self.link.succeeded();
        Ok(page)
    }

    /// Reads a page that is not the first, more than once if need be.
    ///
    /// Guards against all instances of a large fleet starting at once: together
    /// they ask for more than the store's rate and link carry in a second, and each
    /// that began anew after one refused page kept them busy for longer.
    async fn read_on(&self, after: &str) -> Result<Page, StoreError> {
        for _ in 0..PAGE_TRIES {
            match self.read_page(after, CALL_WITHIN).await {
                Ok(page) => return Ok(page),
                Err(e) => self.link.failed(StoreCall::Page, e),
            }
            Timer::after(PAGE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
        self.read_page(after, CALL_WITHIN).await
    }

    /// Returns once others that started with this instance have written their entries,
    /// after which most of a large fleet hear each other and need no watch; at once when
    /// a caller is there, whose request may need what changed meanwhile.
    async fn until_started(&self) {
        let state = &self.link.state;
        let is_small = state.instance_count() as usize <= SMALL_FLEET;
        let left = START_SPREAD.saturating_sub(state.uptime());
        if is_small && !left.is_zero() {
            within(left, state.called.wait()).await;
        }
    }

    async fn watch(&self, wait: Duration) -> Round {
        let state = &self.link.state;
        let revision = state.knowledge().mirror.revision();
        let watching = self.link.store.watch(revision, wait);
        let patience = wait + CALL_WITHIN;
        match self.link.call(StoreCall::Watch, patience, watching).await {
            Ok(changes) => {
                self.link.succeeded();
                self.intake.take(News {
                    whole: false,
                    items: changes.items,
                    revision: changes.revision,
                });
                Timer::after(GATHER).await;
                Round::Kept
            }
            Err(StoreError::HistoryGone) => {
                log::info!(revision; "history gone; reading everything again");
                Round::Lost
            }
            Err(e) => {
                self.link.failed(StoreCall::Watch, e);
                if state.news_source() == NewsSource::Store {
                    state.store_back.wait(AWAY_PAUSE).await;
                }
                Round::Kept
            }
        }
    }

    /// Hears another instance's news; false if it does not answer.
    async fn follow_instance(&self, id: Incarnation) -> bool {
        let state = &self.link.state;
        let asking = self.peers.follow(id, FOLLOW_WAIT);
        let gone = async {
            self.until_silent(id).await;
            None
        };
        let Some(heard) = asking.or(gone).await else {
            let now = state.now();
            let mut knowledge = state.knowledge();
            knowledge.note_source(now, id, SourceState::Silent);
            return false;
        };
        let silent = heard.news.items.is_empty();
        self.intake.take(heard.news);
        if let Some(proof) = heard.proof {
            state.knowledge().freshness.adopt(proof);
        }
        match heard.store_away {
            true => self.source_lost_store(id),
            false => self.link.back(),
        }
        if !heard.store_away && state.without_proof() > FOLLOWED_PROOF_MOST {
            log::info!(source:% = id; "the instance followed brings no proof");
            let now = state.now();
            let mut knowledge = state.knowledge();
            knowledge.note_source(now, id, SourceState::Silent);
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
        let mut knowledge = state.knowledge();
        knowledge.note_source(now, id, SourceState::StoreAway);
        drop(knowledge);
        if state.news_source() == NewsSource::Instance(id) {
            self.link.away();
        } else {
            log::info!(source:% = id; "the instance followed has lost the store");
        }
    }

    /// Returns once an instance answers no heartbeats any more.
    async fn until_silent(&self, id: Incarnation) {
        let state = &self.link.state;
        loop {
            Timer::after(NEWS_BEHIND).await;
            let now = state.now();
            if !state.knowledge().instances.is_heard(now, id) {
                return;
            }
        }
    }

    /// Returns once the store is known to have had changes for a while that did
    /// not come: a connection is silent, or the store is deaf.
    async fn until_behind(&self) {
        let is_behind = || self.link.state.knowledge().freshness.is_behind();
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
    pause
        .min(FIRST_READ_PAUSE_MOST)
        .mul_f64(0.7 + 0.6 * fastrand::f64())
}
