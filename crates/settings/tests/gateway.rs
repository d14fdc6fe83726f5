//! Tests of gateway settings: valid and invalid files, and error messages.

#![allow(clippy::expect_used, clippy::panic)]

use jd_settings::GATEWAY_KEYS;
use jd_settings::GatewaySettings;
use test_case::test_case;

const VALID: &str = "\
[instance]
name = edge-1
zone = hall-a
callers = 127.0.0.1:7001
ready = 127.0.0.1:7002
locate = 127.0.0.1:7003
peers = 127.0.0.1:7004
metrics = 127.0.0.1:7005
[store]
address = 127.0.0.1:7000
";

fn parse(text: &str) -> Result<GatewaySettings, String> {
    GatewaySettings::parse("x.ini", text).map_err(|e| e.to_string())
}

#[test]
fn defaults_replace_omitted_keys() {
    let settings = parse(VALID).expect("valid");
    assert_eq!(settings.threads, 1);
    assert_eq!(settings.memory_bytes, 256_000_000);
    assert_eq!(settings.max_staleness.as_millis(), 3_000);
    assert_eq!(settings.grace_period.as_millis(), 8_000);
    assert!(!settings.first_start);
}

#[test]
fn fractional_numbers_are_accepted() {
    let text = format!("{VALID}[stop]\ngrace-s = 7.5\n[repeats]\nratio = 0.25\nslack = 56.0\n");
    let settings = parse(&text).expect("valid");
    assert_eq!(settings.grace_period.as_millis(), 7_500);
}

#[test_case("zone = hall-a", "zone = Hall A", &["zone", "Hall A", "lower-case"]; "an invalid name")]
#[test_case("name = edge-1", "nam = edge-1", &["nam", "name, zone, callers"]; "an unknown key")]
#[test_case("name = edge-1\n", "", &["name", "missing"]; "a missing key")]
#[test_case("peers = 127.0.0.1:7004", "peers = 127.0.0.1:7004\nfirst-start = maybe", &["first-start", "maybe", "true or false"]; "an invalid boolean")]
#[test_case("peers = 127.0.0.1:7004", "peers = 127.0.0.1:7004\nmemory-mb = 63", &["memory-mb", "63", "64 to"]; "too little memory")]
#[test_case("peers = 127.0.0.1:7004", "peers = here", &["peers", "here", "IP:port"]; "an invalid address")]
fn an_error_names_the_key_the_value_and_the_remedy(old: &str, new: &str, parts: &[&str]) {
    let error = parse(&VALID.replace(old, new)).expect_err("not valid");
    for part in parts.iter().chain(&["x.ini"]) {
        assert!(error.contains(part), "{error}");
    }
}

#[test]
fn every_key_is_on_the_gateway_settings_page() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operators/gateway-settings.md"
    );
    let page = std::fs::read_to_string(path).expect("the page");
    for key in GATEWAY_KEYS {
        let row = format!("| `{}` | `{}` | {} |", key.section, key.key, key.unit);
        assert!(page.contains(&row), "{row}");
    }
}

/// The platform fills in the placeholders of the template. A key in it that the daemon does
/// not know would keep every instance from starting.
#[test]
fn the_deployment_template_has_only_known_keys() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/gateway.ini");
    let template = std::fs::read_to_string(path).expect("the template");
    let mut section = "";
    for line in template.lines() {
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            section = name;
        }
        if let Some((key, _)) = line.split_once(" = ") {
            let known = GATEWAY_KEYS
                .iter()
                .any(|k| (k.section, k.key) == (section, key));
            assert!(known, "[{section}] {key}");
        }
    }
}
