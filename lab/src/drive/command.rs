//! `lab load` and `lab hops` on the command line.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use super::hops;
use super::hops::HopsPlan;
use super::load;
use super::load::LoadPlan;
use crate::fleet;
use crate::workloads::Deployment;
use crate::workloads::Scenario;

/// Describes `lab load`.
pub fn load_command() -> Command {
    let scenarios: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.name()).collect();
    Command::new("load")
        .about("Drives a fleet of real processes with a workload")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .help("Whose sizes")
                .default_value(Deployment::NAKHLA.name)
                .value_parser([Deployment::NAKHLA.name, Deployment::PAMOJA.name]),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("Whose arrivals; events of the fleet are left out")
                .default_value(Scenario::OrdinaryEvening.name())
                .value_parser(PossibleValuesParser::new(scenarios)),
        )
        .arg(number("seconds", "Length of the run", "60"))
        .arg(number("entries", "Entry instances", "6"))
        .arg(number("seed", "Seed of the workload", "1"))
        .arg(json())
}

/// Describes `lab hops`.
pub fn hops_command() -> Command {
    Command::new("hops")
        .about("Compares first tokens by the engine itself, by its owner, and over two hops")
        .arg(number("rate", "Requests a second at each process", "500"))
        .arg(number("seconds", "Length of the run", "10"))
        .arg(json())
}

/// Runs `lab load`.
///
/// # Errors
///
/// A sentence that says what failed or was wrong.
pub fn run_load(bin_dir: &Path, args: &ArgMatches) -> Result<(), String> {
    let deployment = match text(args, "deployment") {
        name if name == Deployment::PAMOJA.name => Deployment::PAMOJA,
        _ => Deployment::NAKHLA,
    };
    let scenario = Scenario::ALL
        .into_iter()
        .find(|scenario| scenario.name() == text(args, "scenario"))
        .ok_or("no such scenario")?;
    let plan = LoadPlan {
        deployment,
        scenario,
        length: Duration::from_secs(value(args, "seconds")),
        entries: value(args, "entries") as usize,
        seed: value(args, "seed"),
    };
    let figures = fleet::runtime()?.block_on(load::run(bin_dir, plan))?;
    print!("{}", figures.table());
    write_json(args, &figures.json())?;
    figures.check()
}

/// Runs `lab hops`.
///
/// # Errors
///
/// A sentence that says what failed.
pub fn run_hops(bin_dir: &Path, args: &ArgMatches) -> Result<(), String> {
    let plan =
        HopsPlan { rate: value(args, "rate"), length: Duration::from_secs(value(args, "seconds")) };
    let report = fleet::runtime()?.block_on(hops::run(bin_dir, plan))?;
    print!("{}", report.table());
    write_json(args, &report.json())
}

fn write_json(args: &ArgMatches, json: &serde_json::Value) -> Result<(), String> {
    match args.get_one::<PathBuf>("json") {
        Some(path) => {
            fs::write(path, json.to_string()).map_err(|e| format!("{}: {e}", path.display()))
        }
        None => Ok(()),
    }
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .value_name("FILE")
        .help("Write the figures as JSON too")
        .value_parser(value_parser!(PathBuf))
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(u64))
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}
