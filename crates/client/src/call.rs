//! What to call.

use std::time::Duration;

use jd_types::Priority;

/// One call of a pipeline. A builder: what is not set has a default.
#[derive(Debug, Clone)]
pub struct Call {
    pub(crate) pipeline: String,
    pub(crate) body: String,
    pub(crate) keyed: bool,
    pub(crate) stream: bool,
    pub(crate) deadline: Duration,
    pub(crate) priority: Priority,
}

impl Call {
    /// A call of `pipeline` with `body`: no key, answer in one piece, 3 s,
    /// normal priority.
    pub fn new(pipeline: &str, body: &str) -> Call {
        Call {
            pipeline: pipeline.to_owned(),
            body: body.to_owned(),
            keyed: false,
            stream: false,
            deadline: Duration::from_secs(3),
            priority: Priority::Normal,
        }
    }

    /// With an idempotency key, as pipelines with a stage marked `once` need.
    pub fn keyed(self, keyed: bool) -> Call {
        Call { keyed, ..self }
    }

    /// With the answer streamed.
    pub fn stream(self, stream: bool) -> Call {
        Call { stream, ..self }
    }

    /// With another deadline.
    pub fn deadline(self, deadline: Duration) -> Call {
        Call { deadline, ..self }
    }

    /// With another priority.
    pub fn priority(self, priority: Priority) -> Call {
        Call { priority, ..self }
    }
}
