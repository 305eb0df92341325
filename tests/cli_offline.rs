//! Commands of the tool that call no instance, run through the real program.
//!
//! The checks must accept the valid files, name each fault and return the documented exit code.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use serde_json::json;
use tamaracklead::cli::Exit;
use tamaracklead::cli::Table;
use tamaracklead::decide::config::Snapshot;

struct ToolOutput {
    code: i32,
    out: String,
    err: String,
}

fn run_tool(args: &[&str]) -> ToolOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_tamaracklead"))
        .args(args)
        .env("COLUMNS", "72")
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    ToolOutput {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn empty_config_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{name}"));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(dir.join("pages")).unwrap();
    dir
}

fn valid_page() -> Value {
    json!({"adapters": {
        "heats": {"model": "base", "versions": [1, 2]},
        "lanes": {"model": "base", "versions": [7]},
        "seeding-explained-to-coaches-of-county-teams": {"model": "base", "versions": [3]},
    }})
}

fn valid_root() -> Value {
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

/// Writes a configuration to a directory; an empty hash is replaced by that of the page.
fn write_config(name: &str, mut root: Value, pages: &[(&str, &[u8])]) -> PathBuf {
    let dir = empty_config_dir(name);
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

fn write_valid_config(name: &str) -> PathBuf {
    write_config(name, valid_root(), &[("p0", valid_page().to_string().as_bytes())])
}

#[test]
fn settings_check_accepts_the_examples() {
    let run = run_tool(&["settings", "check", "docs/examples/nakhla.json"]);
    assert_eq!(run.code, i32::from(Exit::Success.code()), "{}", run.err);
    assert_eq!(run.out, "docs/examples/nakhla.json: no faults\n");
}

#[test]
fn settings_check_names_every_fault() {
    let file = empty_config_dir("settings").join("bad.json");
    fs::write(&file, r#"{"instance": "a", "data_centre": "", "keys": {}}"#).unwrap();
    let run = run_tool(&["settings", "check", file.to_str().unwrap()]);
    assert_eq!(run.code, i32::from(Exit::ConditionNotMet.code()));
    insta::assert_snapshot!("settings_check", run.out);
    let run = run_tool(&["settings", "check", "--json", file.to_str().unwrap()]);
    let report: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(report["faults"].as_array().unwrap().len(), 5);
    assert_eq!(report["faults"][0]["path"], "$.data_centre");
}

#[test]
fn config_check_accepts_a_valid_configuration() {
    let dir = write_valid_config("good");
    let run = run_tool(&["config", "check", dir.to_str().unwrap(), "--slots", "base=2"]);
    assert_eq!(run.out, "generation 12, preset ordinary, 3 adapters\nno findings\n");
    assert_eq!(run.code, 0);
    let by_root = run_tool(&["config", "check", dir.join("root.json").to_str().unwrap()]);
    assert_eq!(by_root.out, run.out);
}

#[test]
fn config_check_names_each_fault() {
    let page_text = valid_page().to_string();
    let root_with = |pointer: &str, value: Value| {
        let mut root = valid_root();
        *root.pointer_mut(pointer).unwrap() = value;
        root
    };
    let no_version = json!({"adapters": {"heats": {"model": "base", "versions": []}}}).to_string();
    let cases: [(&str, Value, &str); 10] = [
        ("preset", root_with("/preset", json!("night")), "root.json $.preset: preset \"night\""),
        ("hash", root_with("/pages/0/hash", json!("00")), "root.json $.pages[0]: hash \"00\", but"),
        (
            "pinned",
            root_with("/presets/gala/pinned", json!(["heats", "relay"])),
            "root.json $.presets.gala.pinned[1]: adapter \"relay\" is not published",
        ),
        (
            "pinned-twice",
            root_with("/presets/gala/pinned", json!(["heats", "heats"])),
            "root.json $.presets.gala.pinned[1]: adapter \"heats\" is pinned twice",
        ),
        (
            "slots",
            root_with("/presets/gala/pinned", json!(["heats", "lanes"])),
            "root.json $.presets.gala.pinned: 2 adapters of base model \"base\" for 1 slots",
        ),
        (
            "priority",
            root_with("/presets/gala/priorities", json!({"heats": 10})),
            "root.json $.presets.gala.priorities.heats: 10 is over 9",
        ),
        (
            "priority-unknown",
            root_with("/presets/gala/priorities", json!({"relay": 1})),
            "root.json $.presets.gala.priorities.relay: adapter is not published",
        ),
        (
            "weight",
            root_with("/presets/gala/stall_weight", json!(101)),
            "root.json $.presets.gala.stall_weight: 101 is over 100",
        ),
        (
            "missing",
            root_with("/pages", json!([{"name": "p0", "hash": ""}, {"name": "p1", "hash": "0"}])),
            "root.json $.pages[1]: page \"p1\" does not exist",
        ),
        ("unknown", root_with("/pages/0", json!({"x": 1})), "root.json: unknown field `x`"),
    ];
    for (name, mut root, expected) in cases {
        if name == "slots" {
            root["presets"]["ordinary"]["pinned"] = json!([]);
        }
        let dir = write_config(name, root, &[("p0", page_text.as_bytes())]);
        let slots = if name == "slots" { "base=1" } else { "base=8" };
        let run = run_tool(&["config", "check", dir.to_str().unwrap(), "--slots", slots]);
        assert_eq!(run.code, i32::from(Exit::ConditionNotMet.code()), "{name}: {}", run.out);
        assert!(run.out.starts_with(expected), "{name}: {}", run.out);
        assert!(run.out.ends_with("1 finding\n"), "{name}: {}", run.out);
    }
    let mut root = valid_root();
    root["presets"] = json!({"ordinary": {}});
    let dir = write_config("versions", root, &[("p0", no_version.as_bytes()), ("p9", b"{}")]);
    let run = run_tool(&["config", "check", dir.to_str().unwrap()]);
    insta::assert_snapshot!("config_check", run.out);
}

#[test]
fn config_check_refuses_a_page_over_the_size_limit() {
    let mut large = valid_page().to_string();
    large.push_str(&" ".repeat(1_000_000));
    let dir = write_config("large", valid_root(), &[("p0", large.as_bytes())]);
    let run = run_tool(&["config", "check", dir.to_str().unwrap()]);
    assert!(run.out.starts_with("pages/p0.json: "), "{}", run.out);
    assert!(run.out.contains("over the limit of 1000000"), "{}", run.out);
}

#[test]
fn preset_diff_shows_loads_evictions_and_store_time() {
    let dir = write_valid_config("diff");
    let path = dir.to_str().unwrap();
    let run = run_tool(&["preset", "diff", path, "ordinary", "gala", "--loads-per-s", "2"]);
    assert_eq!(run.code, 0, "{}", run.err);
    insta::assert_snapshot!("preset_diff", run.out);
    let run = run_tool(&["preset", "diff", path, "ordinary", "gala", "--json"]);
    insta::assert_snapshot!("preset_diff_json", run.out);
    let run = run_tool(&["preset", "diff", path, "gala", "gala"]);
    assert!(run.out.contains("0 to load, 0 may be evicted, 2 stay pinned"), "{}", run.out);
}

#[test]
fn invalid_arguments_and_unreadable_files_are_usage_errors() {
    let dir = write_valid_config("usage");
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
        let run = run_tool(args);
        assert_eq!(run.code, i32::from(Exit::Usage.code()), "{args:?}: {}", run.err);
        assert!(!run.err.is_empty(), "{args:?}");
        assert!(run.out.is_empty(), "{args:?}: {}", run.out);
    }
    let run = run_tool(&["preset", "diff", path, "ordinary", "night", "--json"]);
    let problem: Value = serde_json::from_str(&run.err).unwrap();
    assert_eq!(problem["detail"], "preset \"night\" does not exist");
}

#[test]
fn no_line_of_a_table_exceeds_its_width() {
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
