//! Command line of `tamaracklead`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;
use tamaracklead::decide::audit::SlotBudget;

const FLEET_SLOTS_HELP: &str =
    "Operator listener, to take slots and loaded adapters of the fleet into account";

/// Describes the command line to clap.
pub fn build_app() -> Command {
    Command::new("tamaracklead")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Check, monitor and call a fleet of entry instances")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Write reports as JSON"),
        )
        .subcommand(settings())
        .subcommand(config())
        .subcommand(preset())
        .subcommand(with_operator_args(
            Command::new("status").about("Show instances, engines and queues"),
        ))
        .subcommand(explain())
        .subcommand(ask())
        .subcommand(submit())
        .subcommand(outcome())
        .subcommand(completions())
}

fn settings() -> Command {
    let check = Command::new("check")
        .about("Check a settings file and report every fault")
        .arg(path_arg("file", "FILE", "Settings file"));
    command_group("settings", "Settings of an entry instance").subcommand(check)
}

fn config() -> Command {
    let check = Command::new("check")
        .about("Check a configuration before it is published")
        .arg(path_arg("path", "PATH", "Directory of root.json and pages/, or the root itself"))
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("MODEL=SLOTS")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SlotBudget))
                .help("Slots over all engines of a base model; pinned adapters must fit"),
        );
    command_group("config", "The published configuration").subcommand(check)
}

fn preset() -> Command {
    let diff = Command::new("diff")
        .about("Show which adapters a preset switch loads and may evict, and its store time")
        .arg(path_arg("path", "PATH", "Directory of root.json and pages/, or the root itself"))
        .arg(Arg::new("from").value_name("FROM").required(true).help("Preset before the switch"))
        .arg(Arg::new("to").value_name("TO").required(true).help("Preset after the switch"))
        .arg(
            Arg::new("loads-per-s")
                .long("loads-per-s")
                .value_name("NUMBER")
                .default_value("3")
                .value_parser(value_parser!(f64))
                .help("Loads a second that the weight store allows"),
        )
        .arg(
            Arg::new("load-ms")
                .long("load-ms")
                .value_name("MS")
                .default_value("250")
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("Time of one load at full speed"),
        )
        .arg(
            Arg::new("in-flight")
                .long("in-flight")
                .value_name("COUNT")
                .default_value("8")
                .value_parser(value_parser!(u64).range(1..=10_000))
                .help("Concurrent loads up to which each runs at full speed"),
        );
    let wait = Command::new("wait")
        .about("Wait until a generation is in effect at every instance, or list those behind")
        .arg(number_arg("generation", "GENERATION").required(true).help("Generation to wait for"))
        .arg(
            number_arg("timeout-s", "SECONDS")
                .long("timeout-s")
                .default_value("30")
                .help("Longest wait"),
        );
    command_group("preset", "Presets of the published configuration")
        .subcommand(with_endpoint_args(diff, "operator", "operator-key", FLEET_SLOTS_HELP))
        .subcommand(with_operator_args(wait))
}

fn explain() -> Command {
    let explain =
        Command::new("explain").about("Show the path of one request and the decisions on it").arg(
            Arg::new("request").value_name("REQUEST").required(true).help(
                "X-Request-Id header of the response; with --log the id that its caller sent",
            ),
        );
    let log = Arg::new("log")
        .long("log")
        .value_name("FILE")
        .action(ArgAction::Append)
        .conflicts_with_all(["operator", "operator-key"])
        .help("Log of a relay, or - for stdin; may be repeated");
    with_operator_args(explain.arg(log))
        .mut_arg("operator", |arg| arg.required(false).required_unless_present("log"))
        .mut_arg("operator-key", |arg| arg.required(false).required_unless_present("log"))
}

fn ask() -> Command {
    let ask = Command::new("ask")
        .about("Request a completion and stream it")
        .arg(Arg::new("adapter").value_name("ADAPTER").required(true).help("Adapter to use"))
        .arg(Arg::new("prompt").value_name("PROMPT").required(true).help("Text, or - for stdin"))
        .arg(
            number_arg("version", "VERSION")
                .long("adapter-version")
                .help("Version of the adapter [default: newest]"),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .value_name("COUNT")
                .default_value("256")
                .value_parser(value_parser!(u32))
                .help("Largest number of tokens to generate"),
        )
        .arg(
            Arg::new("priority")
                .long("priority")
                .value_name("0-9")
                .value_parser(value_parser!(u8).range(0..=9))
                .help("Priority, 9 is the highest"),
        )
        .arg(
            number_arg("deadline-ms", "MS")
                .long("deadline-ms")
                .help("Time limit for the start of the response"),
        );
    with_caller_args(ask)
}

fn submit() -> Command {
    let submit = Command::new("submit")
        .about("Get a ticket and submit; resend while that can't run the submission twice")
        .arg(Arg::new("file").value_name("FILE").required(true).help("JSON body, or - for stdin"))
        .arg(
            Arg::new("attempts")
                .long("attempts")
                .value_name("COUNT")
                .default_value("5")
                .value_parser(value_parser!(u32).range(1..=100))
                .help("Largest number of attempts"),
        );
    with_caller_args(submit)
}

fn outcome() -> Command {
    let outcome = Command::new("outcome").about("Show the outcome of a submission").arg(
        Arg::new("ticket").value_name("TICKET").required(true).help("Ticket of the submission"),
    );
    with_caller_args(outcome)
}

fn completions() -> Command {
    Command::new("completions").about("Write a shell completion script").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .required(true)
            .value_parser(value_parser!(Shell))
            .help("Shell to write the script for"),
    )
}

/// Adds the arguments of commands that call operator listeners.
fn with_operator_args(command: Command) -> Command {
    with_endpoint_args(command, "operator", "operator-key", "Operator listener of an instance")
        .mut_arg("operator", |arg| arg.required(true))
        .mut_arg("operator-key", |arg| arg.required(true))
}

/// Adds the arguments of commands that call caller listeners.
fn with_caller_args(command: Command) -> Command {
    with_endpoint_args(command, "entry", "key", "Caller listener of an instance")
        .mut_arg("entry", |arg| arg.required(true))
}

fn with_endpoint_args(
    command: Command,
    addr: &'static str,
    key: &'static str,
    help: &'static str,
) -> Command {
    let addr = Arg::new(addr)
        .long(addr)
        .value_name("ADDR")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(format!("{help}; may be repeated, the next one is tried if one fails"));
    let key = Arg::new(key)
        .long(key)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("File of the bearer key");
    command.arg(addr).arg(key)
}

fn number_arg(id: &'static str, value_name: &'static str) -> Arg {
    Arg::new(id).value_name(value_name).value_parser(value_parser!(u64))
}

fn command_group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

fn path_arg(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value_name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}
