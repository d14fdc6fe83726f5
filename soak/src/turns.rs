//! Instances that are stopped in turn while stages are loaded and streams outlast the stop.

use std::time::Duration;

use crate::Fault;
use crate::RequestKind;
use crate::Step;

/// Instances that a turn stops; soaks with more have the others run on.
const INSTANCES: usize = 4;
/// The upstreams of streams that have the first software version at the start.
const FIRST_VERSION: [usize; 2] = [3, 5];
/// The fewest and the most turns of a plan.
const TURNS: std::ops::RangeInclusive<u64> = 2..=3;

/// How hard the upstreams and callers of a soak make it to stop in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Load {
    /// The grace period of instances.
    pub(crate) grace: Duration,
    /// The time between two events of a stream.
    pub(crate) event_interval: Duration,
    /// The time for which a caller waits for a stream.
    pub(crate) deadline: Duration,
    /// The time for which a caller waits for a single answer.
    pub(crate) single_deadline: Duration,
    /// The shortest time after which a caller takes up a stream that broke.
    pub(crate) take_up_pause: Duration,
    /// Callers of each instance.
    pub(crate) callers: usize,
    /// Pieces of each request with a stage.
    pub(crate) pieces: usize,
    /// The duration of a call for pieces.
    pub(crate) call: Duration,
    /// Calls that a stage upstream takes at a time, running and waiting.
    pub(crate) calls: usize,
    /// Results that a stage upstream stores, and the size of each.
    pub(crate) results: usize,
    pub(crate) result_bytes: u32,
    /// The time from an upstream's leaving notice to its replacement.
    pub(crate) drain: Duration,
    /// True if upstreams fall silent for a while in some answers.
    pub(crate) silences: bool,
    /// The largest body of a request, in bytes.
    pub(crate) body_bytes: usize,
    /// The memory of an instance, in megabytes.
    pub(crate) memory_mb: u64,
    /// True if instances are told that nothing ran before, so that all software versions are known.
    pub(crate) is_first_start: bool,
    /// True if some requests have a large body.
    pub(crate) uploads: bool,
}

impl Load {
    /// Short streams, and stages with room for all.
    pub(crate) const LIGHT: Load = Load {
        grace: Duration::from_secs(8),
        event_interval: Duration::from_millis(30),
        deadline: Duration::from_millis(3_000),
        single_deadline: Duration::from_millis(3_000),
        take_up_pause: Duration::ZERO,
        callers: 4,
        pieces: 2,
        call: Duration::from_millis(30),
        calls: 64,
        results: 10_000,
        result_bytes: 1_000,
        drain: Duration::from_secs(5),
        silences: false,
        body_bytes: 64 << 10,
        memory_mb: 256,
        is_first_start: false,
        uploads: false,
    };
    /// Large bodies, and as little memory as an instance may have.
    pub(crate) const CROWDED: Load = Load {
        body_bytes: 1 << 20,
        memory_mb: 64,
        ..Load::LIGHT
    };
    /// Bodies of the usual largest size, and deadlines that leave time to send them.
    pub(crate) const LARGE: Load = Load {
        deadline: Duration::from_secs(20),
        single_deadline: Duration::from_secs(20),
        body_bytes: 4 << 20,
        ..Load::LIGHT
    };
    /// Streams that last for a second, and stages with room for all.
    pub(crate) const LONG: Load = Load {
        event_interval: Duration::from_millis(120),
        deadline: Duration::from_millis(6_000),
        take_up_pause: Duration::from_millis(1_200),
        callers: 8,
        ..Load::LIGHT
    };
    /// Streams that outlast the grace period, and stages that are nearly used up.
    pub(crate) const HEAVY: Load = Load {
        grace: Duration::from_secs(3),
        event_interval: Duration::from_millis(450),
        deadline: Duration::from_millis(8_000),
        single_deadline: Duration::from_millis(8_000),
        take_up_pause: Duration::ZERO,
        callers: 12,
        pieces: 12,
        call: Duration::from_millis(200),
        calls: 3,
        results: 48,
        result_bytes: 200_000,
        drain: Duration::from_secs(5),
        silences: false,
        body_bytes: 64 << 10,
        memory_mb: 256,
        is_first_start: false,
        uploads: false,
    };
    /// Large bodies and little memory, and callers that have many answers sent at a time.
    pub(crate) const ENDLESS: Load = Load {
        callers: 24,
        ..Load::CROWDED
    };
    /// Streams that outlast the end of a stop, and deadlines for requests that take as long as it.
    pub(crate) const LATE: Load = Load {
        event_interval: Duration::from_millis(450),
        deadline: Duration::from_millis(14_000),
        single_deadline: Duration::from_millis(14_000),
        callers: 6,
        pieces: Load::LIGHT.pieces,
        call: Load::LIGHT.call,
        calls: Load::LIGHT.calls,
        results: Load::LIGHT.results,
        result_bytes: Load::LIGHT.result_bytes,
        memory_mb: 64,
        ..Load::SILENT
    };
    /// Streams that break before their instance is alone, and are taken up soon.
    pub(crate) const OUT_OF_STEP: Load = Load {
        event_interval: Duration::from_millis(120),
        deadline: Duration::from_millis(6_000),
        take_up_pause: Duration::from_millis(300),
        callers: 6,
        is_first_start: true,
        ..Load::LIGHT
    };
    /// Some requests that take a while to write.
    pub(crate) const ODD_ENTRIES: Load = Load {
        body_bytes: Load::LARGE.body_bytes,
        uploads: true,
        ..Load::LIGHT
    };
    /// Requests of which the retries beyond the ratio are a large part.
    pub(crate) const RETRIES: Load = Load {
        callers: 1,
        ..Load::LIGHT
    };
    /// Deadlines and drains that leave time for the longest silence.
    pub(crate) const SILENT: Load = Load {
        grace: Duration::from_secs(6),
        event_interval: Duration::from_millis(300),
        deadline: Duration::from_millis(12_000),
        single_deadline: Duration::from_millis(5_000),
        callers: 16,
        drain: Duration::from_secs(9),
        silences: true,
        ..Load::HEAVY
    };

