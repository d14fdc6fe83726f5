//! The operators' query and command language.
//!
//! Small on purpose: `show` asks what is running, `explain` asks what was
//! decided and why, and `create`, `set` and `drop` are changes, each of one
//! object. One line is one command. An error points at the column and says
//! what was expected there.
//!
//! # Examples
//!
//! ```
//! let e = jd_lang::parse("set customer ranges limit many");
//! assert_eq!(e.map_err(|e| e.column), Err(27));
//! ```

mod command;
mod grammar;
mod parse_error;
mod words;

pub use command::Command;
pub use command::Explain;
pub use command::Show;
pub use grammar::parse;
pub use parse_error::ParseError;
