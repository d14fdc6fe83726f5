//! What must hold between a question and its answer, and after a pause.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use jd_backing::Expect;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_coord::ConfigReplica;
use jd_coord::Duty;
use jd_coord::Learned;
use jd_coord::Member;
use jd_coord::Members;
use jd_coord::ShareKeeper;
use jd_coord::ShareMap;
use jd_coord::ShareView;
use jd_standins::FakeKv;
use jd_types::Config;
use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Ppm;
use jd_types::Revision;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn member(n: u8) -> Member {
    Member {
        incarnation: Incarnation::new(u64::from(n)),
        hall: Name::try_from("a").unwrap(),
        callers: ([127, 0, 0, n], 1).into(),
        peers: ([127, 0, 0, n], 2).into(),
        state: MemberState::Serving,
        beat: 1,
        revision: Revision::ZERO,
        in_flight: 0,
        epoch: 0,
    }
}

// The holder of a duty stands still past its lease and goes on: before it has
// asked anybody anything it must know by its own clock that it may not act.
#[test]
fn a_holder_that_stood_still_may_not_act() {
    let mut kv = FakeKv::default();
    let mut duty = Duty::new("models", Incarnation::new(1), Duration::from_secs(6));
    for n in 0..20 {
        if let Some(call) = duty.next_call(at(n * 100), true) {
            duty.on_reply(at(n * 100), kv.apply(at(n * 100), &call));
        }
    }
    assert!(duty.may_act(at(2_000)).is_some());
    assert_eq!(duty.may_act(at(20_000)), None);
}

// An answer that took long extends the lease from when it was asked for, not
// from when the answer came.
#[test]
fn a_lease_counts_from_the_question() {
    let mut kv = FakeKv::default();
    let mut duty = Duty::new("models", Incarnation::new(1), Duration::from_secs(6));
    let mut now = 0;
    while duty.may_act(at(now)).is_none() {
        if let Some(call) = duty.next_call(at(now), true) {
            let reply = kv.apply(at(now), &call);
            now += 1_000;
            duty.on_reply(at(now), reply);
        }
        now += 100;
    }
    // Granted 2.1 s ago by an answer that took one: four seconds from the
    // question are over in 1.9, from the answer in 2.9.
    assert_eq!(duty.may_act(at(now + 2_400)), None);
}

// An owner gives half of its part away, the answer to that write is on its way
// or lost, and both use the half.
#[test]
fn a_part_is_given_up_before_it_is_written() {
    let mut kv = FakeKv::default();
    let mut members = Members::new(member(1));
    members.beat(MemberState::Serving, Revision::ZERO, 0, 0);
    let mut keeper = ShareKeeper::new(Incarnation::new(1));
    let step = |keeper: &mut ShareKeeper, members: &Members, kv: &mut FakeKv, now| {
        let view = ShareView {
            members,
            idle: Ppm::WHOLE,
            longest: Duration::from_secs(3),
        };
        let call = keeper.next_call(now, view);
        if let Some(call) = &call {
            keeper.on_reply(now, kv.apply(now, call));
        }
    };
    for n in 1..5 {
        step(&mut keeper, &members, &mut kv, at(n * 100));
    }
    assert_eq!(keeper.usable(at(500), &members), Ppm::WHOLE);
    members.hear(at(500), member(2));
    members.exchanged(at(500), Incarnation::new(2));
    let view = ShareView {
        members: &members,
        idle: Ppm::WHOLE,
        longest: Duration::from_secs(3),
    };
    let Some(KvRequest::Put { .. }) = keeper.next_call(at(600), view) else {
        panic!("the richer of two gives half");
    };
    assert_eq!(
        keeper.usable(at(600), &members),
        Ppm::new(500_000),
        "before any answer"
    );
    keeper.on_reply(at(700), Err(KvError::Lost));
    assert_eq!(
        keeper.usable(at(700), &members),
        Ppm::new(500_000),
        "it may have been written"
    );
}

// A lagging source offers last week's settings as a whole.
#[test]
fn an_older_snapshot_is_not_taken() {
    let mut replica = ConfigReplica::default();
    let snapshot = |n| Config {
        revision: Revision::new(n),
        ..Config::default()
    };
    assert_eq!(replica.learn_snapshot(snapshot(5)), Learned::Advanced);
    assert_eq!(replica.learn_snapshot(snapshot(4)), Learned::Nothing);
    assert_eq!(replica.config().revision, Revision::new(5));
}

/// Writes the record of parts as `change` makes it.
fn rewrite(kv: &mut FakeKv, now: MonoTime, change: impl FnOnce(&mut ShareMap)) {
    let get = KvRequest::Get {
        key: KvKey::shares(),
    };
    let Ok(KvReply::Found { entry: Some(e) }) = kv.apply(now, &get) else {
        panic!("no record")
    };
    let mut map: ShareMap = serde_json::from_str(&e.value).unwrap();
    change(&mut map);
    let value = serde_json::to_string(&map).unwrap();
    let expect = Expect::Version(e.version);
    let put = KvRequest::Put {
        key: KvKey::shares(),
        value,
        expect,
        lease: None,
    };
    kv.apply(now, &put).unwrap();
}

// A silent owner speaks up and is suspected again by others; one that saw only
// the two suspicions takes its part back too early, while the owner uses it.
#[test]
fn each_suspicion_has_its_own_wait() {
    let (me, owner) = (Incarnation::new(1), Incarnation::new(2));
    let mut kv = FakeKv::default();
    let mut members = Members::new(member(1));
    members.beat(MemberState::Serving, Revision::ZERO, 0, 0);
    let mut keeper = ShareKeeper::new(me);
    let run = |keeper: &mut ShareKeeper, kv: &mut FakeKv, from: u64, to: u64| {
        for ms in (from..to).step_by(100) {
            let longest = Duration::from_secs(3);
            let view = ShareView {
                members: &members,
                idle: Ppm::WHOLE,
                longest,
            };
            if let Some(call) = keeper.next_call(at(ms), view) {
                keeper.on_reply(at(ms), kv.apply(at(ms), &call));
            }
        }
        keeper.map().map(|m| m.part(owner))
    };
    run(&mut keeper, &mut kv, 100, 1_000);
    rewrite(&mut kv, at(1_000), |map| {
        map.transfer(me, owner, Ppm::new(400_000));
        map.suspect(owner, true);
    });
    let part = Some(Ppm::new(400_000));
    assert_eq!(
        run(&mut keeper, &mut kv, 1_000, 13_000),
        part,
        "the wait is 13 s"
    );
    rewrite(&mut kv, at(13_000), |map| {
        map.suspect(owner, false);
        map.suspect(owner, true);
    });
    assert_eq!(
        run(&mut keeper, &mut kv, 13_000, 24_000),
        part,
        "it begins anew"
    );
    assert_eq!(run(&mut keeper, &mut kv, 24_000, 32_000), Some(Ppm::ZERO));
}
