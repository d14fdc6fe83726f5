//! Entries of the platform's list of instances.

use std::net::SocketAddr;

use jd_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It is there.
    Live,
    /// It is going away.
    Leaving,
}

/// One instance in the platform's list. The list lags and is wrong at times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Where it answers.
    pub address: SocketAddr,
    /// The pool that it belongs to; none for entry instances.
    pub pool: Option<Name>,
    /// The hall that it stands in.
    pub hall: Name,
    /// What the platform says of it.
    pub state: ListedState,
}
