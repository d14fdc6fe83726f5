//! One heartbeat and its answer, checked.

use std::net::SocketAddr;

use jd_coord::Delta;
use jd_coord::LoanAsk;
use jd_coord::LoanGrant;
use jd_coord::Member;
use jd_coord::Pulse;
use jd_types::Incarnation;

/// What an instance has seen of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    /// The upstream.
    pub address: SocketAddr,
    /// True if it is leaving.
    pub leaving: bool,
    /// Requests that the instance has in flight there.
    pub in_flight: u32,
}

/// One instance's heartbeat to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// The sender.
    pub from: Member,
    /// Grows with each heartbeat of the sender to the same receiver.
    pub sequence: u64,
    /// Other members that the sender knows.
    pub pulses: Vec<Pulse>,
    /// Members of whom the sender has heard only pulses.
    pub strangers: Vec<Incarnation>,
    /// What the sender has seen of upstreams.
    pub hints: Vec<Hint>,
    /// What the sender would borrow.
    pub asks: Vec<LoanAsk>,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct ExchangeAnswer {
    /// The one who answers.
    pub from: Member,
    /// The heartbeat that is answered.
    pub sequence: u64,
    /// Other members that the answerer knows.
    pub pulses: Vec<Pulse>,
    /// The strangers that were asked for.
    pub members: Vec<Member>,
    /// What the answerer has seen of upstreams.
    pub hints: Vec<Hint>,
    /// What the answerer lends.
    pub grants: Vec<LoanGrant>,
    /// Configuration that the sender of the heartbeat lacks.
    pub delta: Delta,
}
