//! What callers and upstreams saw.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jd_net::lock;

use crate::Fault;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// It may run more than once.
    Lookup,
    /// It may run once at most.
    Booking,
    /// Its answer is a stream that may go on elsewhere, after a stage.
    Draft,
    /// Its answer is a stream that may not.
    Tale,
    /// The same at each attempt, and it may run more than once.
    Hot,
    /// The same at each attempt, and it ends each upstream that runs it. In which way it
    /// is sent goes by its number.
    Bad(u64),
    /// It only shows which configuration is in force.
    Probe(u64),
}

/// How a caller's attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Answer {
        /// Its status.
        status: u16,
        /// What the upstream vouches with, if it does.
        signature: Option<String>,
        /// As far as it came.
        body: String,
        /// False if the connection broke before the end.
        whole: bool,
    },
    /// The connection broke without an answer.
    Broken,
    /// No connection could be had.
    NotSent,
    /// Nothing came in time.
    Silent,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its identity.
    pub id: String,
    /// What may be done with it.
    pub kind: Kind,
    /// The credential that it showed.
    pub key: &'static str,
    /// The instance that took it, and which start of it.
    pub instance: (usize, u32),
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub over: Duration,
    /// How.
    pub ended: Ended,
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    /// The identity of the attempt.
    pub id: String,
    /// The upstream's identity.
    pub engine: String,
    /// When.
    pub at: Duration,
    /// True if the upstream began to work on it.
    pub ran: bool,
    /// The number of the bad request that it is, if it is one.
    pub bad: Option<u64>,
    /// What was wrong with it as it came, if anything.
    pub fault: Option<&'static str>,
    /// What the answer said of what may be sent next.
    pub notice: Notice,
}

/// What an upstream says in an answer of what may be sent to it next.
#[derive(Debug, Clone, Copy, Default)]
pub struct Notice {
    /// It is about to stop.
    pub leaving: bool,
    /// It wants nothing for so long.
    pub backoff: Option<Duration>,
}

/// A fault and how long it lasted.
#[derive(Debug, Clone)]
pub struct Span {
    /// What was done.
    pub fault: Fault,
    /// Since when.
    pub from: Duration,
    /// Until when.
    pub to: Duration,
    /// What it concerns: the upstream, the credential, or the version.
    pub what: String,
}

/// What callers and upstreams saw, and what was done to the system.
#[derive(Debug)]
pub struct Ledger {
    began: Instant,
    /// Attempts of callers, in the order in which they ended.
    pub attempts: Mutex<Vec<Attempt>>,
    /// What reached upstreams, in order.
    pub runs: Mutex<Vec<Run>>,
    /// What was done.
    pub spans: Mutex<Vec<Span>>,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger {
            began: Instant::now(),
            attempts: Mutex::default(),
            runs: Mutex::default(),
            spans: Mutex::default(),
        }
    }
}

impl Ledger {
    /// The time since the soak began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(crate) fn attempt(&self, attempt: Attempt) {
        lock(&self.attempts).push(attempt);
    }

    pub(crate) fn run(&self, run: Run) {
        lock(&self.runs).push(run);
    }

    pub(crate) fn span(&self, fault: Fault, from: Duration, to: Duration, what: &str) {
        let what = what.into();
        lock(&self.spans).push(Span {
            fault,
            from,
            to,
            what,
        });
    }
}
