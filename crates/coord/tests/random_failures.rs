//! Random interleavings of failures. The fleet checks after every step that a
//! limit is not exceeded, that one instance at most acts on a duty, and that no
//! configuration reverts; this file adds what must hold in the end.

#![allow(clippy::unwrap_used, clippy::panic)]

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use fleet::LIMIT;
use jd_backing::KvKey;
use jd_coord::ProposalEnd;
use jd_types::Change;
use jd_types::Name;
use jd_types::Revision;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// Something that goes wrong, or time that passes.
#[derive(Debug, Clone)]
enum Event {
    Run(u64),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Wake(usize),
    Cut(usize, usize),
    CutStore(usize),
    Heal,
    Store(bool),
    Lose(u32),
    LoseHeartbeats(u32),
    Lapse,
    Demand(usize, u32),
    Change(usize, u32),
}

const NODES: usize = 5;

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    prop_oneof![
        6 => (1..120u64).prop_map(Event::Run),
        1 => node.clone().prop_map(Event::Crash),
        2 => node.clone().prop_map(Event::Restart),
        1 => node.clone().prop_map(Event::Pause),
        2 => node.clone().prop_map(Event::Wake),
        2 => (node.clone(), node.clone()).prop_map(|(a, b)| Event::Cut(a, b)),
        1 => node.clone().prop_map(Event::CutStore),
        2 => prop::strategy::Just(Event::Heal),
        2 => prop::bool::ANY.prop_map(Event::Store),
        2 => (1..4u32).prop_map(Event::Lose),
        1 => (0..4u32).prop_map(Event::LoseHeartbeats),
        1 => prop::strategy::Just(Event::Lapse),
        4 => (node.clone(), 0..60u32).prop_map(|(n, d)| Event::Demand(n, d)),
        3 => (node, 1..100u32).prop_map(|(n, w)| Event::Change(n, w)),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn carry_out(fleet: &mut Fleet, event: &Event, ends: &mut Vec<ProposalEnd>) {
    match *event {
        Event::Run(steps) => fleet.run(Duration::from_millis(steps * 100)),
        Event::Crash(i) => fleet.nodes[i].alive = false,
        Event::Restart(i) => fleet.restart(i),
        Event::Pause(i) => fleet.nodes[i].paused = true,
        Event::Wake(i) => fleet.nodes[i].paused = false,
        Event::Cut(a, b) => fleet.cut(a, b),
        Event::CutStore(i) => fleet.nodes[i].store_cut = true,
        Event::Heal => fleet.heal(),
        Event::Store(up) => set_faults(fleet, |f| f.down = !up),
        Event::Lose(n) => set_faults(fleet, |f| f.lose_answers = n),
        Event::Lapse => set_faults(fleet, |f| f.lapse_leases = true),
        Event::LoseHeartbeats(n) => fleet.lose_one_in = n,
        Event::Demand(i, units) => fleet.nodes[i].demand = units,
        Event::Change(i, slots) => {
            let name = Name::try_from("engines").unwrap();
            let change = Change::SetVersion {
                name,
                version: slots,
            };
            ends.push(fleet.change(i, "alice", change));
        }
    }
}

fn set_faults(fleet: &mut Fleet, change: impl FnOnce(&mut jd_standins::KvFaults)) {
    let mut faults = fleet.kv.faults();
    change(&mut faults);
    fleet.kv.set_faults(faults);
}

/// Everything works again; the fleet gets time to come together.
fn recover(fleet: &mut Fleet) {
    fleet.kv.set_faults(jd_standins::KvFaults::default());
    fleet.heal();
    fleet.lose_one_in = 0;
    for i in 0..NODES {
        fleet.nodes[i].paused = false;
        if !fleet.nodes[i].alive {
            fleet.restart(i);
        }
    }
    fleet.run(Duration::from_secs(120));
}

proptest! {
    #![proptest_config(config())]

    // A user would see its limit exceeded, two holders of a duty, or settings
    // that fall back, after some order of failures that nobody thought of.
    // Afterwards everybody must agree, and the whole limit must be usable.
    #[test]
    fn promises_hold_in_any_order_of_failures(events in prop::collection::vec(event(), 1..40)) {
        let mut fleet = Fleet::new(NODES, 50, 3);
        fleet.run(Duration::from_secs(15));
        let mut ends = Vec::new();
        for event in &events {
            carry_out(&mut fleet, event, &mut ends);
        }
        recover(&mut fleet);
        every_end_was_true(&mut fleet, &ends);
        let revision = fleet.nodes[0].replica.config().revision;
        for n in &fleet.nodes {
            assert_eq!(n.replica.config().revision, revision);
            assert_eq!(n.replica.config(), fleet.nodes[0].replica.config());
        }
        for n in &mut fleet.nodes {
            n.demand = 0;
        }
        fleet.run(Duration::from_secs(10));
        fleet.nodes[2].demand = 200;
        fleet.run(Duration::from_secs(5));
        assert!(fleet.held(2) >= 45, "a lone busy instance has {} of 50 of {LIMIT}", fleet.held(2));
    }
}

/// What operators were told agrees with the log.
fn every_end_was_true(fleet: &mut Fleet, ends: &[ProposalEnd]) {
    let last = fleet.nodes[0].replica.config().revision;
    let mut log = Vec::new();
    for r in 1..=last.get() {
        let get = jd_backing::KvRequest::Get {
            key: KvKey::log(Revision::new(r)),
        };
        let reply = fleet.call(0, &get).unwrap();
        let jd_backing::KvReply::Found { entry: Some(e) } = reply else {
            panic!("{r} is missing")
        };
        let record: jd_types::ChangeRecord = serde_json::from_str(&e.value).unwrap();
        log.push(record);
    }
    let mut told = 0;
    for end in ends {
        match end {
            ProposalEnd::InForce(r) => {
                assert_eq!(log.iter().filter(|l| l.id == r.id).count(), 1);
                told += 1;
            }
            ProposalEnd::Unknown(_) => told += 1,
            _ => {}
        }
    }
    // Nothing is in the log that somebody was told is not.
    assert!(
        log.len() <= told,
        "{} changes in force, {told} known or in doubt",
        log.len()
    );
}
