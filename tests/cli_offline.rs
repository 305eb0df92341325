//! The tool's commands that need no fleet, driven through the real program.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use serde_json::json;
use tamaracklead::cli::Exit;
use tamaracklead::cli::Table;
use tamaracklead::decide::config::Snapshot;

struct Run {
    code: i32,
    out: String,
    err: String,
}

fn tool(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_tamaracklead"))
        .args(args)
        .env("COLUMNS", "72")
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{name}"));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(dir.join("pages")).unwrap();
    dir
}

fn page() -> Value {
    json!({"adapters": {
        "heats": {"model": "base", "versions": [1, 2]},
        "lanes": {"model": "base", "versions": [7]},
        "seeding-explained-to-coaches-of-county-teams": {"model": "base", "versions": [3]},
    }})
}

fn root() -> Value {
    json!({
        "generation": 12,
        "preset": "ordinary",
        "presets": {
            "ordinary": {"stall_weight": 40, "pinned": ["lanes"], "priorities": {"lanes": 3}},
            "gala": {
                "stall_weight": 90,
                "pinned": ["heats", "seeding-explained-to-coaches-of-county-teams"],
                "priorities": {"heats": 9},
                "accepting": false,
            },
        },
        "pages": [{"name": "p0", "hash": ""}],
    })
}

/// Writes a configuration; an empty hash is filled in with the page's own.
fn publish(name: &str, mut root: Value, pages: &[(&str, &[u8])]) -> PathBuf {
    let dir = dir(name);
    for (name, bytes) in pages {
        fs::write(dir.join("pages").join(format!("{name}.json")), bytes).unwrap();
        let Some(refs) = root.pointer_mut("/pages").and_then(Value::as_array_mut) else { continue };
        for page in refs {
            if page["name"] == *name && page["hash"] == "" {
                page["hash"] = json!(Snapshot::hash(bytes));
            }
        }
    }
    fs::write(dir.join("root.json"), root.to_string()).unwrap();
    dir
}

fn publish_good(name: &str) -> PathBuf {
    publish(name, root(), &[("p0", page().to_string().as_bytes())])
}

#[test]
fn settings_check_accepts_the_examples() {
    let run = tool(&["settings", "check", "docs/examples/nakhla.json"]);
    assert_eq!(run.code, i32::from(Exit::Success.code()), "{}", run.err);
    assert_eq!(run.out, "docs/examples/nakhla.json: no faults\n");
}

