//! Events of runs on upstreams, passed from the request path to the quarantine coordinators.

use std::net::SocketAddr;

use async_channel::Receiver;
use async_channel::Sender;
use compact_str::CompactString;
use jd_serving::BrokenRun;
use jd_serving::SoundRun;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

/// The capacity of the queue of runs that settle: twice the connections of an instance, since all of
/// its callers may leave at once.
pub(crate) const SETTLING_CAPACITY: usize = 8_192;
/// The capacity of the queue of other events. Broken runs come by the hundred when many upstreams crash, and
/// are consumed at once; events beyond this number would be stale when they are consumed.
pub(crate) const QUEUE_CAPACITY: usize = 1_024;

/// One start of an upstream, with its address.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct UpstreamRef {
    pub(crate) service: CompactString,
    pub(crate) id: CompactString,
    pub(crate) start: UpstreamStart,
    pub(crate) address: SocketAddr,
}

/// How a run ended that is not known to be sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// Its connection broke before the end of the answer.
    Broken,
    /// In order, after an answer without a length or chunks. A crash looks the same.
    Unmarked,
    /// In order, with a success. The upstream may crash from it right after.
    Whole,
    /// In order, with a failure.
    Failed,
    /// Its caller left, or another attempt answered.
    Left,
}

/// A run that has ended.
#[derive(Debug)]
pub(crate) struct EndedRun {
    pub(crate) at: MonoTime,
    pub(crate) upstream: UpstreamRef,
    pub(crate) run: BrokenRun,
    pub(crate) end: RunEnd,
}

/// An event of a run on an upstream.
#[derive(Debug)]
pub(crate) enum RunEvent {
    /// The run is not known to be sound.
    Ended(EndedRun),
    /// The run was sound, and its request or a part of its prompt is suspected or quarantined.
    Sound(SoundRun),
}

/// A bounded queue of run events.
#[derive(Debug)]
pub(crate) struct RunEvents<T> {
    tx: Sender<T>,
    rx: Receiver<T>,
}

impl<T> RunEvents<T> {
    pub(crate) fn new(capacity: usize) -> RunEvents<T> {
        let (tx, rx) = async_channel::bounded(capacity);
        RunEvents { tx, rx }
    }

    pub(crate) fn add(&self, event: T) {
        if let Err(e) = self.tx.try_send(event) {
            log::warn!(error:% = e; "run event dropped: queue is full");
        }
    }

    /// The next event.
    pub(crate) async fn next(&self) -> Option<T> {
        self.rx.recv().await.ok()
    }
}
