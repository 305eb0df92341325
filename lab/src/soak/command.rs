//! Command line of `lab soak`.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::environment::Surroundings;
use super::run::SoakOptions;
use super::run::run_schedule;
use super::schedule::CALM_TIME;
use super::schedule::Schedule;
use super::settings::Ports;
use super::shrink::shrink;

/// Definition of the subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        let arg = Arg::new(name).long(name).help(help).default_value(default);
        arg.value_parser(value_parser!(u64))
    };
    let choice = |name: &'static str, help: &'static str, values: [&'static str; 2]| {
        Arg::new(name).long(name).help(help).default_value(values[0]).value_parser(values)
    };
    Command::new("soak")
        .about("Runs a fleet of the platform's program under random faults and checks it")
        .arg(number("seed", "First seed", "1"))
        .arg(number("seeds", "Number of seeds, one after the other", "1"))
        .arg(number("seconds", "Length of the run of a seed", "45"))
        .arg(number("instances", "Number of processes", "6"))
        .arg(choice("ports", "Where the instances listen", ["low", "ephemeral"]))
        .arg(choice(
            "environment",
            "Whether limits, logs and settings are drawn",
            ["drawn", "generous"],
        ))
        .arg(choice("load", "Whether busy threads compete with the fleet", ["none", "beside"]))
        .arg(
            Arg::new("keep-logs")
                .long("keep-logs")
                .help("Keeps the instances' logs in this directory")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("files")
                .long("files")
                .help("Keeps the files of running instances in this directory; best in memory")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .help("Looks for the shortest schedule that still fails")
                .action(ArgAction::SetTrue),
        )
        .arg(number("shrink-minutes", "Time for which it looks", "15"))
}

/// Runs the seeds that the command line names; the programs are expected in `bin_dir`.
///
/// # Errors
///
/// The seeds that failed, or why one couldn't be run.
pub fn run(bin_dir: &Path, args: &ArgMatches) -> Result<(), String> {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let text = |name: &str| args.get_one::<String>(name).map(String::as_str).unwrap_or_default();
    let options = SoakOptions {
        instances: number("instances").max(1) as usize,
        ports: Ports::named(text("ports")).ok_or("unknown ports")?,
        surroundings: Surroundings::named(text("environment")).ok_or("unknown environment")?,
        is_beside_load: text("load") == "beside",
        files: args.get_one::<PathBuf>("files").cloned().unwrap_or_else(std::env::temp_dir),
        keep_logs: args.get_one::<PathBuf>("keep-logs").cloned(),
    };
    let duration = Duration::from_secs(number("seconds"));
    if duration <= CALM_TIME {
        return Err(format!("a soak has to last longer than {CALM_TIME:?}"));
    }
    let is_shrunk = args.get_flag("shrink");
    let shrink_limit = is_shrunk.then(|| Duration::from_secs(60 * number("shrink-minutes")));
    let mut failed = Vec::new();
    for seed in number("seed")..number("seed") + number("seeds") {
        if !run_seed(bin_dir, &options, seed, duration, shrink_limit)? {
            failed.push(seed);
        }
    }
    if failed.is_empty() { Ok(()) } else { Err(format!("seeds with findings: {failed:?}")) }
}

/// Runs one seed, and looks for a shorter schedule for up to `shrink_limit` if it fails; returns
/// whether nothing was found.
///
/// # Errors
///
/// Why it couldn't be run.
pub fn run_seed(
    bin_dir: &Path,
    options: &SoakOptions,
    seed: u64,
    duration: Duration,
    shrink_limit: Option<Duration>,
) -> Result<bool, String> {
    let schedule = Schedule::generate(seed, duration, options.instances, options.ports);
    println!("seed {seed}, {} instances, ports {}:", options.instances, options.ports.name());
    print!("{}", schedule.describe());
    let outcome = run_schedule(bin_dir, options, seed, &schedule)?;
    for finding in &outcome.findings {
        println!("  FINDING {finding}");
    }
    print!("{}", outcome.describe_shares());
    println!("seed {seed}: {}", outcome.summary());
    if let Some(first) = outcome.findings.first()
        && let Some(limit) = shrink_limit
    {
        let short = shrink(schedule, limit, |candidate| {
            let again = run_schedule(bin_dir, options, seed, candidate)?;
            Ok(again.findings.iter().any(|finding| finding.kind == first.kind))
        })?;
        println!("seed {seed}, still failing with {:?}:\n{}", first.kind, short.describe());
    }
    Ok(outcome.findings.is_empty())
}
