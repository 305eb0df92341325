//! Settings of a relay: limits on the age of the configuration, and the template that renders them.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tamaracklead::relay::RelaySettings;

fn settings_with(limits: &[(&str, Value)]) -> String {
    let mut settings = json!({
        "instance": "entry-1", "data_centre": "a",
        "listen": {
            "caller": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3", "metrics": null
        },
        "seeds": [], "published": "127.0.0.1:4", "order_lease_ms": 3000, "shutdown_limit_s": 8,
        "retry_ratio": 0.2, "retry_allowance": 58, "retry_window_s": 10
    });
    for (name, value) in limits {
        settings[name] = value.clone();
    }
    settings.to_string()
}

/// Guards against settings files of before that are refused, and against a strict limit that
/// nobody asked for.
#[test]
fn without_limits_keys_have_no_revocation_limit_and_configurations_three_seconds() {
    let limits = RelaySettings::parse(&settings_with(&[])).unwrap().freshness_limits();
    assert_eq!(limits.revocation, None);
    assert_eq!(limits.propagation, Duration::from_secs(3));
}

#[test]
fn both_limits_are_taken_from_the_settings() {
    let text = settings_with(&[
        ("key_revocation_ms", 5000.into()),
        ("config_propagation_ms", 2500.into()),
    ]);
    let limits = RelaySettings::parse(&text).unwrap().freshness_limits();
    assert_eq!(limits.revocation, Some(Duration::from_secs(5)));
    assert_eq!(limits.propagation, Duration::from_millis(2500));
}

/// Guards against limits in seconds instead of milliseconds, with which every key is refused.
#[test]
fn limits_that_no_proof_can_keep_are_refused_by_name() {
    for name in ["key_revocation_ms", "config_propagation_ms"] {
        for value in [json!(0), json!(5), json!(1499), json!(-1), json!(1499.5), json!("5000")] {
            let error = RelaySettings::parse(&settings_with(&[(name, value.clone())])).unwrap_err();
            let (error, is_number) = (error.to_string(), value.is_u64());
            assert!(!is_number || error.contains(name), "{value}: {error}");
        }
    }
}

fn parse_usable(more: &[(&str, Value)]) -> (RelaySettings, Vec<String>) {
    let (settings, faults) = RelaySettings::parse_usable(&settings_with(more)).unwrap();
    (settings, faults.into_iter().map(|fault| fault.name).collect())
}

/// Guards against settings that are refused for a form in which the platform may give a number.
#[test]
fn numbers_are_taken_whole_and_as_fractions() {
    let names = ["order_lease_ms", "key_revocation_ms", "config_propagation_ms", "max_descriptors"];
    for (value, lease_ms) in [(json!(3000), 3000), (json!(3000.0), 3000), (json!(3000.5), 3001)] {
        let settings = settings_with(&names.map(|name| (name, value.clone())));
        let settings = RelaySettings::parse(&settings).unwrap_or_else(|e| panic!("{value}: {e}"));
        // Nobody else may give orders meanwhile, and nothing may be older than these limits.
        assert_eq!(settings.order_lease_ms, lease_ms);
        assert_eq!(settings.key_revocation_ms, Some(3000));
        assert_eq!(settings.config_propagation_ms, Some(3000));
        assert_eq!(settings.max_descriptors, Some(3000));
    }
}

/// Guards against settings that are refused since a deployment has no such bound.
#[test]
fn what_a_deployment_does_not_name_has_a_default() {
    let names = [
        "order_lease_ms",
        "shutdown_limit_s",
        "retry_ratio",
        "retry_allowance",
        "retry_window_s",
        "seeds",
    ];
    let with_null = settings_with(&names.map(|name| (name, Value::Null)));
    let mut without: Value = serde_json::from_str(&settings_with(&[])).unwrap();
    without.as_object_mut().unwrap().retain(|name, _| !names.contains(&name.as_str()));
    for text in [with_null, without.to_string()] {
        let settings = RelaySettings::parse(&text).unwrap();
        assert_eq!(settings.order_lease(), Duration::from_secs(3));
        assert_eq!(settings.shutdown_limit(), Duration::from_secs(8));
        assert_eq!((settings.retry_ratio, settings.retry_allowance), (0.2, 10.0));
        assert_eq!(settings.retry_window(), Duration::from_secs(10));
        assert!(settings.seeds.is_empty());
    }
}

