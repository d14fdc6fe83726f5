//! Why a message from another instance is refused.

use snafu::Snafu;

/// Why a message from another instance is refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A field that must be there is not.
    #[snafu(display("the message has no `{field}`; run the same release on every instance"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field does not hold what it should.
    #[snafu(display(
        "the message's `{field}` is not valid; run the same release on every instance"
    ))]
    Invalid {
        /// The field.
        field: &'static str,
    },
}
