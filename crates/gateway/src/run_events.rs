//! What instances see of runs at upstreams, from the path of a request to the coordinators.

use std::net::SocketAddr;

use async_channel::Receiver;
use async_channel::Sender;
use compact_str::CompactString;
use jd_serving::CompletedRun;
use jd_serving::Content;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;

/// Events that may wait. Broken runs come by the hundred where upstreams end in
/// numbers, and are taken at once; more than this would be old when they are taken.
const MOST_WAITING: usize = 1_024;

/// One start of an upstream, by where it answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct UpstreamRef {
    pub(crate) service: CompactString,
    pub(crate) id: CompactString,
    pub(crate) start: UpstreamStart,
    pub(crate) address: SocketAddr,
}

/// What was seen of a run.
#[derive(Debug)]
pub(crate) enum RunEvent {
    /// Its connection broke before its end.
    Broken {
        at: MonoTime,
        upstream: UpstreamRef,
        content: Content,
        began: MonoTime,
    },
    /// It came to its end, and something is held against its request.
    Completed(CompletedRun),
}

/// Events on their way.
#[derive(Debug)]
pub(crate) struct RunEvents {
    tx: Sender<RunEvent>,
    rx: Receiver<RunEvent>,
}

impl RunEvents {
    pub(crate) fn new() -> RunEvents {
        let (tx, rx) = async_channel::bounded(MOST_WAITING);
        RunEvents { tx, rx }
    }

    pub(crate) fn add(&self, event: RunEvent) {
        if let Err(e) = self.tx.try_send(event) {
            log::warn!(error:% = e; "event of a run dropped; the next one counts");
        }
    }

    /// The next one.
    pub(crate) async fn next(&self) -> Option<RunEvent> {
        self.rx.recv().await.ok()
    }
}