/// Guards against a process that ends for a value that it can do without, and a check that doesn't tell.
#[test]
fn hints_that_cannot_be_used_are_left_out_by_name_and_are_errors_of_a_check() {
    let numbers = [
        "link_mbps",
        "memory_mb",
        "published_history_s",
        "replica_heartbeat_ms",
        "max_descriptors",
        "shutdown_limit_s",
        "retry_window_s",
    ];
    for name in numbers {
        for value in [json!(0), json!(-1), json!("x"), json!(true), json!([]), json!({})] {
            let (settings, faults) = parse_usable(&[(name, value.clone())]);
            let (plain, _) = parse_usable(&[]);
            let expected = RelaySettings { shutdown_limit_s: 8.0, ..plain };
            assert_eq!(settings, expected, "{name}: {value}");
            assert_eq!(faults, [name], "{value}");
            let error = RelaySettings::parse(&settings_with(&[(name, value)])).unwrap_err();
            assert!(error.to_string().contains(name), "{error}");
        }
    }
    for name in ["order_lease_ms", "retry_ratio", "retry_allowance"] {
        for value in [json!(-1), json!("x"), json!(false)] {
            let (_, faults) = parse_usable(&[(name, value)]);
            assert_eq!(faults, [name]);
        }
    }
}

/// Guards against a process that ends for a name that another version of its template writes.
#[test]
fn unknown_names_are_passed_over_and_are_errors_of_a_check() {
    let (_, faults) = parse_usable(&[("unknown", json!(1))]);
    assert_eq!(faults, ["unknown"]);
    let error = RelaySettings::parse(&settings_with(&[("unknown", json!(1))])).unwrap_err();
    assert!(error.to_string().contains("unknown"), "{error}");
}

/// Guards against all seeds that are lost, as one of them isn't an address.
#[test]
fn seeds_that_are_addresses_are_used() {
    let seeds = json!(["127.0.0.1:5", "nowhere", 7, "127.0.0.1:6"]);
    let (settings, faults) = parse_usable(&[("seeds", seeds)]);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(faults, ["seeds", "seeds"]);
}

/// Guards against limits below what proofs keep that end a process, and a strict limit on keys that is
/// raised or dropped.
#[test]
fn limits_that_no_proof_can_keep_are_raised_unless_they_protect_keys() {
    let (settings, faults) = parse_usable(&[("config_propagation_ms", json!(500))]);
    assert_eq!(settings.config_propagation_ms, Some(1500));
    assert_eq!(faults, ["config_propagation_ms"]);
    let (settings, faults) = parse_usable(&[("key_revocation_ms", json!(500))]);
    assert_eq!(settings.key_revocation_ms, Some(500));
    assert_eq!(faults, ["key_revocation_ms"]);
    for value in [json!("x"), json!(0), json!(-1), json!(true)] {
        let settings = settings_with(&[("key_revocation_ms", value.clone())]);
        assert!(RelaySettings::parse_usable(&settings).is_err(), "{value}");
    }
}

/// Guards against a process that runs without knowing who and where it is.
#[test]
fn settings_without_what_nothing_replaces_are_refused() {
    for name in ["instance", "data_centre", "listen", "published"] {
        for value in [Value::Null, json!(7)] {
            let text = settings_with(&[(name, value.clone())]);
            let refused = RelaySettings::parse_usable(&text);
            let error = refused.expect_err(&format!("{name}: {value}")).to_string();
            assert!(error.contains(name), "{error}");
        }
    }
}

/// Guards against metrics that hold an address which is needed.
#[test]
fn metrics_at_an_address_that_is_needed_are_left_out() {
    for (metrics, is_left) in [("127.0.0.1:1", true), ("0.0.0.0:3", true), ("127.0.0.2:1", false)] {
        let listen = json!({
            "caller": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3", "metrics": metrics
        });
        let (settings, faults) = parse_usable(&[("listen", listen)]);
        assert_eq!(settings.listen.metrics.is_none(), is_left, "{metrics}");
        assert_eq!(faults.len(), usize::from(is_left), "{faults:?}");
    }
}

