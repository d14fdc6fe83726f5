//! Whether an upstream at which runs broke has ended.

use std::time::Duration;

use jd_serving::ConnectionSign;
use jd_serving::EndSearch;
use jd_serving::EndSearchStep;
use jd_serving::ListedAs;
use jd_serving::SearchSubject;
use jd_serving::UpstreamFate;
use jd_types::MonoTime;
use test_case::test_case;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

/// An upstream whose runs break at 0 ms.
#[derive(Debug, Clone, Copy)]
struct Play {
    /// What its address does until, and from, a time.
    before: ConnectionSign,
    after: ConnectionSign,
    turns_at: u64,
    /// How its entry is listed from a time on.
    listed: (u64, ListedAs),
    answers_at: u64,
    subject: SearchSubject,
}

const NEVER: u64 = u64::MAX;

/// Its entry stays for the lease of the users' platform.
const ACCEPTS: Play = Play {
    before: ConnectionSign::Open,
    after: ConnectionSign::Open,
    turns_at: NEVER,
    listed: (3_600, ListedAs::Missing),
    answers_at: NEVER,
    subject: SearchSubject::Broken,
};

/// What is found, when, and with how many connections.
fn search(play: Play) -> (UpstreamFate, u64, u32) {
    let mut search = EndSearch::new(at(0));
    let (mut now, mut connections) = (30, 0);
    loop {
        let listed = match play.listed {
            (from, listed) if now >= from => listed,
            _ => ListedAs::Same,
        };
        let step = search.step(at(now), listed, now >= play.answers_at, play.subject);
        match step {
            EndSearchStep::Over(fate) => return (fate, now, connections),
            EndSearchStep::Wait(time) => now += time.as_millis() as u64,
            EndSearchStep::Connect => {
                let sign = match now >= play.turns_at {
                    true => play.after,
                    false => play.before,
                };
                connections += 1;
                search.record_connection(at(now), sign);
            }
        }
    }
}

/// Guards against ends that are missed because the address still accepts connections at first.
#[test_case(0, 30)]
#[test_case(50, 300)]
#[test_case(100, 300)]
#[test_case(500, 700)]
#[test_case(1_500, 3_100)]
fn an_end_is_found_once_the_address_refuses(turns_at: u64, within: u64) {
    let after = ConnectionSign::Refused;
    let play = Play {
        turns_at,
        after,
        ..ACCEPTS
    };
    let (fate, found, _) = search(play);
    assert_eq!(fate, UpstreamFate::Ended);
    assert!(found <= within, "found at {found}");
}

/// Guards against ends that are missed because a supervisor holds the address.
#[test]
fn an_address_that_closes_connections_is_of_an_ended_upstream() {
    let before = ConnectionSign::Closed;
    let (fate, found, _) = search(Play { before, ..ACCEPTS });
    assert_eq!(fate, UpstreamFate::Ended);
    assert!(found <= 300, "found at {found}");
}

/// Guards against ends that nothing but the list shows.
#[test_case(ListedAs::Missing, 3_600 ; "by the end of a lease")]
#[test_case(ListedAs::Replaced, 3_900 ; "by a later start")]
fn an_end_is_found_once_the_list_shows_it(listed: ListedAs, from: u64) {
    let play = Play {
        listed: (from, listed),
        ..ACCEPTS
    };
    let (fate, found, connections) = search(play);
    assert_eq!(fate, UpstreamFate::Ended);
    assert!((from..from + 500).contains(&found), "found at {found}");
    assert!(connections <= 6, "{connections} connections");
}

/// Guards against crashes that are made up: of upstreams that go on, that have no path to them, that
/// leave, or that turned one connection away.
#[test_case(Play { answers_at: 100, listed: (NEVER, ListedAs::Same), ..ACCEPTS }, UpstreamFate::Running, 1_300, 1 ; "it answers")]
#[test_case(Play { listed: (NEVER, ListedAs::Same), ..ACCEPTS }, UpstreamFate::Running, 8_300, 7 ; "it stays listed")]
#[test_case(Play { before: ConnectionSign::Unknown, listed: (NEVER, ListedAs::Same), ..ACCEPTS }, UpstreamFate::Running, 8_300, 7 ; "there is no path")]
#[test_case(Play { listed: (100, ListedAs::Leaving), ..ACCEPTS }, UpstreamFate::Left, 1_300, 4 ; "it leaves")]
#[test_case(Play { answers_at: 300, listed: (400, ListedAs::Missing), ..ACCEPTS }, UpstreamFate::Left, 1_300, 2 ; "it is gone after it answered")]
#[test_case(Play { before: ConnectionSign::Closed, turns_at: 100, listed: (NEVER, ListedAs::Same), ..ACCEPTS }, UpstreamFate::Running, 8_300, 7 ; "it closed one connection")]
#[test_case(Play { subject: SearchSubject::Hidden, ..ACCEPTS }, UpstreamFate::Running, 2_300, 4 ; "no run broke")]
#[test_case(Play { subject: SearchSubject::Unmarked, listed: (NEVER, ListedAs::Same), ..ACCEPTS }, UpstreamFate::Running, 1_300, 3 ; "its answers have no mark")]
fn an_upstream_that_goes_on_has_not_ended(play: Play, expected: UpstreamFate, by: u64, most: u32) {
    let (fate, found, connections) = search(play);
    assert_eq!(fate, expected);
    assert!(found <= by, "found at {found}");
    assert!(connections <= most, "{connections} connections");
}
