//! Which texts are identities of upstreams.

#![allow(clippy::expect_used, clippy::panic)]

use jd_types::HeaderText;
use jd_types::UpstreamId;
use proptest::prelude::ProptestConfig;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// Guards against leaving out upstreams whose names are odd but harmless.
#[test_case("i-7f3a91c2"; "as engines name themselves")]
#[test_case("i 1"; "a blank inside")]
#[test_case("a,b"; "a comma")]
#[test_case("a%#&+=?/;\"'<>{}"; "separators")]
#[test_case("ié漢"; "letters beyond ASCII")]
fn an_odd_name_is_an_identity(text: &str) {
    let id = UpstreamId::try_from(text).expect("an identity");
    assert_eq!(id.as_str(), text);
}

/// Guards against identities that no header carries, or that arrive as another one.
#[test_case(""; "empty")]
#[test_case(" i"; "a blank at the beginning")]
#[test_case("i "; "a blank at the end")]
#[test_case("i\u{a0}"; "a wide blank at the end")]
#[test_case("i\t1"; "a tab")]
#[test_case("i\n1"; "a line feed")]
#[test_case("i\r\nx: 1"; "a header")]
#[test_case("i\u{0}"; "a zero")]
#[test_case("i\u{7f}"; "a delete character")]
#[test_case("i\u{85}"; "a control character beyond ASCII")]
fn a_name_that_no_header_carries_is_no_identity(text: &str) {
    assert!(UpstreamId::try_from(text).is_err());
}

#[test]
fn a_name_longer_than_a_key_is_no_identity() {
    assert!(UpstreamId::try_from("i".repeat(200).as_str()).is_ok());
    assert!(UpstreamId::try_from("i".repeat(201).as_str()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever text a header is to carry, it has no byte that ends or changes the header.
    #[test]
    fn a_header_text_has_no_byte_that_ends_a_header(text: String) {
        if let Ok(text) = HeaderText::try_from(text.as_str()) {
            assert!(text.as_str().bytes().all(|b| b >= b' ' && b != 0x7f));
            assert_eq!(text.as_str().trim_matches(' '), text.as_str());
        }
    }
}
