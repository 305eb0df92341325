//! The command `lab experiment`.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::bound::Bound;
use super::figures::Figures;
use super::fleet::Fleet;
use super::policy::Policy;
use super::summary;
use super::table;
use crate::load::Deployment;
use crate::load::Scenario;
use crate::load::Workload;

/// Describes the command.
pub fn command() -> Command {
    let names = Scenario::ALL.iter().map(|scenario| scenario.name()).chain(["all"]);
    Command::new("experiment")
        .about("Runs the decisions and simple baselines side by side in virtual time")
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
                .help("One row a scenario, against the hash baseline only"),
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

/// Runs the command.
///
/// # Errors
///
/// None; the signature is that of the other commands.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let name = matches.get_one::<String>("name").map_or("all", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let only_summary = matches.get_flag("summary");
    let policies = if only_summary { &Policy::ALL[..2] } else { &Policy::ALL[..] };
    let mut summaries = Vec::new();
    for deployment in [Deployment::NAKHLA, Deployment::PAMOJA] {
        let chosen = |scenario: &Scenario| name == "all" || name == scenario.name();
        for scenario in Scenario::ALL.into_iter().filter(chosen) {
            let workload = Workload::draw(&deployment, scenario, seed);
            let bound = Bound::of(&deployment, &workload);
            let rows: Vec<(Policy, Figures)> = policies
                .iter()
                .map(|&policy| (policy, Fleet::run(&deployment, scenario, &workload, policy, seed)))
                .collect();
            if !only_summary {
                println!("{}", table::render(&deployment, scenario, &rows, &bound));
            }
            let title = format!("{}, {}", deployment.name, scenario.name());
            summaries.push(summary::row(&title, &rows, &bound));
        }
    }
    println!("{}\n{}", summary::HEAD, summaries.join("\n"));
    Ok(())
}
