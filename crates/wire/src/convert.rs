//! Conversions between generated and checked types.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_coord::Delta;
use jd_coord::LoanAsk;
use jd_coord::LoanGrant;
use jd_coord::Member;
use jd_coord::Pulse;
use jd_types::ChangeRecord;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::Name;
use jd_types::Ppm;
use jd_types::Revision;
use snafu::OptionExt;

use crate::Exchange;
use crate::ExchangeAnswer;
use crate::Hint;
use crate::WireError;
use crate::generated::peer;
use crate::wire_error::InvalidSnafu;
use crate::wire_error::MissingSnafu;

impl From<&Member> for peer::Member {
    fn from(m: &Member) -> peer::Member {
        peer::Member {
            incarnation: m.incarnation.get(),
            hall: m.hall.to_string(),
            callers: m.callers.to_string(),
            peers: m.peers.to_string(),
            state: m.state.code(),
            beat: m.beat,
            revision: m.revision.get(),
            in_flight: m.in_flight,
            epoch: m.epoch,
        }
    }
}

impl TryFrom<peer::Member> for Member {
    type Error = WireError;

    fn try_from(m: peer::Member) -> Result<Member, WireError> {
        Ok(Member {
            incarnation: Incarnation::new(m.incarnation),
            hall: Name::try_from(m.hall.as_str())
                .ok()
                .context(InvalidSnafu { field: "hall" })?,
            callers: address(&m.callers, "callers")?,
            peers: address(&m.peers, "peers")?,
            state: MemberState::from_code(m.state),
            beat: m.beat,
            revision: Revision::new(m.revision),
            in_flight: m.in_flight,
            epoch: m.epoch,
        })
    }
}

impl From<&Pulse> for peer::Pulse {
    fn from(p: &Pulse) -> peer::Pulse {
        peer::Pulse {
            incarnation: p.incarnation.get(),
            state: p.state.code(),
            beat: p.beat,
            revision: p.revision.get(),
            in_flight: p.in_flight,
            epoch: p.epoch,
        }
    }
}

impl From<peer::Pulse> for Pulse {
    fn from(p: peer::Pulse) -> Pulse {
        Pulse {
            incarnation: Incarnation::new(p.incarnation),
            state: MemberState::from_code(p.state),
            beat: p.beat,
            revision: Revision::new(p.revision),
            in_flight: p.in_flight,
            epoch: p.epoch,
        }
    }
}

impl From<&Exchange> for peer::ExchangeRequest {
    fn from(x: &Exchange) -> peer::ExchangeRequest {
        peer::ExchangeRequest {
            from: Some((&x.from).into()),
            sequence: x.sequence,
            pulses: x.pulses.iter().map(peer::Pulse::from).collect(),
            strangers: x.strangers.iter().map(|i| i.get()).collect(),
            hints: x.hints.iter().map(peer::UpstreamHint::from).collect(),
            asks: x.asks.iter().map(peer::LoanAsk::from).collect(),
        }
    }
}

impl TryFrom<peer::ExchangeRequest> for Exchange {
    type Error = WireError;

    fn try_from(x: peer::ExchangeRequest) -> Result<Exchange, WireError> {
        Ok(Exchange {
            from: x.from.context(MissingSnafu { field: "from" })?.try_into()?,
            sequence: x.sequence,
            pulses: x.pulses.into_iter().map(Pulse::from).collect(),
            strangers: x.strangers.into_iter().map(Incarnation::new).collect(),
            hints: all(x.hints)?,
            asks: all(x.asks)?,
        })
    }
}

impl From<&ExchangeAnswer> for peer::ExchangeReply {
    fn from(x: &ExchangeAnswer) -> peer::ExchangeReply {
        // Records and snapshots are plain data; they always have a JSON form.
        let (records, snapshot) = match &x.delta {
            Delta::Nothing => (Vec::new(), Vec::new()),
            Delta::Records(r) => (
                r.iter()
                    .map(|r| serde_json::to_vec(r).unwrap_or_default())
                    .collect(),
                Vec::new(),
            ),
            Delta::Snapshot(s) => (Vec::new(), serde_json::to_vec(s).unwrap_or_default()),
        };
        peer::ExchangeReply {
            from: Some((&x.from).into()),
            sequence: x.sequence,
            pulses: x.pulses.iter().map(peer::Pulse::from).collect(),
            members: x.members.iter().map(peer::Member::from).collect(),
            hints: x.hints.iter().map(peer::UpstreamHint::from).collect(),
            grants: x.grants.iter().map(peer::LoanGrant::from).collect(),
            records,
            snapshot,
        }
    }
}

