//! Settings are checked as a whole: no fault hides another, each has its JSON path, and keys
//! are never shown.

use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tamaracklead::settings::LogLevel;
use tamaracklead::settings::Settings;

fn valid_settings() -> Value {
    json!({
        "instance": "entry-1",
        "data_centre": "cairo-a",
        "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0"},
        "platform": {"configuration": "127.0.0.1:7001", "instances": "127.0.0.1:7002"},
        "keys": {
            "peers": {"value": "peers-key-of-16-bytes"},
            "tickets": {"value": "tickets-key-of-16-bytes"},
        },
    })
}

fn faults_of(settings: &Value) -> Vec<String> {
    match Settings::parse(&settings.to_string(), Path::new(".")) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

fn settings_with(pointer: &str, value: Value) -> Value {
    let mut settings = valid_settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    settings.pointer_mut(parent).unwrap()[key] = value;
    settings
}

#[test]
fn absent_sections_have_defaults() {
    let settings = Settings::parse(&valid_settings().to_string(), Path::new(".")).unwrap();
    assert_eq!(settings.limits.body_bytes, 1024 * 1024);
    assert_eq!(settings.limits.default_deadline, Duration::from_secs(30));
    assert_eq!(settings.telemetry.log_level, LogLevel::Info);
    assert_eq!(settings.shutdown.hard_limit, None);
    assert_eq!(settings.listen.operator, None);
    assert!(settings.keys.callers.is_none());
}

#[test]
fn every_fault_is_reported_at_once() {
    let settings = json!({
        "instance": "",
        "listen": {"caller": "localhost:80", "peer": 7, "operator": "127.0.0.1:9", "x": 1},
        "platform": [],
        "keys": {"peers": {"value": "short"}, "tickets": {"path": "p"}, "callers": {}},
        "limits": {"body_bytes": -1, "concurrent_requests": "many", "head_timeout_ms": 0},
        "telemetry": {"log_level": "loud", "statsd": "host"},
        "shutdown": {"hard_limit_s": 0, "grace_s": 1},
        "extra": null,
    });
    insta::assert_snapshot!(faults_of(&settings).join("\n"));
}

#[test]
fn each_fault_has_the_path_of_its_value() {
    let cases = [
        ("/instance", json!("a b"), "$.instance: "),
        ("/data_centre", json!(4), "$.data_centre: expected a string, found a number"),
        ("/listen/caller", json!("127.0.0.1"), "$.listen.caller: \"127.0.0.1\" is not an IP"),
        ("/listen/peer", json!("0.0.0.0:9"), "$.listen.peer_advertised: required"),
        ("/listen/peer_advertised", json!("0.0.0.0:9"), "$.listen.peer_advertised: not an address"),
        ("/listen/peer_advertised", json!("127.0.0.1:0"), "$.listen.peer_advertised: not an addr"),
        ("/listen/operator", json!("127.0.0.1:1"), "$.keys.operators: required"),
        ("/platform/weight_store", json!("store:1"), "$.platform.weight_store: \"store:1\""),
        ("/keys/peers", json!({"file": "/no/such/key"}), "$.keys.peers: key file /no/such/key"),
        ("/keys/callers", json!({"app": {"value": "short"}}), "$.keys.callers.app: key of 5 bytes"),
        ("/keys/callers", json!({}), "$.keys.callers: names no caller"),
        ("/limits", json!({"header_count": 4096}), "$.limits.header_count: 4096 is not a whole"),
        ("/limits", json!([]), "$.limits: expected an object, found an array"),
        ("/telemetry", json!({"otlp": "::1"}), "$.telemetry.otlp: \"::1\" is not an IP address"),
        ("/unknown", json!(true), "$.unknown: unknown key"),
    ];
    for (pointer, value, expected) in cases {
        let faults = faults_of(&settings_with(pointer, value));
        assert_eq!(faults.len(), 1, "{pointer}: {faults:?}");
        assert!(faults[0].starts_with(expected), "{pointer}: {faults:?}");
    }
}

#[test]
fn two_listeners_with_one_address_are_a_fault() {
    let mut settings = valid_settings();
    settings["listen"] = json!({"caller": "127.0.0.1:9", "peer": "127.0.0.1:9"});
    assert_eq!(faults_of(&settings), ["$.listen.peer: same address as caller"]);
}

#[test]
fn text_that_is_no_json_object_is_one_fault_of_the_root() {
    for text in ["", "[]", "{", "nul"] {
        let faults = Settings::parse(text, Path::new(".")).unwrap_err();
        assert_eq!(faults.len(), 1, "{text:?}");
        assert_eq!(faults[0].path, "$", "{text:?}");
    }
    let faults = Settings::load(Path::new("/no/such/settings.json")).unwrap_err();
    assert_eq!(faults[0].path, "$");
}

#[test]
fn debug_output_never_shows_a_key() {
    let settings =
        settings_with("/keys/callers", json!({"app": {"value": "callers-key-of-16-bytes"}}));
    let settings = Settings::parse(&settings.to_string(), Path::new(".")).unwrap();
    let shown = format!("{settings:?}");
    assert!(!shown.contains("key-of-16-bytes"), "{shown}");
    assert_eq!(settings.keys.peers.as_bytes(), b"peers-key-of-16-bytes");
}

#[test]
fn the_example_settings_are_valid_and_documented() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/examples");
    let readme = std::fs::read_to_string(dir.join("README.md")).unwrap();
    for name in ["nakhla.json", "pamoja.json"] {
        Settings::load(&dir.join(name)).unwrap_or_else(|faults| panic!("{name}: {faults:?}"));
        let text = std::fs::read_to_string(dir.join(name)).unwrap();
        let Value::Object(sections) = serde_json::from_str(&text).unwrap() else { panic!() };
        for (section, values) in sections {
            let Value::Object(values) = values else { continue };
            for key in values.keys() {
                let path = format!("`$.{section}.{key}`");
                assert!(readme.contains(&path), "{path} of {name} isn't explained");
            }
        }
    }
}
