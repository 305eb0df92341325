//! The command `lab experiment`: simulates scenarios under every policy and prints tables.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::offline_bound::OfflineBound;
use super::policy::Policy;
use super::run_metrics::RunMetrics;
use super::simulation::Simulation;
use super::summary;
use super::table;
use crate::workloads::Deployment;
use crate::workloads::Scenario;
use crate::workloads::Workload;

/// Command-line definition of `lab experiment`.
pub fn command() -> Command {
    let names = Scenario::ALL.iter().map(|scenario| scenario.name()).chain(["all"]);
    Command::new("experiment")
        .about("Simulates the project's policy and simple baselines in virtual time")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .value_parser(names.collect::<Vec<_>>())
                .help("Scenario to run"),
        )
        .arg(
            Arg::new("summary")
                .long("summary")
                .action(ArgAction::SetTrue)
                .help("Print one row a scenario only, against the hash baseline"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of arrivals and faults"),
        )
}

/// Simulates the chosen scenarios for both deployments.
///
/// # Errors
///
/// Never; the signature matches that of the other commands.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let name = matches.get_one::<String>("name").map_or("all", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let only_summary = matches.get_flag("summary");
    let policies = if only_summary { &Policy::ALL[..2] } else { &Policy::ALL[..] };
    let mut summaries = Vec::new();
    for deployment in [Deployment::NAKHLA, Deployment::PAMOJA] {
        let chosen = |scenario: &Scenario| name == "all" || name == scenario.name();
        for scenario in Scenario::ALL.into_iter().filter(chosen) {
            let workload = Workload::generate(&deployment, scenario, seed);
            let bound = OfflineBound::compute(&deployment, &workload);
            let rows: Vec<(Policy, RunMetrics)> = policies
                .iter()
                .map(|&policy| {
                    (policy, Simulation::run(&deployment, scenario, &workload, policy, seed))
                })
                .collect();
            if !only_summary {
                println!("{}", table::render(&deployment, scenario, &rows, &bound));
            }
            let title = format!("{}, {}", deployment.name, scenario.name());
            summaries.push(summary::row(&title, &rows, &bound));
        }
    }
    println!("{}\n{}", summary::HEADER, summaries.join("\n"));
    Ok(())
}
