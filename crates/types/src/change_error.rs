//! Reasons why a change cannot be applied.

use snafu::Snafu;

use crate::ObjectRef;

/// The reason why a change cannot be applied to the current configuration.
#[derive(Debug, Clone, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// The object does not exist.
    #[snafu(display("{object} does not exist; create it first"))]
    Missing {
        /// The object.
        object: ObjectRef,
    },
    /// The object exists already.
    #[snafu(display("{object} exists already; use `set`, or drop it first"))]
    Exists {
        /// The object.
        object: ObjectRef,
    },
    /// Another object refers to the object.
    #[snafu(display("{object} is used by {user}; drop that first"))]
    InUse {
        /// The object.
        object: ObjectRef,
        /// The object that refers to it.
        user: ObjectRef,
    },
    /// A value is outside its bounds.
    #[snafu(display("{what} of {object} is {value}; it must be {low} to {high}"))]
    Bounds {
        /// The object.
        object: ObjectRef,
        /// The name of the value.
        what: &'static str,
        /// The value.
        value: u64,
        /// The lowest allowed value.
        low: u64,
        /// The highest allowed value.
        high: u64,
    },
    /// Two customers would share a credential.
    #[snafu(display("{object} has the credential of {user}; choose another"))]
    CredentialTaken {
        /// The new customer.
        object: ObjectRef,
        /// The customer that has the credential.
        user: ObjectRef,
    },
    /// A deferrable pipeline has a stage that must not run twice, but deferred work
    /// may be run again.
    #[snafu(display(
        "{object} is deferrable and has a stage marked `once`; deferred work may be repeated, so drop one of the two"
    ))]
    DeferredOnce {
        /// The pipeline.
        object: ObjectRef,
    },
    /// The object already has the new value.
    #[snafu(display("{object} has that value already; nothing to change"))]
    NoEffect {
        /// The object.
        object: ObjectRef,
    },
}