    /// The time for which a caller waits for the answer to a request of this kind.
    pub(crate) fn deadline_of(self, kind: RequestKind) -> Duration {
        match kind {
            RequestKind::ResumableStream | RequestKind::Stream => self.deadline,
            _ => self.single_deadline,
        }
    }

    /// The storage for so many results, in megabytes.
    pub(crate) fn megabytes(self, results: usize) -> f64 {
        results as f64 * f64::from(self.result_bytes) / 1e6
    }

    /// How long a stop lasts before requests that their upstreams work on may be cut off: five sixths
    /// of the grace period, as the users' rules have it.
    pub(crate) fn cut_off_from(self) -> Duration {
        self.grace * 5 / 6
    }
}

/// Turns that overlap, each stopping one instance after the other, faster than these end. If
/// `kills`, all instances are killed as well, while upstreams have two software versions.
pub(crate) fn draw(rng: &mut fastrand::Rng, kills: bool) -> Vec<Step> {
    let at = |ms| Duration::from_millis(1_500 + ms);
    let mut steps = Vec::new();
    let mut begins = 0;
    for _ in 0..rng.u64(TURNS) {
        let gap = rng.u64(150..900);
        let first = rng.usize(..INSTANCES);
        for n in 0..INSTANCES {
            steps.push(Step {
                at: at(begins + gap * n as u64),
                fault: Fault::Stop((first + n) % INSTANCES),
            });
        }
        begins += rng.u64(800..2_500);
    }
    for _ in 0..rng.usize(1..=2) {
        steps.push(Step {
            at: at(rng.u64(0..5_000)),
            fault: Fault::Configure,
        });
    }
    // Before the first stop: a process that has just been started ends by this signal.
    steps.push(Step {
        at: Duration::from_millis(rng.u64(500..1_400)),
        fault: Fault::Reload(rng.usize(..INSTANCES)),
    });
    if kills {
        let kill = rng.u64(2_000..5_000);
        let down = Duration::from_millis(rng.u64(50..1_000));
        steps.push(Step {
            at: at(kill),
            fault: Fault::KillAll(down),
        });
        // In half of these plans the first version is gone by the time of the kill.
        let replaced = match rng.bool() {
            true => FIRST_VERSION.to_vec(),
            false => vec![rng.usize(..)],
        };
        for upstream in replaced {
            steps.push(Step {
                at: at(kill - rng.u64(500..1_200)),
                fault: Fault::Upgrade(upstream, false),
            });
        }
    }
    steps
}
