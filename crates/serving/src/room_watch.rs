//! Room at an upstream that results of others take.

use std::time::Duration;

use jd_types::MonoTime;

/// How long an upstream is left alone until it has told its room. Upstreams answer
/// this at once, also while they work.
const ANSWER_WITHIN: Duration = Duration::from_millis(100);
/// How often an upstream is asked while others' results lie there. A call lasts
/// about as long, so that each finds the room that has come free.
const ASK_EVERY: Duration = Duration::from_millis(250);

/// Bytes of others' results at one upstream, between these two.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OthersRoom {
    pub(crate) least: u64,
    pub(crate) most: u64,
}

/// What is known of the room at one upstream beside the results counted here.
///
/// The load that it answers: all instances are killed and start anew. Results of
/// the dead lie at the upstreams for seconds, nobody can give them up, and the new
/// owner counts none of them: for as long pieces are worked on and then refused for
/// want of room, each call as long as one that is not. An upstream tells its room when
/// asked, so it is asked while anything that is not counted here may lie there. It
/// tells it in units that can be larger than all its room. Then only a refusal tells,
/// and tells exactly: all that is not counted here is taken by others' results, which
/// run out evenly from then on.
#[derive(Debug)]
pub(crate) struct RoomWatch {
    taken: u64,
    refusal: Option<Refusal>,
    doubt: Doubt,
}

/// What a refusal told: others took so much.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Refusal {
    at: MonoTime,
    others: u64,
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

impl RoomWatch {
    pub(crate) fn new() -> RoomWatch {
        RoomWatch {
            taken: 0,
            refusal: None,
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
        self.refusal = None;
    }

    /// A piece was refused there for want of room while others' results took so much.
    /// Such results last for `keep`.
    pub(crate) fn refused(&mut self, now: MonoTime, others: u64, keep: Duration) {
        let over = match self.doubt {
            Doubt::Watched { over, .. } if now < over => over,
            Doubt::Watched { .. } | Doubt::New | Doubt::None => now + keep,
        };
        self.taken = others;
        self.refusal = Some(Refusal { at: now, others });
        self.doubt = Doubt::Watched {
            over,
            ask: now + ASK_EVERY,
            answered: true,
        };
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
                self.refusal = None;
                self.doubt = Doubt::None;
                false
            }
            Doubt::Watched {
                over,
                ask: due,
                answered,
            } => {
                self.run_out(now, over);
                let asks = due <= now;
                let ask = if asks { ask } else { due };
                self.doubt = Doubt::Watched {
                    over,
                    ask,
                    answered,
                };
                asks
            }
            Doubt::None => false,
        }
    }

    /// What a refusal told of is less by now.
    fn run_out(&mut self, now: MonoTime, over: MonoTime) {
        if let Some(refusal) = self.refusal {
            let all = over.since(refusal.at).as_secs_f64();
            let left = over.since(now).as_secs_f64() / all.max(f64::MIN_POSITIVE);
            self.taken = (refusal.others as f64 * left) as u64;
        }
    }

    /// The upstream told what there is not taken by what is counted here, nor free.
    /// What others left there only gets less, so of two answers the smaller counts: an
    /// older answer still has results that were given up since. Within what an answer
    /// leaves open the least is taken for true until a refusal tells.
    pub(crate) fn told(&mut self, now: MonoTime, others: OthersRoom) {
        let Doubt::Watched { over, ask, .. } = self.doubt else {
            return;
        };
        match &mut self.refusal {
            Some(refusal) if self.taken > others.most => {
                self.taken = others.most;
                *refusal = Refusal {
                    at: now,
                    others: others.most,
                };
            }
            Some(_) => {}
            None => self.taken = self.taken.min(others.least),
        }
        // An answer that is the same with and without others' results tells nothing,
        // and nor would the next.
        let tells = others.least > 0;
        self.doubt = match self.taken {
            0 => Doubt::None,
            _ => Doubt::Watched {
                over,
                ask: if tells { ask } else { over },
                answered: true,
            },
        };
    }

    /// The upstream did not tell. Nothing is known against it.
    pub(crate) fn did_not_tell(&mut self, now: MonoTime) {
        if self.taken == u64::MAX {
            self.told(now, OthersRoom { least: 0, most: 0 });
        }
    }
}
