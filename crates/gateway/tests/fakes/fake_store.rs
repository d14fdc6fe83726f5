//! A store in memory that can be made silent.

use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use jd_gateway::Change;
use jd_gateway::Changes;
use jd_gateway::LeaseId;
use jd_gateway::Listing;
use jd_gateway::Record;
use jd_gateway::Store;
use jd_gateway::StoreError;
use jd_gateway::StoreFuture;
use jd_serving::InstanceEntry;
use jd_types::Incarnation;

#[derive(Debug)]
pub(crate) struct FakeStore {
    records: Mutex<Vec<Record>>,
    revision: Mutex<u64>,
    away: Mutex<bool>,
    tx: Sender<Change>,
    rx: Receiver<Change>,
}

impl FakeStore {
    pub(crate) fn new(records: Vec<Record>) -> FakeStore {
        let (tx, rx) = async_channel::unbounded();
        FakeStore {
            records: Mutex::new(records),
            revision: Mutex::new(1),
            away: Mutex::new(false),
            tx,
            rx,
        }
    }

    /// Makes the store refuse every call, or serve again.
    pub(crate) fn set_away(&self, away: bool) {
        *self.away.lock().expect("a lock") = away;
    }

    /// Tells the watch of a change.
    pub(crate) fn change(&self, change: Change) {
        *self.revision.lock().expect("a lock") += 1;
        self.tx.try_send(change).expect("an open channel");
    }

    fn answer<T>(&self, value: T) -> Result<T, StoreError> {
        match *self.away.lock().expect("a lock") {
            true => Err(StoreError::Refused),
            false => Ok(value),
        }
    }

    fn now(&self) -> u64 {
        *self.revision.lock().expect("a lock")
    }
}

impl Store for FakeStore {
    fn list(&self) -> StoreFuture<'_, Listing> {
        let records = self.records.lock().expect("a lock").clone();
        let revision = self.now();
        Box::pin(async move { self.answer(Listing { records, revision }) })
    }

    fn watch(&self, _after: u64, _wait: Duration) -> StoreFuture<'_, Changes> {
        Box::pin(async move {
            let change = self.rx.recv().await.map_err(|_| StoreError::Lost)?;
            self.answer(Changes {
                changes: vec![change],
                revision: self.now(),
            })
        })
    }

    fn revision(&self) -> StoreFuture<'_, u64> {
        Box::pin(async move { self.answer(self.now()) })
    }

    fn lease(&self, _lifetime: Duration) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move { self.answer(LeaseId(1)) })
    }

    fn renew(&self, _lease: LeaseId) -> StoreFuture<'_, ()> {
        Box::pin(async move { self.answer(()) })
    }

    fn announce<'a>(&'a self, _entry: &'a InstanceEntry, _lease: LeaseId) -> StoreFuture<'a, ()> {
        Box::pin(async move { self.answer(()) })
    }

    fn withdraw(&self, _id: Incarnation) -> StoreFuture<'_, ()> {
        Box::pin(async move { self.answer(()) })
    }
}
