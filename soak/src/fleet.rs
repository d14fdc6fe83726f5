//! The processes of a soak, as it sees them.

/// What a process can be told from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends it at once.
    Kill,
    /// Asks it to stop.
    Stop,
    /// Lets it stand still.
    Pause,
    /// Lets it go on.
    Resume,
    /// Tells it that its settings changed.
    Reload,
}

/// The processes of a soak. Only those that it started are ever signalled.
pub trait Fleet: Send + Sync {
    /// Starts instance `place` with these settings.
    fn start(&self, place: usize, settings: &str);

    /// Signals instance `place`, if it runs.
    fn signal(&self, place: usize, signal: ProcessSignal);

    /// True if instance `place` runs.
    fn is_running(&self, place: usize) -> bool;
}