impl TryFrom<peer::ExchangeReply> for ExchangeAnswer {
    type Error = WireError;

    fn try_from(x: peer::ExchangeReply) -> Result<ExchangeAnswer, WireError> {
        Ok(ExchangeAnswer {
            from: x.from.context(MissingSnafu { field: "from" })?.try_into()?,
            sequence: x.sequence,
            pulses: x.pulses.into_iter().map(Pulse::from).collect(),
            members: all(x.members)?,
            hints: all(x.hints)?,
            grants: all(x.grants)?,
            delta: delta(&x.records, &x.snapshot)?,
        })
    }
}

fn delta(records: &[Vec<u8>], snapshot: &[u8]) -> Result<Delta, WireError> {
    match (records, snapshot) {
        ([], []) => Ok(Delta::Nothing),
        (_, []) => {
            let parsed: Result<Vec<ChangeRecord>, serde_json::Error> =
                records.iter().map(|r| serde_json::from_slice(r)).collect();
            parsed
                .ok()
                .map(Delta::Records)
                .context(InvalidSnafu { field: "records" })
        }
        _ => {
            let parsed = serde_json::from_slice(snapshot).ok();
            parsed
                .map(Delta::Snapshot)
                .context(InvalidSnafu { field: "snapshot" })
        }
    }
}

impl From<&Hint> for peer::UpstreamHint {
    fn from(h: &Hint) -> peer::UpstreamHint {
        let address = h.address.to_string();
        peer::UpstreamHint {
            address,
            leaving: h.leaving,
            in_flight: h.in_flight,
        }
    }
}

impl TryFrom<peer::UpstreamHint> for Hint {
    type Error = WireError;

    fn try_from(h: peer::UpstreamHint) -> Result<Hint, WireError> {
        let address = address(&h.address, "hints.address")?;
        Ok(Hint {
            address,
            leaving: h.leaving,
            in_flight: h.in_flight,
        })
    }
}

impl From<&LoanAsk> for peer::LoanAsk {
    fn from(a: &LoanAsk) -> peer::LoanAsk {
        peer::LoanAsk {
            limit: a.limit.to_string(),
            held_ppm: a.held.get(),
            wanted_ppm: a.wanted.get(),
        }
    }
}

impl TryFrom<peer::LoanAsk> for LoanAsk {
    type Error = WireError;

    fn try_from(a: peer::LoanAsk) -> Result<LoanAsk, WireError> {
        let limit = CompactString::from(a.limit);
        Ok(LoanAsk {
            limit,
            held: ppm(a.held_ppm)?,
            wanted: ppm(a.wanted_ppm)?,
        })
    }
}

impl From<&LoanGrant> for peer::LoanGrant {
    fn from(g: &LoanGrant) -> peer::LoanGrant {
        let term_ms = u32::try_from(g.term.as_millis()).unwrap_or(u32::MAX);
        peer::LoanGrant {
            limit: g.limit.to_string(),
            ppm: g.part.get(),
            term_ms,
        }
    }
}

impl TryFrom<peer::LoanGrant> for LoanGrant {
    type Error = WireError;

    fn try_from(g: peer::LoanGrant) -> Result<LoanGrant, WireError> {
        let term = Duration::from_millis(u64::from(g.term_ms));
        Ok(LoanGrant {
            limit: CompactString::from(g.limit),
            part: ppm(g.ppm)?,
            term,
        })
    }
}

fn all<T, U: TryFrom<T, Error = WireError>>(list: Vec<T>) -> Result<Vec<U>, WireError> {
    list.into_iter().map(U::try_from).collect()
}

fn address(text: &str, field: &'static str) -> Result<SocketAddr, WireError> {
    text.parse().ok().context(InvalidSnafu { field })
}

/// More than the whole would be a part that somebody else holds too.
fn ppm(count: u32) -> Result<Ppm, WireError> {
    let fits = count <= Ppm::WHOLE.get();
    fits.then(|| Ppm::new(count))
        .context(InvalidSnafu { field: "ppm" })
}
