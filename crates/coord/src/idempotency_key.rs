//! Idempotency keys and the instance that they are bound to.

use std::fmt;

use compact_str::CompactString;
use jd_types::Incarnation;
use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

/// The longest key, in bytes.
const MAX_KEY: usize = 128;
/// What a bound key starts with.
const BOUND: &str = "b1.";

/// Which life of which instance may dispatch a key, and in which epoch of that
/// life it was handed out. Written `b1.<incarnation>.<epoch>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Binding {
    /// The instance's life.
    pub incarnation: Incarnation,
    /// The epoch, counted by that instance.
    pub epoch: u64,
}

impl fmt::Display for Binding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{BOUND}{}.{:x}", self.incarnation, self.epoch)
    }
}

/// Text that is not an idempotency key.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum KeyError {
    /// It is empty, too long, or has other characters.
    #[snafu(display(
        "an idempotency key is 1 to 128 letters, digits, dots, hyphens and underscores"
    ))]
    Characters,
    /// It starts like a bound key and is none.
    #[snafu(display(
        "a bound key is the binding from the locate answer, a dot, and text of your own"
    ))]
    Binding,
}

/// A checked idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    text: CompactString,
    binding: Option<Binding>,
}

impl IdempotencyKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The instance that it is bound to, if it is.
    pub fn binding(&self) -> Option<Binding> {
        self.binding
    }

    /// A key under `binding`; `nonce` must not be used twice.
    pub fn bound(binding: Binding, nonce: u64) -> IdempotencyKey {
        let text = compact_str::format_compact!("{binding}.{nonce:016x}");
        IdempotencyKey {
            text,
            binding: Some(binding),
        }
    }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<IdempotencyKey, KeyError> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let fits = !text.is_empty() && text.len() <= MAX_KEY;
        ensure!(fits && text.bytes().all(allowed), CharactersSnafu);
        let binding = match text.strip_prefix(BOUND) {
            None => None,
            Some(rest) => Some(parse_binding(rest)?),
        };
        Ok(IdempotencyKey {
            text: CompactString::from(text),
            binding,
        })
    }
}

fn parse_binding(rest: &str) -> Result<Binding, KeyError> {
    let mut parts = rest.splitn(3, '.');
    let incarnation = parts.next().and_then(|t| Incarnation::try_from(t).ok());
    let epoch = parts.next().and_then(parse_epoch);
    let nonce = parts.next().filter(|t| !t.is_empty());
    nonce.context(BindingSnafu)?;
    let incarnation = incarnation.context(BindingSnafu)?;
    let epoch = epoch.context(BindingSnafu)?;
    Ok(Binding { incarnation, epoch })
}

/// One spelling only: a second spelling of the same binding would be a second
/// key for the same run.
fn parse_epoch(text: &str) -> Option<u64> {
    let epoch = u64::from_str_radix(text, 16).ok()?;
    (format!("{epoch:x}") == text).then_some(epoch)
}
