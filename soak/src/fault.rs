//! Faults and operations that a soak injects.

use std::time::Duration;

use crate::Misbehaviour;

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Every call is refused.
    Refuses,
    /// Connections are accepted, but no call is answered.
    Hangs,
    /// Every call is delayed by this much.
    Slow(Duration),
    /// Every other write is applied but not answered.
    LosesReplies,
}

/// A fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamMode {
    /// Requests are refused as not executed because the upstream is full.
    Sheds,
    /// Requests are refused as not executed, with a backoff of this many seconds.
    RequestsBackoff(u8),
    /// The request is executed and fails.
    Fails,
    /// The request is executed and never answered.
    Hangs,
    /// The request is executed and its answer is cut off.
    Truncates,
    /// The request is executed, and its answer ends early as if it were whole, if it is a stream.
    EndsEarly,
    /// The request is executed, and the answer names another request.
    Misattributes,
    /// The request is executed, and its answer has this status, which is none.
    Nonsense(u16),
    /// The request is executed, and a body or an event is sent without end: 64 KiB each time this
    /// many milliseconds have passed.
    Endless(u8),
}

impl UpstreamMode {
    /// The backoff that the upstream asks for when it refuses a request.
    pub(crate) fn backoff(self) -> Option<Duration> {
        match self {
            UpstreamMode::RequestsBackoff(seconds) => Some(Duration::from_secs(seconds.into())),
            _ => None,
        }
    }
}

/// A fault of the links to one upstream, or from one instance to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Every connection is reset.
    Resets,
    /// Requests arrive as HTTP/1.0, so that answers of unknown length end with their connection.
    Unframed,
    /// Some answers end in their head, and their connection with them.
    CutsHeads,
    /// Answers begin with a head that is sent without end.
    EndlessHeads,
    /// Requests are answered with a part of an answer before they are read, and the connection is reset.
    AnswersEarly,
    /// Only so many bytes of each read reach the server, and never the last one, until the mode
    /// changes.
    HoldsAfter(usize),
    /// Open connections carry no more data; new connections work.
    BlackholesOpen,
    /// No connection carries data in either direction.
    Blackholes,
    /// Data from the server to the client is not carried.
    BlackholesReplies,
    /// The listener is closed, and so is every open connection.
    Refuses,
    /// The listener is closed, and open connections go on.
    RefusesNew,
    /// No connection carries data, and no new one opens.
    Hangs,
    /// Every read is forwarded with this delay.
    Delays(Duration),
}

/// What the address of a crashed upstream does until another one takes it over.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// It refuses connections.
    #[default]
    Refuses,
    /// It closes connections that it has accepted.
    Closes,
    /// The same for this time, and then it refuses them.
    ClosesFor(Duration),
    /// It accepts connections and carries nothing for this time, and then it refuses them.
    HoldsFor(Duration),
}

/// A fault or operation of a soak. Indices of instances and upstreams are taken
/// modulo their count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed and restarted after this time.
    Kill(usize, Duration),
    /// All instances are killed at once and restarted after this time.
    KillAll(Duration),
    /// An instance is stopped gracefully and restarted.
    Stop(usize),
    /// An instance is suspended for this time.
    Pause(usize, Duration),
    /// An instance is signalled to reload its settings.
    Reload(usize),
    /// The store has a fault for this time.
    Store(StoreMode, Duration),
    /// The store discards its history of changes.
    Compact,
    /// Another writer leaves an entry in the store, as this seed draws it, which stands until the end.
    OddEntry(u64),
    /// An upstream has a fault for this time.
    Upstream(usize, UpstreamMode, Duration),
    /// The links to an upstream have a fault for this time.
    UpstreamLink(usize, LinkMode, Duration),
    /// An instance's links to the store have a fault for this time.
    StoreLink(usize, LinkMode, Duration),
    /// All links of an instance to upstreams have a fault for this time.
    UpstreamsCut(usize, LinkMode, Duration),
    /// All links over which an instance forwards requests to others have a fault for this time.
    ForwardsCut(usize, LinkMode, Duration),
    /// An upstream announces a limit in requests per second for this time.
    Limit(usize, u32, Duration),
    /// An upstream's entry is marked as draining, and the upstream is replaced later.
    Drain(usize),
    /// An upstream announces only in its answers that it is leaving, and is replaced later.
    DrainByAnswers(usize),
    /// The store is restored from a copy of this age.
    Restore(Duration),
    /// Another upstream takes over the address of an upstream that is gone.
    ReplaceUpstream(usize),
    /// An upstream restarts under its identity and loses the results that it held.
    RestartUpstream(usize),
    /// An upstream is replaced by one of the other software version, under its identity if the
    /// flag is set.
    Upgrade(usize, bool),
    /// A request that crashes every upstream which executes it is sent repeatedly for
    /// this time.
    CrashingRequest(u64, Duration),
    /// The same, with the instances that the callers ask drawn by a seed.
    CrashingCopies(u64, u64, Duration),
    /// Upstreams that crash from now on are back after this time.
    CrashDowntime(Duration),
    /// The same as a crashing request, from callers that leave after the first time, sent for the second.
    LeavingCallers(u64, Duration, Duration),
    /// Upstreams that crash from now on do so in this way.
    UpstreamEnds(UpstreamEnd),
    /// Requests with a part of prompts that crashes every upstream which executes it, no two
    /// alike, are sent for this time.
    CrashingPart(u64, Duration),
    /// Every other upstream loses power at the same moment, and is replaced later.
    LosePower(usize),
    /// So many clients of an instance misbehave for this time, and connect again when they are closed.
    Crowd(usize, Misbehaviour, usize, Duration),
    /// Callers of an instance send a part of a request, and the rest of it at a random time, as this
    /// seed draws it.
    LateCallers(usize, u64),
    /// All instances but one stand still for this time.
    Alone(usize, Duration),
    /// All instances are killed, and then so many of them run one at a time, each for this time, before
    /// all are started again.
    AloneInTurn(usize, Duration),
    /// An instance stands still for this time, while an upstream is replaced by one of the other
    /// software version, and is then alone for this time.
    OutOfStep(usize, usize, [Duration; 2]),
    /// The operator writes the next version of the configuration.
    Configure,
    /// The operator revokes a credential.
    Revoke,
    /// The operator revokes a credential while an instance cannot reach the store, for
    /// longer than a revoked credential may still work.
    RevokeDuringPartition(usize),
}

impl Fault {
    /// True if the fault must not cut any request short: routine maintenance, or a limit
    /// that instances have to keep.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Configure
                | Fault::Drain(_)
                | Fault::DrainByAnswers(_)
                | Fault::Limit(..)
                | Fault::LateCallers(..)
                | Fault::OddEntry(_)
        )
    }
}
