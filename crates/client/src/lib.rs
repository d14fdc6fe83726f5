//! A caller's client.
//!
//! It follows the rules that callers have to follow for the system to keep its
//! word: it keeps a locate answer for its lifetime and no longer, it begins a
//! key with the binding of the address that it uses, it makes another key only
//! when the first provably has not run, and after an answer that got lost it
//! asks again with the same key. It comes back when a refusal says so, and not
//! before.

mod call;
mod client;
mod directory;
mod exchange;
mod outcome;

pub use call::Call;
pub use client::Client;
pub use client::ClientConfig;
pub use outcome::CallReport;
pub use outcome::Outcome;
