//! Reports answers that were ended for want of memory.

use jd_net::ReadError;

/// Logs that an answer was ended, unless its connection broke.
pub(crate) fn log_ended(request: &str, upstream: &str, why: ReadError) {
    if why != ReadError::Broken {
        log::warn!(request, upstream, detail:% = why; "answer ended by this instance");
    }
}
