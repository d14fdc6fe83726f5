//! Members and the messages between them.

use std::net::SocketAddr;

use fastrand::Rng;
use jd_coord::Delta;
use jd_coord::LoanAsk;
use jd_coord::LoanGrant;
use jd_coord::Member;
use jd_coord::Members;
use jd_policy::PeerLoads;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Ppm;
use jd_types::Revision;
use jd_wire::Exchange;
use jd_wire::ExchangeAnswer;
use jd_wire::ExchangeReply;
use jd_wire::ExchangeRequest;
use jd_wire::Hint;
use prost::Message;

use crate::slopes::Meter;
use crate::slopes::Slope;

/// Sizes of a fleet.
const FLEET: [usize; 4] = [9, 37, 300, 1_100];

pub(super) fn measure(meter: &Meter<'_>) -> Vec<Slope> {
    let hear = |state: &mut (Members, Vec<Member>), n: u64| {
        let i = n as usize % state.1.len();
        state.1[i].beat += 1;
        state
            .0
            .hear(MonoTime::from_millis(n / 100), state.1[i].clone())
    };
    let mut rng = Rng::with_seed(1);
    vec![
        meter.time("members: hear one report", "members", &FLEET, table, hear),
        meter.time("members: one tick", "members", &FLEET, table, |s, _| {
            s.0.tick(MonoTime::from_millis(1))
        }),
        meter.time(
            "members: choose partners",
            "members",
            &FLEET,
            table,
            move |s, _| s.0.partners(4, 1, &mut rng),
        ),
        meter.memory("members: table", "members", &FLEET, |n| table(n).0),
        meter.message(
            "heartbeat: question about members",
            "members told",
            &FLEET,
            |n| question(n, 0, 0).encoded_len(),
        ),
        meter.message(
            "heartbeat: hints in it",
            "upstreams told",
            &[10, 50, 400],
            |n| question(0, n, 0).encoded_len(),
        ),
        meter.message(
            "heartbeat: loans asked in it",
            "limits asked",
            &[5, 50, 400],
            |n| question(0, 0, n).encoded_len(),
        ),
        meter.message(
            "heartbeat: loans granted in the answer",
            "limits granted",
            &[5, 50, 400],
            |n| answer(n).encoded_len(),
        ),
        meter.time(
            "heartbeat: encode and decode",
            "members told",
            &FLEET,
            |n| question(n, 20, 10),
            |q, _| {
                let bytes = q.encode_to_vec();
                ExchangeRequest::decode(bytes.as_slice())
                    .ok()
                    .map(Exchange::try_from)
            },
        ),
        meter.time(
            "peer loads: one report of 50 upstreams",
            "peers",
            &[9, 37, 300],
            loads,
            |s, n| {
                let peer = Incarnation::new(n % 9);
                s.replace(
                    peer,
                    (0..50).map(|i| (address(i), (n % 7) as u32)).collect(),
                )
            },
        ),
    ]
}

/// The table of one instance and the reports that fill it; halls of 37.
fn table(count: usize) -> (Members, Vec<Member>) {
    let reports: Vec<Member> = (1..=count).map(member).collect();
    let mut members = Members::new(member(0));
    for r in &reports {
        members.hear(MonoTime::ZERO, r.clone());
    }
    (members, reports)
}

pub(super) fn member(i: usize) -> Member {
    let hall = Name::try_from(format!("hall-{}", i / 37).as_str());
    Member {
        incarnation: Incarnation::new(i as u64 * 0x9e37_79b9 + 1),
        hall: hall.unwrap_or_else(|_| member(0).hall),
        callers: address(i * 2),
        peers: address(i * 2 + 1),
        state: MemberState::Serving,
        beat: 1_000,
        revision: Revision::new(25_000),
        in_flight: 12,
        epoch: 77,
    }
}

pub(super) fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 7_000))
}

fn question(members: usize, hints: usize, asks: usize) -> ExchangeRequest {
    let ask = |i: usize| LoanAsk {
        limit: format!("customer/customer-{i:04}").into(),
        held: Ppm::new(20_000),
        wanted: Ppm::new(5_000),
    };
    ExchangeRequest::from(&Exchange {
        from: member(0),
        sequence: 1,
        pulses: (1..=members).map(|i| member(i).pulse()).collect(),
        strangers: Vec::new(),
        hints: (0..hints).map(hint).collect(),
        asks: (0..asks).map(ask).collect(),
    })
}

fn hint(i: usize) -> Hint {
    Hint {
        address: address(i),
        leaving: false,
        in_flight: 3,
    }
}

fn answer(grants: usize) -> ExchangeReply {
    let grant = |i: usize| LoanGrant {
        limit: format!("customer/customer-{i:04}").into(),
        part: Ppm::new(25_000),
        term: std::time::Duration::from_secs(6),
    };
    ExchangeReply::from(&ExchangeAnswer {
        from: member(0),
        sequence: 1,
        pulses: Vec::new(),
        members: Vec::new(),
        hints: Vec::new(),
        grants: (0..grants).map(grant).collect(),
        delta: Delta::Nothing,
    })
}

fn loads(peers: usize) -> PeerLoads {
    let mut loads = PeerLoads::default();
    for p in 0..peers {
        loads.replace(
            Incarnation::new(p as u64),
            (0..50).map(|i| (address(i), 2)).collect(),
        );
    }
    loads
}
