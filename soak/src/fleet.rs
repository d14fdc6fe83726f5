//! Control of the gateway processes of a soak.

/// A signal to a gateway process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Terminates the process at once.
    Kill,
    /// Requests a graceful stop.
    Stop,
    /// Suspends the process.
    Pause,
    /// Resumes a suspended process.
    Resume,
    /// Requests a reload of the settings.
    Reload,
}

/// The gateway processes of a soak. Only processes that the fleet started are signalled.
pub trait Fleet: Send + Sync {
    /// Starts an instance with these settings.
    fn start(&self, instance: usize, settings: &str);

    /// Signals an instance if it is running.
    fn signal(&self, instance: usize, signal: ProcessSignal);

    /// The most memory that an instance has had resident, in bytes; none if it is not running.
    fn peak_bytes(&self, instance: usize) -> Option<u64>;

    /// True if an instance is running.
    fn is_running(&self, instance: usize) -> bool;
}
