//! What the end of a response body says.

/// What the head of a success says of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// A stream of events.
    Events,
    /// One piece of any other content.
    Single,
    /// There is none, by the status or by the method of the request.
    Absent,
}

/// What a response is to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseRole {
    /// It begins the stream, or is the whole answer.
    Beginning,
    /// It goes on after an event that the caller has.
    Continuation,
}

/// Where a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceivedBody {
    /// Before its first byte.
    Nothing,
    /// Between events, without having brought one.
    NoEvent,
    /// Inside an event, or inside a line.
    InsideEvent,
    /// Between events, of which it brought one or more.
    AfterEvent,
}

/// What is known of a response whose body has ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndEvidence {
    /// What its head says.
    pub kind: BodyKind,
    /// What it is to the stream.
    pub role: ResponseRole,
    /// True if a length or a last chunk marks the end of the body.
    pub is_marked: bool,
    /// Where the body ended.
    pub received: ReceivedBody,
}

/// What the end of a response body says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response is complete.
    Complete,
    /// A stream ended inside an event.
    InsideEvent,
    /// A stream ended before its first event, or what resumes one before the next.
    NoEvent,
    /// A body that is no stream of events cannot go on with one.
    NoEventStream,
    /// A body ended with its connection before its first byte.
    Empty,
}

impl ResponseEnd {
    /// True if the response is complete.
    pub const fn is_complete(self) -> bool {
        matches!(self, ResponseEnd::Complete)
    }

    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ResponseEnd::Complete => "complete",
            ResponseEnd::InsideEvent => "inside-event",
            ResponseEnd::NoEvent => "no-event",
            ResponseEnd::NoEventStream => "no-event-stream",
            ResponseEnd::Empty => "empty",
        }
    }
}

impl EndEvidence {
    /// Judges the end of the response.
    ///
    /// A mark says that the sender ended the body, not that it had sent everything: an HTTP library
    /// marks the end also where the program behind it has failed. Only the end of an event shows that
    /// a stream is complete. Of other content nothing shows more than the mark, and without one a
    /// process that ends looks like one that has sent everything; only an empty body is no answer.
    pub const fn judge(self) -> ResponseEnd {
        match (self.kind, self.role, self.received) {
            (BodyKind::Absent, _, _) => ResponseEnd::Complete,
            (BodyKind::Events, _, ReceivedBody::AfterEvent) => ResponseEnd::Complete,
            (BodyKind::Events, _, ReceivedBody::InsideEvent) => ResponseEnd::InsideEvent,
            (BodyKind::Events, _, _) => ResponseEnd::NoEvent,
            (BodyKind::Single, ResponseRole::Continuation, _) => ResponseEnd::NoEventStream,
            (BodyKind::Single, _, ReceivedBody::Nothing) if !self.is_marked => ResponseEnd::Empty,
            (BodyKind::Single, _, _) => ResponseEnd::Complete,
        }
    }
}
