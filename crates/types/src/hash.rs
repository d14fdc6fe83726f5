//! Hash functions that give the same results on every instance.

use std::net::IpAddr;
use std::net::SocketAddr;

/// The output of splitmix64 for the state `x`: similar inputs give unrelated
/// results.
pub const fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash of an IP address and port.
pub fn hash_address(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(v4) => u64::from(v4.to_bits()),
        IpAddr::V6(v6) => {
            let bits = v6.to_bits();
            (bits as u64) ^ ((bits >> 64) as u64)
        }
    };
    splitmix64(ip << 16 | u64::from(address.port()))
}
