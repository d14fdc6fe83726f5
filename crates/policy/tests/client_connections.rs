//! Which connection is closed for another one, over orders of events.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use jd_policy::ClientAdmission;
use jd_policy::ClientConnections;
use jd_policy::ClientKey;
use jd_policy::ClientPhase;
use jd_policy::MemorySplit;
use jd_types::MonoTime;
use proptest::prelude::prop;
use proptest::proptest;
use test_case::test_case;

/// Long enough for a connection in any phase to be closed for another one.
const LONG: Duration = Duration::from_secs(10);

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn opened(table: &mut ClientConnections, now: MonoTime) -> ClientKey {
    match table.open(now) {
        ClientAdmission::Opened(key) => key,
        other => panic!("{other:?}"),
    }
}

/// A full table with a connection in each of these phases, which began 1 ms apart.
fn full(phases: &[ClientPhase]) -> (ClientConnections, Vec<ClientKey>) {
    let mut table = ClientConnections::new(phases.len());
    let keys = phases.iter().zip(0..).map(|(phase, ms)| {
        let key = opened(&mut table, at(ms));
        match phase {
            ClientPhase::Head => {}
            ClientPhase::Running => table.begin_request(key, at(ms)),
            ClientPhase::Idle => {
                table.begin_request(key, at(ms));
                table.end_request(key, at(ms));
            }
            ClientPhase::Body | ClientPhase::Closing => {
                table.begin_request(key, at(ms));
                table.set_phase(key, *phase, at(ms));
            }
        }
        key
    });
    let keys = keys.collect();
    (table, keys)
}

/// Guards against connections that wait for their clients and keep others out; those of clients that
/// were served before go last.
#[test_case(&[ClientPhase::Idle, ClientPhase::Body, ClientPhase::Head, ClientPhase::Closing], 3)]
#[test_case(&[ClientPhase::Idle, ClientPhase::Body, ClientPhase::Head, ClientPhase::Running], 2)]
#[test_case(&[ClientPhase::Idle, ClientPhase::Body, ClientPhase::Running], 1)]
#[test_case(&[ClientPhase::Running, ClientPhase::Idle, ClientPhase::Idle], 1)]
fn the_connection_that_waits_is_closed(phases: &[ClientPhase], closed: usize) {
    let (mut table, keys) = full(phases);
    let admission = table.open(at(0) + LONG);
    let ClientAdmission::Replaces(_, replaced, phase) = admission else {
        panic!("{admission:?}");
    };
    assert_eq!((replaced, phase), (keys[closed], phases[closed]));
}

/// Guards against connections with a running request that are closed for others.
#[test]
fn connections_with_running_requests_stay() {
    let (mut table, keys) = full(&[ClientPhase::Running; 2]);
    assert_eq!(table.open(at(0) + LONG), ClientAdmission::Refused);
    table.end_request(keys[1], at(0) + LONG);
    let later = at(0) + LONG + LONG;
    assert!(matches!(table.open(later), ClientAdmission::Replaces(_, key, _) if key == keys[1]));
}

/// Guards against clients that are closed before they could send anything.
#[test_case(ClientPhase::Head, 49, 50)]
#[test_case(ClientPhase::Idle, 999, 1_000)]
#[test_case(ClientPhase::Body, 1_999, 2_000)]
fn each_connection_has_some_time(phase: ClientPhase, stays_ms: u64, closed_ms: u64) {
    let (mut table, _) = full(&[phase]);
    assert_eq!(table.open(at(stays_ms)), ClientAdmission::Refused);
    assert!(matches!(
        table.open(at(closed_ms)),
        ClientAdmission::Replaces(..)
    ));
}

/// Guards against a request that arrives as its connection is told to close, and that is dropped while it
/// runs.
#[test]
fn a_request_that_crosses_the_decision_counts_as_running() {
    let (mut table, keys) = full(&[ClientPhase::Head]);
    let later = at(0) + LONG;
    assert!(matches!(table.open(later), ClientAdmission::Replaces(..)));
    assert!(!table.is_running(keys[0]));
    table.begin_request(keys[0], later);
    assert!(table.is_running(keys[0]));
    table.set_phase(keys[0], ClientPhase::Body, later);
    assert!(!table.is_running(keys[0]));
}

/// Guards against a body that arrives and loses its connection.
#[test]
fn progress_of_a_body_restarts_its_time() {
    let (mut table, keys) = full(&[ClientPhase::Body]);
    table.set_phase(keys[0], ClientPhase::Body, at(1_500));
    assert_eq!(table.open(at(3_000)), ClientAdmission::Refused);
}

/// Guards against connections that are told to close and do not, and that add up.
#[test]
fn connections_that_still_have_to_close_are_few() {
    let (mut table, keys) = full(&[ClientPhase::Head; 20]);
    let now = at(0) + LONG;
    let replaced = (0..20).filter(|_| table.open(now) != ClientAdmission::Refused);
    assert_eq!(replaced.count(), 3);
    table.close(keys[0]);
    assert!(matches!(table.open(now), ClientAdmission::Replaces(..)));
}

proptest! {
    /// Guards against connections beyond the limit, and against lost room, in any order of events.
    #[test]
    fn the_limit_holds(events in prop::collection::vec((0..6_u8, 0..32_usize), 0..300)) {
        let mut table = ClientConnections::new(8);
        let mut open: Vec<(ClientKey, u32)> = Vec::new();
        let mut now = at(0);
        for (event, n) in events {
            now = now + Duration::from_millis(200);
            let count = open.len();
            match event {
                0 | 1 => match table.open(now) {
                    ClientAdmission::Opened(key) | ClientAdmission::Replaces(key, ..) => {
                        open.push((key, 0));
                    }
                    ClientAdmission::Refused => assert!(count >= 8),
                },
                _ if count == 0 => {}
                2 => {
                    table.begin_request(open[n % count].0, now);
                    open[n % count].1 += 1;
                }
                3 if open[n % count].1 > 0 => {
                    table.end_request(open[n % count].0, now);
                    open[n % count].1 -= 1;
                }
                4 => table.set_phase(open[n % count].0, ClientPhase::Body, now),
                _ => table.close(open.swap_remove(n % count).0),
            }
            assert!(open.len() <= 9);
        }
        for (key, _) in open.drain(..) {
            table.close(key);
        }
        for _ in 0..8 {
            opened(&mut table, now);
        }
    }
}

/// Guards against parts of the memory that add up to all of it, and against machines on which the
/// largest body of the usual limits is always refused.
#[test_case(120)]
#[test_case(160)]
#[test_case(260)]
#[test_case(512)]
fn the_memory_of_a_machine_is_split(megabytes: usize) {
    let memory = megabytes * 1_000_000;
    let split = MemorySplit::of(memory, 3_000);
    let connections = split.connections * (72 << 10);
    let services = 3 * split.service_connections * (32 << 10);
    assert!(connections + services + split.body_bytes <= memory * 7 / 10);
    let answers = split.answer_bytes;
    assert!(connections + services + split.body_bytes + answers <= memory * 85 / 100);
    assert!(split.body_bytes * 3 / 4 >= 4 << 20);
    assert!(answers / 4 * 3 >= (8 << 20) + (64 << 10));
    assert!((500..=3_000).contains(&split.connections));
}
