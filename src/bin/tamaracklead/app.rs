//! Converts the matches of the command line into one invocation.

use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap::error::ErrorKind;
use clap_complete::Shell;
use clap_complete::generate;
use tamaracklead::cli::Command;
use tamaracklead::cli::Endpoints;
use tamaracklead::cli::Input;
use tamaracklead::cli::Invocation;
use tamaracklead::decide::audit::SlotBudget;
use tamaracklead::decide::audit::StoreBudget;
use tamaracklead::names::AdapterName;
use tamaracklead::names::Generation;
use tamaracklead::names::PresetName;
use tamaracklead::names::Version;
use tamaracklead::wire::caller::CompletionRequest;
use tamaracklead::wire::caller::VersionChoice;

use crate::clap_app;

/// Argument that stands for standard input.
const STDIN_ARG: &str = "-";
/// Environment variable in which shells export the terminal's width.
const WIDTH_ENV_VAR: &str = "COLUMNS";
/// Width to assume if the variable is missing or no number.
const DEFAULT_WIDTH_CHARS: usize = 80;
/// Lower bound of the load rate, by which [`StoreBudget::least_time`] divides.
const MIN_LOADS_PER_S: f64 = 0.001;

/// Converts matches of [`crate::clap_app::build_app`].
pub fn invocation(matches: &ArgMatches) -> Invocation {
    let width = env::var(WIDTH_ENV_VAR).ok().and_then(|text| text.parse().ok());
    Invocation {
        command: command(matches),
        json: matches.get_flag("json"),
        width: width.unwrap_or(DEFAULT_WIDTH_CHARS),
    }
}

fn command(matches: &ArgMatches) -> Command {
    match group_and_command(matches) {
        ("settings", "check", matches) => {
            Command::SettingsCheck { file: path_arg(matches, "file") }
        }
        ("config", "check", matches) => Command::ConfigCheck {
            path: path_arg(matches, "path"),
            slots: matches.get_many::<SlotBudget>("slots").unwrap_or_default().cloned().collect(),
        },
        ("preset", "diff", matches) => Command::PresetDiff {
            path: path_arg(matches, "path"),
            from: PresetName::new(str_arg(matches, "from")),
            to: PresetName::new(str_arg(matches, "to")),
            store: store_budget(matches),
            endpoints: matches.contains_id("operator").then(|| operator_endpoints(matches)),
        },
        ("preset", "wait", matches) => Command::PresetWait {
            generation: Generation(u64_arg(matches, "generation")),
            limit: Duration::from_secs(u64_arg(matches, "timeout-s")),
            endpoints: operator_endpoints(matches),
        },
        ("status", _, matches) => Command::Status { endpoints: operator_endpoints(matches) },
        ("explain", _, matches) => explain(matches),
        ("ask", _, matches) => Command::Ask {
            request: completion_request(matches),
            prompt: match str_arg(matches, "prompt") {
                STDIN_ARG => Input::Stdin,
                prompt => Input::Text(prompt.to_owned()),
            },
            endpoints: caller_endpoints(matches),
        },
        ("submit", _, matches) => Command::Submit {
            body: file_or_stdin(str_arg(matches, "file")),
            attempts: *matches.get_one::<u32>("attempts").expect("has a default"),
            endpoints: caller_endpoints(matches),
        },
        ("outcome", _, matches) => Command::Outcome {
            ticket: str_arg(matches, "ticket").to_owned(),
            endpoints: caller_endpoints(matches),
        },
        ("completions", _, matches) => Command::Completions { script: completion_script(matches) },
        (group, name, _) => unreachable!("clap knows no command {group} {name}"),
    }
}

fn explain(matches: &ArgMatches) -> Command {
    let request = str_arg(matches, "request");
    if let Some(logs) = matches.get_many::<String>("log") {
        let logs = logs.map(|log| file_or_stdin(log)).collect();
        return Command::ExplainLog { request: request.to_owned(), logs };
    }
    match request.parse() {
        Ok(request_id) => Command::Explain { request_id, endpoints: operator_endpoints(matches) },
        Err(e) => {
            let fault = format!("invalid value '{request}' for '<REQUEST>': {e}");
            clap_app::build_app().error(ErrorKind::ValueValidation, fault).exit()
        }
    }
}

fn file_or_stdin(name: &str) -> Input {
    match name {
        STDIN_ARG => Input::Stdin,
        file => Input::File(PathBuf::from(file)),
    }
}

fn group_and_command(matches: &ArgMatches) -> (&str, &str, &ArgMatches) {
    let (group, matches) = matches.subcommand().expect("clap requires a command");
    match matches.subcommand() {
        Some((name, matches)) => (group, name, matches),
        None => (group, "", matches),
    }
}

fn operator_endpoints(matches: &ArgMatches) -> Endpoints {
    endpoints(matches, "operator", "operator-key")
}

fn caller_endpoints(matches: &ArgMatches) -> Endpoints {
    endpoints(matches, "entry", "key")
}

fn endpoints(matches: &ArgMatches, addr: &str, key: &str) -> Endpoints {
    Endpoints {
        addrs: matches.get_many::<SocketAddr>(addr).unwrap_or_default().copied().collect(),
        key_file: matches.get_one::<PathBuf>(key).cloned(),
    }
}

fn completion_request(matches: &ArgMatches) -> CompletionRequest {
    let version = matches.get_one::<u64>("version").copied();
    CompletionRequest {
        adapter: AdapterName::new(str_arg(matches, "adapter")),
        version: version.map_or(VersionChoice::Newest, |n| VersionChoice::Exact(Version(n))),
        prompt: String::new(),
        max_tokens: *matches.get_one::<u32>("max-tokens").expect("has a default"),
        priority: matches.get_one::<u8>("priority").copied(),
        deadline_ms: matches.get_one::<u64>("deadline-ms").copied(),
        stream: true,
    }
}

fn completion_script(matches: &ArgMatches) -> Vec<u8> {
    let shell = *matches.get_one::<Shell>("shell").expect("clap requires it");
    let mut script = Vec::new();
    let mut app = clap_app::build_app();
    let name = app.get_name().to_owned();
    generate(shell, &mut app, name, &mut script);
    script
}

fn u64_arg(matches: &ArgMatches, id: &str) -> u64 {
    *matches.get_one::<u64>(id).expect("clap requires it or has a default")
}

fn store_budget(matches: &ArgMatches) -> StoreBudget {
    let loads_per_s = *matches.get_one::<f64>("loads-per-s").expect("has a default");
    StoreBudget {
        loads_per_s: loads_per_s.max(MIN_LOADS_PER_S),
        full_speed_in_flight: u64_arg(matches, "in-flight") as usize,
        load_time: Duration::from_millis(u64_arg(matches, "load-ms")),
    }
}

fn path_arg(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().expect("clap requires it")
}

fn str_arg<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).expect("clap requires it")
}
