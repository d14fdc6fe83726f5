//! The load that a stage upstream reports.

use compact_str::CompactString;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

/// Characters of the text that an error quotes at most.
const MAX_QUOTED: usize = 40;
/// The largest number of requests or slots that is plausible at one upstream.
const MAX_REQUESTS: u32 = 1_000;
/// The largest plausible slowness in percent. Upstreams in trouble are four to five times slower
/// than usual.
const MAX_SLOWNESS_PERCENT: u32 = 10_000;

/// The load that a stage upstream reports: three figures separated by commas, and optionally its
/// slowness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoad {
    running: u32,
    waiting: u32,
    slots: u32,
    slowness_percent: Option<u32>,
}

/// The reason why a load cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum UpstreamLoadError {
    /// There are fewer than three or more than four figures, or one is not a whole number.
    #[snafu(display("`{text}` is not a load; expected three or four numbers, such as 1,0,1,100"))]
    Malformed {
        /// The text.
        text: CompactString,
    },
    /// A figure is not plausible.
    #[snafu(display(
        "`{text}` is out of range; expected up to 1000 requests and slots, at least one slot, and a duration of 1 to 10000 percent"
    ))]
    OutOfRange {
        /// The text.
        text: CompactString,
    },
}

impl UpstreamLoad {
    /// Requests that the upstream runs.
    pub fn running(self) -> u32 {
        self.running
    }

    /// Requests that wait at the upstream.
    pub fn waiting(self) -> u32 {
        self.waiting
    }

    /// Requests that the upstream can run concurrently; at least 1.
    pub fn slots(self) -> u32 {
        self.slots
    }

    /// The current duration of work relative to the usual one; none if it is not reported.
    pub fn slowness(self) -> Option<f64> {
        self.slowness_percent.map(|p| f64::from(p) / 100.0)
    }
}

impl TryFrom<&str> for UpstreamLoad {
    type Error = UpstreamLoadError;

    fn try_from(text: &str) -> Result<UpstreamLoad, UpstreamLoadError> {
        let quoted = || CompactString::from_iter(text.chars().take(MAX_QUOTED));
        let mut figures = text.split(',').map(|t| t.trim().parse::<u32>().ok());
        let mut required = || figures.next().flatten();
        let (running, waiting, slots) = (required(), required(), required());
        let required = running.zip(waiting).zip(slots);
        let malformed = MalformedSnafu { text: quoted() };
        let ((running, waiting), slots) = required.context(malformed.clone())?;
        let slowness_percent = match figures.next() {
            Some(figure) => Some(figure.context(malformed.clone())?),
            None => None,
        };
        ensure!(figures.next().is_none(), malformed);
        let counts = [running, waiting, slots];
        let percent = slowness_percent.unwrap_or(100);
        ensure!(
            counts.iter().all(|n| *n <= MAX_REQUESTS)
                && slots > 0
                && (1..=MAX_SLOWNESS_PERCENT).contains(&percent),
            OutOfRangeSnafu { text: quoted() }
        );
        Ok(UpstreamLoad {
            running,
            waiting,
            slots,
            slowness_percent,
        })
    }
}
