//! Which instance a request is forwarded to.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;

use jd_serving::ForwardTarget;
use jd_types::Name;

fn zone(name: &str) -> Name {
    Name::try_from(name).expect("a name")
}

fn target(host: u8, zone_name: &str, in_flight: u32) -> ForwardTarget {
    ForwardTarget {
        address: SocketAddr::from(([127, 0, 0, host], 81)),
        zone: zone(zone_name),
        in_flight,
    }
}

/// Guards against one target that gets the requests of all instances without a path: six
/// instances that each forward twenty requests, of which none ends, to three others.
#[test]
fn requests_spread_over_all_targets() {
    let mut received = [0; 3];
    for origin in 0..6 {
        let mut rng = fastrand::Rng::with_seed(origin);
        let mut targets: Vec<ForwardTarget> = (0..3).map(|n| target(n, "a", 0)).collect();
        for _ in 0..20 {
            let chosen = ForwardTarget::select(&targets, &zone("a"), &mut rng);
            let address = chosen.expect("capacity is left").address;
            let n = targets.iter().position(|t| t.address == address);
            let n = n.expect("one of them");
            targets[n].in_flight += 1;
            received[n] += 1;
        }
    }
    for count in received {
        assert!((32..=48).contains(&count), "{received:?}");
    }
}

/// Guards against traffic between zones while the own zone has capacity, and against refusals
/// while another zone has.
#[test]
fn another_zone_is_used_once_the_own_one_has_no_capacity() {
    let mut rng = fastrand::Rng::with_seed(1);
    let near = [target(1, "a", 63), target(2, "b", 0)];
    for _ in 0..20 {
        let chosen = ForwardTarget::select(&near, &zone("a"), &mut rng);
        assert_eq!(chosen, Some(&near[0]));
    }
    let full = [target(1, "a", 64), target(2, "b", 0)];
    let chosen = ForwardTarget::select(&full, &zone("a"), &mut rng);
    assert_eq!(chosen, Some(&full[1]));
}

/// Guards against a queue without bound at the few instances that have a path.
#[test]
fn nothing_is_forwarded_beyond_the_bound() {
    let mut rng = fastrand::Rng::with_seed(1);
    let full = [target(1, "a", 64), target(2, "b", 64)];
    assert_eq!(ForwardTarget::select(&full, &zone("a"), &mut rng), None);
}
