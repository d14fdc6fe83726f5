//! The order of the numbers of a stream's events.

use snafu::Snafu;

/// The number of an event does not follow the event after which its stream resumes.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
pub enum OutOfOrder {
    /// It is lower than that of an event before.
    #[snafu(display("event {number} came after event {last}; check how the upstream resumes"))]
    WentBack {
        /// The number of the event.
        number: u64,
        /// The number before it.
        last: u64,
    },
    /// An event came twice.
    #[snafu(display("event {number} came again; check how the upstream resumes"))]
    Repeated {
        /// The number of the event.
        number: u64,
    },
    /// The events between are missing.
    #[snafu(display(
        "event {number} came right after event {last}; check how the upstream resumes"
    ))]
    Missing {
        /// The number of the event.
        number: u64,
        /// The number before it.
        last: u64,
    },
}

impl OutOfOrder {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            OutOfOrder::WentBack { .. } => "went-back",
            OutOfOrder::Repeated { .. } => "repeated",
            OutOfOrder::Missing { .. } => "missing",
        }
    }
}

/// How the numbers of a stream went up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Steps {
    /// Less than two numbers have come.
    #[default]
    Unknown,
    /// Each by one.
    One,
    /// Not always by one.
    Other,
}

/// Judges the numbers of the events of one response, by those that its stream has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventOrder {
    /// The number before, in this response or in the one that it resumes.
    last: Option<u64>,
    steps: Steps,
    /// True if the response resumes a stream after an event.
    is_resumed: bool,
    /// True if no numbered event has come since the stream was resumed.
    is_at_cut: bool,
    is_unordered: bool,
}

impl EventOrder {
    /// The order in a response that resumes the stream after this event; that of a new stream if
    /// there is none.
    #[must_use]
    pub fn resumed_after(self, last_event: Option<u64>) -> EventOrder {
        let is_resumed = last_event.is_some();
        EventOrder {
            last: last_event,
            steps: match is_resumed {
                true => self.steps,
                false => Steps::Unknown,
            },
            is_resumed,
            is_at_cut: is_resumed,
            is_unordered: false,
        }
    }

    /// Takes the number of the next event.
    ///
    /// Fails if the response resumes the stream elsewhere than after the event that was asked for.
    /// The numbers of a response that begins a stream are its upstream's own, and never an error.
    pub fn take(&mut self, number: u64) -> Result<(), OutOfOrder> {
        let Some(last) = self.last.replace(number) else {
            return Ok(());
        };
        let is_at_cut = std::mem::take(&mut self.is_at_cut);
        let is_next = last.checked_add(1) == Some(number);
        self.steps = match self.steps {
            _ if number <= last && self.is_resumed => {
                return Err(match number == last {
                    true => OutOfOrder::Repeated { number },
                    false => OutOfOrder::WentBack { number, last },
                });
            }
            Steps::One if is_at_cut && !is_next => {
                return Err(OutOfOrder::Missing { number, last });
            }
            _ if number <= last => {
                self.is_unordered = true;
                Steps::Other
            }
            Steps::Unknown | Steps::One if is_next => Steps::One,
            Steps::Unknown | Steps::One | Steps::Other => Steps::Other,
        };
        Ok(())
    }

    /// True if a number was not greater than the one before it, so that the last one does not tell
    /// which events have come.
    pub fn is_unordered(&self) -> bool {
        self.is_unordered
    }
}
