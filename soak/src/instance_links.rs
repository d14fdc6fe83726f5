//! The links of one instance to all upstreams, and to the instances that it forwards requests to.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;

use crate::LinkMode;
use crate::relay::Relay;

/// The links of one instance to all upstreams, and to the instances that it forwards requests to,
/// as relays that only this instance uses.
#[derive(Debug)]
pub(crate) struct InstanceLinks {
    /// The address that upstreams announce, and the relay to it.
    links: Vec<(SocketAddr, Arc<Relay>)>,
    /// The address of another instance, and the relay to it.
    forwards: Vec<(SocketAddr, Arc<Relay>)>,
}

impl InstanceLinks {
    /// Starts relays at these addresses to the announced ones, and for forwarded requests at the first
    /// address of each pair to the second.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        addresses: impl Iterator<Item = SocketAddr>,
        announced: impl Iterator<Item = Arc<Relay>>,
        forwards: impl Iterator<Item = (SocketAddr, SocketAddr)>,
    ) -> io::Result<InstanceLinks> {
        let forwards = forwards.map(|(address, to)| Ok((to, Relay::start(executor, address, to)?)));
        let links = addresses.zip(announced).map(|(address, announced)| {
            let to = announced.address();
            let link = Relay::start_before(executor, address, announced)?;
            Ok((to, link))
        });
        Ok(InstanceLinks {
            links: links.collect::<io::Result<_>>()?,
            forwards: forwards.collect::<io::Result<_>>()?,
        })
    }

    /// The links in the form of the instance's settings.
    pub(crate) fn setting(&self) -> String {
        let mut text = String::new();
        for (announced, link) in self.links.iter().chain(&self.forwards) {
            let separator = if text.is_empty() { "" } else { ", " };
            // Writing to a string does not fail.
            let _ = write!(text, "{separator}{announced}={}", link.address());
        }
        text
    }

    /// Sets the fault of all links to other instances, or none.
    pub(crate) fn set_forwards(&self, mode: Option<LinkMode>) {
        for (_, link) in &self.forwards {
            link.set(mode);
        }
    }

    /// Sets the fault of all links to upstreams, or none.
    pub(crate) fn set(&self, mode: Option<LinkMode>) {
        for (_, link) in &self.links {
            link.set(mode);
        }
    }
}
