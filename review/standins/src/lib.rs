//! Stand-ins for the platform's store, the engines and the clients, and the control of gateway
//! processes, for the cases of the review. Uses the standard library alone.

pub mod client;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod stages;
pub mod store;
pub mod streams;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The loopback addresses of one run, apart from those of other runs.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    pub fn of_this_process() -> Network {
        let pid = std::process::id();
        Network {
            second: 64 + (pid >> 8) as u8 % 128,
            third: pid as u8,
        }
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    /// An address with a free port.
    pub fn free(&self, last: u8) -> SocketAddr {
        let listener = TcpListener::bind((self.ip(last), 0)).expect("a free port");
        listener.local_addr().expect("its address")
    }
}
