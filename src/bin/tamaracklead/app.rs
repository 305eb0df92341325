//! From the command line's matches to one plain config.

use std::env;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use tamaracklead::cli::Command;
use tamaracklead::cli::Config;
use tamaracklead::decide::audit::SlotBudget;
use tamaracklead::decide::audit::StoreBudget;
use tamaracklead::names::PresetName;

/// Environment variable in which shells publish the terminal's width.
const WIDTH_VARIABLE: &str = "COLUMNS";
/// Width of terminals that don't tell theirs, in characters.
const DEFAULT_WIDTH: usize = 80;
/// Fewest loads in a second that count as a rate at all.
const MIN_LOADS_PER_S: f64 = 0.001;

/// Reads the matches of [`crate::clap_app::build_app`].
pub fn config(matches: &ArgMatches) -> Config {
    let width = env::var(WIDTH_VARIABLE).ok().and_then(|text| text.parse().ok());
    Config {
        command: command(matches),
        json: matches.get_flag("json"),
        width: width.unwrap_or(DEFAULT_WIDTH),
    }
}

fn command(matches: &ArgMatches) -> Command {
    match nested(matches) {
        ("settings", "check", matches) => Command::SettingsCheck { file: path(matches, "file") },
        ("config", "check", matches) => Command::ConfigCheck {
            path: path(matches, "path"),
            slots: matches.get_many::<SlotBudget>("slots").unwrap_or_default().cloned().collect(),
        },
        ("preset", "diff", matches) => Command::PresetDiff {
            path: path(matches, "path"),
            from: PresetName::new(text(matches, "from")),
            to: PresetName::new(text(matches, "to")),
            store: store(matches),
        },
        (group, name, _) => unreachable!("clap knows no command {group} {name}"),
    }
}

fn nested(matches: &ArgMatches) -> (&str, &str, &ArgMatches) {
    let (group, matches) = matches.subcommand().expect("clap requires a command");
    match matches.subcommand() {
        Some((name, matches)) => (group, name, matches),
        None => (group, "", matches),
    }
}

fn store(matches: &ArgMatches) -> StoreBudget {
    let number = |id| *matches.get_one::<u64>(id).expect("has a default");
    let loads_per_s = *matches.get_one::<f64>("loads-per-s").expect("has a default");
    StoreBudget {
        loads_per_s: loads_per_s.max(MIN_LOADS_PER_S),
        full_speed_in_flight: number("in-flight") as usize,
        load_time: Duration::from_millis(number("load-ms")),
    }
}

fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().expect("clap requires it")
}

fn text<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).expect("clap requires it")
}