/// Guards against a process that panics at its start or when it shuts down, since a time in its
/// settings is longer than any clock can hold.
#[test]
fn times_beyond_a_day_are_refused_by_name() {
    for name in ["shutdown_limit_s", "retry_window_s"] {
        for value in [86_400.1, 1e20, 1e300, 0.0, -1.0] {
            let settings = settings_with(&[(name, value.into())]);
            let error = RelaySettings::parse(&settings).unwrap_err().to_string();
            assert!(error.contains(name), "{value}: {error}");
        }
        assert!(RelaySettings::parse(&settings_with(&[(name, 86_400.into())])).is_ok());
    }
}

/// Renders a section if `value` is given, and what it names within; none if an outer one is left out.
fn render_section(template: &str, section: &str, value: Option<&str>) -> String {
    let (open, close) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
    if !template.contains(&open) {
        return template.to_owned();
    }
    let (before, rest) = template.split_once(&open).unwrap();
    let (within, after) = rest.split_once(&close).unwrap();
    format!("{before}{}{after}", value.map_or(String::new(), |_| within.to_owned()))
}

/// Guards against a template that is no JSON with one of the limits and without the other.
#[test]
fn the_template_renders_valid_settings_with_and_without_the_limits() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/settings.json.template");
    let template = fs::read_to_string(path).unwrap();
    for strict in [None, Some("true")] {
        for config_ms in [None, Some("2800")] {
            let text = render_section(&template, "bounds.strict_revoke", strict);
            let text = render_section(&text, "bounds.config_ms", config_ms);
            let link_mbps = strict.map(|_| "10.0");
            let text = render_section(&text, "provider.history_s", link_mbps);
            let text = render_section(&text, "bounds.revoke_ms", strict.or(Some("")));
            let bounds = ["lease_ms", "grace_s", "retry_ratio", "budget_slack", "budget_window_s"];
            let text = bounds.iter().fold(text, |text, name| {
                render_section(&text, &format!("bounds.{name}"), link_mbps)
            });
            let text = render_section(&text, "ip", Some("")).replace("{{^ip}}null{{/ip}}", "");
            let text = render_section(&text, "seeds", None);
            let text = render_section(&text, "heartbeat_ms", link_mbps);
            let text = render_section(&text, "limits.link_mbps", link_mbps);
            let text = render_section(&text, "limits.memory_mb", link_mbps);
            let mut text = render_section(&text, "limits.max_fds", link_mbps);
            let values = [
                ("node_name|json", "\"entry-1\""),
                ("zone|json", "\"a\""),
                ("listen.front|json", "\"127.0.0.1:1\""),
                ("listen.ready|json", "\"127.0.0.1:2\""),
                ("listen.control|json", "\"127.0.0.1:3\""),
                ("ip", "127.0.0.1"),
                ("provider.addr|json", "\"127.0.0.1:4\""),
                ("provider.history_s|json", "20"),
                ("heartbeat_ms|json", "1200"),
                ("bounds.lease_ms|json", "3000"),
                ("bounds.grace_s|json", "8"),
                ("bounds.retry_ratio|json", "0.2"),
                ("bounds.budget_slack|json", "58"),
                ("bounds.budget_window_s|json", "10"),
                ("bounds.revoke_ms|json", "5000"),
                ("bounds.config_ms|json", "2800"),
                ("limits.link_mbps|json", "10.0"),
                ("limits.memory_mb|json", "260"),
                ("limits.max_fds|json", "4100"),
            ];
            for (name, value) in values {
                text = text.replace(&format!("{{{{{name}}}}}"), value);
            }
            let settings = RelaySettings::parse(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
            assert_eq!(settings.key_revocation_ms, strict.map(|_| 5000));
            assert_eq!(settings.config_propagation_ms, config_ms.map(|_| 2800));
            assert_eq!(settings.link_mbps(), link_mbps.map_or(0, |_| 10));
            let kept_for = settings.published_history().map(|time| time.as_secs());
            assert_eq!(kept_for, link_mbps.map(|_| 20));
            let heartbeat = settings.replica_heartbeat().map(|time| time.as_millis());
            assert_eq!(heartbeat, link_mbps.map(|_| 1200));
            assert_eq!(settings.memory_mb, link_mbps.map(|_| 260.0));
            assert_eq!(settings.max_descriptors, link_mbps.map(|_| 4100));
        }
    }
}