#[test]
fn settings_check_names_every_fault() {
    let file = dir("settings").join("bad.json");
    fs::write(&file, r#"{"instance": "a", "data_centre": "", "keys": {}}"#).unwrap();
    let run = tool(&["settings", "check", file.to_str().unwrap()]);
    assert_eq!(run.code, i32::from(Exit::ConditionNotMet.code()));
    insta::assert_snapshot!("settings_check", run.out);
    let run = tool(&["settings", "check", "--json", file.to_str().unwrap()]);
    let report: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(report["faults"].as_array().unwrap().len(), 5);
    assert_eq!(report["faults"][0]["path"], "$.data_centre");
}

#[test]
fn config_check_accepts_a_good_configuration() {
    let dir = publish_good("good");
    let run = tool(&["config", "check", dir.to_str().unwrap(), "--slots", "base=2"]);
    assert_eq!(run.out, "generation 12, preset ordinary, 3 adapters\nno findings\n");
    assert_eq!(run.code, 0);
    let by_root = tool(&["config", "check", dir.join("root.json").to_str().unwrap()]);
    assert_eq!(by_root.out, run.out);
}

#[test]
fn config_check_names_each_fault() {
    let good_page = page().to_string();
    let with = |pointer: &str, value: Value| {
        let mut root = root();
        *root.pointer_mut(pointer).unwrap() = value;
        root
    };
    let no_version = json!({"adapters": {"heats": {"model": "base", "versions": []}}}).to_string();
    let cases: [(&str, Value, &str); 10] = [
        ("preset", with("/preset", json!("night")), "root.json $.preset: preset \"night\""),
        ("hash", with("/pages/0/hash", json!("00")), "root.json $.pages[0]: hash \"00\", but"),
        (
            "pinned",
            with("/presets/gala/pinned", json!(["heats", "relay"])),
            "root.json $.presets.gala.pinned[1]: adapter \"relay\" is not published",
        ),
        (
            "pinned-twice",
            with("/presets/gala/pinned", json!(["heats", "heats"])),
            "root.json $.presets.gala.pinned[1]: adapter \"heats\" is pinned twice",
        ),
        (
            "slots",
            with("/presets/gala/pinned", json!(["heats", "lanes"])),
            "root.json $.presets.gala.pinned: 2 adapters of base model \"base\" for 1 slots",
        ),
        (
            "priority",
            with("/presets/gala/priorities", json!({"heats": 10})),
            "root.json $.presets.gala.priorities.heats: 10 is over 9",
        ),
        (
            "priority-unknown",
            with("/presets/gala/priorities", json!({"relay": 1})),
            "root.json $.presets.gala.priorities.relay: adapter is not published",
        ),
        (
            "weight",
            with("/presets/gala/stall_weight", json!(101)),
            "root.json $.presets.gala.stall_weight: 101 is over 100",
        ),
        (
            "missing",
            with("/pages", json!([{"name": "p0", "hash": ""}, {"name": "p1", "hash": "0"}])),
            "root.json $.pages[1]: page \"p1\" does not exist",
        ),
        ("unknown", with("/pages/0", json!({"x": 1})), "root.json: unknown field `x`"),
    ];
    for (name, mut root, expected) in cases {
        if name == "slots" {
            root["presets"]["ordinary"]["pinned"] = json!([]);
        }
        let dir = publish(name, root, &[("p0", good_page.as_bytes())]);
        let slots = if name == "slots" { "base=1" } else { "base=8" };
        let run = tool(&["config", "check", dir.to_str().unwrap(), "--slots", slots]);
        assert_eq!(run.code, i32::from(Exit::ConditionNotMet.code()), "{name}: {}", run.out);
        assert!(run.out.starts_with(expected), "{name}: {}", run.out);
        assert!(run.out.ends_with("1 finding\n"), "{name}: {}", run.out);
    }
    let mut root = root();
    root["presets"] = json!({"ordinary": {}});
    let dir = publish("versions", root, &[("p0", no_version.as_bytes()), ("p9", b"{}")]);
    let run = tool(&["config", "check", dir.to_str().unwrap()]);
    insta::assert_snapshot!("config_check", run.out);
}

#[test]
fn config_check_refuses_values_over_the_limit() {
    let mut large = page().to_string();
    large.push_str(&" ".repeat(1_000_000));
    let dir = publish("large", root(), &[("p0", large.as_bytes())]);
    let run = tool(&["config", "check", dir.to_str().unwrap()]);
    assert!(run.out.starts_with("pages/p0.json: "), "{}", run.out);
    assert!(run.out.contains("over the limit of 1000000"), "{}", run.out);
}

#[test]
fn preset_diff_shows_loads_evictions_and_store_time() {
    let dir = publish_good("diff");
    let path = dir.to_str().unwrap();
    let run = tool(&["preset", "diff", path, "ordinary", "gala", "--loads-per-s", "2"]);
    assert_eq!(run.code, 0, "{}", run.err);
    insta::assert_snapshot!("preset_diff", run.out);
    let run = tool(&["preset", "diff", path, "ordinary", "gala", "--json"]);
    insta::assert_snapshot!("preset_diff_json", run.out);
    let run = tool(&["preset", "diff", path, "gala", "gala"]);
    assert!(run.out.contains("0 to load, 0 may be evicted, 2 stay pinned"), "{}", run.out);
}

#[test]
fn files_that_can_not_be_read_are_a_usage_error() {
    let dir = publish_good("usage");
    let path = dir.to_str().unwrap();
    let cases: [&[&str]; 6] = [
        &["config", "check", "/no/such/dir"],
        &["preset", "diff", path, "ordinary", "night"],
        &["preset", "diff", path, "ordinary"],
        &["config", "check", path, "--slots", "base"],
        &["config"],
        &["nothing"],
    ];
    for args in cases {
        let run = tool(args);
        assert_eq!(run.code, i32::from(Exit::Usage.code()), "{args:?}: {}", run.err);
        assert!(!run.err.is_empty(), "{args:?}");
        assert!(run.out.is_empty(), "{args:?}: {}", run.out);
    }
    let run = tool(&["preset", "diff", path, "ordinary", "night", "--json"]);
    let problem: Value = serde_json::from_str(&run.err).unwrap();
    assert_eq!(problem["detail"], "preset \"night\" does not exist");
}

#[test]
fn tables_fit_their_width() {
    let mut table = Table::new(&["NAME", "WHAT"]);
    table.push_row(vec!["é".repeat(50), "short".to_owned()]);
    table.push_row(vec!["a".to_owned(), "b".repeat(60)]);
    for width in [10, 20, 40, 72, 200] {
        let text = table.render(width);
        assert!(text.lines().all(|line| line.chars().count() <= width), "{width}:\n{text}");
        assert_eq!(text.lines().count(), 3);
    }
}

#[test]
fn exit_codes_are_distinct() {
    let mut codes: Vec<_> = Exit::ALL.iter().map(|exit| exit.code()).collect();
    codes.dedup();
    assert_eq!(codes, [0, 1, 2, 3, 4, 5, 6]);
}
