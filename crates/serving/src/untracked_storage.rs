//! Storage at an upstream that results of other schedulers occupy.

use std::time::Duration;

use jd_types::MonoTime;

/// How long no calls are sent to an upstream that has been asked for its free storage and has
/// not answered. Upstreams answer this query at once, even while they work.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// How often an upstream is asked while untracked results may be stored there. A call takes
/// about as long, so each call can use the storage that has been freed since the last one.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// The storage at one upstream that is occupied by results which this scheduler does not track.
///
/// After all instances are killed and restarted, results of the dead instances stay at the
/// upstreams for seconds. No instance can release them, and the new owner tracks none of them. For
/// as long, upstreams would process pieces and then reject the results for lack of storage, at the
/// full cost of a call. An upstream reports its free storage on request, so it is polled while
/// untracked results may be stored there.
#[derive(Debug)]
pub(crate) struct UntrackedStorage {
    bytes: u64,
    state: PollState,
}

/// Whether untracked results may be stored at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollState {
    /// There may be some, and the upstream has not been asked.
    Unknown,
    /// There may be some until `expires_at`; the upstream is asked again at `next_query`.
    Polling {
        expires_at: MonoTime,
        next_query: MonoTime,
        answered: bool,
    },
    /// There are none.
    None,
}

impl UntrackedStorage {
    pub(crate) fn new() -> UntrackedStorage {
        UntrackedStorage {
            bytes: 0,
            state: PollState::Unknown,
        }
    }

    /// Bytes that untracked results occupy, as far as is known.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Records that untracked results may be stored there from now on.
    pub(crate) fn mark_unknown(&mut self) {
        self.state = PollState::Unknown;
    }

    /// True while it is not known whether there is any free storage.
    pub(crate) fn is_unknown(&self, now: MonoTime) -> bool {
        match self.state {
            PollState::Unknown => true,
            PollState::Polling {
                next_query,
                answered,
                ..
            } => {
                let asked = next_query.before(QUERY_INTERVAL);
                !answered && now.since(asked) < QUERY_TIMEOUT
            }
            PollState::None => false,
        }
    }

    /// True if the upstream has to be asked now; the query then counts as sent. The upstream keeps
    /// results for `result_ttl`.
    pub(crate) fn take_due_query(&mut self, now: MonoTime, result_ttl: Duration) -> bool {
        let next_query = now + QUERY_INTERVAL;
        match self.state {
            PollState::Unknown => {
                let expires_at = now + result_ttl;
                self.bytes = u64::MAX;
                self.state = PollState::Polling {
                    expires_at,
                    next_query,
                    answered: false,
                };
                true
            }
            PollState::Polling { expires_at, .. } if expires_at <= now => {
                self.bytes = 0;
                self.state = PollState::None;
                false
            }
            PollState::Polling {
                expires_at,
                next_query: due,
                answered,
            } if due <= now => {
                self.state = PollState::Polling {
                    expires_at,
                    next_query,
                    answered,
                };
                true
            }
            PollState::Polling { .. } | PollState::None => false,
        }
    }

    /// Records how many bytes at the upstream are neither free nor tracked here. Untracked
    /// results only become fewer, so the smaller of two reports counts: an older report may
    /// include results that have been released since.
    pub(crate) fn record_bytes(&mut self, untracked: u64) {
        if let PollState::Polling {
            expires_at,
            next_query,
            ..
        } = self.state
        {
            self.bytes = self.bytes.min(untracked);
            self.state = match self.bytes {
                0 => PollState::None,
                _ => PollState::Polling {
                    expires_at,
                    next_query,
                    answered: true,
                },
            };
        }
    }

    /// Records that the upstream did not answer. Unless an earlier answer said otherwise, all
    /// of its storage then counts as free.
    pub(crate) fn record_no_answer(&mut self) {
        if self.bytes == u64::MAX {
            self.record_bytes(0);
        }
    }
}
