//! Tests of settings: valid and invalid files, and error messages.

#![allow(clippy::unwrap_used, clippy::panic)]

use jd_settings::KEYS;
use jd_settings::RawSettings;
use jd_settings::Settings;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const VALID: &str = "\
[instance]
hall = a
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003
[platform]
key-value = 127.0.0.1:7000
instances = 127.0.0.1:7000
";

fn parse(text: &str) -> Result<Settings, String> {
    let raw = RawSettings::parse("x.ini", text).map_err(|e| e.to_string())?;
    Settings::try_from(&raw).map_err(|e| e.to_string())
}

#[test]
fn defaults_replace_omitted_keys() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.instance.threads, 4);
    assert_eq!(settings.callers.answer_lifetime.as_millis(), 5_000);
}

#[test]
fn every_default_is_within_its_bounds() {
    let mut text = VALID.to_owned();
    for section in ["callers", "work", "log"] {
        text.push_str(&format!("[{section}]\n"));
        for k in KEYS.iter().filter(|k| k.section == section) {
            text.push_str(&format!("{} = {}\n", k.key, k.default.unwrap()));
        }
    }
    assert!(parse(&text).is_ok());
}

#[test_case(
    "hall = a",
    "hall = A b",
    "x.ini: [instance] hall = A b: not valid; give name, 1 to 48 lower-case letters, digits, hyphens"
)]
#[test_case(
    "callers = 127.0.0.1:7001\n",
    "",
    "x.ini: [instance] callers: missing; add `callers = IP:port`, an address of this instance"
)]
#[test_case(
    "callers = 127.0.0.1:7001",
    "callers = localhost:7001",
    "x.ini: [instance] callers = localhost:7001: not valid; give IP:port, an address of this instance"
)]
#[test_case(
    "peers = 127.0.0.1:7002",
    "peers = 127.0.0.1:7001",
    "x.ini: [instance] callers and peers are both 127.0.0.1:7001; give each its own port"
)]
#[test_case(
    "hall = a",
    "hall = a\nthreads = 0",
    "x.ini: [instance] threads = 0: not valid; give threads, 1 to 64"
)]
#[test_case(
    "hall = a",
    "hall = a\nhal = b",
    "x.ini: [instance] hal: no such key; keys of [instance] are hall, callers, peers, operators, threads"
)]
#[test_case(
    "[platform]",
    "[plattform]",
    "x.ini: [plattform] key-value: no such key; sections are instance, platform, callers, work, log, operators"
)]
#[test_case(
    "hall = a",
    "hall = a\nhall = b",
    "x.ini: [instance] hall: given more than once; keep one of them"
)]
#[test_case(
    "[platform]",
    "[operators]\nalice = secret\n[platform]",
    "x.ini: [operators] alice = secret: not valid; give SHA-256 of the operator's credential, 64 hexadecimal digits"
)]
fn an_error_names_file_key_and_remedy(from: &str, to: &str, expected: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_eq!(parse(&text).unwrap_err(), expected);
}

#[test]
fn the_examples_are_valid() {
    for name in ["karrabin-1", "karrabin-2", "hearthgate-1", "hearthgate-2"] {
        let path = format!("{}/../../examples/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        let raw = RawSettings::read(std::path::Path::new(&path)).unwrap();
        Settings::try_from(&raw).unwrap();
    }
}

#[test]
fn every_key_is_on_the_operators_page() {
    let path = format!(
        "{}/../../docs/operators/settings.md",
        env!("CARGO_MANIFEST_DIR")
    );
    let page = std::fs::read_to_string(path).unwrap();
    for k in KEYS {
        let row = page
            .lines()
            .find(|l| l.contains(&format!("| `{}` | `{}` |", k.section, k.key)));
        let row = row.unwrap_or_else(|| panic!("[{}] {} is not on the page", k.section, k.key));
        assert!(row.contains(k.bounds) && row.contains(k.unit), "{row}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Any text is either accepted or rejected with an error; the parser never panics.
    #[test]
    fn any_text_is_accepted_or_rejected(text in "(\\[[a-z]{0,9}\\]|[a-z-]{0,9} ?= ?|127.0.0.1:7|\n|;|\\PC){0,60}") {
        drop(parse(&text));
    }
}
