//! An upstream whose responses have neither a length nor chunks.

use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;

use crate::fakes::End;
use crate::fakes::Mark;
use crate::fakes::RawReply;
use crate::fakes::RawUpstreams;

/// A response: the bytes after the head, and how its connection ends.
pub(crate) type UnframedReply = (&'static str, End);

/// An upstream that sends one response on each connection and ends it by ending the connection.
#[derive(Debug)]
pub(crate) struct UnframedUpstream {
    pub(crate) address: SocketAddr,
    raw: RawUpstreams,
}

impl UnframedUpstream {
    /// Starts an upstream that gives this reply to requests for whole streams, and `resumed` to
    /// those that resume one.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        reply: UnframedReply,
        resumed: UnframedReply,
    ) -> UnframedUpstream {
        let raw = |(body, end): UnframedReply| RawReply {
            end,
            ..RawReply::success("", body, Mark::Connection)
        };
        let raw = RawUpstreams::start(executor, 1, vec![raw(reply)], Some(raw(resumed)));
        UnframedUpstream {
            address: raw.addresses[0],
            raw,
        }
    }

    /// The number of events to resume after, for each request in order.
    pub(crate) fn asked(&self) -> Vec<Option<u64>> {
        self.raw.asked()
    }
}
