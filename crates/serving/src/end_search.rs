//! Finds out whether an upstream has ended, after runs at it that are not known to be sound.

use std::time::Duration;

use jd_types::MonoTime;

/// Interval between looks at the list of upstreams.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an upstream is looked at that has answered since, has left, or whose answers have no mark
/// of their end. A process that is restarted at once is listed again within a second.
const SHORT_SEARCH: Duration = Duration::from_secs(1);
/// The same for one at which no run broke. Its address may go on accepting connections for a second.
const HIDDEN_SEARCH: Duration = Duration::from_secs(2);
/// The same for one that has not answered since: an entry outlives its upstream by a lease of
/// three heartbeats of 1.2 s; this is twice that.
const LONG_SEARCH: Duration = Duration::from_secs(8);
/// The pause after the first connection; it doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Connections in a row that were closed at once by which an upstream has ended. One may have been
/// closed by an upstream that had no room for it.
const CLOSED_BY_ENDED: u32 = 2;

/// What the list of upstreams says of a start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedAs {
    /// The same start is listed.
    Same,
    /// A later start is listed, or another upstream of the service at its address.
    Replaced,
    /// It is leaving.
    Leaving,
    /// It is not listed.
    Missing,
}

/// What became of a new connection to the address of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionSign {
    /// It was refused, and others were opened elsewhere.
    Refused,
    /// It was closed at once, and others stayed open elsewhere.
    Closed,
    /// It was refused, and so was each one that was opened elsewhere: the upstreams have ended, or this
    /// instance has no path to them.
    RefusedEverywhere,
    /// It stayed open.
    Open,
    /// Nothing: there was no reply.
    Unknown,
}

/// The runs for which it is looked whether an upstream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchSubject {
    /// Some whose connections broke.
    Broken,
    /// Some whose answers had no mark of their end, which is what its upstreams do at each answer.
    Unmarked,
    /// Some whose callers left, or whose answers were whole, after which no connection was open.
    Hidden,
}

/// What has become of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFate {
    /// Its process has ended.
    Ended,
    /// It is running, as far as is known.
    Running,
    /// It has left, and may still finish its requests.
    Left,
}

impl UpstreamFate {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            UpstreamFate::Ended => "ended",
            UpstreamFate::Running => "there",
            UpstreamFate::Left => "unlisted",
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndSearchStep {
    /// Open a connection.
    Connect,
    /// Look again after this time.
    Wait(Duration),
    /// The search is over.
    Over(UpstreamFate),
}

/// The search for the end of an upstream after runs that are not known to be sound.
///
/// An end does not show at one moment: the address may accept connections after it, while a core
/// dump is written or a supervisor holds the socket, and the entry stays until its lease expires.
#[derive(Debug)]
pub struct EndSearch {
    runs_ended_at: MonoTime,
    connections: u32,
    next_connection: MonoTime,
    closed: u32,
    has_left: bool,
    fate: Option<UpstreamFate>,
}

impl EndSearch {
    /// A search after runs that ended at this time.
    pub fn new(runs_ended_at: MonoTime) -> EndSearch {
        EndSearch {
            runs_ended_at,
            connections: 0,
            next_connection: runs_ended_at,
            closed: 0,
            has_left: false,
            fate: None,
        }
    }

    /// The next step. `has_answered` is true if the upstream has answered a run that was sent after
    /// these had ended.
    pub fn step(
        &mut self,
        now: MonoTime,
        listed: ListedAs,
        has_answered: bool,
        subject: SearchSubject,
    ) -> EndSearchStep {
        self.has_left |= listed == ListedAs::Leaving;
        let searched = now.since(self.runs_ended_at);
        let is_silent = !has_answered && !self.has_left;
        let limit = match subject {
            SearchSubject::Broken if is_silent => LONG_SEARCH,
            SearchSubject::Hidden if is_silent => HIDDEN_SEARCH,
            _ => SHORT_SEARCH,
        };
        let is_broken = subject == SearchSubject::Broken;
        let fate = match listed {
            _ if self.fate.is_some() => self.fate,
            ListedAs::Replaced => Some(UpstreamFate::Ended),
            // The lease of its entry has expired. So it does at a loss of power, at which no
            // connection breaks and callers leave.
            ListedAs::Missing if is_silent && is_broken && searched >= SHORT_SEARCH => {
                Some(UpstreamFate::Ended)
            }
            ListedAs::Same if searched >= limit => Some(UpstreamFate::Running),
            ListedAs::Missing | ListedAs::Leaving if searched >= limit => Some(UpstreamFate::Left),
            _ => None,
        };
        match fate {
            Some(fate) => EndSearchStep::Over(fate),
            None if now < self.next_connection => EndSearchStep::Wait(LOOK_INTERVAL),
            None if has_answered && self.connections > 0 => EndSearchStep::Wait(LOOK_INTERVAL),
            None => EndSearchStep::Connect,
        }
    }

    /// Records what became of a connection.
    pub fn record_connection(&mut self, now: MonoTime, sign: ConnectionSign) {
        self.next_connection = now + FIRST_PAUSE * (1 << self.connections.min(5));
        self.connections += 1;
        self.closed = match sign {
            ConnectionSign::Closed => self.closed + 1,
            _ => 0,
        };
        if sign == ConnectionSign::Refused || self.closed >= CLOSED_BY_ENDED {
            self.fate = Some(UpstreamFate::Ended);
        }
    }
}
