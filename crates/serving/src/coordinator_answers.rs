//! Which instance decides on quarantines, by what those before it say of themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jd_types::MonoTime;

/// Interval between questions to the same coordinator.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// How long an answer is valid: two questions, the second of which may have been lost.
const ANSWER_LIFETIME: Duration = Duration::from_millis(1_000);

/// What a coordinator says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorAnswer {
    /// It decides.
    Decides,
    /// It decides on whole requests alone, since it is of an earlier build.
    DecidesOnRequests,
    /// It has lost the store, has no proof of what is in force, or is leaving.
    CannotDecide,
    /// It did not answer.
    Missing,
}

/// What an instance decides on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecidesOn {
    /// Nothing: another instance decides.
    Nothing,
    /// Parts of prompts.
    Parts,
    /// Requests and parts of prompts.
    Everything,
}

impl DecidesOn {
    /// True if it decides on a part of prompts, or else on a request.
    pub fn includes(self, is_part: bool) -> bool {
        match self {
            DecidesOn::Nothing => false,
            DecidesOn::Parts => is_part,
            DecidesOn::Everything => true,
        }
    }
}

/// What the coordinators of the quarantine last said of themselves.
///
/// The first one in the order that can decide does. An order of the instances that are present does
/// not suffice: one that has lost the store stays present, and nobody decided in its place.
#[derive(Debug, Default)]
pub struct CoordinatorAnswers {
    answers: HashMap<SocketAddr, (MonoTime, CoordinatorAnswer)>,
}

impl CoordinatorAnswers {
    /// Records an answer.
    pub fn record(&mut self, now: MonoTime, coordinator: SocketAddr, answer: CoordinatorAnswer) {
        self.answers
            .retain(|_, (at, _)| now.since(*at) < ANSWER_LIFETIME);
        self.answers.insert(coordinator, (now, answer));
    }

    /// The last answer of a coordinator, if it is valid.
    pub fn last(&self, now: MonoTime, coordinator: SocketAddr) -> Option<CoordinatorAnswer> {
        let answer = self.answers.get(&coordinator);
        let valid = answer.filter(|(at, _)| now.since(*at) < ANSWER_LIFETIME);
        valid.map(|(_, answer)| *answer)
    }

    /// True if a coordinator is not known to be unable to decide.
    pub fn may_decide(&self, now: MonoTime, coordinator: SocketAddr) -> bool {
        !matches!(
            self.last(now, coordinator),
            Some(CoordinatorAnswer::CannotDecide | CoordinatorAnswer::Missing)
        )
    }

    /// What the instance after these coordinators decides on. One that has not been asked is
    /// taken to decide.
    pub fn decides_on(&self, now: MonoTime, earlier: &[SocketAddr]) -> DecidesOn {
        let mut decides = DecidesOn::Everything;
        for coordinator in earlier {
            match self.last(now, *coordinator) {
                Some(CoordinatorAnswer::CannotDecide | CoordinatorAnswer::Missing) => {}
                Some(CoordinatorAnswer::DecidesOnRequests) => decides = DecidesOn::Parts,
                Some(CoordinatorAnswer::Decides) | None => return DecidesOn::Nothing,
            }
        }
        decides
    }

    /// The coordinators to ask now: the first one that decides if one is known, or else all.
    pub fn to_ask(&self, now: MonoTime, earlier: &[SocketAddr]) -> Vec<SocketAddr> {
        let decides = |c: &&SocketAddr| self.last(now, **c) == Some(CoordinatorAnswer::Decides);
        let asked = match earlier.iter().find(decides) {
            Some(first) => std::slice::from_ref(first),
            None => earlier,
        };
        let is_due = |c: &&SocketAddr| {
            let answer = self.answers.get(*c);
            answer.is_none_or(|(at, _)| now.since(*at) >= ASK_INTERVAL)
        };
        asked.iter().filter(is_due).copied().collect()
    }
}
