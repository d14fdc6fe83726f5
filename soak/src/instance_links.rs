//! The links of one instance to all upstreams.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;

use crate::LinkMode;
use crate::relay::Relay;

/// The links of one instance to all upstreams, as relays that only this instance uses.
#[derive(Debug)]
pub(crate) struct InstanceLinks {
    /// The address that upstreams announce, and the relay to it.
    links: Vec<(SocketAddr, Arc<Relay>)>,
}

impl InstanceLinks {
    /// Starts relays at these addresses to the announced ones.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        addresses: impl Iterator<Item = SocketAddr>,
        announced: impl Iterator<Item = Arc<Relay>>,
    ) -> io::Result<InstanceLinks> {
        let links = addresses.zip(announced).map(|(address, announced)| {
            let to = announced.address();
            let link = Relay::start_before(executor, address, announced)?;
            Ok((to, link))
        });
        Ok(InstanceLinks {
            links: links.collect::<io::Result<_>>()?,
        })
    }

    /// The links in the form of the instance's settings.
    pub(crate) fn setting(&self) -> String {
        let mut text = String::new();
        for (announced, link) in &self.links {
            let separator = if text.is_empty() { "" } else { ", " };
            // Writing to a string does not fail.
            let _ = write!(text, "{separator}{announced}={}", link.address());
        }
        text
    }

    /// Sets the fault of all links, or none.
    pub(crate) fn set(&self, mode: Option<LinkMode>) {
        for (_, link) in &self.links {
            link.set(mode);
        }
    }
}
