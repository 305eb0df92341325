//! Checks of the source that rustfmt cannot make.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const SOURCE_DIRS: [&str; 6] =
    ["src", "lab/src", "platform/src", "tests", "lab/tests", "platform/tests"];
const IMPERATIVE_CLOCKS: [&str; 4] =
    ["Instant::now", "SystemTime::now", "rand::rng()", "thread_rng"];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Own,
}

fn rust_files(dir: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(dir) else { return };
    for entry in entries {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn all_sources() -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for dir in SOURCE_DIRS {
        rust_files(&root.join(dir), &mut files);
    }
    files.sort();
    files.into_iter().map(|path| (path.clone(), fs::read_to_string(path).unwrap())).collect()
}

fn group_of(import: &str) -> Group {
    let first = import.split("::").next().unwrap_or_default().trim_end_matches(';');
    match first {
        "std" | "core" | "alloc" => Group::Std,
        "crate" | "super" | "self" => Group::Own,
        _ => Group::External,
    }
}

fn import_of(line: &str) -> Option<&str> {
    line.trim_start().strip_prefix("use ")
}

#[test]
fn every_import_names_one_thing() {
    let mut faults = Vec::new();
    for (path, text) in all_sources() {
        for (number, line) in text.lines().enumerate() {
            let line = line.trim_start();
            let is_import = line.starts_with("use ") || line.starts_with("pub use ");
            if is_import && line.contains('{') {
                faults.push(format!("{}:{}: {line}", path.display(), number + 1));
            }
        }
    }
    assert!(faults.is_empty(), "imports that name several things:\n{}", faults.join("\n"));
}

#[test]
fn imports_stand_in_three_groups() {
    let mut faults = Vec::new();
    for (path, text) in all_sources() {
        let mut last: Option<Group> = None;
        let mut blank_before = false;
        for (number, line) in text.lines().enumerate() {
            let Some(import) = import_of(line) else {
                blank_before = line.is_empty();
                if !line.is_empty() {
                    last = None;
                }
                continue;
            };
            let group = group_of(import);
            let fault = match last {
                Some(previous) if group < previous => true,
                Some(previous) if group > previous => !blank_before,
                Some(_) => blank_before,
                None => false,
            };
            if fault {
                faults.push(format!("{}:{}: {line}", path.display(), number + 1));
            }
            last = Some(group);
            blank_before = false;
        }
    }
    assert!(faults.is_empty(), "imports out of their group:\n{}", faults.join("\n"));
}

#[test]
fn decisions_read_no_clock_and_no_unseeded_randomness() {
    let mut faults = Vec::new();
    for (path, text) in all_sources() {
        if !path.to_string_lossy().contains("src/decide/") {
            continue;
        }
        for word in IMPERATIVE_CLOCKS {
            if text.contains(word) {
                faults.push(format!("{}: {word}", path.display()));
            }
        }
    }
    assert!(faults.is_empty(), "decisions that read a clock:\n{}", faults.join("\n"));
}
