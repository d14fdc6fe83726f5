//! Finding an entry.

use std::time::Duration;

use fastrand::Rng;
use jd_coord::LocatePolicy;
use jd_coord::Members;
use jd_types::MemberState;
use jd_types::MonoTime;
use jd_types::Revision;

use crate::slopes::Meter;
use crate::slopes::Slope;
use crate::slopes::heartbeat::member;

pub(super) fn measure(meter: &Meter<'_>) -> Vec<Slope> {
    let policy = LocatePolicy::with_lifetime(Duration::from_secs(5));
    let mut rng = Rng::with_seed(1);
    let build = |count: usize| {
        let mut members = Members::new(member(0));
        members.beat(MemberState::Serving, Revision::ZERO, 3, 1);
        for i in 1..count {
            members.hear(MonoTime::ZERO, member(i));
        }
        members
    };
    let event = move |members: &mut Members, _| {
        let hall = members.me().hall.clone();
        policy.answer(MonoTime::from_millis(1), members, Some(&hall), &mut rng)
    };
    vec![meter.time(
        "locate: one answer",
        "members",
        &[9, 37, 300, 1_100],
        build,
        event,
    )]
}
