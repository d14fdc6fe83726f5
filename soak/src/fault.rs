//! What a soak does to the system from outside.

use std::time::Duration;

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It refuses every call.
    Refuses,
    /// It accepts connections and answers nothing.
    Hangs,
    /// Each answer takes this long.
    Slow(Duration),
    /// It does every other write and does not answer.
    LosesReplies,
}

/// How an upstream misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamMode {
    /// It is full and says that it did nothing.
    Sheds,
    /// The same, and that it wants nothing more for so many seconds.
    RequestsBackoff(u8),
    /// It runs the request and fails.
    Fails,
    /// It runs the request and never answers.
    Hangs,
    /// It runs the request and breaks its answer off.
    Truncates,
    /// It runs the request and gives the answer to another one.
    Misattributes,
}

impl UpstreamMode {
    /// How long an upstream that refuses wants nothing more.
    pub(crate) fn backoff(self) -> Option<Duration> {
        match self {
            UpstreamMode::RequestsBackoff(seconds) => Some(Duration::from_secs(seconds.into())),
            _ => None,
        }
    }
}

/// How the links to one upstream, or of one instance to the store, misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Every connection is reset.
    Resets,
    /// Open connections carry nothing any more; new ones work.
    BlackholesOpen,
    /// Nothing is carried, on any connection.
    Blackholes,
    /// Answers are not carried.
    BlackholesReplies,
    /// Nobody listens, and nothing is carried.
    Refuses,
    /// Everything takes this much longer.
    Delays(Duration),
}

/// One thing that a soak does. Places are numbers that are taken modulo how
/// many there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed and started again after the time.
    Kill(usize, Duration),
    /// All instances are killed at once and started again after the time.
    KillAll(Duration),
    /// An instance is stopped with grace and started again.
    Stop(usize),
    /// An instance stands still for the time.
    Pause(usize, Duration),
    /// An instance is told that its settings changed.
    Reload(usize),
    /// The store misbehaves for the time.
    Store(StoreMode, Duration),
    /// The store forgets its history.
    Compact,
    /// An upstream misbehaves for the time.
    Upstream(usize, UpstreamMode, Duration),
    /// The links to an upstream misbehave for the time.
    UpstreamLink(usize, LinkMode, Duration),
    /// An instance's links to the store misbehave for the time.
    StoreLink(usize, LinkMode, Duration),
    /// An upstream names a limit of so many requests a second, for the time.
    Limit(usize, u32, Duration),
    /// An upstream says that it leaves, and is gone later.
    Drain(usize),
    /// The same, but it says so in its answers alone.
    DrainByAnswers(usize),
    /// The store comes back from a copy that is as old as given.
    Restore(Duration),
    /// An upstream is gone, and another one has its address.
    ReplaceUpstream(usize),
    /// An upstream ends and starts again under its identity, holding nothing.
    RestartUpstream(usize),
    /// A request that ends each upstream which runs it comes again and again, for the
    /// time.
    CrashingRequest(u64, Duration),
    /// The operator puts the next configuration in force.
    Configure,
    /// The operator takes a credential away.
    Revoke,
    /// The same while an instance is cut off from the store, for longer than a
    /// credential may work afterwards.
    RevokeDuringPartition(usize),
}

impl Fault {
    /// True if it may cut no request short: ordinary work, or a bound that has to be kept.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Configure
                | Fault::Drain(_)
                | Fault::DrainByAnswers(_)
                | Fault::Limit(..)
        )
    }
}
