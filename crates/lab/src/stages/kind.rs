//! Kinds of request and the services that do their stages.

use std::time::Duration;

use jd_serving::BatchSpec;

/// A stage of a kind.
#[derive(Debug, Clone, Copy)]
pub struct StageKind {
    /// Which service does it, by its place in [`SERVICES`].
    pub service: usize,
    /// The stage whose results it needs.
    pub after: Option<usize>,
    /// Its pieces, in the mean.
    pub pieces: f64,
    /// The most.
    pub most: usize,
    /// The part of requests that have it.
    pub share: f64,
    /// The size of one result, in bytes.
    pub bytes: u64,
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name in tables.
    pub name: &'static str,
    /// Requests a second at load 1.
    pub per_second: f64,
    /// What one in time is worth; a late one is worth a part of it.
    pub worth: f64,
    /// How long its stages may take to be in time.
    pub objective: Duration,
    /// How long anybody waits for them.
    pub patience: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Its stages.
    pub stages: &'static [StageKind],
}

const fn stage(
    service: usize,
    after: Option<usize>,
    pieces: f64,
    most: usize,
    share: f64,
    bytes: u64,
) -> StageKind {
    StageKind {
        service,
        after,
        pieces,
        most,
        share,
        bytes,
    }
}

/// Karrabin's kinds with stages. Objectives are less what an answer takes to
/// begin after them.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "review",
        per_second: 10.3,
        worth: 4.8,
        objective: Duration::from_millis(1_700),
        patience: Duration::from_millis(6_460),
        priority: 1,
        stages: &[stage(0, None, 2.5, 10, 0.7, 800_000)],
    },
    Kind {
        name: "query",
        per_second: 18.3,
        worth: 1.9,
        objective: Duration::from_millis(2_000),
        patience: Duration::from_millis(7_480),
        priority: 0,
        stages: &[
            stage(0, None, 1.0, 1, 1.0, 8_000),
            stage(1, Some(0), 4.0, 4, 1.0, 60_000),
            stage(2, Some(1), 6.0, 15, 1.0, 6_000),
        ],
    },
    Kind {
        name: "tag",
        per_second: 15.8,
        worth: 0.5,
        objective: Duration::from_millis(2_100),
        patience: Duration::from_millis(5_100),
        priority: 2,
        stages: &[
            stage(0, None, 1.5, 6, 0.4, 800_000),
            stage(0, None, 1.0, 1, 1.0, 8_000),
            stage(1, Some(1), 4.0, 4, 1.0, 60_000),
            stage(2, Some(2), 6.0, 15, 1.0, 6_000),
        ],
    },
];

/// What a late answer is worth of one in time.
pub(super) const LATE_PART: f64 = 0.15;

/// What one costs that was held until its time was over, by the users' prices.
pub(super) const HELD_PART: f64 = 1.0;

/// What one costs that is refused, comes back and is refused again.
pub(super) const REFUSED_PART: f64 = 0.3;

/// Names of the services.
pub(super) const SERVICES: [&str; 3] = ["first", "second", "third"];

/// How each service works.
pub(super) fn spec(service: usize) -> BatchSpec {
    let (pieces, piece_us, room_kb) =
        [(10, 21_000, 12_000), (24, 8_600, 2_600), (36, 5_700, 390)][service.min(2)];
    BatchSpec {
        slots: 1,
        queue: 2,
        pieces,
        base_time: Duration::from_millis(240),
        piece_time: Duration::from_micros(piece_us),
        room_bytes: room_kb * 1_000,
        result_ttl: Duration::from_secs(4),
    }
}
