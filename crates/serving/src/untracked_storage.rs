//! Room at an upstream that results of others take.

use std::time::Duration;

use jd_types::MonoTime;

/// How long an upstream is left alone until it has told its room. Upstreams answer
/// this at once, also while they work.
const ANSWER_WITHIN: Duration = Duration::from_millis(100);
/// How often an upstream is asked while others' results lie there. A call lasts
/// about as long, so that each finds the room that has come free.
const ASK_EVERY: Duration = Duration::from_millis(250);

/// What is known of the room at one upstream beside the results counted here.
///
/// The load that it answers: all instances are killed and start anew. Results of
/// the dead lie at the upstreams for seconds, nobody can give them up, and the new
/// owner counts none of them: for as long pieces are worked on and then refused for
/// want of room, each call as long as one that is not. An upstream tells its room when asked, so it is asked while anything
/// that is not counted here may lie there.
#[derive(Debug)]
pub(crate) struct UntrackedStorage {
    taken: u64,
    doubt: Doubt,
}

/// Whether results of others may lie there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    /// They may, and nothing has been asked.
    New,
    /// They may, at the latest until `over`; at `ask` the upstream is asked again.
    Watched {
        over: MonoTime,
        ask: MonoTime,
        answered: bool,
    },
    /// None do.
    None,
}

impl UntrackedStorage {
    pub(crate) fn new() -> UntrackedStorage {
        UntrackedStorage {
            taken: 0,
            doubt: Doubt::New,
        }
    }

    /// Bytes there that others' results take, as far as is known.
    pub(crate) fn taken(&self) -> u64 {
        self.taken
    }

    /// Others' results may lie there from now on.
    pub(crate) fn doubt(&mut self) {
        self.doubt = Doubt::New;
    }

    /// True while it is not known whether there is any room.
    pub(crate) fn is_unknown(&self, now: MonoTime) -> bool {
        match self.doubt {
            Doubt::New => true,
            Doubt::Watched { ask, answered, .. } => {
                let asked = ask.before(ASK_EVERY);
                !answered && now.since(asked) < ANSWER_WITHIN
            }
            Doubt::None => false,
        }
    }

    /// True if the upstream is to be asked now, which is taken as done. Its
    /// results last for `keep`.
    pub(crate) fn asks(&mut self, now: MonoTime, keep: Duration) -> bool {
        let ask = now + ASK_EVERY;
        match self.doubt {
            Doubt::New => {
                let over = now + keep;
                self.taken = u64::MAX;
                self.doubt = Doubt::Watched {
                    over,
                    ask,
                    answered: false,
                };
                true
            }
            Doubt::Watched { over, .. } if over <= now => {
                self.taken = 0;
                self.doubt = Doubt::None;
                false
            }
            Doubt::Watched {
                over,
                ask: due,
                answered,
            } if due <= now => {
                self.doubt = Doubt::Watched {
                    over,
                    ask,
                    answered,
                };
                true
            }
            Doubt::Watched { .. } | Doubt::None => false,
        }
    }

    /// The upstream told that so many bytes there are not taken by what is counted
    /// here, nor free. What others left there only gets less, so of two answers the
    /// smaller counts: an older answer still has results that were given up since.
    pub(crate) fn told(&mut self, others: u64) {
        if let Doubt::Watched { over, ask, .. } = self.doubt {
            self.taken = self.taken.min(others);
            self.doubt = match self.taken {
                0 => Doubt::None,
                _ => Doubt::Watched {
                    over,
                    ask,
                    answered: true,
                },
            };
        }
    }

    /// The upstream did not tell. Nothing is known against it.
    pub(crate) fn did_not_tell(&mut self) {
        if self.taken == u64::MAX {
            self.told(0);
        }
    }
}
