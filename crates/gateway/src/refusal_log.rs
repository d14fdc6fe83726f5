//! How many refusals are logged.

use std::sync::Mutex;
use std::time::Duration;

use jd_net::lock;
use jd_types::MonoTime;

/// The time in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Refusals that are logged one by one in a window. Those beyond it are counted in one line, so that a
/// crowd of clients costs little time and hides no other line.
const MAX_LINES: u32 = 200;

/// Bounds the lines about refused requests.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog(Mutex<Window>);

#[derive(Debug, Default)]
struct Window {
    began: MonoTime,
    refusals: u32,
}

impl RefusalLog {
    /// True if a refusal is to be logged. Logs the count of those of the last window that were not.
    pub(crate) fn admits(&self, now: MonoTime) -> bool {
        let mut window = lock(&self.0);
        let mut unlogged = 0;
        if now.since(window.began) >= WINDOW {
            unlogged = window.refusals.saturating_sub(MAX_LINES);
            *window = Window {
                began: now,
                refusals: 0,
            };
        }
        window.refusals += 1;
        let is_admitted = window.refusals <= MAX_LINES;
        drop(window);
        if unlogged > 0 {
            log::warn!(count = unlogged; "further refusals that are not logged");
        }
        is_admitted
    }
}
