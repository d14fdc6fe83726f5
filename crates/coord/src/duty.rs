//! A duty that one instance at a time carries out.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_backing::Expect;
use jd_backing::KvError;
use jd_backing::KvKey;
use jd_backing::KvReply;
use jd_backing::KvRequest;
use jd_backing::LeaseId;
use jd_backing::Version;
use jd_types::Incarnation;
use jd_types::MonoTime;

/// The part of a lease after which its holder stops by its own clock.
const SAFE_PARTS: u32 = 2;
/// Out of that many parts.
const LEASE_PARTS: u32 = 3;

/// Grows with every new holder of a duty. Whoever takes orders and has seen a
/// higher token refuses a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// The contest for one duty, from this instance's side.
///
/// Guards against the holder that was paused: its lease lapses, another holds
/// the duty, the first wakes and acts as if nothing had happened. The holder
/// therefore counts its term from before it asked, stops after two thirds of
/// it, and is asked by [`Duty::may_act`] for every single act. A pause between
/// that question and the act itself is what the fencing token is for.
///
/// # Examples
///
/// ```
/// use jd_coord::Duty;
/// use jd_backing::KvReply;
/// use jd_types::Incarnation;
/// use jd_types::MonoTime;
/// use std::time::Duration;
///
/// let mut duty = Duty::new("models", Incarnation::new(7), Duration::from_secs(6));
/// let now = MonoTime::from_millis(1);
/// let look = duty.next_call(now, true);
/// assert!(look.is_some());
/// duty.on_reply(now, Ok(KvReply::Found { entry: None }));
/// assert_eq!(duty.may_act(now), None, "vacant is not yet held");
/// ```
#[derive(Debug)]
pub struct Duty {
    name: CompactString,
    me: Incarnation,
    term: Duration,
    state: State,
    asked: Option<MonoTime>,
    not_before: MonoTime,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Idle,
    Vacant,
    Taking {
        lease: LeaseId,
        until: MonoTime,
    },
    Held {
        lease: LeaseId,
        token: FencingToken,
        until: MonoTime,
    },
    Leaving {
        token: FencingToken,
    },
}

impl Duty {
    /// A duty that is not held yet; a lease on it lasts `term`.
    pub fn new(name: &str, me: Incarnation, term: Duration) -> Duty {
        let name = CompactString::from(name);
        Duty {
            name,
            me,
            term,
            state: State::Idle,
            asked: None,
            not_before: MonoTime::ZERO,
        }
    }

    /// The duty's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The token to act under now; none if this instance may not act.
    pub fn may_act(&self, now: MonoTime) -> Option<FencingToken> {
        match self.state {
            State::Held { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// The next call to make, if it is time; report its result before asking
    /// again. A duty that is not held is only sought if `contend`.
    pub fn next_call(&mut self, now: MonoTime, contend: bool) -> Option<KvRequest> {
        if self.asked.is_some() || now < self.not_before {
            return None;
        }
        let req = match self.state {
            State::Idle | State::Vacant if !contend => return None,
            // A look costs a read. A lease that is granted only to find the
            // duty taken costs a write, and most who contend find it taken.
            State::Idle => KvRequest::Get {
                key: KvKey::duty(&self.name),
            },
            State::Vacant => KvRequest::grant(self.term),
            State::Taking { lease, .. } => KvRequest::Put {
                key: KvKey::duty(&self.name),
                value: self.value(lease).into(),
                expect: Expect::Absent,
                lease: Some(lease),
            },
            State::Held { lease, .. } => KvRequest::Keep { lease },
            State::Leaving { token } => KvRequest::Delete {
                key: KvKey::duty(&self.name),
                version: Version(token.0),
            },
        };
        self.asked = Some(now);
        Some(req)
    }

    /// Gives the duty up, so that another need not wait for the lease to lapse.
    pub fn leave(&mut self) {
        self.state = match self.state {
            State::Held { token, .. } => State::Leaving { token },
            _ => State::Idle,
        };
        self.not_before = MonoTime::ZERO;
    }

    /// The result of the last call.
    pub fn on_reply(&mut self, now: MonoTime, reply: Result<KvReply, KvError>) {
        let asked = self.asked.take().unwrap_or(now);
        let pause = self.term / (2 * LEASE_PARTS);
        self.not_before = now + pause;
        let until = asked + self.term * SAFE_PARTS / LEASE_PARTS;
        self.state = match (self.state, reply) {
            (State::Idle, Ok(KvReply::Found { entry: None })) => {
                self.not_before = now;
                State::Vacant
            }
            (State::Idle, Ok(KvReply::Found { entry: Some(_) })) => {
                self.not_before = now + self.term / LEASE_PARTS;
                State::Idle
            }
            (State::Vacant, Ok(KvReply::Lease { lease })) => {
                self.not_before = now;
                State::Taking { lease, until }
            }
            (State::Taking { lease, until }, Ok(KvReply::Written { version })) => State::Held {
                lease,
                token: FencingToken(version.0),
                until,
            },
            // The answer to an earlier try was lost and the write was not.
            (State::Taking { lease, until }, Ok(KvReply::Conflict { current: Some(e) }))
                if e.value == self.value(lease) =>
            {
                State::Held {
                    lease,
                    token: FencingToken(e.version.0),
                    until,
                }
            }
            (State::Taking { lease, until }, Err(KvError::Lost)) if now < until => {
                State::Taking { lease, until }
            }
            (State::Held { lease, token, .. }, Ok(KvReply::Lease { .. })) => State::Held {
                lease,
                token,
                until,
            },
            // Not kept this time: the old end stands, and the next try may keep it.
            (held @ State::Held { until, .. }, Err(_)) if now < until => held,
            _ => State::Idle,
        };
    }

    fn value(&self, lease: LeaseId) -> CompactString {
        format_compact!("{}/{}", self.me, lease.0)
    }
}
