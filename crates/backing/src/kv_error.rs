//! How a call to the platform's key-value service can fail.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// How a call to the platform's key-value service can fail. The two kinds
/// differ in what may be said about a write.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq, Serialize, Deserialize)]
pub enum KvError {
    /// The call did not take effect.
    #[snafu(display("the platform's key-value service is not available; try again later"))]
    Unavailable,
    /// No answer came: a write may have taken effect.
    #[snafu(display(
        "no answer from the platform's key-value service; read back before you go on"
    ))]
    Lost,
}
