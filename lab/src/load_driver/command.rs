//! The commands `lab load` and `lab hops`.

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
use super::load_test;
use super::load_test::LoadTestPlan;
use crate::fleet;
use crate::workloads::Deployment;
use crate::workloads::Scenario;

/// Command-line definition of `lab load`.
pub fn load_command() -> Command {
    let scenarios: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.name()).collect();
    Command::new("load")
        .about("Drives a fleet of real processes with a workload")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .help("Deployment whose sizes the fleet has")
                .default_value(Deployment::NAKHLA.name)
                .value_parser([Deployment::NAKHLA.name, Deployment::PAMOJA.name]),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("Scenario of the arrivals; its fleet events are left out")
                .default_value(Scenario::OrdinaryEvening.name())
                .value_parser(PossibleValuesParser::new(scenarios)),
        )
        .arg(number_arg("seconds", "Length of the run", "60"))
        .arg(number_arg("entries", "Entry instances", "6"))
        .arg(number_arg("seed", "Seed of the workload", "1"))
        .arg(json_arg())
}

/// Command-line definition of `lab hops`.
pub fn hops_command() -> Command {
    Command::new("hops")
        .about(
            "Compares times to the first token from the engine itself, its owner and over two hops",
        )
        .arg(number_arg("rate", "Requests a second at each entry instance", "500"))
        .arg(number_arg("seconds", "Length of the run", "10"))
        .arg(json_arg())
}

/// Drives a fleet with a workload, prints the report and fails if an answer was wrong.
///
/// # Errors
///
/// What failed, or the first wrong answer.
pub fn run_load(bin_dir: &Path, args: &ArgMatches) -> Result<(), String> {
    let deployment = match text_value(args, "deployment") {
        name if name == Deployment::PAMOJA.name => Deployment::PAMOJA,
        _ => Deployment::NAKHLA,
    };
    let scenario = Scenario::ALL
        .into_iter()
        .find(|scenario| scenario.name() == text_value(args, "scenario"))
        .ok_or("unknown scenario")?;
    let plan = LoadTestPlan {
        deployment,
        scenario,
        length: Duration::from_secs(number_value(args, "seconds")),
        entries: number_value(args, "entries") as usize,
        seed: number_value(args, "seed"),
    };
    let report = fleet::runtime()?.block_on(load_test::run(bin_dir, plan))?;
    print!("{}", report.table());
    write_json(args, &report.json())?;
    report.check()
}

/// Measures the latency that hops through entry instances add, and prints the report.
///
/// # Errors
///
/// What failed.
pub fn run_hops(bin_dir: &Path, args: &ArgMatches) -> Result<(), String> {
    let plan = HopsPlan {
        rate: number_value(args, "rate"),
        length: Duration::from_secs(number_value(args, "seconds")),
    };
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

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .value_name("FILE")
        .help("Write the figures as JSON too")
        .value_parser(value_parser!(PathBuf))
}

fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(u64))
}

fn number_value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}

fn text_value<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}
