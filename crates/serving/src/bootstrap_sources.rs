//! Selects the instances from which a starting instance of a large fleet loads the store's
//! contents.

use std::net::SocketAddr;
use std::time::Duration;

use jd_types::Incarnation;

use crate::InstanceEntry;
use crate::Shard;
use crate::Strength;
use crate::rank_owners;

/// The size of a sample of one in sixteen instances from which the fleet counts as large. In a
/// smaller fleet every instance may read the complete list.
const MIN_LARGE_SAMPLE: usize = 12;
/// Sources that are queried in turn: one may be gone, and two share the load.
const ACTIVE_SOURCES: usize = 2;
/// Time for which a weak instance leaves reading the store to stronger ones: longer than a
/// strong instance takes to read everything.
const WEAK_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Sources of a sample that may be tried, one after the other, while they do not answer.
const MAX_SOURCES: usize = 8;

/// The instances that a starting instance queries for the store's contents.
///
/// Limits the load on the store when all instances of a fleet start at once without any
/// knowledge. All instances with the same sample query the same two sources, the strongest of
/// the sample, and these read the store because they are queried. So a few dozen instances read
/// the store, whatever the size of the fleet, and each of them serves the instances of one
/// sample.
#[derive(Debug)]
pub struct BootstrapSources {
    remaining: Vec<SocketAddr>,
    next_index: usize,
    strongest: Strength,
}

impl BootstrapSources {
    /// Selects the sources for the instance `me` from a sample of the fleet; `None` if the
    /// fleet is small.
    pub fn from_sample(me: Incarnation, sample: &[InstanceEntry]) -> Option<BootstrapSources> {
        if sample.len() < MIN_LARGE_SAMPLE {
            return None;
        }
        let whole_fleet = Shard {
            zone: None,
            part: 0,
            parts: 1,
        };
        // An instance that has restarted may be in the sample twice.
        let mut remaining: Vec<SocketAddr> = Vec::with_capacity(MAX_SOURCES);
        for entry in rank_owners(&whole_fleet, sample.iter(), 2 * MAX_SOURCES) {
            if remaining.len() < MAX_SOURCES && !remaining.contains(&entry.peer_address) {
                remaining.push(entry.peer_address);
            }
        }
        Some(BootstrapSources {
            remaining,
            strongest: sample.iter().map(|e| e.strength).max()?,
            next_index: me.get() as usize,
        })
    }

    /// The source to query next; `None` if none is left.
    pub fn next_source(&mut self) -> Option<SocketAddr> {
        let active = self.remaining.len().min(ACTIVE_SOURCES);
        let n = self.next_index.checked_rem(active)?;
        self.next_index = self.next_index.wrapping_add(1);
        self.remaining.get(n).copied()
    }

    /// Time for which an instance of this strength, when others query it, keeps querying its
    /// own sources before it reads the store for the others.
    ///
    /// Samples that are read while the fleet starts differ, and in many of them a weak instance
    /// ranks among the first. By the end of the delay the strong instances have loaded the
    /// store.
    pub fn store_read_delay(&self, strength: Strength) -> Duration {
        match strength >= self.strongest {
            true => Duration::ZERO,
            false => WEAK_READ_DELAY,
        }
    }

    /// Drops a source that did not answer.
    pub fn remove_unresponsive(&mut self, source: SocketAddr) {
        self.remaining.retain(|s| *s != source);
    }
}
