//! What came of a load.

use std::fmt;
use std::time::Duration;

use crate::stages::kind::HELD_PART;
use crate::stages::kind::KINDS;
use crate::stages::kind::LATE_PART;
use crate::stages::kind::REFUSED_PART;

/// How requests of one kind ended.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    given_up: u32,
}

/// What came of a load.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// Of each kind, outside of the burst and in it.
    counts: [[Counts; 2]; KINDS.len()],
    calls: u32,
    pieces: usize,
    busy: Duration,
}

impl Report {
    pub(super) fn asked(&mut self, kind: usize, in_burst: bool) {
        self.of(kind, in_burst).asked += 1;
    }

    pub(super) fn ended(&mut self, kind: usize, in_burst: bool, in_time: bool) {
        let counts = self.of(kind, in_burst);
        match in_time {
            true => counts.in_time += 1,
            false => counts.late += 1,
        }
    }

    pub(super) fn refused(&mut self, kind: usize, in_burst: bool) {
        self.of(kind, in_burst).refused += 1;
    }

    pub(super) fn given_up(&mut self, kind: usize, in_burst: bool) {
        self.of(kind, in_burst).given_up += 1;
    }

    pub(super) fn call(&mut self, pieces: usize, takes: Duration) {
        self.calls += 1;
        self.pieces += pieces;
        self.busy += takes;
    }

    fn of(&mut self, kind: usize, in_burst: bool) -> &mut Counts {
        &mut self.counts[kind][usize::from(in_burst)]
    }

    /// The part of what the requests were worth that was earned, in the burst or
    /// outside of it, less what it costs callers to be held or refused in vain.
    pub fn earned(&self, in_burst: bool) -> f64 {
        let of = |counts: &[Counts; 2]| counts[usize::from(in_burst)];
        let kinds = || KINDS.iter().zip(&self.counts);
        let owed: f64 = kinds().map(|(k, c)| k.worth * f64::from(of(c).asked)).sum();
        let earned = kinds().map(|(k, c)| {
            let c = of(c);
            let paid = f64::from(c.in_time) + LATE_PART * f64::from(c.late);
            let lost = HELD_PART * f64::from(c.given_up) + REFUSED_PART * f64::from(c.refused);
            k.worth * (paid - lost)
        });
        earned.sum::<f64>() / owed.max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "earned {:.3} {:.3}",
            self.earned(false),
            self.earned(true)
        )?;
        for (kind, counts) in KINDS.iter().zip(&self.counts) {
            let [calm, burst] = counts.map(|c| {
                let part = |n: u32| f64::from(n) / f64::from(c.asked.max(1));
                format!(
                    "{:.2}/{:.2}/{:.2}/{:.2}",
                    part(c.in_time),
                    part(c.late),
                    part(c.refused),
                    part(c.given_up)
                )
            });
            write!(f, "  {} {calm} {burst}", kind.name)?;
        }
        let each = self.pieces as f64 / f64::from(self.calls.max(1));
        write!(f, "  {} calls of {each:.1}", self.calls)
    }
}
