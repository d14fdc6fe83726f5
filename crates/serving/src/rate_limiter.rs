//! How often a limited upstream may be sent a request.

use std::time::Duration;

use jd_types::MonoTime;

use crate::RequestRate;

/// What is saved up beside one whole request while nobody asks, as a span of the rate.
const SAVED: Duration = Duration::from_millis(250);
/// The rate at which an upstream is asked that takes less, or nothing: without any
/// answer nobody would see that it takes more again.
const LEAST_PER_S: f64 = 0.2;
/// How long it counts that a more urgent request was turned away.
const URGENT_FOR: Duration = Duration::from_secs(1);
/// Permits that go to the more urgent in a row before a less urgent one has its turn.
const URGENT_IN_A_ROW: u32 = 3;
/// The furthest turn that is given.
const LAST_TURN: Duration = Duration::from_secs(10);

/// Which part of an upstream's limit an instance gives out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterShare {
    /// All of it: the instance is the one that all ask first.
    Whole,
    /// A quarter: another may give out permits at the same time, unheard from here.
    Quarter,
}

/// Gives out permits to send to one upstream that names a limit, to all instances.
///
/// The load that it answers: an upstream in need is asked by hundreds of instances, of
/// which each by itself sends less than the limit. Parts for each would be less than a
/// request a second and lie unused where no caller comes, so that one instance counts
/// for all. It starts with nothing saved up: who gave out permits before may just have
/// given the last.
///
/// Whom there is no permit for is told when its turn comes, each a later one, so that
/// those who come back do not come at once.
#[derive(Debug)]
pub struct RateLimiter {
    saved: f64,
    counted: MonoTime,
    last_turn: MonoTime,
    turned_away: Option<(u8, MonoTime)>,
    urgent_in_a_row: u32,
}

impl RateLimiter {
    /// One that gives out its first permit once the rate allows it.
    pub fn new(now: MonoTime) -> RateLimiter {
        RateLimiter {
            saved: 0.0,
            counted: now,
            last_turn: now,
            turned_away: None,
            urgent_in_a_row: 0,
        }
    }

    /// A permit to send one request now, or how long until a turn comes. `rate` is what
    /// the upstream takes from all instances, and 0 the most urgent `priority`.
    pub fn acquire(
        &mut self,
        now: MonoTime,
        rate: RequestRate,
        part: LimiterShare,
        priority: u8,
    ) -> Result<(), Duration> {
        let per_s = match part {
            LimiterShare::Whole => rate.per_s(),
            LimiterShare::Quarter => rate.per_s() / 4.0,
        };
        let per_s = per_s.max(LEAST_PER_S);
        let gained = now.since(self.counted).as_secs_f64() * per_s;
        self.saved = (self.saved + gained).min(1.0 + per_s * SAVED.as_secs_f64());
        self.counted = now;
        if self.saved < 1.0 || self.yields(now, priority) {
            self.turn_away(now, priority);
            return Err(self.next_turn(now, per_s));
        }
        self.saved -= 1.0;
        self.granted(priority);
        Ok(())
    }

    /// True if a request leaves the permit to a more urgent one that was turned away
    /// a moment ago and comes again.
    fn yields(&self, now: MonoTime, priority: u8) -> bool {
        let urgent = |(p, at): (u8, MonoTime)| p < priority && now.since(at) < URGENT_FOR;
        self.turned_away.is_some_and(urgent) && self.urgent_in_a_row < URGENT_IN_A_ROW
    }

    fn turn_away(&mut self, now: MonoTime, priority: u8) {
        let counts = |(p, at): (u8, MonoTime)| p < priority && now.since(at) < URGENT_FOR;
        if !self.turned_away.is_some_and(counts) {
            self.turned_away = Some((priority, now));
        }
    }

    fn granted(&mut self, priority: u8) {
        match self.turned_away {
            Some((p, _)) if p < priority => self.urgent_in_a_row = 0,
            Some((p, _)) if p == priority => {
                self.turned_away = None;
                self.urgent_in_a_row = self.urgent_in_a_row.saturating_add(1);
            }
            _ => {}
        }
    }

    fn next_turn(&mut self, now: MonoTime, per_s: f64) -> Duration {
        let one = Duration::from_secs_f64((1.0 / per_s).min(LAST_TURN.as_secs_f64()));
        let missing = (1.0 - self.saved).max(0.0);
        let first = now + one.mul_f64(missing);
        let turn = first.max(self.last_turn + one);
        self.last_turn = turn.min(now + LAST_TURN);
        self.last_turn.since(now)
    }
}
