//! What a later entry of an upstream tells of the process that an earlier one described.

use std::net::SocketAddr;

use crate::SoftwareVersion;
use crate::UpstreamEntry;
use crate::UpstreamStart;

/// A process of an upstream, as the entries up to now describe it.
#[derive(Debug, Clone, Copy)]
pub struct KnownProcess<'a> {
    /// Its start.
    pub start: UpstreamStart,
    /// The address that it answers at.
    pub address: SocketAddr,
    /// The version of its software.
    pub software: &'a SoftwareVersion,
}

/// What an entry tells of the known process of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// It describes the same process, or tells its start for the first time.
    Same,
    /// It describes the process differently. It may be another process where starts are not told,
    /// but nothing proves that the known one has ended.
    Described {
        /// True if both entries tell the same start, so that it is the same process.
        is_same_start: bool,
    },
    /// It tells a later start.
    LaterStart,
}

impl EntryChange {
    /// What `entry` tells of `known`.
    pub fn of(known: KnownProcess<'_>, entry: &UpstreamEntry) -> EntryChange {
        let is_same_start = known.start.is_known() && known.start == entry.start;
        match known.address == entry.address && *known.software == entry.software {
            _ if entry.start.is_later_than(known.start) => EntryChange::LaterStart,
            true => EntryChange::Same,
            false => EntryChange::Described { is_same_start },
        }
    }
}

/// What answers at the address of a process whose upstream has an entry with a later start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReport {
    /// A process that reports this start; an unknown one if it reports none.
    Told(UpstreamStart),
    /// Nothing, or no complete report.
    Unanswered,
}

impl StartReport {
    /// True if the process with this start still runs, whatever the entry says: it was written by
    /// another one, or in error.
    pub fn denies_restart(self, start: UpstreamStart) -> bool {
        self == StartReport::Told(start) && start.is_known()
    }
}
