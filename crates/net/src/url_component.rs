//! Text of others as a component of a URL, or as an element of a list.

use std::borrow::Cow;

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::PercentEncode;
use percent_encoding::percent_decode_str;
use percent_encoding::percent_encode;

/// All bytes but the unreserved ones of RFC 3986, section 2.3. A blank becomes `%20`, which has one
/// meaning both in URLs and in forms.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes bytes so that no character of them has a meaning of its own in a URL, a header or a list.
pub fn encode_component(bytes: &[u8]) -> PercentEncode<'_> {
    percent_encode(bytes, ESCAPED)
}

/// Decodes what [`encode_component`] encoded; none if it is not UTF-8. Text without escapes is
/// returned as it is.
pub fn decode_component(text: &str) -> Option<Cow<'_, str>> {
    percent_decode_str(text).decode_utf8().ok()
}
