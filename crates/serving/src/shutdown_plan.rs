//! What a process that is stopped does until it ends.

use std::time::Duration;

use jd_types::MonoTime;

/// The percentage of the grace period in which new requests are still accepted: until most of
/// the callers that cached the address have queried addresses again.
const ACCEPT_PERCENT: u32 = 37;
/// The percentage of the grace period in which requests may wait for their stages. What is left is
/// for the requests themselves, and a refused caller has time for another instance.
const STAGES_PERCENT: u32 = 72;
/// How long before the end of the grace period the process exits by itself: it is killed then.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// How long before the exit a request is refused that was sent to no upstream.
const UNSENT_MARGIN: Duration = Duration::from_millis(400);
/// How long before the exit a request is answered whose upstream has not responded: the answer has to
/// reach the caller.
const UNANSWERED_MARGIN: Duration = Duration::from_millis(100);

/// When a process that is stopped ends what it has begun.
///
/// A request that outlasts its process gets no answer, although the process had the time to refuse
/// it. So each wait ends before the process does, with an answer that is true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Until when new requests are accepted.
    pub accept_until: MonoTime,
    /// Until when requests wait for their stages.
    pub stages_until: MonoTime,
    /// Until when streams that have begun wait for the stages of another attempt. Unlike a request,
    /// such a stream cannot be refused, and its connection would close.
    pub begun_stages_until: MonoTime,
    /// Until when requests wait that were sent to no upstream.
    pub unsent_until: MonoTime,
    /// Until when requests wait for a response of an upstream.
    pub unanswered_until: MonoTime,
    /// When the process exits, whatever it still does.
    pub exit_at: MonoTime,
}

impl ShutdownPlan {
    /// The plan of a process that was told to stop at `began`, and is killed after `grace`.
    pub fn new(began: MonoTime, grace: Duration) -> ShutdownPlan {
        let exit_at = began + grace.saturating_sub(EXIT_MARGIN);
        let before_exit = |margin| began.max(exit_at.before(margin));
        ShutdownPlan {
            accept_until: began + grace * ACCEPT_PERCENT / 100,
            stages_until: began + grace * STAGES_PERCENT / 100,
            begun_stages_until: before_exit(UNSENT_MARGIN),
            unsent_until: before_exit(UNSENT_MARGIN),
            unanswered_until: before_exit(UNANSWERED_MARGIN),
            exit_at,
        }
    }
}
