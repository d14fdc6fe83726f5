//! How one stand-in upstream fails at present.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// How one stand-in upstream fails at present. Shared with whoever injects.
#[derive(Debug, Default)]
pub struct UpstreamFaults {
    slower: AtomicU32,
    fail_percent: AtomicU32,
    cross_percent: AtomicU32,
    truncate_percent: AtomicU32,
    late_percent: AtomicU32,
    silent_below: AtomicU32,
    leaving: AtomicBool,
}

impl UpstreamFaults {
    /// Work takes that many times as long again; 0 is normal.
    pub fn set_slower(&self, times: u32) {
        self.slower.store(times, Ordering::Relaxed);
    }

    /// That many in a hundred requests fail without saying whether they ran.
    pub fn set_fail_percent(&self, percent: u32) {
        self.fail_percent.store(percent, Ordering::Relaxed);
    }

    /// That many in a hundred answers name another attempt.
    pub fn set_cross_percent(&self, percent: u32) {
        self.cross_percent.store(percent, Ordering::Relaxed);
    }

    /// That many in a hundred streams end before their end.
    pub fn set_truncate_percent(&self, percent: u32) {
        self.truncate_percent.store(percent, Ordering::Relaxed);
    }

    /// That many in a hundred answers come seconds late.
    pub fn set_late_percent(&self, percent: u32) {
        self.late_percent.store(percent, Ordering::Relaxed);
    }

    /// Connections with a lower number than this are silent for good.
    pub fn set_silent_below(&self, connection: u32) {
        self.silent_below.store(connection, Ordering::Relaxed);
    }

    /// It is leaving: it says so and goes on with what it has.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    pub(crate) fn slower(&self) -> u32 {
        self.slower.load(Ordering::Relaxed)
    }

    pub(crate) fn fails(&self, dice: u32) -> bool {
        dice < self.fail_percent.load(Ordering::Relaxed)
    }

    pub(crate) fn crosses(&self, dice: u32) -> bool {
        dice < self.cross_percent.load(Ordering::Relaxed)
    }

    pub(crate) fn truncates(&self, dice: u32) -> bool {
        dice < self.truncate_percent.load(Ordering::Relaxed)
    }

    pub(crate) fn is_late(&self, dice: u32) -> bool {
        dice < self.late_percent.load(Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn silent_below(&self) -> u32 {
        self.silent_below.load(Ordering::Relaxed)
    }
}
