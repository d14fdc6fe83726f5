//! An instance's life, from start to stop.

use std::time::Duration;

use jd_types::MemberState;
use jd_types::MonoTime;

/// How long the steps of a stop take at least.
#[derive(Debug, Clone, Copy)]
pub struct DrainTimes {
    /// How long callers keep a locate answer.
    pub lifetime: Duration,
    /// How long a peer may go on naming an instance that has withdrawn.
    pub stale_after: Duration,
}

/// Has no configuration yet.
#[derive(Debug)]
pub struct Starting(());

/// Takes work and is named to callers.
#[derive(Debug)]
pub struct Serving(());

/// No longer named; still takes work from answers already given.
#[derive(Debug)]
pub struct Withdrawn {
    until: MonoTime,
}

/// Takes nothing new and finishes what it has.
#[derive(Debug)]
pub struct Draining(());

/// Has finished everything.
#[derive(Debug)]
pub struct Stopped(());

impl Starting {
    /// A configuration is known: work can be taken.
    pub fn serve(self) -> Serving {
        Serving(())
    }

    /// Nobody was ever told of this instance, so there is nothing to wait for.
    pub fn stop(self) -> Stopped {
        Stopped(())
    }
}

impl Serving {
    /// Begins the stop.
    ///
    /// Guards against the caller that holds an answer naming this instance and
    /// finds it closed. Peers name it at most until they have not heard from it
    /// for `stale_after`, and callers keep an answer for its lifetime; until
    /// both are over, work is still taken.
    pub fn withdraw(self, now: MonoTime, times: DrainTimes) -> Withdrawn {
        Withdrawn {
            until: now + times.lifetime + times.stale_after,
        }
    }
}

impl Withdrawn {
    /// Moves on once the last answer naming this instance has expired.
    pub fn drain(self, now: MonoTime) -> Result<Draining, Withdrawn> {
        match now >= self.until {
            true => Ok(Draining(())),
            false => Err(self),
        }
    }

    /// Moves on at once, as a second signal asks. Callers with an answer then
    /// find it closed and use their next address; nothing that runs is cut.
    pub fn hurry(self) -> Draining {
        Draining(())
    }
}

impl Draining {
    /// Moves on once nothing is in flight. There is no timer here: the longest
    /// deadline bounds it, and a shorter timer would cut a request off.
    pub fn finish(self, in_flight: u32) -> Result<Stopped, Draining> {
        match in_flight {
            0 => Ok(Stopped(())),
            _ => Err(self),
        }
    }
}

/// Where an instance is in its life, for those who only look.
#[derive(Debug)]
pub enum Lifecycle {
    /// See [`Starting`].
    Starting(Starting),
    /// See [`Serving`].
    Serving(Serving),
    /// See [`Withdrawn`].
    Withdrawn(Withdrawn),
    /// See [`Draining`].
    Draining(Draining),
    /// See [`Stopped`].
    Stopped(Stopped),
}

impl Lifecycle {
    /// The start of a life.
    pub fn begin() -> Lifecycle {
        Lifecycle::Starting(Starting(()))
    }

    /// The state as peers see it.
    pub fn state(&self) -> MemberState {
        match self {
            Lifecycle::Starting(_) => MemberState::Starting,
            Lifecycle::Serving(_) => MemberState::Serving,
            Lifecycle::Withdrawn(_) => MemberState::Withdrawn,
            Lifecycle::Draining(_) => MemberState::Draining,
            Lifecycle::Stopped(_) => MemberState::Stopped,
        }
    }

    /// True if new requests are taken.
    pub fn takes_work(&self) -> bool {
        matches!(self, Lifecycle::Serving(_) | Lifecycle::Withdrawn(_))
    }

    /// A configuration is known.
    pub fn configured(self) -> Lifecycle {
        match self {
            Lifecycle::Starting(s) => Lifecycle::Serving(s.serve()),
            other => other,
        }
    }

    /// Somebody asked to stop. Asking again hurries.
    pub fn stop(self, now: MonoTime, times: DrainTimes) -> Lifecycle {
        match self {
            Lifecycle::Starting(s) => Lifecycle::Stopped(s.stop()),
            Lifecycle::Serving(s) => Lifecycle::Withdrawn(s.withdraw(now, times)),
            Lifecycle::Withdrawn(w) => Lifecycle::Draining(w.hurry()),
            other => other,
        }
    }

    /// Moves on as far as time and work in flight allow.
    pub fn tick(self, now: MonoTime, in_flight: u32) -> Lifecycle {
        match self {
            Lifecycle::Withdrawn(w) => match w.drain(now) {
                Ok(d) => Lifecycle::Draining(d),
                Err(w) => Lifecycle::Withdrawn(w),
            },
            Lifecycle::Draining(d) => match d.finish(in_flight) {
                Ok(s) => Lifecycle::Stopped(s),
                Err(d) => Lifecycle::Draining(d),
            },
            other => other,
        }
    }
}
