//! From whom an instance of a large fleet hears everything when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use jd_types::Incarnation;

use crate::InstanceEntry;
use crate::Shard;
use crate::Strength;
use crate::rank_owners;

/// Instances in a sample of one in sixteen that tell of a large fleet. In a smaller one
/// each may read the list of all.
const LARGE_SAMPLE: usize = 12;
/// Those that are asked in turn. One may be gone, and both share the others' questions.
const ASKED: usize = 2;
/// How long a weak instance leaves reading to stronger ones: longer than a strong one takes
/// to read all.
const WEAK_YIELD: Duration = Duration::from_millis(1_500);
/// How many of a sample may be asked, one after the other while they are silent.
const MOST: usize = 8;

/// Whom an instance asks for everything when it starts.
///
/// The load that it answers: all instances of a fleet start at once and none knows
/// anything. All that have the same sample ask the same two, the strongest in it, and
/// these read the store because they are asked. So a few dozen do, whatever the size of
/// the fleet, and each tells one sample's share of the others.
#[derive(Debug)]
pub struct BootstrapSources {
    left: Vec<SocketAddr>,
    turn: usize,
    strongest: Strength,
}

impl BootstrapSources {
    /// The sources in a sample, for the instance `me`; none if it is of a small fleet.
    pub fn from_sample(me: Incarnation, sample: &[InstanceEntry]) -> Option<BootstrapSources> {
        if sample.len() < LARGE_SAMPLE {
            return None;
        }
        let everywhere = Shard {
            zone: None,
            part: 0,
            parts: 1,
        };
        // One that has started again may be in it twice.
        let mut left: Vec<SocketAddr> = Vec::with_capacity(MOST);
        for entry in rank_owners(&everywhere, sample.iter(), 2 * MOST) {
            if left.len() < MOST && !left.contains(&entry.peer_address) {
                left.push(entry.peer_address);
            }
        }
        Some(BootstrapSources {
            left,
            strongest: sample.iter().map(|e| e.strength).max()?,
            turn: me.get() as usize,
        })
    }

    /// Whom to ask next; none if all were silent.
    pub fn next_source(&mut self) -> Option<SocketAddr> {
        let asked = self.left.len().min(ASKED);
        let n = self.turn.checked_rem(asked)?;
        self.turn = self.turn.wrapping_add(1);
        self.left.get(n).copied()
    }

    /// How long an instance of this strength that others ask goes on asking itself before
    /// it reads the store for them.
    ///
    /// Samples that are read while a fleet starts differ, and by many of them a weak
    /// instance is among the first. The strong ones have it all by then.
    pub fn store_read_delay(&self, strength: Strength) -> Duration {
        match strength >= self.strongest {
            true => Duration::ZERO,
            false => WEAK_YIELD,
        }
    }

    /// This one did not answer.
    pub fn remove_unresponsive(&mut self, source: SocketAddr) {
        self.left.retain(|s| *s != source);
    }
}
