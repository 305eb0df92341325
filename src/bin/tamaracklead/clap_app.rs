//! The tool's command line.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use tamaracklead::decide::audit::SlotBudget;

/// Describes the command line.
pub fn build_app() -> Command {
    Command::new("tamaracklead")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks, watches and explains a fleet of entry instances, and calls it")
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
}

fn settings() -> Command {
    let check = Command::new("check")
        .about("Check a settings file and report every fault")
        .arg(path("file", "FILE", "Settings file"));
    group("settings", "Settings of an entry instance").subcommand(check)
}

fn config() -> Command {
    let check = Command::new("check")
        .about("Check a configuration before it is published")
        .arg(path("path", "PATH", "Directory of root.json and pages/, or the root itself"))
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("MODEL=SLOTS")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SlotBudget))
                .help("Slots over all engines of a base model; pinned adapters must fit"),
        );
    group("config", "The published configuration").subcommand(check)
}

fn preset() -> Command {
    let diff = Command::new("diff")
        .about("Show what a switch of presets loads, may evict and costs in store time")
        .arg(path("path", "PATH", "Directory of root.json and pages/, or the root itself"))
        .arg(Arg::new("from").value_name("FROM").required(true).help("Preset before"))
        .arg(Arg::new("to").value_name("TO").required(true).help("Preset after"))
        .arg(
            Arg::new("loads-per-s")
                .long("loads-per-s")
                .value_name("NUMBER")
                .default_value("3")
                .value_parser(value_parser!(f64))
                .help("Loads that the weight store allows in a second"),
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
                .help("Loads in flight at which each still runs at full speed"),
        );
    group("preset", "Presets of the published configuration").subcommand(diff)
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

fn path(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value_name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}
