//! The words that commands are made of.

use jd_types::Incarnation;
use jd_types::Name;
use jd_types::Priority;
use jd_types::RequestId;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::error::ContextError;
use winnow::error::ErrMode;
use winnow::error::StrContext;
use winnow::error::StrContextValue;
use winnow::stream::Stream;
use winnow::token::take_while;

/// What parsers read from.
pub(crate) type Input<'s> = &'s str;

/// An error that says what should have been there.
pub(crate) fn expected<T>(what: &'static str) -> ModalResult<T> {
    let mut e = ContextError::new();
    e.push(StrContext::Expected(StrContextValue::Description(what)));
    Err(ErrMode::Cut(e))
}

/// The next word; empty at the end of the line.
fn next<'s>(input: &mut Input<'s>) -> ModalResult<&'s str> {
    multispace0.parse_next(input)?;
    take_while(0.., |c: char| !c.is_whitespace() && c != ',').parse_next(input)
}

/// The next word if `read` makes something of it. Otherwise the input stays at
/// the word, so that the error's column is the word's.
pub(crate) fn word<'s, T>(
    input: &mut Input<'s>,
    what: &'static str,
    read: impl FnOnce(&'s str) -> Option<T>,
) -> ModalResult<T> {
    multispace0.parse_next(input)?;
    let start = input.checkpoint();
    let text = next(input)?;
    match read(text) {
        Some(value) => Ok(value),
        None => {
            input.reset(&start);
            expected(what)
        }
    }
}

/// The next word without taking it; empty at the end of the line.
pub(crate) fn peek<'s>(input: &mut Input<'s>) -> ModalResult<&'s str> {
    multispace0.parse_next(input)?;
    let start = input.checkpoint();
    let text = next(input)?;
    input.reset(&start);
    Ok(text)
}

/// Exactly that word.
pub(crate) fn keyword(input: &mut Input<'_>, text: &'static str) -> ModalResult<()> {
    word(input, text, |w| (w == text).then_some(()))
}

/// Takes that word if it is next; false if it is not.
pub(crate) fn flag(input: &mut Input<'_>, text: &'static str) -> ModalResult<bool> {
    let there = peek(input)? == text;
    if there {
        keyword(input, text)?;
    }
    Ok(there)
}

/// A name.
pub(crate) fn name(input: &mut Input<'_>, what: &'static str) -> ModalResult<Name> {
    word(input, what, |w| Name::try_from(w).ok())
}

/// A whole number.
pub(crate) fn number(input: &mut Input<'_>, what: &'static str) -> ModalResult<u32> {
    word(input, what, |w| w.parse().ok())
}

/// A priority.
pub(crate) fn priority(input: &mut Input<'_>) -> ModalResult<Priority> {
    word(input, "high, normal or low", |w| Priority::try_from(w).ok())
}

/// A duration such as `3s` or `1500ms`, in milliseconds.
pub(crate) fn millis(input: &mut Input<'_>) -> ModalResult<u32> {
    word(input, "a duration such as 3s or 1500ms", |w| {
        let (digits, factor) = match (w.strip_suffix("ms"), w.strip_suffix('s')) {
            (Some(d), _) => (d, 1),
            (None, Some(d)) => (d, 1_000),
            (None, None) => return None,
        };
        digits.parse::<u32>().ok()?.checked_mul(factor)
    })
}

/// A request's identity.
pub(crate) fn request(input: &mut Input<'_>) -> ModalResult<RequestId> {
    word(input, "a request such as 00c0ffee00c0ffee-17", |w| {
        let (entry, number) = w.split_once('-')?;
        let entry = Incarnation::try_from(entry).ok()?;
        Some(RequestId {
            entry,
            number: number.parse().ok()?,
        })
    })
}
