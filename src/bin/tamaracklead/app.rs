//! From the command line's matches to one plain config.

use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap::error::ErrorKind;
use clap_complete::Shell;
use clap_complete::generate;
use tamaracklead::cli::Access;
use tamaracklead::cli::Command;
use tamaracklead::cli::Config;
use tamaracklead::cli::Input;
use tamaracklead::decide::audit::SlotBudget;
use tamaracklead::decide::audit::StoreBudget;
use tamaracklead::names::AdapterName;
use tamaracklead::names::Generation;
use tamaracklead::names::PresetName;
use tamaracklead::names::Version;
use tamaracklead::wire::caller::CompletionRequest;
use tamaracklead::wire::caller::VersionChoice;

use crate::clap_app;

/// Name of standard input on the command line.
const STDIN: &str = "-";
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
            access: matches.contains_id("operator").then(|| operator(matches)),
        },
        ("preset", "wait", matches) => Command::PresetWait {
            generation: Generation(number(matches, "generation")),
            limit: Duration::from_secs(number(matches, "timeout-s")),
            access: operator(matches),
        },
        ("status", _, matches) => Command::Status { access: operator(matches) },
        ("explain", _, matches) => explain(matches),
        ("ask", _, matches) => Command::Ask {
            request: completion_request(matches),
            prompt: match text(matches, "prompt") {
                STDIN => Input::Stdin,
                prompt => Input::Text(prompt.to_owned()),
            },
            access: caller(matches),
        },
        ("submit", _, matches) => Command::Submit {
            body: input(text(matches, "file")),
            attempts: *matches.get_one::<u32>("attempts").expect("has a default"),
            access: caller(matches),
        },
        ("outcome", _, matches) => {
            Command::Outcome { ticket: text(matches, "ticket").to_owned(), access: caller(matches) }
        }
        ("completions", _, matches) => Command::Completions { script: completions(matches) },
        (group, name, _) => unreachable!("clap knows no command {group} {name}"),
    }
}

fn explain(matches: &ArgMatches) -> Command {
    let request = text(matches, "request");
    if let Some(logs) = matches.get_many::<String>("log") {
        let logs = logs.map(|log| input(log)).collect();
        return Command::ExplainLog { request: request.to_owned(), logs };
    }
    match request.parse() {
        Ok(request_id) => Command::Explain { request_id, access: operator(matches) },
        Err(e) => {
            let fault = format!("invalid value '{request}' for '<REQUEST>': {e}");
            clap_app::build_app().error(ErrorKind::ValueValidation, fault).exit()
        }
    }
}

fn input(name: &str) -> Input {
    match name {
        STDIN => Input::Stdin,
        file => Input::File(PathBuf::from(file)),
    }
}

fn nested(matches: &ArgMatches) -> (&str, &str, &ArgMatches) {
    let (group, matches) = matches.subcommand().expect("clap requires a command");
    match matches.subcommand() {
        Some((name, matches)) => (group, name, matches),
        None => (group, "", matches),
    }
}

fn operator(matches: &ArgMatches) -> Access {
    access(matches, "operator", "operator-key")
}

fn caller(matches: &ArgMatches) -> Access {
    access(matches, "entry", "key")
}

fn access(matches: &ArgMatches, addr: &str, key: &str) -> Access {
    Access {
        addrs: matches.get_many::<SocketAddr>(addr).unwrap_or_default().copied().collect(),
        key_file: matches.get_one::<PathBuf>(key).cloned(),
    }
}

fn completion_request(matches: &ArgMatches) -> CompletionRequest {
    let version = matches.get_one::<u64>("version").copied();
    CompletionRequest {
        adapter: AdapterName::new(text(matches, "adapter")),
        version: version.map_or(VersionChoice::Newest, |n| VersionChoice::Exact(Version(n))),
        prompt: String::new(),
        max_tokens: *matches.get_one::<u32>("max-tokens").expect("has a default"),
        priority: matches.get_one::<u8>("priority").copied(),
        deadline_ms: matches.get_one::<u64>("deadline-ms").copied(),
        stream: true,
    }
}

fn completions(matches: &ArgMatches) -> Vec<u8> {
    let shell = *matches.get_one::<Shell>("shell").expect("clap requires it");
    let mut script = Vec::new();
    let mut app = clap_app::build_app();
    let name = app.get_name().to_owned();
    generate(shell, &mut app, name, &mut script);
    script
}

fn number(matches: &ArgMatches, id: &str) -> u64 {
    *matches.get_one::<u64>(id).expect("clap requires it or has a default")
}

fn store(matches: &ArgMatches) -> StoreBudget {
    let loads_per_s = *matches.get_one::<f64>("loads-per-s").expect("has a default");
    StoreBudget {
        loads_per_s: loads_per_s.max(MIN_LOADS_PER_S),
        full_speed_in_flight: number(matches, "in-flight") as usize,
        load_time: Duration::from_millis(number(matches, "load-ms")),
    }
}

fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().expect("clap requires it")
}

fn text<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).expect("clap requires it")
}
