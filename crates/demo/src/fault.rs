//! What can go wrong in a demo.

/// What can go wrong in a demo. Each lasts from a fifth to three fifths of the
/// time, unless it is a single event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The key-value service is down.
    StoreOutage,
    /// The key-value service takes 300 ms for every call.
    StoreSlow,
    /// Writes take effect without an answer, again and again.
    LostAnswers,
    /// All leases lapse at once, again and again.
    LapsedLeases,
    /// Watches end without telling what they saw.
    MissedWatches,
    /// The list of instances is five seconds old, and an upstream leaves.
    ListLag,
    /// Half of the upstreams are missing from the list.
    ListWrong,
    /// One upstream of each pool is ten times as slow.
    UpstreamSlow,
    /// One upstream of each pool fails half of its requests.
    UpstreamFailing,
    /// One upstream of each larger pool leaves.
    UpstreamLeaving,
    /// Connections to some upstreams go silent for good; new ones work.
    SilentConnections,
    /// Some upstreams give answers to other attempts.
    CrossedAnswers,
    /// Some upstreams hold answers back for two seconds.
    LateAnswers,
    /// Engines cut streams short.
    TruncatedStreams,
    /// One entry instance dies, and another takes its place a second later.
    EntryCrash,
    /// One entry instance stands still for seven seconds and goes on.
    EntryPause,
    /// Every entry instance is stopped with grace and replaced, one by one.
    RollingReplace,
    /// All entry instances of one hall die at once.
    HallLoss,
    /// Two operators change the same objects at the same time.
    OperatorRace,
    /// The largest customer calls five times as much.
    Burst,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 20] = [
        Fault::StoreOutage,
        Fault::StoreSlow,
        Fault::LostAnswers,
        Fault::LapsedLeases,
        Fault::MissedWatches,
        Fault::ListLag,
        Fault::ListWrong,
        Fault::UpstreamSlow,
        Fault::UpstreamFailing,
        Fault::UpstreamLeaving,
        Fault::SilentConnections,
        Fault::CrossedAnswers,
        Fault::LateAnswers,
        Fault::TruncatedStreams,
        Fault::EntryCrash,
        Fault::EntryPause,
        Fault::RollingReplace,
        Fault::HallLoss,
        Fault::OperatorRace,
        Fault::Burst,
    ];

    /// The name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Fault::StoreOutage => "store-outage",
            Fault::StoreSlow => "store-slow",
            Fault::LostAnswers => "lost-answers",
            Fault::LapsedLeases => "lapsed-leases",
            Fault::MissedWatches => "missed-watches",
            Fault::ListLag => "list-lag",
            Fault::ListWrong => "list-wrong",
            Fault::UpstreamSlow => "upstream-slow",
            Fault::UpstreamFailing => "upstream-failing",
            Fault::UpstreamLeaving => "upstream-leaving",
            Fault::SilentConnections => "silent-connections",
            Fault::CrossedAnswers => "crossed-answers",
            Fault::LateAnswers => "late-answers",
            Fault::TruncatedStreams => "truncated-streams",
            Fault::EntryCrash => "entry-crash",
            Fault::EntryPause => "entry-pause",
            Fault::RollingReplace => "rolling-replace",
            Fault::HallLoss => "hall-loss",
            Fault::OperatorRace => "operator-race",
            Fault::Burst => "burst",
        }
    }

    /// The fault with that name.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|f| f.as_str() == name)
    }

    /// True if entry instances end or stand still without grace, so that
    /// connections of callers may break.
    pub const fn breaks_connections(self) -> bool {
        matches!(
            self,
            Fault::EntryCrash | Fault::EntryPause | Fault::HallLoss
        )
    }
}
